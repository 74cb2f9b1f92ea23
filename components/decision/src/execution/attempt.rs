use super::{IdempotencyKey, KeyPolicy, Outcome, Record, RunState};
use crate::Millis;
use errors::{Reason, Refusal, Verdict};
use serde::{Deserialize, Serialize};

/// Settings of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(default)]
pub struct AttemptConfig {
    /// Which idempotency keys are accepted.
    pub keys: KeyPolicy,
    /// The number of failed store calls at which creating or closing the record is abandoned.
    pub store_failure_limit: u32,
    /// How often the call may be sent; it is sent again only if the previous endpoint certainly did
    /// not start it.
    pub send_limit: u32,
    /// The time after which an open run is no longer expected to finish.
    pub run_timeout: Millis,
    /// The retry-after time for callers that request the outcome of an open run.
    pub poll_interval: Millis,
    /// The retry-after time of calls rejected before they ran.
    pub retry_after: Millis,
    /// The maximum length of a response body that is stored in a record.
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

/// A call as received from the caller, with what this process adds to it.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Call {
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
    /// Whether the caller states that it has sent no other attempt with this key.
    pub first_attempt: bool,
    /// Random, unique to this attempt; marks the record that this attempt creates.
    pub nonce: String,
    /// The identity of this process.
    pub instance: String,
    /// The digest of the request body.
    pub digest: String,
    /// The highest store version that this process had seen when the attempt started.
    pub store_version: u64,
    /// The time after which the call is not sent.
    pub deadline: Millis,
}

/// The result of a conditional write to the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WriteResult {
    /// Applied; the object now has this version.
    Written(u64),
    /// Not applied, because its condition did not hold.
    Conflict,
    /// Not applied, because the request did not reach the store.
    Unsent,
    /// Unknown: it may have been applied or may still be applied later.
    Lost,
}

/// The result of a read from the store.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ReadResult {
    /// There is no record.
    Missing,
    /// The record with its version.
    Found(u64, Record),
    /// The store did not respond.
    Failed,
}

/// The result of sending the call to an endpoint.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum EndpointResult {
    /// The endpoint ran the call and sent a complete response.
    Ran(Outcome),
    /// No byte was sent, or the endpoint reported that it did not start the call.
    NotStarted,
    /// The response is missing or incomplete, so the call may have run.
    Lost,
}

/// Input to an attempt, reported by the executor of its effects.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Event {
    /// A write to the store ended.
    Write(WriteResult),
    /// A read from the store ended.
    Read(ReadResult),
    /// The call ended at an endpoint.
    Endpoint(EndpointResult),
    /// The daemon is stopping; the attempt ends as soon as it safely can.
    Stop,
}

/// The response to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallResponse {
    /// The endpoint's response to the only run of the call.
    Outcome(Outcome),
    /// A refusal; its verdict says whether the call may have run.
    Refused(Refusal),
}

/// An action for the executor; the result of each but `Respond` is reported as an event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Create the record if none exists.
    Create(Record),
    /// Read the record.
    Read,
    /// Send the call once to an endpoint.
    Send,
    /// Respond to the caller.
    Respond(CallResponse),
    /// Replace the record if it still has this version.
    Update(Record, u64),
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Phase {
    /// Creating the record.
    Creating,
    /// Reading the record after a create that failed or whose result is unknown.
    Resolving,
    Sending,
    /// Writing the final state into the record.
    Closing,
    Ended,
}

/// The state machine of one attempt by a caller at a call that must run at most once.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Attempt {
    cfg: AttemptConfig,
    call: Call,
    record: Record,
    version: u64,
    phase: Phase,
    /// Failed store calls since the attempt started, became the owner of the record or entered
    /// `Closing`.
    store_failures: u32,
    sends: u32,
    /// Whether a create of this attempt with an unknown result may still be applied.
    create_in_doubt: bool,
    /// Whether a create conflicted with a record that this attempt cannot have written.
    contested: bool,
    stopping: bool,
}

