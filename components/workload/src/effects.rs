use crate::delivery::Message;
use crate::engine::Stream;
use crate::policy::Policy;
use crate::world::{STEP, World};
use decision::load::{Effect, Outcome};
use errors::Verdict;

/// Bytes of a prompt token on the link.
const PROMPT_TOKEN_BYTES: u64 = 5;

/// What the effects of a daemon do.
impl<P: Policy> World<'_, P> {
    pub(crate) fn carry_out(&mut self, daemon: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.do_one(daemon, effect);
        }
    }

    pub(crate) fn do_one(&mut self, daemon: usize, effect: Effect) {
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

    pub(crate) fn forward(&mut self, daemon: usize, call: usize, data_centre: &str) {
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

    pub(crate) fn cancel(&mut self, daemon: usize, call: usize) {
        if let Some(remote) = self.calls[call].remote.filter(|r| *r != daemon) {
            self.calls[call].remote = None;
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
        if self.calls[call].remote == Some(daemon) {
            let outcome = Outcome::Failed(Verdict::NotRun);
            self.post_back(call, daemon, |to| Message::Finish { call, to, outcome });
        }
    }
}
