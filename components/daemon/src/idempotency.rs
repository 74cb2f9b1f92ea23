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

/// Delay after a failed call to the store, before the attempt continues.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The idempotency headers of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerKey {
    pub key: IdempotencyKey,
    /// Whether the caller states that this is its first attempt with the key.
    pub is_first: bool,
}

impl CallerKey {
    /// Parses the values of `idempotency-key` and `idempotency-attempt`.
    pub fn parse(key: Option<&str>, attempt: Option<&str>) -> Result<CallerKey, Refusal> {
        let text = key.unwrap_or_default();
        let malformed = |text: String| Refusal::not_run(Reason::BadIdempotencyKey, text);
        let key = text.parse::<IdempotencyKey>().map_err(|e| malformed(e.to_string()))?;
        Ok(CallerKey { key, is_first: attempt == Some("1") })
    }
}

/// Turns the verdict `not_run` into `may_have_run`, unless this is the first attempt: an earlier
/// one may have run the call.
pub fn downgrade_verdict(refusal: Refusal, is_first: bool) -> Refusal {
    if is_first || refusal.verdict != Verdict::NotRun {
        return refusal;
    }
    Refusal { verdict: Verdict::MayHaveRun, ..refusal }
}

/// Runs a call that must not be repeated; calls `respond` once, before the outcome is recorded.
pub fn run_once<F: FnOnce(CallResponse)>(
    executor: &Executor,
    call: &ServiceCall,
    key: CallerKey,
    respond: F,
) {
    let mut run =
        CallRun { executor, call, name: RecordName::new(&call.account, &key.key), sends: 0 };
    let (mut attempt, effects) = run.start(key);
    let mut respond = Some(respond);
    let mut pending = VecDeque::from(effects);
    while let Some(effect) = pending.pop_front() {
        if let Effect::Respond(response) = effect {
            if let Some(respond) = respond.take() {
                respond(response);
            }
            continue;
        }
        let event = run.perform(effect);
        if executor.tables.is_stopping() {
            pending.extend(attempt.handle(Event::Stop, unix_now()));
        }
        pending.extend(attempt.handle(event, unix_now()));
    }
    debug_assert!(respond.is_none(), "each caller must get a response");
}

/// Carries out the effects of one attempt at a call.
struct CallRun<'a> {
    executor: &'a Executor,
    call: &'a ServiceCall,
    name: RecordName,
    sends: u64,
}

impl CallRun<'_> {
    fn start(&self, key: CallerKey) -> (Attempt, Vec<Effect>) {
        let tables = &self.executor.tables;
        let cfg = AttemptConfig { keys: tables.records.key_policy(), ..AttemptConfig::default() };
        let call = Call {
            key: key.key,
            first_attempt: key.is_first,
            nonce: format!("{:032x}", random_id()),
            instance: format!("{:032x}", tables.identity),
            digest: sha256_hex(&self.call.body),
            store_version: tables.records.max_version(),
            deadline: unix_now() + self.call.finish,
        };
        Attempt::start(cfg, call, unix_now())
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
            thread::sleep(STORE_RETRY_DELAY);
        }
        event
    }

    fn send(&mut self) -> EndpointResult {
        let address = self.call.choose_address(self.executor, self.sends);
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

fn unix_now() -> Millis {
    Millis(unix_time_ms())
}
