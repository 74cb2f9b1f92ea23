use crate::call::Call;
use crate::delivery::Message;
use crate::engine::Engine;
use crate::fault::Fault;
use crate::measure::Measure;
use crate::policy::{Policy, Variant};
use crate::scenario::Scenario;
use crate::traffic::{Request, draw_requests};
use decision::Millis;
use decision::load::{Arrival, EndpointInfo, EndpointReport, Outcome};
use errors::Verdict;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The length of a step, in milliseconds.
pub(crate) const STEP: u64 = 10;

/// A daemon of the site.
pub(crate) struct Daemon<P> {
    pub(crate) policy: P,
    pub(crate) data_centre: usize,
    pub(crate) region: usize,
}

/// A site in virtual time.
pub(crate) struct World<'a, P> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) daemons: Vec<Daemon<P>>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) by_name: BTreeMap<String, usize>,
    pub(crate) calls: Vec<Call>,
    pub(crate) mail: BTreeMap<u64, Vec<Message>>,
    pub(crate) reports: VecDeque<(u64, usize, EndpointReport)>,
    pub(crate) cuts: BTreeSet<usize>,
    pub(crate) link_cut: bool,
    pub(crate) stale: bool,
    pub(crate) violations: u64,
    pub(crate) link_free_at: [u64; 2],
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now: u64,
}

/// Runs a scenario with one policy in each daemon.
pub fn run<P: Policy>(scenario: &Scenario, seed: u64, make: impl Fn(&Variant) -> P) -> Measure {
    let mut world = World::new(scenario, seed, &make);
    let requests = draw_requests(scenario, seed);
    let mut next = requests.into_iter().peekable();
    while world.now < scenario.until {
        world.change_faults(&make);
        while let Some(request) = next.next_if(|r| r.at <= world.now) {
            world.send(request);
        }
        world.step();
        world.now += STEP;
    }
    let mut measure = Measure::of(scenario, &world.calls);
    let left: u64 = world.daemons.iter().map(|d| d.policy.tier_violations()).sum();
    measure.violations = world.violations + left;
    measure
}

