use crate::engine::Generated;
use crate::policy::Policy;
use crate::simulation::{STEP_MS, Simulation};
use decision::Millis;
use decision::load::{DaemonLoad, EndpointReport, Outcome};

/// Time between two ticks of a daemon.
const TICK_INTERVAL_MS: u64 = 50;

/// Time between two exchanges of load between the daemons.
const LOAD_EXCHANGE_INTERVAL_MS: u64 = 200;

/// Time between two load reports of an engine, and also the delay until they reach the daemons.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// One-way latency between the regions.
const REGION_LATENCY_MS: u64 = 30;

/// Bytes of a response token on the link between regions, in a batched frame.
const RESPONSE_TOKEN_BYTES: u64 = 12;

/// A message to the daemon `to`, or the end of an attempt on an engine that is gone.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Arrive { call: usize, to: usize },
    Progress { call: usize, to: usize, tokens: u32 },
    Finish { call: usize, to: usize, outcome: Outcome },
    Load { to: usize, load: DaemonLoad },
}

/// Advances the clock and delivers messages, tokens and load reports.
impl<P: Policy> Simulation<'_, P> {
    pub(crate) fn step(&mut self) {
        self.deliver_messages();
        self.run_engines();
        if self.now.is_multiple_of(TICK_INTERVAL_MS) {
            for daemon in 0..self.daemons.len() {
                let effects = self.daemons[daemon].policy.tick(Millis(self.now));
                self.apply_effects(daemon, effects);
            }
        }
        if self.now.is_multiple_of(LOAD_EXCHANGE_INTERVAL_MS) {
            self.exchange_loads();
        }
        self.deliver_reports();
    }

    pub(crate) fn deliver_messages(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if *entry.key() > self.now {
                return;
            }
            for message in entry.remove() {
                self.handle_message(message);
            }
        }
    }

    pub(crate) fn handle_message(&mut self, message: Message) {
        let now = Millis(self.now);
        match message {
            Message::Arrive { call, to } => {
                if self.calls[call].forwarded_to != Some(to) || self.calls[call].has_ended() {
                    return;
                }
                let arrival = self.arrival(call, true);
                let effects = self.daemons[to].policy.arrive(arrival, now);
                self.apply_effects(to, effects);
            }
            Message::Progress { call, to, tokens } => {
                if self.calls[call].daemon != to || self.calls[call].has_ended() {
                    return;
                }
                self.record_received(call, tokens);
                let effects = self.daemons[to].policy.progress(call as u64, tokens, now);
                self.apply_effects(to, effects);
            }
            Message::Finish { call, to, outcome } => self.finish(call, to, outcome),
            Message::Load { to, load } => {
                let effects = self.daemons[to].policy.peer_load(&load, now);
                self.apply_effects(to, effects);
            }
        }
    }

    /// Reports the end of an attempt to the daemon that made it. Ignored if that daemon no longer
    /// serves the call.
    pub(crate) fn finish(&mut self, call: usize, daemon: usize, outcome: Outcome) {
        if self.calls[call].has_ended() {
            return;
        }
        let is_forwarded = self.calls[call].forwarded_to == Some(daemon);
        if !is_forwarded && self.calls[call].daemon != daemon {
            return;
        }
        if !is_forwarded {
            self.calls[call].forwarded_to = None;
            if outcome == Outcome::Done {
                self.calls[call].finished_at = Some(self.now);
            }
        }
        let effects = self.daemons[daemon].policy.finish(call as u64, outcome, Millis(self.now));
        self.apply_effects(daemon, effects);
        if is_forwarded && outcome == Outcome::Done {
            self.send_to_origin(call, daemon, |to| Message::Finish { call, to, outcome });
        }
    }

    pub(crate) fn abandon(&mut self, call: usize, daemon: usize) {
        for engine in &mut self.engines {
            engine.remove(call, daemon);
        }
        let effects = self.daemons[daemon].policy.abandon(call as u64, Millis(self.now));
        self.apply_effects(daemon, effects);
    }

    pub(crate) fn record_received(&mut self, call: usize, tokens: u32) {
        if tokens > 0 {
            self.calls[call].received_tokens += tokens;
            self.calls[call].first_token_at.get_or_insert(self.now);
        }
    }

    pub(crate) fn run_engines(&mut self) {
        let mut out: Vec<Generated> = Vec::new();
        for engine in self.engines.iter_mut().filter(|e| !e.crashed) {
            engine.step(STEP_MS as f64, &mut out);
        }
        for generated in out {
            self.handle_generated(generated);
        }
    }

    pub(crate) fn handle_generated(&mut self, generated: Generated) {
        let Generated { call, daemon, tokens, is_complete, .. } = generated;
        self.calls[call].generated_tokens += u64::from(tokens);
        if self.calls[call].has_ended() {
            return;
        }
        let effects = self.daemons[daemon].policy.progress(call as u64, tokens, Millis(self.now));
        self.apply_effects(daemon, effects);
        if self.calls[call].daemon == daemon {
            self.record_received(call, tokens);
        } else {
            self.record_link_bytes(call, daemon, u64::from(tokens) * RESPONSE_TOKEN_BYTES);
            self.send_to_origin(call, daemon, |to| Message::Progress { call, to, tokens });
        }
        if is_complete {
            self.finish(call, daemon, Outcome::Done);
        }
    }

    /// Sends a message from the daemon that serves a forwarded call to the daemon that the caller
    /// is connected to. It is lost if that daemon can't be reached.
    pub(crate) fn send_to_origin(
        &mut self,
        call: usize,
        from: usize,
        message: impl Fn(usize) -> Message,
    ) {
        let to = self.calls[call].daemon;
        if self.is_reachable(from, to) {
            let latency_ms = self.latency_ms(from, to);
            self.messages.entry(self.now + latency_ms).or_default().push(message(to));
        }
    }

    pub(crate) fn latency_ms(&self, a: usize, b: usize) -> u64 {
        let same_region = self.daemons[a].region == self.daemons[b].region;
        if same_region { 0 } else { REGION_LATENCY_MS }
    }

    pub(crate) fn is_reachable(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.daemons[a], &self.daemons[b]);
        if a.data_centre == b.data_centre {
            return true;
        }
        let cut = self.isolated_data_centres.contains(&a.data_centre)
            || self.isolated_data_centres.contains(&b.data_centre);
        !cut && (a.region == b.region || !self.link_cut)
    }

    /// Counts bytes of a call that was forwarded to the other region, and occupies the link for the
    /// time of their transfer.
    pub(crate) fn record_link_bytes(&mut self, call: usize, from: usize, bytes: u64) {
        let region = self.daemons[from].region;
        let origin_region = self.daemons[self.calls[call].daemon].region;
        let remote_region = self.calls[call].forwarded_to.map(|r| self.daemons[r].region);
        if remote_region.is_some_and(|r| r != origin_region) {
            self.calls[call].link_bytes += bytes;
            let transfer_ms = bytes * 8 * 1_000 / self.scenario.link_bits_per_second.max(1);
            let free_at_ms = &mut self.link_free_at_ms[region.min(1)];
            *free_at_ms = (*free_at_ms).max(self.now) + transfer_ms;
        }
    }

    pub(crate) fn exchange_loads(&mut self) {
        let now = Millis(self.now);
        let loads: Vec<DaemonLoad> =
            self.daemons.iter_mut().map(|d| d.policy.own_load(now)).collect();
        for (from, load) in loads.iter().enumerate() {
            for to in (0..self.daemons.len()).filter(|to| *to != from) {
                if self.is_reachable(from, to) {
                    let at = self.now + STEP_MS + self.latency_ms(from, to);
                    let message = Message::Load { to, load: load.clone() };
                    self.messages.entry(at).or_default().push(message);
                }
            }
        }
    }

    /// Samples the load of the engines once per report interval and delivers each report one
    /// interval later, so that the daemons act on outdated figures.
    pub(crate) fn deliver_reports(&mut self) {
        if self.now.is_multiple_of(REPORT_INTERVAL_MS) && !self.reports_suspended {
            for (number, engine) in self.engines.iter().enumerate().filter(|(_, e)| !e.crashed) {
                let report = EndpointReport {
                    running: engine.running.len() as u32,
                    waiting: engine.waiting() as u32,
                    age_ms: REPORT_INTERVAL_MS,
                };
                self.reports.push_back((self.now + REPORT_INTERVAL_MS, number, report));
            }
        }
        while self.reports.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, number, report)) = self.reports.pop_front() else { return };
            let data_centre = self.engines[number].data_centre;
            let name = self.engines[number].name.clone();
            for daemon in 0..self.daemons.len() {
                if self.daemons[daemon].data_centre == data_centre {
                    let policy = &mut self.daemons[daemon].policy;
                    let effects = policy.report(&name, report, Millis(self.now));
                    self.apply_effects(daemon, effects);
                }
            }
        }
    }
}
