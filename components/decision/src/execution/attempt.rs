use super::{IdempotencyKey, KeyPolicy, Outcome, Record, RunState};
use crate::Millis;
use errors::{Reason, Refusal, Verdict};
use serde::{Deserialize, Serialize};

/// Settings of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(default)]
pub struct AttemptConfig {
    /// How long keys may be used.
    pub keys: KeyPolicy,
    /// Calls to the store without an answer, for each step.
    pub store_failure_limit: u32,
    /// Times that a call is sent while endpoints say that they did not start it.
    pub send_limit: u32,
    /// The time after which an open run is no longer expected to end.
    pub run_timeout: Millis,
    /// The time after which a caller may ask again for the outcome of an open run.
    pub poll_interval: Millis,
    /// The time after which a refused caller may come back.
    pub retry_after: Millis,
    /// The longest answer that is kept, in bytes.
    pub outcome_limit_bytes: usize,
}

impl Default for AttemptConfig {
    fn default() -> AttemptConfig {
        AttemptConfig {
            keys: KeyPolicy::default(),
            store_failure_limit: 3,
            send_limit: 3,
            run_timeout: Millis(20_000),
            poll_interval: Millis(250),
            retry_after: Millis(1_000),
            outcome_limit_bytes: 4_096,
        }
    }
}

/// A call as the caller sent it.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Call {
    /// The caller's key.
    pub key: IdempotencyKey,
    /// Whether the caller said that it has sent no other attempt with this key.
    pub first_attempt: bool,
    /// Drawn for this attempt alone.
    pub nonce: String,
    /// The identity of this process.
    pub instance: String,
    /// The digest of the call's body.
    pub digest: String,
    /// The highest version that this process had seen in the store.
    pub store_version: u64,
    /// The time after which the call is not sent.
    pub deadline: Millis,
}

/// How a write to the store ended.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WriteResult {
    /// It took effect and gave this version.
    Written(u64),
    /// Its condition did not hold.
    Conflict,
    /// It did not reach the store.
    Unsent,
    /// It may have taken effect, or may do so later.
    Lost,
}

/// How a read from the store ended.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ReadResult {
    /// There is no record.
    Missing,
    /// The record with its version.
    Found(u64, Record),
    /// The store gave no answer.
    Failed,
}

/// How the call ended at an endpoint.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum EndpointResult {
    /// The endpoint ran it and answered.
    Ran(Outcome),
    /// No byte left, or the endpoint said that it did not start.
    NotStarted,
    /// No answer, or half of one.
    Lost,
}

/// What the shell tells an attempt.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Event {
    /// A write ended.
    Write(WriteResult),
    /// A read ended.
    Read(ReadResult),
    /// The call ended at an endpoint.
    Endpoint(EndpointResult),
    /// The daemon stops and the attempt should end as soon as it safely can.
    Stop,
}

/// What the caller is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallResponse {
    /// What the endpoint answered to the only run.
    Outcome(Outcome),
    /// A refusal.
    Refused(Refusal),
}

/// What the shell has to do; each but `Respond` comes back as an event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Create the record if there is none.
    Create(Record),
    /// Read the record.
    Read,
    /// Send the call once to an endpoint.
    Send,
    /// Answer the caller.
    Respond(CallResponse),
    /// Replace the record if it still has this version.
    Update(Record, u64),
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Creating,
    Resolving,
    Sending,
    Closing,
    Ended,
}

/// One attempt of a caller at a call that may not be repeated.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Attempt {
    cfg: AttemptConfig,
    call: Call,
    record: Record,
    version: u64,
    step: Step,
    /// Store calls of this step without an answer.
    failures: u32,
    sends: u32,
    /// Whether a create of this attempt may still take effect.
    unresolved: bool,
    /// Whether another attempt's record was met.
    contested: bool,
    stopping: bool,
}

