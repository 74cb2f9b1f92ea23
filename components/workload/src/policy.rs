use decision::Millis;
use decision::load::{
    Arrival, DaemonLoad, Effect, EndpointInfo, EndpointReport, EndpointState, Outcome, Scheduler,
};

/// The interface of the scheduler, which the baselines share.
pub trait Policy {
    /// Takes in a request.
    fn arrive(&mut self, arrival: Arrival, now: Millis) -> Vec<Effect>;
    /// Notes new tokens.
    fn progress(&mut self, request: u64, tokens: u32, now: Millis) -> Vec<Effect>;
    /// Notes how an attempt ended.
    fn finish(&mut self, request: u64, outcome: Outcome, now: Millis) -> Vec<Effect>;
    /// Drops a request whose caller left.
    fn abandon(&mut self, request: u64, now: Millis) -> Vec<Effect>;
    /// Takes in an endpoint.
    fn set_endpoint(&mut self, info: EndpointInfo, now: Millis) -> Vec<Effect>;
    /// Forgets an endpoint.
    fn remove_endpoint(&mut self, name: &str, now: Millis) -> Vec<Effect>;
    /// Takes in a load report.
    fn report(&mut self, name: &str, report: EndpointReport, now: Millis) -> Vec<Effect>;
    /// Looks at what has become due.
    fn tick(&mut self, now: Millis) -> Vec<Effect>;
    /// Returns what the daemon spreads.
    fn own_load(&mut self, now: Millis) -> DaemonLoad;
    /// Takes in what another daemon spreads.
    fn peer_load(&mut self, load: &DaemonLoad, now: Millis) -> Vec<Effect>;
    /// Returns how often the policy broke the order of tiers, as far as it could know.
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

/// What the driver tells a policy of the daemon that it runs in.
#[derive(Clone, Debug, Default)]
pub struct Variant {
    /// The name of the daemon.
    pub daemon: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// Daemons in all.
    pub daemons: usize,
    /// Bytes a second between the regions, each way.
    pub link_bytes_per_second: u64,
    /// The seed for what it draws.
    pub seed: u64,
}
