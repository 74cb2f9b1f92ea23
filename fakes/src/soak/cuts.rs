use crate::faults::{Fault, ScheduledFault};
use fakes::{NetworkPath, PathState, PlatformStore};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::io;
use std::net::SocketAddr;

/// The gateway that is cut off from all endpoints at times.
pub const CUT_GATEWAY: usize = 0;
const CUT_INTERVAL_MS: std::ops::Range<u64> = 1_500..4_000;
const CUT_DURATION_MS: std::ops::Range<u64> = 800..4_000;

/// The paths of one gateway to the endpoints.
pub struct OwnPaths {
    paths: Vec<NetworkPath>,
    /// A view of the store in which endpoints have the addresses of the paths.
    pub store: SocketAddr,
}

impl OwnPaths {
    /// Starts paths to the registered addresses of the endpoints.
    pub fn start(store: &PlatformStore, addresses: &[SocketAddr]) -> io::Result<OwnPaths> {
        let paths = addresses.iter().map(|address| NetworkPath::start(*address));
        let paths = paths.collect::<io::Result<Vec<_>>>()?;
        let own = paths.iter().map(|path| path.address);
        let store = store.start_view(addresses.iter().copied().zip(own).collect())?;
        Ok(OwnPaths { paths, store })
    }

    pub fn set(&self, state: PathState) -> io::Result<()> {
        self.paths.iter().try_for_each(|path| path.set(state))
    }
}

/// Generates times at which a gateway is cut off from all endpoints, sorted by time.
pub fn generate_cuts(rng: &mut Pcg64Mcg, duration_ms: u64) -> Vec<ScheduledFault> {
    let states = [PathState::Reset, PathState::RefusesNew, PathState::Hanging];
    let mut faults = Vec::new();
    let mut at_ms = rng.random_range(CUT_INTERVAL_MS);
    while at_ms < duration_ms {
        let state = states[rng.random_range(0..states.len())];
        faults.push((at_ms, Fault::Cut(state)));
        at_ms += rng.random_range(CUT_DURATION_MS);
        faults.push((at_ms, Fault::Cut(PathState::Open)));
        at_ms += rng.random_range(CUT_INTERVAL_MS);
    }
    faults
}

/// Returns how many requests gateways passed on to others.
pub fn count_relayed(log: &[String]) -> usize {
    log.iter().filter(|line| line.contains("\"event\":\"relayed\"")).count()
}
