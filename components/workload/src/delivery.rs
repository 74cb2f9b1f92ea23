use crate::engine::Generated;
use crate::policy::Policy;
use crate::world::{STEP, World};
use decision::Millis;
use decision::load::{DaemonLoad, EndpointReport, Outcome};

/// The time between two ticks of a daemon, in milliseconds.
const TICK: u64 = 50;

/// The time between two exchanges of load among daemons, in milliseconds.
const EXCHANGE: u64 = 200;

/// The time between two load reports of an engine, and their lag, in milliseconds.
const REPORT: u64 = 1_000;

/// The time from one region to the other, in milliseconds.
const REGION_LATENCY: u64 = 30;

/// Bytes of an answer token on the link, in a batched frame.
const ANSWER_TOKEN_BYTES: u64 = 12;

/// A message between daemons.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Arrive { call: usize, to: usize },
    Progress { call: usize, to: usize, tokens: u32 },
    Finish { call: usize, to: usize, outcome: Outcome },
    Load { to: usize, load: DaemonLoad },
}

/// The passing of time, and of messages between engines, daemons and callers.
impl<P: Policy> World<'_, P> {
    pub(crate) fn step(&mut self) {
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

    pub(crate) fn deliver(&mut self) {
        while let Some(entry) = self.mail.first_entry() {
            if *entry.key() > self.now {
                return;
            }
            for message in entry.remove() {
                self.take(message);
            }
        }
    }

    pub(crate) fn take(&mut self, message: Message) {
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
    pub(crate) fn finish(&mut self, call: usize, daemon: usize, outcome: Outcome) {
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

    pub(crate) fn abandon(&mut self, call: usize, daemon: usize) {
        for engine in &mut self.engines {
            engine.remove(call, daemon);
        }
        let effects = self.daemons[daemon].policy.abandon(call as u64, Millis(self.now));
        self.carry_out(daemon, effects);
    }

    pub(crate) fn receive(&mut self, call: usize, tokens: u32) {
        if tokens > 0 {
            self.calls[call].received += tokens;
            self.calls[call].first_at.get_or_insert(self.now);
        }
    }

    pub(crate) fn run_engines(&mut self) {
        let mut out: Vec<Generated> = Vec::new();
        for engine in self.engines.iter_mut().filter(|e| !e.crashed) {
            engine.step(STEP as f64, &mut out);
        }
        for generated in out {
            self.pass_on(generated);
        }
    }

    pub(crate) fn pass_on(&mut self, generated: Generated) {
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
    pub(crate) fn post_back(
        &mut self,
        call: usize,
        from: usize,
        message: impl Fn(usize) -> Message,
    ) {
        let to = self.calls[call].daemon;
        if self.reaches(from, to) {
            let latency = self.latency(from, to);
            self.mail.entry(self.now + latency).or_default().push(message(to));
        }
    }

    pub(crate) fn latency(&self, a: usize, b: usize) -> u64 {
        let same = self.daemons[a].region == self.daemons[b].region;
        if same { 0 } else { REGION_LATENCY }
    }

    pub(crate) fn reaches(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.daemons[a], &self.daemons[b]);
        if a.data_centre == b.data_centre {
            return true;
        }
        let cut = self.cuts.contains(&a.data_centre) || self.cuts.contains(&b.data_centre);
        !cut && (a.region == b.region || !self.link_cut)
    }

    pub(crate) fn count_link(&mut self, call: usize, from: usize, bytes: u64) {
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

    pub(crate) fn exchange(&mut self) {
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
    pub(crate) fn report(&mut self) {
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
