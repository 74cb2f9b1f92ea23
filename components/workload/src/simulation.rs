use crate::call::Call;
use crate::delivery::Message;
use crate::engine::Engine;
use crate::fault::Fault;
use crate::measure::Measure;
use crate::policy::{DaemonContext, Policy};
use crate::scenario::Scenario;
use crate::traffic::{Request, draw_requests};
use decision::Millis;
use decision::load::{Arrival, EndpointInfo, EndpointReport, Outcome};
use errors::Verdict;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub(crate) const STEP_MS: u64 = 10;

pub(crate) struct Daemon<P> {
    pub(crate) policy: P,
    pub(crate) data_centre: usize,
    pub(crate) region: usize,
}

/// The state of one run. Times are in milliseconds since its start.
pub(crate) struct Simulation<'a, P> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) daemons: Vec<Daemon<P>>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) engine_by_name: BTreeMap<String, usize>,
    pub(crate) calls: Vec<Call>,
    /// Messages in transit, by the time of their delivery.
    pub(crate) messages: BTreeMap<u64, Vec<Message>>,
    /// Load reports in transit: time of delivery, engine and report.
    pub(crate) reports: VecDeque<(u64, usize, EndpointReport)>,
    pub(crate) isolated_data_centres: BTreeSet<usize>,
    pub(crate) link_cut: bool,
    pub(crate) reports_suspended: bool,
    /// Tier violations of daemons that were replaced during the run.
    pub(crate) violations: u64,
    /// When the link from each region will have sent all that is queued on it.
    pub(crate) link_free_at_ms: [u64; 2],
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now: u64,
}

/// Runs a scenario, with a policy made by `new_policy` in each daemon.
pub fn run<P: Policy>(
    scenario: &Scenario,
    seed: u64,
    new_policy: impl Fn(&DaemonContext) -> P,
) -> Measure {
    let mut simulation = Simulation::new(scenario, seed, &new_policy);
    let requests = draw_requests(scenario, seed);
    let mut requests = requests.into_iter().peekable();
    while simulation.now < scenario.end_ms {
        simulation.apply_faults(&new_policy);
        while let Some(request) = requests.next_if(|r| r.sent_at_ms <= simulation.now) {
            simulation.start_call(request);
        }
        simulation.step();
        simulation.now += STEP_MS;
    }
    let mut measure = Measure::from_calls(scenario, &simulation.calls);
    let current: u64 = simulation.daemons.iter().map(|d| d.policy.tier_violations()).sum();
    measure.violations = simulation.violations + current;
    measure
}

