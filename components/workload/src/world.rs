use crate::engine::{Engine, Generated, Stream};
use crate::fault::Fault;
use crate::measure::Measure;
use crate::policy::{Policy, Variant};
use crate::scenario::Scenario;
use crate::site::ClassSpec;
use crate::traffic::{Request, draw_requests};
use decision::Millis;
use decision::load::{Arrival, DaemonLoad, Effect, EndpointInfo, EndpointReport, Outcome};
use errors::Verdict;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The length of a step, in milliseconds.
const STEP: u64 = 10;

/// The time between two ticks of a daemon, in milliseconds.
const TICK: u64 = 50;

/// The time between two exchanges of load among daemons, in milliseconds.
const EXCHANGE: u64 = 200;

/// The time between two load reports of an engine, and their lag, in milliseconds.
const REPORT: u64 = 1_000;

/// The time from one region to the other, in milliseconds.
const REGION_LATENCY: u64 = 30;

/// Bytes of a prompt token on the link.
const PROMPT_TOKEN_BYTES: u64 = 5;

/// Bytes of an answer token on the link, in a batched frame.
const ANSWER_TOKEN_BYTES: u64 = 12;

/// One request of a caller and what became of it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request.
    pub request: Request,
    /// The daemon that the caller reached.
    pub daemon: usize,
    /// The daemon of another data centre that works on it.
    pub remote: Option<usize>,
    /// Tokens that the caller has.
    pub received: u32,
    /// Tokens that engines generated for it.
    pub generated: u64,
    /// When the first token came.
    pub first_at: Option<u64>,
    /// When the answer was whole.
    pub done_at: Option<u64>,
    /// Whether it was refused.
    pub refused: bool,
    /// Bytes over the link.
    pub link_bytes: u64,
}

impl Call {
    /// Returns whether the answer came whole within the target of its class.
    pub fn attained(&self, class: &ClassSpec) -> bool {
        let at = self.request.at;
        let first = self.first_at.is_some_and(|first| first <= at + class.first_token);
        first && self.done_at.is_some_and(|done| done <= at + class.finish)
    }

    fn ended(&self) -> bool {
        self.refused || self.done_at.is_some()
    }
}

#[derive(Clone, Debug)]
enum Message {
    Arrive { call: usize, to: usize },
    Progress { call: usize, to: usize, tokens: u32 },
    Finish { call: usize, to: usize, outcome: Outcome },
    Load { to: usize, load: DaemonLoad },
}

struct Daemon<P> {
    policy: P,
    data_centre: usize,
    region: usize,
}