impl Attempt {
    /// Begins an attempt.
    pub fn start(cfg: AttemptConfig, call: Call, now: Millis) -> (Attempt, Vec<Effect>) {
        let record = Record {
            nonce: call.nonce.clone(),
            instance: call.instance.clone(),
            digest: call.digest.clone(),
            issued: call.key.issued,
            opened: now,
            state: RunState::Open,
        };
        let mut attempt = Attempt {
            cfg,
            call,
            record,
            version: 0,
            step: Step::Creating,
            failures: 0,
            sends: 0,
            unresolved: false,
            contested: false,
            stopping: false,
        };
        let effects = match attempt.cfg.keys.check(&attempt.call.key, now) {
            Ok(()) => vec![Effect::Create(attempt.record.clone())],
            Err(e) => attempt.give_up(Reason::BadIdempotencyKey, e.to_string()),
        };
        (attempt, effects)
    }

    /// Returns whether the attempt has nothing left to do.
    pub fn is_ended(&self) -> bool {
        self.step == Step::Ended
    }

    /// Takes in an event.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        match (self.step, event) {
            (_, Event::Stop) => self.stop(),
            (Step::Creating, Event::Write(answer)) => self.on_create(answer, now),
            (Step::Resolving, Event::Read(answer)) => self.on_read(answer, now),
            (Step::Sending, Event::Endpoint(answer)) => self.on_endpoint(answer, now),
            (Step::Closing, Event::Write(answer)) => self.on_update(answer),
            _ => Vec::new(),
        }
    }

    fn stop(&mut self) -> Vec<Effect> {
        self.stopping = true;
        Vec::new()
    }

    fn on_create(&mut self, answer: WriteResult, now: Millis) -> Vec<Effect> {
        match answer {
            WriteResult::Written(version) => self.own(version, now),
            WriteResult::Unsent => self.retry(Effect::Create(self.record.clone()), now),
            WriteResult::Conflict => {
                self.contested |= !self.unresolved;
                self.resolve()
            }
            WriteResult::Lost => {
                self.unresolved = true;
                self.resolve()
            }
        }
    }

    fn resolve(&mut self) -> Vec<Effect> {
        self.step = Step::Resolving;
        vec![Effect::Read]
    }

    fn on_read(&mut self, answer: ReadResult, now: Millis) -> Vec<Effect> {
        match answer {
            ReadResult::Found(version, record) if record.nonce == self.record.nonce => {
                self.own(version, now)
            }
            ReadResult::Found(_, record) => {
                let answer = self.repeated(&record, now);
                self.end(answer)
            }
            // A lost create may take effect later; repeated with its nonce, one of them wins.
            ReadResult::Missing => {
                self.step = Step::Creating;
                self.retry(Effect::Create(self.record.clone()), now)
            }
            ReadResult::Failed => self.retry(Effect::Read, now),
        }
    }

    fn retry(&mut self, effect: Effect, now: Millis) -> Vec<Effect> {
        self.failures += 1;
        if self.stopping {
            return self.give_up(Reason::NotReady, "the daemon stops".to_string());
        }
        if self.failures >= self.cfg.store_failure_limit || now > self.call.deadline {
            let text = format!("the run of key {:?} cannot be recorded", self.call.key.random);
            return self.give_up(Reason::StoreUnavailable, text);
        }
        vec![effect]
    }

    /// Goes on as the only attempt that may send the call.
    fn own(&mut self, version: u64, now: Millis) -> Vec<Effect> {
        self.version = version;
        self.failures = 0;
        // The record may have replaced one that was deleted for its age or lost with the store.
        if let Err(e) = self.cfg.keys.check(&self.call.key, now) {
            return self.disown(Reason::BadIdempotencyKey, e.to_string());
        }
        if version <= self.call.store_version {
            let text = format!("the store went back to version {version}");
            return self.disown(Reason::StoreUnavailable, text);
        }
        if self.stopping || now > self.call.deadline {
            return self.refuse_not_run(Reason::NotReady, "no time is left to run the call");
        }
        self.step = Step::Sending;
        self.send()
    }

    fn send(&mut self) -> Vec<Effect> {
        debug_assert!(self.version > 0, "a call is sent only under its own record");
        self.sends += 1;
        vec![Effect::Send]
    }

    /// Ends without a run, though an earlier run may have lost its record.
    fn disown(&mut self, reason: Reason, text: String) -> Vec<Effect> {
        let mut effects = self.give_up(reason, text);
        effects.extend(self.close(RunState::Unknown));
        effects
    }

    fn on_endpoint(&mut self, answer: EndpointResult, now: Millis) -> Vec<Effect> {
        match answer {
            EndpointResult::Ran(outcome) => self.ran(outcome),
            EndpointResult::Lost => {
                let text = format!("no answer to key {:?}", self.call.key.random);
                let refusal = Refusal::may_have_run(Reason::EndpointFailed, text);
                self.answer_and_close(CallResponse::Refused(refusal), RunState::Unknown)
            }
            EndpointResult::NotStarted => {
                let open = !self.stopping && now <= self.call.deadline;
                if open && self.sends < self.cfg.send_limit {
                    return self.send();
                }
                self.refuse_not_run(Reason::EndpointFailed, "no endpoint started the call")
            }
        }
    }

    fn ran(&mut self, outcome: Outcome) -> Vec<Effect> {
        let kept = (outcome.body.len() <= self.cfg.outcome_limit_bytes).then(|| outcome.clone());
        self.answer_and_close(CallResponse::Outcome(outcome), RunState::Ran(kept))
    }

    fn refuse_not_run(&mut self, reason: Reason, text: &str) -> Vec<Effect> {
        let text = format!("{text}: a retry needs a new key");
        let refusal = Refusal::not_run(reason, text).retry_after(self.cfg.retry_after.0);
        self.answer_and_close(CallResponse::Refused(refusal), RunState::NotRun)
    }

    fn answer_and_close(&mut self, answer: CallResponse, state: RunState) -> Vec<Effect> {
        let mut effects = vec![Effect::Respond(answer)];
        effects.extend(self.close(state));
        effects
    }

    fn close(&mut self, state: RunState) -> Vec<Effect> {
        self.step = Step::Closing;
        self.failures = 0;
        self.record.state = state;
        vec![Effect::Update(self.record.clone(), self.version)]
    }

    fn on_update(&mut self, answer: WriteResult) -> Vec<Effect> {
        self.failures += 1;
        let again = matches!(answer, WriteResult::Unsent | WriteResult::Lost);
        if again && self.failures < self.cfg.store_failure_limit {
            return vec![Effect::Update(self.record.clone(), self.version)];
        }
        // On a conflict an earlier try took effect: nobody else changes this record.
        self.step = Step::Ended;
        Vec::new()
    }

    /// Ends an attempt that has sent nothing and never will.
    fn give_up(&mut self, reason: Reason, text: String) -> Vec<Effect> {
        let proven = self.call.first_attempt && !self.contested;
        let verdict = if proven { Verdict::NotRun } else { Verdict::MayHaveRun };
        let refusal = Refusal::not_run(reason, text).retry_after(self.cfg.retry_after.0);
        self.end(CallResponse::Refused(Refusal { verdict, ..refusal }))
    }

    fn end(&mut self, answer: CallResponse) -> Vec<Effect> {
        self.step = Step::Ended;
        vec![Effect::Respond(answer)]
    }

    /// Answers from the record of another attempt.
    fn repeated(&self, record: &Record, now: Millis) -> CallResponse {
        let key = &self.call.key.random;
        if record.digest != self.call.digest {
            let text = format!("key {key:?} was used for another body");
            return CallResponse::Refused(Refusal::may_have_run(Reason::BadIdempotencyKey, text));
        }
        match &record.state {
            RunState::Ran(Some(outcome)) => CallResponse::Outcome(outcome.clone()),
            RunState::Ran(None) => {
                let text = format!("key {key:?} ran; its answer was too long to keep");
                let refusal = Refusal::may_have_run(Reason::EndpointFailed, text);
                CallResponse::Refused(Refusal { verdict: Verdict::Ran, ..refusal })
            }
            RunState::NotRun => {
                let text = format!("key {key:?} did not run: a retry needs a new key");
                CallResponse::Refused(Refusal::not_run(Reason::EndpointFailed, text))
            }
            RunState::Open if now.since(record.opened) <= self.cfg.run_timeout => {
                let text = format!("key {key:?} runs at instance {}", record.instance);
                let refusal = Refusal::may_have_run(Reason::RunInProgress, text);
                CallResponse::Refused(refusal.retry_after(self.cfg.poll_interval.0))
            }
            RunState::Open | RunState::Unknown => {
                let text = format!("no answer to key {key:?}");
                CallResponse::Refused(Refusal::may_have_run(Reason::EndpointFailed, text))
            }
        }
    }
}