impl<'a, P: Policy> Simulation<'a, P> {
    pub(crate) fn new(
        scenario: &'a Scenario,
        seed: u64,
        new_policy: &impl Fn(&DaemonContext) -> P,
    ) -> Simulation<'a, P> {
        let mut simulation = Simulation {
            scenario,
            daemons: Vec::new(),
            engines: Vec::new(),
            engine_by_name: BTreeMap::new(),
            calls: Vec::new(),
            messages: BTreeMap::new(),
            reports: VecDeque::new(),
            isolated_data_centres: BTreeSet::new(),
            link_cut: false,
            reports_suspended: false,
            violations: 0,
            link_free_at_ms: [0; 2],
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed),
            now: 0,
        };
        for (number, data_centre) in scenario.site.data_centres.iter().enumerate() {
            for index in 0..data_centre.engines {
                let name = format!("{}-runner-{index}", data_centre.name);
                simulation.engine_by_name.insert(name.clone(), simulation.engines.len());
                let slots = scenario.site.slots;
                let engine = Engine::new(name, number, slots);
                simulation.engines.push(engine);
            }
        }
        for (number, data_centre) in scenario.site.data_centres.iter().enumerate() {
            for _ in 0..data_centre.daemons {
                let index = simulation.daemons.len();
                let policy = new_policy(&daemon_context(scenario, number, index, seed));
                let daemon = Daemon { policy, data_centre: number, region: data_centre.region };
                simulation.daemons.push(daemon);
                simulation.announce_endpoints(index);
            }
        }
        simulation
    }

    /// Registers the live endpoints of its data centre with a daemon.
    pub(crate) fn announce_endpoints(&mut self, daemon: usize) {
        for engine in &self.engines {
            if engine.crashed || engine.data_centre != self.daemons[daemon].data_centre {
                continue;
            }
            let info = EndpointInfo {
                name: engine.name.clone(),
                data_centre: self.scenario.site.data_centres[engine.data_centre].name.to_string(),
                serves: BTreeSet::from(["model".to_string()]),
                slots: engine.slots,
                pauses: true,
            };
            self.daemons[daemon].policy.set_endpoint(info, Millis(self.now));
        }
    }

    pub(crate) fn apply_faults(&mut self, new_policy: &impl Fn(&DaemonContext) -> P) {
        for timed in &self.scenario.faults {
            let starts = timed.from_ms == self.now;
            if !starts && timed.until_ms != self.now {
                continue;
            }
            match timed.fault {
                Fault::Straggler { engine, slowdown } => {
                    self.engines[engine].slowdown = if starts { slowdown } else { 1.0 };
                }
                Fault::Crash { engine } if starts => self.crash(engine),
                Fault::Crash { engine } => self.engines[engine].crashed = false,
                Fault::StaleReports => self.reports_suspended = starts,
                Fault::LinkCut => self.link_cut = starts,
                Fault::DataCentreCut { data_centre } if starts => {
                    self.isolated_data_centres.insert(data_centre);
                }
                Fault::DataCentreCut { data_centre } => {
                    self.isolated_data_centres.remove(&data_centre);
                }
                Fault::DaemonKilled { daemon } if starts => self.kill(daemon, new_policy),
                Fault::DaemonKilled { .. } => {}
            }
        }
    }

    /// Crashes an engine. The connections of its streams break at once.
    pub(crate) fn crash(&mut self, engine: usize) {
        self.engines[engine].crashed = true;
        for stream in self.engines[engine].drain() {
            let outcome = Outcome::Failed(Verdict::MayHaveRun);
            self.finish(stream.call, stream.daemon, outcome);
        }
    }

    /// Replaces a daemon by one without state. Its callers retry at a random daemon of their data
    /// centre.
    pub(crate) fn kill(&mut self, daemon: usize, new_policy: &impl Fn(&DaemonContext) -> P) {
        self.violations += self.daemons[daemon].policy.tier_violations();
        let data_centre = self.daemons[daemon].data_centre;
        self.daemons[daemon].policy =
            new_policy(&daemon_context(self.scenario, data_centre, daemon, self.now));
        self.announce_endpoints(daemon);
        for engine in &mut self.engines {
            engine.remove_daemon_streams(daemon);
        }
        for call in 0..self.calls.len() {
            if self.calls[call].has_ended() {
                continue;
            }
            if self.calls[call].daemon == daemon {
                if let Some(remote) = self.calls[call].forwarded_to {
                    self.abandon(call, remote);
                }
                self.calls[call].received_tokens = 0;
                self.submit(call);
            } else if self.calls[call].forwarded_to == Some(daemon) {
                let to = self.calls[call].daemon;
                self.finish(call, to, Outcome::Failed(Verdict::MayHaveRun));
            }
        }
    }

    pub(crate) fn start_call(&mut self, request: Request) {
        let call = Call {
            request,
            daemon: 0,
            forwarded_to: None,
            received_tokens: 0,
            generated_tokens: 0,
            first_token_at: None,
            finished_at: None,
            refused: false,
            link_bytes: 0,
        };
        self.calls.push(call);
        self.submit(self.calls.len() - 1);
    }

    /// Submits a call to a random daemon of the caller's data centre.
    pub(crate) fn submit(&mut self, call: usize) {
        let data_centre = self.calls[call].request.data_centre;
        let Some(daemon) = self.random_daemon(data_centre) else { return };
        self.calls[call].daemon = daemon;
        self.calls[call].forwarded_to = None;
        let arrival = self.arrival(call, false);
        let effects = self.daemons[daemon].policy.arrive(arrival, Millis(self.now));
        self.apply_effects(daemon, effects);
    }

    pub(crate) fn random_daemon(&mut self, data_centre: usize) -> Option<usize> {
        let in_data_centre = |d: &usize| self.daemons[*d].data_centre == data_centre;
        let all: Vec<usize> = (0..self.daemons.len()).filter(in_data_centre).collect();
        if all.is_empty() { None } else { Some(all[self.rng.random_range(0..all.len())]) }
    }

    pub(crate) fn arrival(&self, call: usize, forwarded: bool) -> Arrival {
        let elapsed = self.now.saturating_sub(self.calls[call].request.sent_at_ms);
        let request = &self.calls[call].request;
        let class = &self.scenario.site.classes[request.class];
        let remaining = |target: u64| Millis(target.saturating_sub(elapsed).max(1));
        Arrival {
            request: call as u64,
            account: format!("account-{}", request.account),
            class: class.name.to_string(),
            tier: class.tier,
            serves: "model".to_string(),
            repeatable: true,
            prompt_tokens: request.prompt_tokens,
            prefix: (request.account * 8 + request.class) as u64,
            first_token: remaining(class.first_token_ms),
            finish: remaining(class.finish_ms),
            floor: class.floor,
            forwarded,
            ..Arrival::default()
        }
    }
}

fn daemon_context(
    scenario: &Scenario,
    data_centre: usize,
    daemon: usize,
    seed: u64,
) -> DaemonContext {
    let site = &scenario.site;
    DaemonContext {
        daemon: format!("daemon-{daemon}"),
        data_centre: site.data_centres[data_centre].name.to_string(),
        region: format!("region-{}", site.data_centres[data_centre].region),
        data_centre_daemons: site.data_centres[data_centre].daemons,
        link_bytes_per_second: scenario.link_bits_per_second / 8,
        seed: seed.wrapping_mul(1_000).wrapping_add(daemon as u64),
    }
}
