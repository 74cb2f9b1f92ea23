use crate::scenario::Scenario;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A request as drawn for a run.
#[derive(Clone, Debug)]
pub struct Request {
    /// Time of sending since the start of the run.
    pub sent_at_ms: u64,
    /// Index of the class.
    pub class: usize,
    /// Index of the client account.
    pub account: usize,
    /// Index of the data centre that the caller connects to.
    pub data_centre: usize,
    pub prompt_tokens: u32,
    /// Length of the response, which is hidden from the daemons.
    pub response_tokens: u32,
}

/// Number of client accounts that share [`crate::site::Site::large_account_share`] of the traffic.
const LARGE_ACCOUNTS: usize = 3;

/// Draws the requests of a scenario with Poisson arrivals, sorted by time.
pub fn draw_requests(scenario: &Scenario, seed: u64) -> Vec<Request> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut requests = Vec::new();
    for phase in &scenario.phases {
        let class = &scenario.site.classes[phase.class];
        let per_ms = phase.load * scenario.site.capacity_tokens_per_second()
            / class.mean_response_tokens
            / 1_000.0;
        let mut sent_at = phase.from_ms as f64;
        loop {
            sent_at += exponential(&mut rng) / per_ms;
            if sent_at >= phase.until_ms as f64 {
                break;
            }
            requests.push(Request {
                sent_at_ms: sent_at as u64,
                class: phase.class,
                account: draw_account(scenario, &mut rng),
                data_centre: draw_weighted(&scenario.caller_weights, &mut rng),
                prompt_tokens: (class.mean_prompt_tokens * rng.random_range(0.5..1.5)) as u32,
                response_tokens: draw_response_tokens(class.mean_response_tokens, &mut rng),
            });
        }
    }
    requests.sort_by_key(|r| r.sent_at_ms);
    requests
}

/// Draws from the exponential distribution with mean 1.
fn exponential(rng: &mut Pcg64Mcg) -> f64 {
    let unit: f64 = rng.random_range(f64::EPSILON..1.0);
    -unit.ln()
}

/// Draws a length between a quarter and three times the mean. The distribution is skewed towards
/// short lengths.
fn draw_response_tokens(mean: f64, rng: &mut Pcg64Mcg) -> u32 {
    let factor = 0.25 + 0.75 * exponential(rng);
    (mean * factor.min(3.0)).max(1.0) as u32
}

fn draw_account(scenario: &Scenario, rng: &mut Pcg64Mcg) -> usize {
    if rng.random_bool(scenario.site.large_account_share) {
        return rng.random_range(0..LARGE_ACCOUNTS);
    }
    rng.random_range(LARGE_ACCOUNTS..scenario.site.accounts)
}

/// Draws an index with a probability proportional to its weight.
pub fn draw_weighted(weights: &[f64], rng: &mut Pcg64Mcg) -> usize {
    let mut remaining = rng.random_range(0.0..weights.iter().sum::<f64>());
    for (index, weight) in weights.iter().enumerate() {
        if remaining < *weight {
            return index;
        }
        remaining -= weight;
    }
    weights.len() - 1
}
