use fakes::{Behaviour, Link, StoreMode};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// A fault from outside, and which of the things of its kind it strikes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// An endpoint treats requests otherwise.
    Endpoint(usize, Behaviour),
    /// The link to an endpoint changes.
    Link(usize, Link),
    /// The store answers otherwise.
    Store(StoreMode),
    /// The link of all gateways to the store changes.
    StoreLink(Link),
    /// A gateway stands still.
    Pause(usize),
    /// A gateway goes on.
    Continue(usize),
    /// A gateway is killed and started again.
    Kill(usize),
    /// A gateway is stopped and started again.
    Terminate(usize),
    /// The configuration changes.
    Configure,
}

/// When a fault strikes, in milliseconds.
pub type Timed = (u64, Fault);

/// Length of a fault that ends by itself, in milliseconds.
const SHORT: std::ops::Range<u64> = 200..1_500;

/// Draws the faults of a run; each that changes a state is taken back later.
pub fn draw(rng: &mut Pcg64Mcg, length_ms: u64, gateways: usize, endpoints: usize) -> Vec<Timed> {
    let mut faults = Vec::new();
    let mut at = rng.random_range(300..800);
    while at < length_ms {
        let until = at + rng.random_range(SHORT);
        let endpoint = rng.random_range(0..endpoints);
        let gateway = rng.random_range(0..gateways);
        let (fault, end) = one(rng, endpoint, gateway);
        faults.push((at, fault));
        faults.extend(end.map(|end| (until, end)));
        // Some strike together, others in a row.
        at += if rng.random::<f64>() < 0.3 { 0 } else { rng.random_range(100..700) };
    }
    faults.sort_by_key(|(at, _)| *at);
    faults
}

fn one(rng: &mut Pcg64Mcg, endpoint: usize, gateway: usize) -> (Fault, Option<Fault>) {
    let behaviours = [
        Behaviour::Fail,
        Behaviour::Reject,
        Behaviour::Close,
        Behaviour::Truncate,
        Behaviour::Hang,
        Behaviour::WrongRequest,
        Behaviour::DuplicateResponse,
        Behaviour::AmbiguousStatus(503),
        Behaviour::AmbiguousStatus(429),
        Behaviour::Unsigned,
    ];
    let links = [Link::Slow, Link::Reset, Link::OneWay, Link::Silent];
    let stores = [StoreMode::Unavailable, StoreMode::Closed, StoreMode::HistoryGone];
    let link = links[rng.random_range(0..links.len())];
    match rng.random_range(0..9) {
        0..3 => {
            let behaviour = behaviours[rng.random_range(0..behaviours.len())];
            let end = Fault::Endpoint(endpoint, Behaviour::Succeed);
            (Fault::Endpoint(endpoint, behaviour), Some(end))
        }
        3 | 4 => (Fault::Link(endpoint, link), Some(Fault::Link(endpoint, Link::Healthy))),
        5 => {
            let mode = stores[rng.random_range(0..stores.len())];
            (Fault::Store(mode), Some(Fault::Store(StoreMode::Up)))
        }
        6 => (Fault::StoreLink(link), Some(Fault::StoreLink(Link::Healthy))),
        7 => match rng.random_range(0..3) {
            0 => (Fault::Kill(gateway), None),
            1 => (Fault::Terminate(gateway), None),
            _ => (Fault::Pause(gateway), Some(Fault::Continue(gateway))),
        },
        _ => (Fault::Configure, None),
    }
}