impl<'a, P: Policy> World<'a, P> {
    pub(crate) fn new(
        scenario: &'a Scenario,
        seed: u64,
        make: &impl Fn(&Variant) -> P,
    ) -> World<'a, P> {
        let mut world = World {
            scenario,
            daemons: Vec::new(),
            engines: Vec::new(),
            by_name: BTreeMap::new(),
            calls: Vec::new(),
            mail: BTreeMap::new(),
            reports: VecDeque::new(),
            cuts: BTreeSet::new(),
            link_cut: false,
            stale: false,
            violations: 0,
            link_free_at: [0; 2],
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed),
            now: 0,
        };
        for (number, centre) in scenario.site.data_centres.iter().enumerate() {
            for runner in 0..centre.runners {
                let name = format!("{}-runner-{runner}", centre.name);
                world.by_name.insert(name.clone(), world.engines.len());
                let slots = scenario.site.slots;
                let engine = Engine::new(name, number, slots);
                world.engines.push(engine);
            }
        }
        for (number, centre) in scenario.site.data_centres.iter().enumerate() {
            for _ in 0..centre.daemons {
                let index = world.daemons.len();
                let policy = make(&variant(scenario, number, index, seed));
                let daemon = Daemon { policy, data_centre: number, region: centre.region };
                world.daemons.push(daemon);
                world.introduce(index);
            }
        }
        world
    }

    /// Tells a daemon of the endpoints of its data centre.
    pub(crate) fn introduce(&mut self, daemon: usize) {
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

    pub(crate) fn change_faults(&mut self, make: &impl Fn(&Variant) -> P) {
        for timed in &self.scenario.faults {
            let starts = timed.from == self.now;
            if !starts && timed.until != self.now {
                continue;
            }
            match timed.fault {
                Fault::Straggler { engine, slowness } => {
                    self.engines[engine].slowness = if starts { slowness } else { 1.0 };
                }
                Fault::Crash { engine } if starts => self.crash(engine),
                Fault::Crash { engine } => self.engines[engine].crashed = false,
                Fault::StaleReports => self.stale = starts,
                Fault::LinkCut => self.link_cut = starts,
                Fault::DataCentreCut { data_centre } if starts => {
                    self.cuts.insert(data_centre);
                }
                Fault::DataCentreCut { data_centre } => {
                    self.cuts.remove(&data_centre);
                }
                Fault::DaemonKilled { daemon } if starts => self.kill(daemon, make),
                Fault::DaemonKilled { .. } => {}
            }
        }
    }

    /// Ends an engine; the connections of its streams break at once.
    pub(crate) fn crash(&mut self, engine: usize) {
        self.engines[engine].crashed = true;
        for stream in self.engines[engine].drain() {
            let outcome = Outcome::Failed(Verdict::MayHaveRun);
            self.finish(stream.call, stream.daemon, outcome);
        }
    }

    /// Replaces a daemon by an empty one; its callers come back to another.
    pub(crate) fn kill(&mut self, daemon: usize, make: &impl Fn(&Variant) -> P) {
        self.violations += self.daemons[daemon].policy.tier_violations();
        let centre = self.daemons[daemon].data_centre;
        self.daemons[daemon].policy = make(&variant(self.scenario, centre, daemon, self.now));
        self.introduce(daemon);
        for engine in &mut self.engines {
            engine.drop_daemon(daemon);
        }
        for call in 0..self.calls.len() {
            if self.calls[call].ended() {
                continue;
            }
            if self.calls[call].daemon == daemon {
                if let Some(remote) = self.calls[call].remote {
                    self.abandon(call, remote);
                }
                self.calls[call].received = 0;
                self.enter(call);
            } else if self.calls[call].remote == Some(daemon) {
                let to = self.calls[call].daemon;
                self.finish(call, to, Outcome::Failed(Verdict::MayHaveRun));
            }
        }
    }

    pub(crate) fn send(&mut self, request: Request) {
        let call = Call {
            request,
            daemon: 0,
            remote: None,
            received: 0,
            generated: 0,
            first_at: None,
            done_at: None,
            refused: false,
            link_bytes: 0,
        };
        self.calls.push(call);
        self.enter(self.calls.len() - 1);
    }

    /// Brings a call to a daemon of the caller's data centre.
    pub(crate) fn enter(&mut self, call: usize) {
        let centre = self.calls[call].request.data_centre;
        let Some(daemon) = self.any_daemon(centre) else { return };
        self.calls[call].daemon = daemon;
        self.calls[call].remote = None;
        let arrival = self.arrival(call, false);
        let effects = self.daemons[daemon].policy.arrive(arrival, Millis(self.now));
        self.carry_out(daemon, effects);
    }

    pub(crate) fn any_daemon(&mut self, centre: usize) -> Option<usize> {
        let of_centre = |d: &usize| self.daemons[*d].data_centre == centre;
        let all: Vec<usize> = (0..self.daemons.len()).filter(of_centre).collect();
        if all.is_empty() { None } else { Some(all[self.rng.random_range(0..all.len())]) }
    }

    pub(crate) fn arrival(&self, call: usize, forwarded: bool) -> Arrival {
        let spent = self.now.saturating_sub(self.calls[call].request.at);
        let request = &self.calls[call].request;
        let class = &self.scenario.site.classes[request.class];
        let left = |target: u64| Millis(target.saturating_sub(spent).max(1));
        Arrival {
            request: call as u64,
            account: format!("account-{}", request.account),
            class: class.name.to_string(),
            tier: class.tier,
            serves: "model".to_string(),
            repeatable: true,
            prompt_tokens: request.prompt,
            prefix: (request.account * 8 + request.class) as u64,
            first_token: left(class.first_token),
            finish: left(class.finish),
            floor: class.floor,
            forwarded,
            ..Arrival::default()
        }
    }
}

fn variant(scenario: &Scenario, centre: usize, daemon: usize, seed: u64) -> Variant {
    let site = &scenario.site;
    Variant {
        daemon: format!("daemon-{daemon}"),
        data_centre: site.data_centres[centre].name.to_string(),
        region: format!("region-{}", site.data_centres[centre].region),
        daemons: site.data_centres[centre].daemons,
        link_bytes_per_second: scenario.link_bits / 8,
        seed: seed.wrapping_mul(1_000).wrapping_add(daemon as u64),
    }
}
