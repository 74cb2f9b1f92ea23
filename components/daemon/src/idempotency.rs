use crate::executor::Executor;
use crate::records::RecordName;
use crate::service::{ServiceCall, send_call};
use decision::Millis;
use decision::execution::{
    Attempt, AttemptConfig, Call, CallResponse, Effect, EndpointResult, Event, IdempotencyKey,
    ReadResult, WriteResult,
};
use errors::{Reason, Refusal, Verdict};
use std::collections::VecDeque;
use std::thread;
use std::time::Duration;
use utils::{random_id, sha256_hex, unix_time_ms};

/// The pause before a call to the store is repeated.
const STORE_PAUSE: Duration = Duration::from_millis(50);

/// The key of a call and what its caller says of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerKey {
    /// The key.
    pub key: IdempotencyKey,
    /// Whether the caller has sent no other attempt with it.
    pub first: bool,
}

impl CallerKey {
    /// Reads a caller's headers.
    pub fn parse(key: Option<&str>, attempt: Option<&str>) -> Result<CallerKey, Refusal> {
        let text = key.unwrap_or_default();
        let malformed = |text: String| Refusal::not_run(Reason::BadIdempotencyKey, text);
        let key = text.parse::<IdempotencyKey>().map_err(|e| malformed(e.to_string()))?;
        Ok(CallerKey { key, first: attempt == Some("1") })
    }
}

/// Weakens a refusal that only says that this attempt did not run the call.
pub fn downgrade_verdict(refusal: Refusal, first: bool) -> Refusal {
    if first || refusal.verdict != Verdict::NotRun {
        return refusal;
    }
    Refusal { verdict: Verdict::MayHaveRun, ..refusal }
}

/// Runs a call that may not be repeated; `answer` is called once, before the outcome is recorded.
pub fn run_once<F: FnOnce(CallResponse)>(
    executor: &Executor,
    call: &ServiceCall,
    key: CallerKey,
    answer: F,
) {
    let mut run = Run { executor, call, name: RecordName::new(&call.account, &key.key), sends: 0 };
    let (mut attempt, effects) = run.start(key);
    let mut answer = Some(answer);
    let mut open = VecDeque::from(effects);
    while let Some(effect) = open.pop_front() {
        if let Effect::Respond(text) = effect {
            if let Some(answer) = answer.take() {
                answer(text);
            }
            continue;
        }
        let event = run.perform(effect);
        if executor.tables.is_stopping() {
            open.extend(attempt.handle(Event::Stop, now()));
        }
        open.extend(attempt.handle(event, now()));
    }
    debug_assert!(answer.is_none(), "each caller gets one answer");
}

/// One attempt at a call, with what its effects need.
struct Run<'a> {
    executor: &'a Executor,
    call: &'a ServiceCall,
    name: RecordName,
    sends: u64,
}

impl Run<'_> {
    fn start(&self, key: CallerKey) -> (Attempt, Vec<Effect>) {
        let tables = &self.executor.tables;
        let cfg = AttemptConfig { keys: tables.records.keys(), ..AttemptConfig::default() };
        let call = Call {
            key: key.key,
            first_attempt: key.first,
            nonce: format!("{:032x}", random_id()),
            instance: format!("{:032x}", tables.instance),
            digest: sha256_hex(&self.call.body),
            store_version: tables.records.seen(),
            deadline: now() + self.call.finish,
        };
        Attempt::start(cfg, call, now())
    }

    fn perform(&mut self, effect: Effect) -> Event {
        let records = &self.executor.tables.records;
        let event = match effect {
            Effect::Create(record) => Event::Write(records.write(&self.name, &record, 0)),
            Effect::Update(record, version) => {
                Event::Write(records.write(&self.name, &record, version))
            }
            Effect::Read => Event::Read(records.read(&self.name)),
            Effect::Send => Event::Endpoint(self.send()),
            Effect::Respond(_) => Event::Stop,
        };
        if is_store_failure(&event) {
            thread::sleep(STORE_PAUSE);
        }
        event
    }

    fn send(&mut self) -> EndpointResult {
        let address = self.call.address(self.executor, self.sends);
        self.sends += 1;
        match address {
            Some(address) => send_call(self.executor, address, self.call),
            None => EndpointResult::NotStarted,
        }
    }
}

fn is_store_failure(event: &Event) -> bool {
    let write_failed = matches!(event, Event::Write(WriteResult::Unsent | WriteResult::Lost));
    write_failed || matches!(event, Event::Read(ReadResult::Failed))
}

fn now() -> Millis {
    Millis(unix_time_ms())
}