impl Attempt {
    /// Starts an attempt; a key that the policy rejects ends it at once.
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
            phase: Phase::Creating,
            store_failures: 0,
            sends: 0,
            create_in_doubt: false,
            contested: false,
            stopping: false,
        };
        let effects = match attempt.cfg.keys.check(&attempt.call.key, now) {
            Ok(()) => vec![Effect::Create(attempt.record.clone())],
            Err(e) => attempt.reject_unsent(Reason::BadIdempotencyKey, e.to_string()),
        };
        (attempt, effects)
    }

    /// Whether the attempt has ended and will request no more effects.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Handles an event; one that does not fit the current phase is ignored.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        match (self.phase, event) {
            (_, Event::Stop) => self.stop(),
            (Phase::Creating, Event::Write(result)) => self.on_create(result, now),
            (Phase::Resolving, Event::Read(result)) => self.on_read(result, now),
            (Phase::Sending, Event::Endpoint(result)) => self.on_endpoint(result, now),
            (Phase::Closing, Event::Write(result)) => self.on_update(result),
            _ => Vec::new(),
        }
    }

    fn stop(&mut self) -> Vec<Effect> {
        self.stopping = true;
        Vec::new()
    }

    fn on_create(&mut self, result: WriteResult, now: Millis) -> Vec<Effect> {
        match result {
            WriteResult::Written(version) => self.on_record_owned(version, now),
            WriteResult::Unsent => self.retry(Effect::Create(self.record.clone()), now),
            WriteResult::Conflict => {
                self.contested |= !self.create_in_doubt;
                self.resolve()
            }
            WriteResult::Lost => {
                self.create_in_doubt = true;
                self.resolve()
            }
        }
    }

    fn resolve(&mut self) -> Vec<Effect> {
        self.phase = Phase::Resolving;
        vec![Effect::Read]
    }

    fn on_read(&mut self, result: ReadResult, now: Millis) -> Vec<Effect> {
        match result {
            ReadResult::Found(version, record) if record.nonce == self.record.nonce => {
                self.on_record_owned(version, now)
            }
            ReadResult::Found(_, record) => {
                let response = self.response_from(&record, now);
                self.end(response)
            }
            // A lost create may still be applied. The repeated one carries the same nonce, so only
            // one of the two takes effect, and either makes this attempt the owner.
            ReadResult::Missing => {
                self.phase = Phase::Creating;
                self.retry(Effect::Create(self.record.clone()), now)
            }
            ReadResult::Failed => self.retry(Effect::Read, now),
        }
    }

    /// Repeats a failed store call unless a limit is reached.
    fn retry(&mut self, effect: Effect, now: Millis) -> Vec<Effect> {
        self.store_failures += 1;
        if self.stopping {
            return self.reject_unsent(Reason::NotReady, "the daemon stops".to_string());
        }
        if self.store_failures >= self.cfg.store_failure_limit || now > self.call.deadline {
            let text = format!("the run of key {:?} cannot be recorded", self.call.key.random);
            return self.reject_unsent(Reason::StoreUnavailable, text);
        }
        vec![effect]
    }

    /// Continues as the owner of the record: no other attempt may send the call.
    fn on_record_owned(&mut self, version: u64, now: Millis) -> Vec<Effect> {
        self.version = version;
        self.store_failures = 0;
        // An earlier record of this key may have expired and been deleted, or may have been lost
        // when the store was restored.
        if let Err(e) = self.cfg.keys.check(&self.call.key, now) {
            return self.close_as_unknown(Reason::BadIdempotencyKey, e.to_string());
        }
        if version <= self.call.store_version {
            let text = format!("the store went back to version {version}");
            return self.close_as_unknown(Reason::StoreUnavailable, text);
        }
        if self.stopping || now > self.call.deadline {
            return self.refuse_not_run(Reason::NotReady, "no time is left to run the call");
        }
        self.phase = Phase::Sending;
        self.send()
    }

    fn send(&mut self) -> Vec<Effect> {
        debug_assert!(self.version > 0, "a call is sent only under its own record");
        self.sends += 1;
        vec![Effect::Send]
    }

    /// Ends without sending the call and records the outcome as unknown, because an earlier run
    /// may have lost its record.
    fn close_as_unknown(&mut self, reason: Reason, text: String) -> Vec<Effect> {
        let mut effects = self.reject_unsent(reason, text);
        effects.extend(self.close(RunState::Unknown));
        effects
    }

    fn on_endpoint(&mut self, result: EndpointResult, now: Millis) -> Vec<Effect> {
        match result {
            EndpointResult::Ran(outcome) => self.on_ran(outcome),
            EndpointResult::Lost => {
                let text = format!("no answer to key {:?}", self.call.key.random);
                let refusal = Refusal::may_have_run(Reason::EndpointFailed, text);
                self.respond_and_close(CallResponse::Refused(refusal), RunState::Unknown)
            }
            EndpointResult::NotStarted => {
                let in_time = !self.stopping && now <= self.call.deadline;
                if in_time && self.sends < self.cfg.send_limit {
                    return self.send();
                }
                self.refuse_not_run(Reason::EndpointFailed, "no endpoint started the call")
            }
        }
    }

    fn on_ran(&mut self, outcome: Outcome) -> Vec<Effect> {
        let stored = (outcome.body.len() <= self.cfg.outcome_limit_bytes).then(|| outcome.clone());
        self.respond_and_close(CallResponse::Outcome(outcome), RunState::Ran(stored))
    }

    fn refuse_not_run(&mut self, reason: Reason, text: &str) -> Vec<Effect> {
        let text = format!("{text}: a retry needs a new key");
        let refusal = Refusal::not_run(reason, text).retry_after(self.cfg.retry_after.0);
        self.respond_and_close(CallResponse::Refused(refusal), RunState::NotRun)
    }

    fn respond_and_close(&mut self, response: CallResponse, state: RunState) -> Vec<Effect> {
        let mut effects = vec![Effect::Respond(response)];
        effects.extend(self.close(state));
        effects
    }

    fn close(&mut self, state: RunState) -> Vec<Effect> {
        self.phase = Phase::Closing;
        self.store_failures = 0;
        self.record.state = state;
        vec![Effect::Update(self.record.clone(), self.version)]
    }

    fn on_update(&mut self, result: WriteResult) -> Vec<Effect> {
        self.store_failures += 1;
        let retryable = matches!(result, WriteResult::Unsent | WriteResult::Lost);
        if retryable && self.store_failures < self.cfg.store_failure_limit {
            return vec![Effect::Update(self.record.clone(), self.version)];
        }
        // No other attempt changes this record, so a conflict means that an earlier try of this
        // update was applied.
        self.phase = Phase::Ended;
        Vec::new()
    }

    /// Ends an attempt that has not sent the call and never will.
    fn reject_unsent(&mut self, reason: Reason, text: String) -> Vec<Effect> {
        let only_attempt = self.call.first_attempt && !self.contested;
        let verdict = if only_attempt { Verdict::NotRun } else { Verdict::MayHaveRun };
        let refusal = Refusal::not_run(reason, text).retry_after(self.cfg.retry_after.0);
        self.end(CallResponse::Refused(Refusal { verdict, ..refusal }))
    }

    fn end(&mut self, response: CallResponse) -> Vec<Effect> {
        self.phase = Phase::Ended;
        vec![Effect::Respond(response)]
    }

    /// The response to this attempt when another attempt owns the record.
    fn response_from(&self, record: &Record, now: Millis) -> CallResponse {
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