struct World<'a, P> {
    scenario: &'a Scenario,
    daemons: Vec<Daemon<P>>,
    engines: Vec<Engine>,
    by_name: BTreeMap<String, usize>,
    calls: Vec<Call>,
    mail: BTreeMap<u64, Vec<Message>>,
    reports: VecDeque<(u64, usize, EndpointReport)>,
    cuts: BTreeSet<usize>,
    link_cut: bool,
    stale: bool,
    violations: u64,
    link_free_at: [u64; 2],
    rng: Pcg64Mcg,
    now: u64,
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
    fn new(scenario: &'a Scenario, seed: u64, make: &impl Fn(&Variant) -> P) -> World<'a, P> {
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
    fn introduce(&mut self, daemon: usize) {
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

    fn change_faults(&mut self, make: &impl Fn(&Variant) -> P) {
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
    fn crash(&mut self, engine: usize) {
        self.engines[engine].crashed = true;
        for stream in self.engines[engine].drain() {
            let outcome = Outcome::Failed(Verdict::MayHaveRun);
            self.finish(stream.call, stream.daemon, outcome);
        }
    }

    /// Replaces a daemon by an empty one; its callers come back to another.
    fn kill(&mut self, daemon: usize, make: &impl Fn(&Variant) -> P) {
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

    fn send(&mut self, request: Request) {
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
    fn enter(&mut self, call: usize) {
        let centre = self.calls[call].request.data_centre;
        let Some(daemon) = self.any_daemon(centre) else { return };
        self.calls[call].daemon = daemon;
        self.calls[call].remote = None;
        let arrival = self.arrival(call, false);
        let effects = self.daemons[daemon].policy.arrive(arrival, Millis(self.now));
        self.carry_out(daemon, effects);
    }

    fn any_daemon(&mut self, centre: usize) -> Option<usize> {
        let of_centre = |d: &usize| self.daemons[*d].data_centre == centre;
        let all: Vec<usize> = (0..self.daemons.len()).filter(of_centre).collect();
        if all.is_empty() { None } else { Some(all[self.rng.random_range(0..all.len())]) }
    }

    fn arrival(&self, call: usize, forwarded: bool) -> Arrival {
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

    fn step(&mut self) {
        self.deliver();
        self.run_engines();
        if self.now.is_multiple_of(TICK) {
            for daemon in 0..self.daemons.len() {
                let effects = self.daemons[daemon].policy.tick(Millis(self.now));
                self.carry_out(daemon, effects);
            }
        }
        if self.now.is_multiple_of(EXCHANGE) {
            self.exchange();
        }
        self.report();
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.mail.first_entry() {
            if *entry.key() > self.now {
                return;
            }
            for message in entry.remove() {
                self.take(message);
            }
        }
    }

    fn take(&mut self, message: Message) {
        let now = Millis(self.now);
        match message {
            Message::Arrive { call, to } => {
                if self.calls[call].remote != Some(to) || self.calls[call].ended() {
                    return;
                }
                let arrival = self.arrival(call, true);
                let effects = self.daemons[to].policy.arrive(arrival, now);
                self.carry_out(to, effects);
            }
            Message::Progress { call, to, tokens } => {
                if self.calls[call].daemon != to || self.calls[call].ended() {
                    return;
                }
                self.receive(call, tokens);
                let effects = self.daemons[to].policy.progress(call as u64, tokens, now);
                self.carry_out(to, effects);
            }
            Message::Finish { call, to, outcome } => self.finish(call, to, outcome),
            Message::Load { to, load } => {
                let effects = self.daemons[to].policy.peer_load(&load, now);
                self.carry_out(to, effects);
            }
        }
    }

    /// Ends an attempt for the daemon that works on it.
    fn finish(&mut self, call: usize, daemon: usize, outcome: Outcome) {
        if self.calls[call].ended() {
            return;
        }
        let is_remote = self.calls[call].remote == Some(daemon);
        if !is_remote && self.calls[call].daemon != daemon {
            return;
        }
        if !is_remote {
            self.calls[call].remote = None;
            if outcome == Outcome::Done {
                self.calls[call].done_at = Some(self.now);
            }
        }
        let effects = self.daemons[daemon].policy.finish(call as u64, outcome, Millis(self.now));
        self.carry_out(daemon, effects);
        if is_remote && outcome == Outcome::Done {
            self.post_back(call, daemon, |to| Message::Finish { call, to, outcome });
        }
    }

    fn abandon(&mut self, call: usize, daemon: usize) {
        for engine in &mut self.engines {
            engine.remove(call, daemon);
        }
        let effects = self.daemons[daemon].policy.abandon(call as u64, Millis(self.now));
        self.carry_out(daemon, effects);
    }

    fn receive(&mut self, call: usize, tokens: u32) {
        if tokens > 0 {
            self.calls[call].received += tokens;
            self.calls[call].first_at.get_or_insert(self.now);
        }
    }

    fn run_engines(&mut self) {
        let mut out: Vec<Generated> = Vec::new();
        for engine in self.engines.iter_mut().filter(|e| !e.crashed) {
            engine.step(STEP as f64, &mut out);
        }
        for generated in out {
            self.pass_on(generated);
        }
    }

    fn pass_on(&mut self, generated: Generated) {
        let Generated { call, daemon, tokens, done, .. } = generated;
        self.calls[call].generated += u64::from(tokens);
        if self.calls[call].ended() {
            return;
        }
        let effects = self.daemons[daemon].policy.progress(call as u64, tokens, Millis(self.now));
        self.carry_out(daemon, effects);
        if self.calls[call].daemon == daemon {
            self.receive(call, tokens);
        } else {
            self.count_link(call, daemon, u64::from(tokens) * ANSWER_TOKEN_BYTES);
            self.post_back(call, daemon, |to| Message::Progress { call, to, tokens });
        }
        if done {
            self.finish(call, daemon, Outcome::Done);
        }
    }

    /// Posts a message from the daemon that works on a call to the one that the caller reached.
    fn post_back(&mut self, call: usize, from: usize, message: impl Fn(usize) -> Message) {
        let to = self.calls[call].daemon;
        if self.reaches(from, to) {
            let latency = self.latency(from, to);
            self.mail.entry(self.now + latency).or_default().push(message(to));
        }
    }

    fn latency(&self, a: usize, b: usize) -> u64 {
        let same = self.daemons[a].region == self.daemons[b].region;
        if same { 0 } else { REGION_LATENCY }
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.daemons[a], &self.daemons[b]);
        if a.data_centre == b.data_centre {
            return true;
        }
        let cut = self.cuts.contains(&a.data_centre) || self.cuts.contains(&b.data_centre);
        !cut && (a.region == b.region || !self.link_cut)
    }

    fn count_link(&mut self, call: usize, from: usize, bytes: u64) {
        let region = self.daemons[from].region;
        let home = self.daemons[self.calls[call].daemon].region;
        let away = self.calls[call].remote.map(|r| self.daemons[r].region);
        if away.is_some_and(|r| r != home) {
            self.calls[call].link_bytes += bytes;
            let ms = bytes * 8 * 1_000 / self.scenario.link_bits.max(1);
            let free_at = &mut self.link_free_at[region.min(1)];
            *free_at = (*free_at).max(self.now) + ms;
        }
    }

    fn carry_out(&mut self, daemon: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.do_one(daemon, effect);
        }
    }

    fn do_one(&mut self, daemon: usize, effect: Effect) {
        match effect {
            Effect::Dispatch { request, endpoint, .. } => {
                self.dispatch(daemon, request as usize, &endpoint);
            }
            Effect::Forward { request, data_centre, .. } => {
                self.forward(daemon, request as usize, &data_centre);
            }
            Effect::Pause { request } => {
                self.engines.iter_mut().for_each(|e| e.pause(request as usize, daemon));
            }
            Effect::Resume { request } => {
                self.engines.iter_mut().for_each(|e| e.resume(request as usize, daemon));
            }
            Effect::Cancel { request } => self.cancel(daemon, request as usize),
            Effect::Refuse { request, .. } => self.refuse(daemon, request as usize),
        }
    }

    fn dispatch(&mut self, daemon: usize, call: usize, endpoint: &str) {
        let engine = &mut self.engines[self.by_name[endpoint]];
        if engine.crashed {
            let outcome = Outcome::Failed(Verdict::NotRun);
            let message = Message::Finish { call, to: daemon, outcome };
            self.mail.entry(self.now + STEP).or_default().push(message);
            return;
        }
        let request = &self.calls[call].request;
        let received = self.calls[call].received.min(request.answer);
        engine.push(Stream {
            call,
            daemon,
            tier: self.scenario.site.classes[request.class].tier,
            prefix: (request.account * 8 + request.class) as u64,
            prefill: f64::from(request.prompt + received),
            left: f64::from((request.answer - received).max(1)),
            part: 0.0,
        });
    }

    fn forward(&mut self, daemon: usize, call: usize, data_centre: &str) {
        let centres = &self.scenario.site.data_centres;
        let centre = centres.iter().position(|d| d.name == data_centre).unwrap_or(0);
        let to = self.any_daemon(centre).filter(|to| self.reaches(daemon, *to));
        let Some(to) = to else {
            let outcome = Outcome::Failed(Verdict::NotRun);
            let message = Message::Finish { call, to: daemon, outcome };
            self.mail.entry(self.now + STEP).or_default().push(message);
            return;
        };
        self.calls[call].remote = Some(to);
        let bytes = u64::from(self.calls[call].request.prompt) * PROMPT_TOKEN_BYTES;
        self.count_link(call, daemon, bytes);
        let mut at = self.now + self.latency(daemon, to);
        if self.daemons[daemon].region != self.daemons[to].region {
            at = at.max(self.link_free_at[self.daemons[daemon].region.min(1)]);
        }
        self.mail.entry(at).or_default().push(Message::Arrive { call, to });
    }

    fn cancel(&mut self, daemon: usize, call: usize) {
        if let Some(remote) = self.calls[call].remote.filter(|r| *r != daemon) {
            self.calls[call].remote = None;
            self.abandon(call, remote);
        }
        for engine in &mut self.engines {
            engine.remove(call, daemon);
        }
    }

    fn refuse(&mut self, daemon: usize, call: usize) {
        if self.calls[call].daemon == daemon {
            self.calls[call].refused = true;
            return;
        }
        if self.calls[call].remote == Some(daemon) {
            let outcome = Outcome::Failed(Verdict::NotRun);
            self.post_back(call, daemon, |to| Message::Finish { call, to, outcome });
        }
    }

    fn exchange(&mut self) {
        let now = Millis(self.now);
        let loads: Vec<DaemonLoad> =
            self.daemons.iter_mut().map(|d| d.policy.own_load(now)).collect();
        for (from, load) in loads.iter().enumerate() {
            for to in (0..self.daemons.len()).filter(|to| *to != from) {
                if self.reaches(from, to) {
                    let at = self.now + STEP + self.latency(from, to);
                    let message = Message::Load { to, load: load.clone() };
                    self.mail.entry(at).or_default().push(message);
                }
            }
        }
    }

    /// Sends reports that describe a moment already past.
    fn report(&mut self) {
        if self.now.is_multiple_of(REPORT) && !self.stale {
            for (number, engine) in self.engines.iter().enumerate().filter(|(_, e)| !e.crashed) {
                let report = EndpointReport {
                    running: engine.running.len() as u32,
                    waiting: engine.waiting() as u32,
                    age_ms: REPORT,
                };
                self.reports.push_back((self.now + REPORT, number, report));
            }
        }
        while self.reports.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, number, report)) = self.reports.pop_front() else { return };
            let centre = self.engines[number].data_centre;
            let name = self.engines[number].name.clone();
            for daemon in 0..self.daemons.len() {
                if self.daemons[daemon].data_centre == centre {
                    let policy = &mut self.daemons[daemon].policy;
                    let effects = policy.report(&name, report, Millis(self.now));
                    self.carry_out(daemon, effects);
                }
            }
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
        seed: seed.wrapping_mul(1_000).wrapping_add(daemon as u64),
    }
}
