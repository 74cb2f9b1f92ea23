//! A model of one idempotency key with its caller, the store and an endpoint, around the real
//! `Attempt`. Every step checks that the call runs at most once and that responses are true.

use decision::Millis;
use decision::execution::*;
use errors::{Reason, Verdict};
use std::collections::VecDeque;

const ISSUED: Millis = Millis(1_000_000_000);

/// A defect put into the model, to show that the tests detect it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Defect {
    None,
    /// An attempt takes the open record of another for its own.
    NonceUnchecked,
    /// A create overwrites an existing record.
    CreateUnconditional,
    /// An attempt that reads the open record of another marks it as not run.
    AnyoneMarksNotRun,
    /// A record that is marked as not run can be overwritten.
    NotRunReopened,
    /// Every check after the start of the first attempt uses the issue time as the current time.
    AgeNotRechecked,
    /// Every attempt states that it is the first one with its key.
    FirstAssumed,
    /// A create with an unknown result counts as written.
    LostWriteTrusted,
    /// A call with an unknown result counts as not started.
    LostCallResent,
    /// An attempt starts without the highest store version that was seen.
    StoreVersionUnchecked,
}

/// What happens to one request to the store or the endpoint.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Delivery {
    Normal,
    /// Processed, but the response does not arrive.
    ResponseLost,
    /// Never processed, and the sender does not learn this.
    RequestLost,
    /// Processed later, without a response.
    Delayed,
    /// Never processed, and the sender learns this.
    Unsent,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Transition {
    Start,
    Step(usize, Delivery),
    Crash(usize),
    /// Applies the oldest delayed write.
    DeliverWrite,
    /// Runs a delayed call.
    DeliverCall,
    /// Advances time beyond the retention of the key.
    Expire,
    /// Restores the store to a state without the record.
    Restore,
}

