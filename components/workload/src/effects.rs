use crate::delivery::Message;
use crate::engine::Stream;
use crate::policy::Policy;
use crate::simulation::{STEP_MS, Simulation};
use decision::load::{Effect, Outcome};
use errors::Verdict;

/// Bytes of a prompt token on the link between regions.
const PROMPT_TOKEN_BYTES: u64 = 5;

/// Applies the effects that the policy of a daemon returns.
impl<P: Policy> Simulation<'_, P> {
    pub(crate) fn apply_effects(&mut self, daemon: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.apply_effect(daemon, effect);
        }
    }

    pub(crate) fn apply_effect(&mut self, daemon: usize, effect: Effect) {
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

    pub(crate) fn dispatch(&mut self, daemon: usize, call: usize, endpoint: &str) {
        let engine = &mut self.engines[self.engine_by_name[endpoint]];
        if engine.crashed {
            let outcome = Outcome::Failed(Verdict::NotRun);
            let message = Message::Finish { call, to: daemon, outcome };
            self.messages.entry(self.now + STEP_MS).or_default().push(message);
            return;
        }
        let request = &self.calls[call].request;
        let received = self.calls[call].received_tokens.min(request.response_tokens);
        engine.enqueue(Stream {
            call,
            daemon,
            tier: self.scenario.site.classes[request.class].tier,
            prefix: (request.account * 8 + request.class) as u64,
            prefill_tokens_left: f64::from(request.prompt_tokens + received),
            tokens_left: f64::from((request.response_tokens - received).max(1)),
            token_progress: 0.0,
        });
    }

    pub(crate) fn forward(&mut self, daemon: usize, call: usize, data_centre: &str) {
        let data_centres = &self.scenario.site.data_centres;
        let index = data_centres.iter().position(|d| d.name == data_centre).unwrap_or(0);
        let to = self.random_daemon(index).filter(|to| self.is_reachable(daemon, *to));
        let Some(to) = to else {
            let outcome = Outcome::Failed(Verdict::NotRun);
            let message = Message::Finish { call, to: daemon, outcome };
            self.messages.entry(self.now + STEP_MS).or_default().push(message);
            return;
        };
        self.calls[call].forwarded_to = Some(to);
        let bytes = u64::from(self.calls[call].request.prompt_tokens) * PROMPT_TOKEN_BYTES;
        self.record_link_bytes(call, daemon, bytes);
        let mut at = self.now + self.latency_ms(daemon, to);
        if self.daemons[daemon].region != self.daemons[to].region {
            at = at.max(self.link_free_at_ms[self.daemons[daemon].region.min(1)]);
        }
        self.messages.entry(at).or_default().push(Message::Arrive { call, to });
    }

    pub(crate) fn cancel(&mut self, daemon: usize, call: usize) {
        if let Some(remote) = self.calls[call].forwarded_to.filter(|r| *r != daemon) {
            self.calls[call].forwarded_to = None;
            self.abandon(call, remote);
        }
        for engine in &mut self.engines {
            engine.remove(call, daemon);
        }
    }

    pub(crate) fn refuse(&mut self, daemon: usize, call: usize) {
        if self.calls[call].daemon == daemon {
            self.calls[call].refused = true;
            return;
        }
        if self.calls[call].forwarded_to == Some(daemon) {
            let outcome = Outcome::Failed(Verdict::NotRun);
            self.send_to_origin(call, daemon, |to| Message::Finish { call, to, outcome });
        }
    }
}
