use decision::Millis;
use decision::load::{
    Arrival, DaemonLoad, Effect, EndpointInfo, EndpointReport, EndpointState, Outcome, Scheduler,
};

/// The interface that the scheduler shares with the baselines. Each call returns the effects that
/// the simulation has to apply.
pub trait Policy {
    /// Handles a request from a caller or a peer.
    fn arrive(&mut self, arrival: Arrival, now: Millis) -> Vec<Effect>;
    /// Records new tokens of a running request.
    fn progress(&mut self, request: u64, tokens: u32, now: Millis) -> Vec<Effect>;
    /// Handles the end of an attempt.
    fn finish(&mut self, request: u64, outcome: Outcome, now: Millis) -> Vec<Effect>;
    /// Removes a request whose caller disconnected.
    fn abandon(&mut self, request: u64, now: Millis) -> Vec<Effect>;
    /// Adds or updates an endpoint.
    fn set_endpoint(&mut self, info: EndpointInfo, now: Millis) -> Vec<Effect>;
    /// Removes an endpoint.
    fn remove_endpoint(&mut self, name: &str, now: Millis) -> Vec<Effect>;
    /// Handles a load report of an endpoint.
    fn report(&mut self, name: &str, report: EndpointReport, now: Millis) -> Vec<Effect>;
    /// Handles time-outs and other work that is due; called every 50 ms.
    fn tick(&mut self, now: Millis) -> Vec<Effect>;
    /// The load that the daemon gossips to its peers.
    fn own_load(&mut self, now: Millis) -> DaemonLoad;
    /// Handles the load of a peer.
    fn peer_load(&mut self, load: &DaemonLoad, now: Millis) -> Vec<Effect>;
    /// Requests refused so far although preemptible work of a lower tier was known.
    fn tier_violations(&self) -> u64 {
        0
    }
}

impl Policy for Scheduler {
    fn arrive(&mut self, arrival: Arrival, now: Millis) -> Vec<Effect> {
        Scheduler::arrive(self, arrival, now)
    }

    fn progress(&mut self, request: u64, tokens: u32, now: Millis) -> Vec<Effect> {
        Scheduler::progress(self, request, tokens, now)
    }

    fn finish(&mut self, request: u64, outcome: Outcome, now: Millis) -> Vec<Effect> {
        Scheduler::finish(self, request, outcome, now)
    }

    fn abandon(&mut self, request: u64, now: Millis) -> Vec<Effect> {
        Scheduler::abandon(self, request, now)
    }

    fn set_endpoint(&mut self, info: EndpointInfo, now: Millis) -> Vec<Effect> {
        Scheduler::set_endpoint(self, info, EndpointState::Live, now)
    }

    fn remove_endpoint(&mut self, name: &str, now: Millis) -> Vec<Effect> {
        Scheduler::remove_endpoint(self, name, now)
    }

    fn report(&mut self, name: &str, report: EndpointReport, now: Millis) -> Vec<Effect> {
        Scheduler::report(self, name, report, now)
    }

    fn tick(&mut self, now: Millis) -> Vec<Effect> {
        Scheduler::tick(self, now)
    }

    fn own_load(&mut self, now: Millis) -> DaemonLoad {
        Scheduler::own_load(self, now)
    }

    fn peer_load(&mut self, load: &DaemonLoad, now: Millis) -> Vec<Effect> {
        Scheduler::peer_load(self, load, now)
    }

    fn tier_violations(&self) -> u64 {
        self.stats().tier_violations
    }
}

/// The daemon that a policy runs in.
#[derive(Clone, Debug, Default)]
pub struct DaemonContext {
    /// Name of the daemon.
    pub daemon: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Name of its region.
    pub region: String,
    /// Number of daemons in its data centre.
    pub data_centre_daemons: usize,
    /// Bandwidth of the link between the regions, in each direction.
    pub link_bytes_per_second: u64,
    /// Seed of the policy's random choices.
    pub seed: u64,
}
