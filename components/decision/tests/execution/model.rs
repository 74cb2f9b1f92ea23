//! One key, its callers, the store and the endpoint as a small state machine over the real attempt.

use decision::Millis;
use decision::execution::*;
use errors::{Reason, Verdict};
use std::collections::VecDeque;

const ISSUED: Millis = Millis(1_000_000_000);

/// A mechanism taken out.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Broken {
    Nothing,
    NonceUnchecked,
    CreateUnconditional,
    AnyoneMarksNotRun,
    NotRunReopened,
    AgeNotRechecked,
    FirstAssumed,
    LostWriteTrusted,
    LostCallResent,
    StoreVersionUnchecked,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fate {
    Good,
    LostApplied,
    LostDropped,
    LostLate,
    Unsent,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Choice {
    Start,
    Step(usize, Fate),
    Crash(usize),
    LandWrite,
    LandCall,
    Expire,
    Restore,
}

/// How many faults of each kind may still happen.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Budget {
    pub attempts: usize,
    /// Attempts that start while an earlier one still goes on.
    pub overlaps: u32,
    pub lost: u32,
    pub unsent: u32,
    pub crashes: u32,
    pub expiries: u32,
    pub restores: u32,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Todo {
    Create(Record),
    Read,
    Send,
    Update(Record, u64),
    Answer(Option<Verdict>, bool),
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Running {
    attempt: Attempt,
    todo: VecDeque<Todo>,
    crashed: bool,
    answered: bool,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct World {
    broken: Broken,
    now: Millis,
    store: Option<(u64, Record)>,
    version: u64,
    seen: u64,
    late_writes: Vec<(Record, u64)>,
    late_calls: u32,
    running: Vec<Running>,
    pub budget: Budget,
    pub runs: u32,
    pub told: Option<Verdict>,
    told_not_run: bool,
    told_ran: bool,
}

impl World {
    pub fn new(broken: Broken, budget: Budget) -> World {
        let skew = KeyPolicy::default().skew;
        World {
            broken,
            now: ISSUED + skew,
            store: None,
            version: 10,
            seen: 10,
            late_writes: Vec::new(),
            late_calls: 0,
            running: Vec::new(),
            budget,
            runs: 0,
            told: None,
            told_not_run: false,
            told_ran: false,
        }
    }

    /// Every step that can come next.
    pub fn choices(&self) -> Vec<Choice> {
        let mut all = Vec::new();
        let done = matches!(self.told, Some(Verdict::NotRun | Verdict::Ran));
        let free = !self.is_busy() || self.budget.overlaps > 0;
        if !done && free && self.running.len() < self.budget.attempts {
            all.push(Choice::Start);
        }
        for (i, run) in self.running.iter().enumerate() {
            if run.crashed || run.todo.is_empty() {
                continue;
            }
            all.extend(self.fates(&run.todo[0]).into_iter().map(|f| Choice::Step(i, f)));
            if self.budget.crashes > 0 {
                all.push(Choice::Crash(i));
            }
        }
        let mut push = |enabled: bool, choice| enabled.then(|| all.push(choice));
        push(!self.late_writes.is_empty(), Choice::LandWrite);
        push(self.late_calls > 0, Choice::LandCall);
        push(self.budget.expiries > 0, Choice::Expire);
        push(self.budget.restores > 0 && self.store.is_some(), Choice::Restore);
        all
    }

    fn is_busy(&self) -> bool {
        self.running.iter().any(|r| !r.todo.is_empty())
    }

    fn fates(&self, todo: &Todo) -> Vec<Fate> {
        let mut all = vec![Fate::Good];
        if matches!(todo, Todo::Answer(..)) {
            return all;
        }
        if self.budget.lost > 0 {
            all.extend([Fate::LostApplied, Fate::LostDropped, Fate::LostLate]);
        }
        if self.budget.unsent > 0 {
            all.push(Fate::Unsent);
        }
        all
    }

    /// Takes one step; a violation comes back as text.
    pub fn apply(&mut self, choice: Choice) -> Result<(), String> {
        match choice {
            Choice::Start => self.start(),
            Choice::Step(i, fate) => self.step(i, fate),
            Choice::Crash(i) => {
                self.budget.crashes -= 1;
                self.running[i].crashed = true;
                self.running[i].todo.clear();
            }
            Choice::LandWrite => {
                let (record, expected) = self.late_writes.remove(0);
                self.write(record, expected);
            }
            Choice::LandCall => {
                self.late_calls -= 1;
                self.runs += 1;
            }
            Choice::Expire => self.expire(),
            Choice::Restore => {
                self.budget.restores -= 1;
                self.store = None;
                self.version = 1;
            }
        }
        self.check()
    }

    fn check(&self) -> Result<(), String> {
        if self.runs > 1 {
            return Err(format!("{} runs", self.runs));
        }
        if self.told_not_run && self.runs + self.late_calls > 0 {
            return Err("not_run was told and it ran".to_string());
        }
        if self.told_ran && self.runs == 0 {
            return Err("an outcome was told and it did not run".to_string());
        }
        let stuck =
            |r: &&Running| !r.crashed && r.todo.is_empty() && !(r.answered && r.attempt.is_ended());
        if self.running.iter().any(|r| stuck(&r)) {
            return Err("an attempt stands still without an answer".to_string());
        }
        Ok(())
    }

    fn start(&mut self) {
        let i = self.running.len();
        self.budget.overlaps -= u32::from(self.is_busy());
        let call = Call {
            key: IdempotencyKey { issued: ISSUED, random: "k".to_string() },
            first_attempt: i == 0 || self.broken == Broken::FirstAssumed,
            nonce: format!("nonce-{i}"),
            instance: format!("instance-{i}"),
            digest: "body".to_string(),
            store_version: if self.broken == Broken::StoreVersionUnchecked { 0 } else { self.seen },
            deadline: Millis(u64::MAX),
        };
        let cfg =
            AttemptConfig { store_failure_limit: 2, send_limit: 2, ..AttemptConfig::default() };
        let (attempt, effects) = Attempt::start(cfg, call, self.clock());
        let run = Running { attempt, todo: VecDeque::new(), crashed: false, answered: false };
        self.running.push(run);
        self.told = None;
        self.queue(i, effects);
    }

    /// The time at an instance whose clock is as late as the policy allows.
    fn clock(&self) -> Millis {
        if self.broken == Broken::AgeNotRechecked && !self.running.is_empty() {
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
            let todo = match effect {
                Effect::Create(record) => Todo::Create(record),
                Effect::Read => Todo::Read,
                Effect::Send => Todo::Send,
                Effect::Update(record, version) => Todo::Update(record, version),
                Effect::Respond(CallResponse::Outcome(_)) => Todo::Answer(None, true),
                Effect::Respond(CallResponse::Refused(refusal)) => {
                    Todo::Answer(Some(refusal.verdict), refusal.reason == Reason::EndpointFailed)
                }
            };
            self.running[i].todo.push_back(todo);
        }
    }

    fn step(&mut self, i: usize, fate: Fate) {
        match fate {
            Fate::Good => {}
            Fate::Unsent => self.budget.unsent -= 1,
            _ => self.budget.lost -= 1,
        }
        let Some(todo) = self.running[i].todo.pop_front() else { return };
        let event = match todo {
            Todo::Create(record) => Event::Write(self.write_with(record, 0, fate)),
            Todo::Update(record, version) => Event::Write(self.write_with(record, version, fate)),
            Todo::Read => Event::Read(self.read(i, fate)),
            Todo::Send => Event::Endpoint(self.call(fate)),
            Todo::Answer(verdict, proven) => return self.tell(i, verdict, proven),
        };
        let now = self.clock();
        let effects = self.running[i].attempt.handle(event, now);
        self.queue(i, effects);
    }

    /// A caller that has sent a later attempt no longer listens to one that merely gave up.
    fn tell(&mut self, i: usize, verdict: Option<Verdict>, proven: bool) {
        self.running[i].answered = true;
        let verdict = verdict.unwrap_or(Verdict::Ran);
        let latest = i + 1 == self.running.len();
        self.told_not_run |= verdict == Verdict::NotRun && (latest || proven);
        self.told_ran |= verdict == Verdict::Ran;
        if latest {
            self.told = Some(verdict);
        }
    }

    fn write_with(&mut self, record: Record, expected: u64, fate: Fate) -> WriteResult {
        let trusted = self.broken == Broken::LostWriteTrusted && expected == 0;
        match fate {
            Fate::Good => return self.write(record, expected),
            Fate::Unsent => return WriteResult::Unsent,
            Fate::LostApplied => {
                self.write(record, expected);
            }
            Fate::LostDropped => {}
            Fate::LostLate => self.late_writes.push((record, expected)),
        }
        if trusted { WriteResult::Written(self.version + 1) } else { WriteResult::Lost }
    }

    fn write(&mut self, record: Record, expected: u64) -> WriteResult {
        let mut current = self.store.as_ref().map_or(0, |(version, _)| *version);
        let reopens = self.broken == Broken::NotRunReopened
            && self.store.as_ref().is_some_and(|(_, r)| r.state == RunState::NotRun);
        if self.broken == Broken::CreateUnconditional && expected == 0 || reopens {
            current = expected;
        }
        if current != expected {
            return WriteResult::Conflict;
        }
        self.version += 1;
        self.seen = self.seen.max(self.version);
        self.store = Some((self.version, record));
        WriteResult::Written(self.version)
    }

    fn read(&mut self, i: usize, fate: Fate) -> ReadResult {
        if fate != Fate::Good {
            return ReadResult::Failed;
        }
        let Some((version, record)) = &mut self.store else { return ReadResult::Missing };
        let mut answer = record.clone();
        if record.state == RunState::Open && record.nonce != format!("nonce-{i}") {
            match self.broken {
                Broken::NonceUnchecked => answer.nonce = format!("nonce-{i}"),
                Broken::AnyoneMarksNotRun => {
                    record.state = RunState::NotRun;
                    answer.state = RunState::NotRun;
                }
                _ => {}
            }
        }
        ReadResult::Found(*version, answer)
    }

    fn call(&mut self, fate: Fate) -> EndpointResult {
        match fate {
            Fate::Good => {
                self.runs += 1;
                return EndpointResult::Ran(Outcome { status: 200, body: "ran".to_string() });
            }
            Fate::Unsent => return EndpointResult::NotStarted,
            Fate::LostApplied => self.runs += 1,
            Fate::LostDropped => {}
            Fate::LostLate => self.late_calls += 1,
        }
        if self.broken == Broken::LostCallResent {
            return EndpointResult::NotStarted;
        }
        EndpointResult::Lost
    }
}
