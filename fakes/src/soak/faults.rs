use fakes::{Behaviour, Link, PathState, StoreMode, UnframedEnd};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// An injected fault, with the index of the endpoint or gateway that it affects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// An endpoint changes its behaviour.
    Endpoint(usize, Behaviour),
    /// The link to an endpoint changes its state.
    Link(usize, Link),
    /// The store changes its mode.
    Store(StoreMode),
    /// The link of all gateways to the store changes its state.
    StoreLink(Link),
    /// A gateway is suspended with `SIGSTOP`.
    Pause(usize),
    /// A gateway is resumed with `SIGCONT`.
    Continue(usize),
    /// A gateway is killed with `SIGKILL` and restarted.
    Kill(usize),
    /// All gateways are killed with `SIGKILL` at the same time and restarted.
    KillAll,
    /// A gateway is stopped with `SIGTERM` and restarted.
    Terminate(usize),
    /// A new version of the configuration is published.
    Configure,
    /// A new version of the configuration with thousands of routes is published.
    AddRoutes,
    /// Another writer leaves an odd object in the store; its number decides which.
    OddEntry(usize),
    /// An endpoint states from now on that it leaves; its entry says that it is ready.
    Leave(usize),
    /// The paths of one gateway to all endpoints change their state.
    Cut(PathState),
    /// The path of a gateway to the store changes its state.
    TurnAway(usize, PathState),
    /// The store turns a gateway away with a status, or serves it again.
    Refuse(usize, Option<u16>),
    /// The entry of an endpoint is removed from the registry.
    Remove(usize),
    /// An endpoint that left starts anew, in runs with software versions at the other one.
    Return(usize),
}

/// A fault and its time after the start of the run, in milliseconds.
pub type ScheduledFault = (u64, Fault);

/// The duration of a temporary fault.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..1_500;

/// Generates the faults of a run, sorted by time; each temporary fault is followed by its end.
pub fn generate_faults(
    rng: &mut Pcg64Mcg,
    duration_ms: u64,
    gateways: usize,
    endpoints: usize,
) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    let mut at_ms = rng.random_range(300..800);
    while at_ms < duration_ms {
        let end_ms = at_ms + rng.random_range(FAULT_DURATION_MS);
        let endpoint = rng.random_range(0..endpoints);
        let gateway = rng.random_range(0..gateways);
        let (fault, end) = random_fault(rng, endpoint, gateway);
        faults.push((at_ms, fault));
        faults.extend(end.map(|end| (end_ms, end)));
        // With a probability of 0.3 the next fault starts at the same time.
        at_ms += if rng.random::<f64>() < 0.3 { 0 } else { rng.random_range(100..700) };
    }
    faults.sort_by_key(|(at_ms, _)| *at_ms);
    faults
}

/// Generates times in which endpoints send responses without a length, sorted by time.
pub fn generate_unframed_responses(
    rng: &mut Pcg64Mcg,
    duration_ms: u64,
    endpoints: usize,
) -> Vec<ScheduledFault> {
    let ends = [
        UnframedEnd::Complete,
        UnframedEnd::WithinEvent,
        UnframedEnd::AfterHead,
        UnframedEnd::Reset,
    ];
    let mut faults = Vec::new();
    let mut at_ms = rng.random_range(300..1_500);
    while at_ms < duration_ms {
        let endpoint = rng.random_range(0..endpoints);
        let behaviour = Behaviour::Unframed(ends[rng.random_range(0..ends.len())]);
        let end_ms = at_ms + rng.random_range(FAULT_DURATION_MS);
        faults.push((at_ms, Fault::Endpoint(endpoint, behaviour)));
        faults.push((end_ms, Fault::Endpoint(endpoint, Behaviour::Succeed)));
        at_ms += rng.random_range(300..1_500);
    }
    faults.sort_by_key(|(at_ms, _)| *at_ms);
    faults
}

/// A random fault and, if it is temporary, the fault that ends it.
fn random_fault(rng: &mut Pcg64Mcg, endpoint: usize, gateway: usize) -> (Fault, Option<Fault>) {
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
