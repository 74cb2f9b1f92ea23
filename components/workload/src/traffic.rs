use crate::scenario::Scenario;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// When it is sent, in milliseconds.
    pub at: u64,
    /// The class, by number.
    pub class: usize,
    /// The client account, by number.
    pub account: usize,
    /// The data centre that the caller reaches first.
    pub data_centre: usize,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer, which nobody knows beforehand.
    pub answer: u32,
}

/// Accounts that send most of the traffic.
const LARGE_ACCOUNTS: usize = 3;

/// Draws all requests of a scenario in the order of their times.
pub fn draw_requests(scenario: &Scenario, seed: u64) -> Vec<Request> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut requests = Vec::new();
    for phase in &scenario.phases {
        let class = &scenario.site.classes[phase.class];
        let rate = phase.load * scenario.site.capacity() / class.answer / 1_000.0;
        let mut at = phase.from as f64;
        loop {
            at += exponential(&mut rng) / rate;
            if at >= phase.until as f64 {
                break;
            }
            requests.push(Request {
                at: at as u64,
                class: phase.class,
                account: draw_account(scenario, &mut rng),
                data_centre: draw_weighted(&scenario.callers, &mut rng),
                prompt: (class.prompt * rng.random_range(0.5..1.5)) as u32,
                answer: draw_answer(class.answer, &mut rng),
            });
        }
    }
    requests.sort_by_key(|r| r.at);
    requests
}

fn exponential(rng: &mut Pcg64Mcg) -> f64 {
    let unit: f64 = rng.random_range(f64::EPSILON..1.0);
    -unit.ln()
}

/// Draws a length between a quarter and three times the mean, most of them short.
fn draw_answer(mean: f64, rng: &mut Pcg64Mcg) -> u32 {
    let factor = 0.25 + 0.75 * exponential(rng);
    (mean * factor.min(3.0)).max(1.0) as u32
}

fn draw_account(scenario: &Scenario, rng: &mut Pcg64Mcg) -> usize {
    if rng.random_bool(scenario.site.large_part) {
        return rng.random_range(0..LARGE_ACCOUNTS);
    }
    rng.random_range(LARGE_ACCOUNTS..scenario.site.accounts)
}

/// Draws an index by its weight.
pub fn draw_weighted(weights: &[f64], rng: &mut Pcg64Mcg) -> usize {
    let mut left = rng.random_range(0.0..weights.iter().sum::<f64>());
    for (index, weight) in weights.iter().enumerate() {
        if left < *weight {
            return index;
        }
        left -= weight;
    }
    weights.len() - 1
}