/// How many attempts, and faults of each kind, may still happen.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Budget {
    pub attempts: usize,
    /// Attempts that start while an earlier one is still in progress.
    pub overlaps: u32,
    pub lost: u32,
    pub unsent: u32,
    pub crashes: u32,
    pub expiries: u32,
    pub restores: u32,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum PendingEffect {
    Create(Record),
    Read,
    Send,
    Update(Record, u64),
    /// The verdict of a refusal, if it is one, and whether it is definitive.
    Respond(Option<Verdict>, bool),
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Process {
    attempt: Attempt,
    pending: VecDeque<PendingEffect>,
    crashed: bool,
    responded: bool,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Model {
    defect: Defect,
    now: Millis,
    store: Option<(u64, Record)>,
    version: u64,
    max_version_seen: u64,
    delayed_writes: Vec<(Record, u64)>,
    delayed_calls: u32,
    processes: Vec<Process>,
    pub budget: Budget,
    pub runs: u32,
    pub last_verdict: Option<Verdict>,
    reported_not_run: bool,
    reported_ran: bool,
}

impl Model {
    pub fn new(defect: Defect, budget: Budget) -> Model {
        let skew = KeyPolicy::default().skew;
        Model {
            defect,
            now: ISSUED + skew,
            store: None,
            version: 10,
            max_version_seen: 10,
            delayed_writes: Vec::new(),
            delayed_calls: 0,
            processes: Vec::new(),
            budget,
            runs: 0,
            last_verdict: None,
            reported_not_run: false,
            reported_ran: false,
        }
    }

    /// Every transition that is possible in this state.
    pub fn enabled_transitions(&self) -> Vec<Transition> {
        let mut all = Vec::new();
        let done = matches!(self.last_verdict, Some(Verdict::NotRun | Verdict::Ran));
        let free = !self.is_busy() || self.budget.overlaps > 0;
        if !done && free && self.processes.len() < self.budget.attempts {
            all.push(Transition::Start);
        }
        for (i, process) in self.processes.iter().enumerate() {
            if process.crashed || process.pending.is_empty() {
                continue;
            }
            all.extend(
                self.deliveries(&process.pending[0]).into_iter().map(|d| Transition::Step(i, d)),
            );
            if self.budget.crashes > 0 {
                all.push(Transition::Crash(i));
            }
        }
        let mut push_if = |enabled: bool, transition| enabled.then(|| all.push(transition));
        push_if(!self.delayed_writes.is_empty(), Transition::DeliverWrite);
        push_if(self.delayed_calls > 0, Transition::DeliverCall);
        push_if(self.budget.expiries > 0, Transition::Expire);
        push_if(self.budget.restores > 0 && self.store.is_some(), Transition::Restore);
        all
    }

    fn is_busy(&self) -> bool {
        self.processes.iter().any(|p| !p.pending.is_empty())
    }

    fn deliveries(&self, pending: &PendingEffect) -> Vec<Delivery> {
        let mut all = vec![Delivery::Normal];
        if matches!(pending, PendingEffect::Respond(..)) {
            return all;
        }
        if self.budget.lost > 0 {
            all.extend([Delivery::ResponseLost, Delivery::RequestLost, Delivery::Delayed]);
        }
        if self.budget.unsent > 0 {
            all.push(Delivery::Unsent);
        }
        all
    }

    /// Applies a transition; errors if the new state violates an invariant.
    pub fn apply(&mut self, transition: Transition) -> Result<(), String> {
        match transition {
            Transition::Start => self.start(),
            Transition::Step(i, delivery) => self.step(i, delivery),
            Transition::Crash(i) => {
                self.budget.crashes -= 1;
                self.processes[i].crashed = true;
                self.processes[i].pending.clear();
            }
            Transition::DeliverWrite => {
                let (record, expected) = self.delayed_writes.remove(0);
                self.write(record, expected);
            }
            Transition::DeliverCall => {
                self.delayed_calls -= 1;
                self.runs += 1;
            }
            Transition::Expire => self.expire(),
            Transition::Restore => {
                self.budget.restores -= 1;
                self.store = None;
                self.version = 1;
            }
        }
        self.check()
    }

    fn check(&self) -> Result<(), String> {
        if self.runs > 1 {
            return Err(format!("the call ran {} times", self.runs));
        }
        if self.reported_not_run && self.runs + self.delayed_calls > 0 {
            return Err(
                "the caller received not_run, but the call ran or may still run".to_string()
            );
        }
        if self.reported_ran && self.runs == 0 {
            return Err("the caller received an outcome, but the call did not run".to_string());
        }
        let stuck = |p: &&Process| {
            !p.crashed && p.pending.is_empty() && !(p.responded && p.attempt.is_ended())
        };
        if self.processes.iter().any(|p| stuck(&p)) {
            return Err(
                "an attempt has no pending effect, but has not responded and ended".to_string()
            );
        }
        Ok(())
    }

    fn start(&mut self) {
        let i = self.processes.len();
        self.budget.overlaps -= u32::from(self.is_busy());
        let call = Call {
            key: IdempotencyKey { issued: ISSUED, random: "k".to_string() },
            first_attempt: i == 0 || self.defect == Defect::FirstAssumed,
            nonce: format!("nonce-{i}"),
            instance: format!("instance-{i}"),
            digest: "body".to_string(),
            store_version: if self.defect == Defect::StoreVersionUnchecked {
                0
            } else {
                self.max_version_seen
            },
            deadline: Millis(u64::MAX),
        };
        let cfg =
            AttemptConfig { store_failure_limit: 2, send_limit: 2, ..AttemptConfig::default() };
        let (attempt, effects) = Attempt::start(cfg, call, self.clock());
        let process =
            Process { attempt, pending: VecDeque::new(), crashed: false, responded: false };
        self.processes.push(process);
        self.last_verdict = None;
        self.queue(i, effects);
    }

    /// The time on an instance whose clock lags by the maximum skew that the policy allows.
    fn clock(&self) -> Millis {
        if self.defect == Defect::AgeNotRechecked && !self.processes.is_empty() {
            return ISSUED;
        }
        self.now - KeyPolicy::default().skew
    }

    fn expire(&mut self) {
        let keys = KeyPolicy::default();
        self.budget.expiries -= 1;
        self.now = ISSUED + keys.retention + keys.skew + Millis(1);
        if keys.is_deletable(ISSUED, self.now) {
            self.store = None;
        }
    }

    fn queue(&mut self, i: usize, effects: Vec<Effect>) {
        for effect in effects {
            let pending = match effect {
                Effect::Create(record) => PendingEffect::Create(record),
                Effect::Read => PendingEffect::Read,
                Effect::Send => PendingEffect::Send,
                Effect::Update(record, version) => PendingEffect::Update(record, version),
                Effect::Respond(CallResponse::Outcome(_)) => PendingEffect::Respond(None, true),
                Effect::Respond(CallResponse::Refused(refusal)) => PendingEffect::Respond(
                    Some(refusal.verdict),
                    refusal.reason == Reason::EndpointFailed,
                ),
            };
            self.processes[i].pending.push_back(pending);
        }
    }

    fn step(&mut self, i: usize, delivery: Delivery) {
        match delivery {
            Delivery::Normal => {}
            Delivery::Unsent => self.budget.unsent -= 1,
            _ => self.budget.lost -= 1,
        }
        let Some(pending) = self.processes[i].pending.pop_front() else { return };
        let event = match pending {
            PendingEffect::Create(record) => Event::Write(self.write_with(record, 0, delivery)),
            PendingEffect::Update(record, version) => {
                Event::Write(self.write_with(record, version, delivery))
            }
            PendingEffect::Read => Event::Read(self.read(i, delivery)),
            PendingEffect::Send => Event::Endpoint(self.call(delivery)),
            PendingEffect::Respond(verdict, definitive) => {
                return self.respond(i, verdict, definitive);
            }
        };
        let now = self.clock();
        let effects = self.processes[i].attempt.handle(event, now);
        self.queue(i, effects);
    }

    /// Records the response to the caller.
    ///
    /// A caller that has started a later attempt ignores `not_run` from an earlier one, unless it
    /// is definitive: then it holds for every attempt with the key.
    fn respond(&mut self, i: usize, verdict: Option<Verdict>, definitive: bool) {
        self.processes[i].responded = true;
        let verdict = verdict.unwrap_or(Verdict::Ran);
        let latest = i + 1 == self.processes.len();
        self.reported_not_run |= verdict == Verdict::NotRun && (latest || definitive);
        self.reported_ran |= verdict == Verdict::Ran;
        if latest {
            self.last_verdict = Some(verdict);
        }
    }

    fn write_with(&mut self, record: Record, expected: u64, delivery: Delivery) -> WriteResult {
        let trusted = self.defect == Defect::LostWriteTrusted && expected == 0;
        match delivery {
            Delivery::Normal => return self.write(record, expected),
            Delivery::Unsent => return WriteResult::Unsent,
            Delivery::ResponseLost => {
                self.write(record, expected);
            }
            Delivery::RequestLost => {}
            Delivery::Delayed => self.delayed_writes.push((record, expected)),
        }
        if trusted { WriteResult::Written(self.version + 1) } else { WriteResult::Lost }
    }

    fn write(&mut self, record: Record, expected: u64) -> WriteResult {
        let mut current = self.store.as_ref().map_or(0, |(version, _)| *version);
        let reopens = self.defect == Defect::NotRunReopened
            && self.store.as_ref().is_some_and(|(_, r)| r.state == RunState::NotRun);
        if self.defect == Defect::CreateUnconditional && expected == 0 || reopens {
            current = expected;
        }
        if current != expected {
            return WriteResult::Conflict;
        }
        self.version += 1;
        self.max_version_seen = self.max_version_seen.max(self.version);
        self.store = Some((self.version, record));
        WriteResult::Written(self.version)
    }

    fn read(&mut self, i: usize, delivery: Delivery) -> ReadResult {
        if delivery != Delivery::Normal {
            return ReadResult::Failed;
        }
        let Some((version, record)) = &mut self.store else { return ReadResult::Missing };
        let mut returned = record.clone();
        if record.state == RunState::Open && record.nonce != format!("nonce-{i}") {
            match self.defect {
                Defect::NonceUnchecked => returned.nonce = format!("nonce-{i}"),
                Defect::AnyoneMarksNotRun => {
                    record.state = RunState::NotRun;
                    returned.state = RunState::NotRun;
                }
                _ => {}
            }
        }
        ReadResult::Found(*version, returned)
    }

    fn call(&mut self, delivery: Delivery) -> EndpointResult {
        match delivery {
            Delivery::Normal => {
                self.runs += 1;
                return EndpointResult::Ran(Outcome { status: 200, body: "ran".to_string() });
            }
            Delivery::Unsent => return EndpointResult::NotStarted,
            Delivery::ResponseLost => self.runs += 1,
            Delivery::RequestLost => {}
            Delivery::Delayed => self.delayed_calls += 1,
        }
        if self.defect == Defect::LostCallResent {
            return EndpointResult::NotStarted;
        }
        EndpointResult::Lost
    }
}
