//! Some daemons, their store, the notices between them and the platform that receives their calls, in
//! simulated time.

use decision::Millis;
use decision::duties::{DutyRecord, Lease, LeaseChange, LeaseConfig, LeaseEvent, LeaseStep};
use decision::routing::Peer;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The lease of the simulated daemons, in milliseconds.
pub const LEASE: u64 = 3_000;
/// The time of a step of the simulation.
const STEP: u64 = 10;
/// The time after which a call to the store has failed.
const STORE_TIMEOUT: u64 = 750;
/// The longest time that a notice takes.
const MAX_NOTICE_TIME: u64 = 1_500;
/// The time between notices of the holder.
const NOTICE_INTERVAL: u64 = 60_000;
/// The time between calls of the holder to the platform.
const CALL_INTERVAL: u64 = 50;
/// The Unix time at the start.
const START_UNIX_MS: u64 = 1_800_000_000_000;
/// The difference between the wall clocks of two daemons is less than this.
const MAX_SKEW: u64 = 500;

/// Something that fails, for some milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A daemon is frozen.
    Freeze(usize, u64),
    /// A daemon does not reach the store.
    CutFromStore(usize, u64),
    /// A daemon gets and sends no notices.
    CutFromPeers(usize, u64),
    /// A daemon is killed and starts again after that time.
    Kill(usize, u64),
    /// A daemon is stopped gracefully and starts again after that time.
    Stop(usize, u64),
    /// Nobody reaches the store.
    StoreDown(u64),
    /// The store carries out what it is sent, and its responses are lost.
    LostResponses(u64),
    /// Writes are carried out up to five seconds later, without a response.
    LateWrites(u64),
    /// The store comes back as a copy of that age.
    OlderCopy(u64),
}

impl Fault {
    fn duration(self) -> u64 {
        match self {
            Fault::Freeze(_, time)
            | Fault::CutFromStore(_, time)
            | Fault::CutFromPeers(_, time)
            | Fault::Kill(_, time)
            | Fault::Stop(_, time)
            | Fault::StoreDown(time)
            | Fault::LostResponses(time) => time,
            Fault::LateWrites(time) => time + 5_000,
            Fault::OlderCopy(_) => 0,
        }
    }
}

/// A call that arrived at the platform.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Call {
    pub arrived: u64,
    pub token: u64,
    pub daemon: usize,
    pub sent: u64,
}

#[derive(Clone, Debug)]
struct Write {
    /// The daemon and the number of its call, if a response is received.
    caller: Option<(usize, u64)>,
    carried_out_at: u64,
    record: DutyRecord,
    replaces: Option<u64>,
}

#[derive(Debug)]
struct Daemon {
    lease: Lease,
    incarnation: u64,
    /// What its clock shows at the start.
    clock: u64,
    /// How far its wall clock is ahead.
    skew: u64,
    frozen_until: u64,
    cut_from_store_until: u64,
    cut_from_peers_until: u64,
    starts_at: u64,
    /// The number of its calls to the store.
    store_calls: u64,
    /// The outcome of its call, when it is known.
    outcome: Option<(u64, LeaseEvent)>,
    wakes_at: u64,
    last_notice: u64,
    is_stopping: bool,
}

/// A former state of the store.
#[derive(Clone, Debug)]
struct FormerState {
    lasted_until: u64,
    revision: u64,
    object: Option<(DutyRecord, u64)>,
}

#[derive(Debug)]
pub struct World {
    pub now: u64,
    daemons: Vec<Daemon>,
    revision: u64,
    object: Option<(DutyRecord, u64)>,
    history: Vec<FormerState>,
    writes: Vec<Write>,
    notices: Vec<(u64, usize, u64)>,
    down_until: u64,
    lost_until: u64,
    late_until: u64,
    pub calls: Vec<Call>,
    pub changes: Vec<(u64, usize, LeaseChange)>,
    rng: Pcg64Mcg,
    /// Whether the store states the revision of an object that it wrote.
    states_revision: bool,
}

fn lease(daemon: usize, incarnation: u64) -> Lease {
    let own = Peer { name: format!("front-{daemon}"), address: format!("10.0.0.{daemon}:7340") };
    Lease::new(LeaseConfig { own, incarnation, lease: Millis(LEASE) }, incarnation)
}

impl World {
    pub fn new(daemons: usize, seed: u64) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let daemons = (0..daemons).map(|number| Daemon {
            lease: lease(number, number as u64 + 1),
            incarnation: number as u64 + 1,
            clock: rng.random_range(0..10_000_000),
            skew: rng.random_range(0..MAX_SKEW),
            frozen_until: 0,
            cut_from_store_until: 0,
            cut_from_peers_until: 0,
            starts_at: 0,
            store_calls: 0,
            outcome: None,
            wakes_at: 0,
            last_notice: 0,
            is_stopping: false,
        });
        World {
            now: 0,
            daemons: daemons.collect(),
            revision: 1,
            object: None,
            history: Vec::new(),
            writes: Vec::new(),
            notices: Vec::new(),
            down_until: 0,
            lost_until: 0,
            late_until: 0,
            calls: Vec::new(),
            changes: Vec::new(),
            states_revision: rng.random(),
            rng,
        }
    }

    /// The daemon that may send calls now.
    pub fn holder(&self) -> Option<usize> {
        (0..self.daemons.len()).find(|number| self.token(*number).is_some())
    }

    /// The token of a daemon, if it may send calls now.
    pub fn token(&self, number: usize) -> Option<u64> {
        let daemon = &self.daemons[number];
        let is_running = self.now >= daemon.frozen_until && self.now >= daemon.starts_at;
        daemon.lease.may_act(Millis(daemon.clock + self.now)).filter(|_| is_running)
    }

    /// Has something fail now.
    pub fn fail(&mut self, fault: Fault) {
        let end = self.now + fault.duration();
        match fault {
            Fault::Freeze(number, _) => {
                let daemon = &mut self.daemons[number];
                daemon.frozen_until = daemon.frozen_until.max(end);
            }
            Fault::CutFromStore(number, _) => self.daemons[number].cut_from_store_until = end,
            Fault::CutFromPeers(number, _) => self.daemons[number].cut_from_peers_until = end,
            Fault::Kill(number, _) => self.restart(number, end),
            Fault::Stop(number, _) => {
                let daemon = &mut self.daemons[number];
                daemon.lease.close();
                daemon.is_stopping = true;
                daemon.wakes_at = self.now;
            }
            Fault::StoreDown(_) => self.down_until = self.down_until.max(end),
            Fault::LostResponses(_) => self.lost_until = self.lost_until.max(end),
            Fault::LateWrites(time) => self.late_until = self.late_until.max(self.now + time),
            Fault::OlderCopy(age) => self.revert(age),
        }
    }

    fn restart(&mut self, number: usize, starts_at: u64) {
        let count = self.daemons.len() as u64;
        let daemon = &mut self.daemons[number];
        daemon.incarnation += count;
        daemon.lease = lease(number, daemon.incarnation);
        daemon.starts_at = starts_at;
        daemon.frozen_until = 0;
        daemon.outcome = None;
        daemon.store_calls += 1;
        daemon.wakes_at = starts_at;
        daemon.is_stopping = false;
    }

    fn revert(&mut self, age: u64) {
        let time = self.now.saturating_sub(age);
        let is_later = |state: &FormerState| state.lasted_until > time;
        let Some(at) = self.history.iter().position(is_later) else { return };
        let FormerState { revision, object, .. } = self.history[at].clone();
        self.history.truncate(at);
        (self.revision, self.object) = (revision, object);
    }

    /// Lets time pass.
    pub fn run(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.step();
            self.now += STEP;
        }
    }

    /// Lets time pass until the condition holds; returns how long it took, at most `limit`.
    pub fn run_until(&mut self, limit: u64, is_done: impl Fn(&World) -> bool) -> Option<u64> {
        let start = self.now;
        while !is_done(self) {
            if self.now - start >= limit {
                return None;
            }
            self.run(STEP);
        }
        Some(self.now - start)
    }

    fn step(&mut self) {
        self.carry_out_writes();
        let due: Vec<(u64, usize, u64)> = self.notices.clone();
        self.notices.retain(|(at, _, _)| *at > self.now);
        for (_, number, token) in due.into_iter().filter(|(at, _, _)| *at <= self.now) {
            if self.now >= self.daemons[number].cut_from_peers_until {
                self.daemons[number].lease.observe_token(token);
            }
        }
        for number in 0..self.daemons.len() {
            let daemon = &self.daemons[number];
            if self.now >= daemon.frozen_until && self.now >= daemon.starts_at {
                self.run_daemon(number);
            }
        }
    }

    fn carry_out_writes(&mut self) {
        let (due, later) =
            self.writes.drain(..).partition(|write: &Write| write.carried_out_at <= self.now);
        self.writes = later;
        let due: Vec<Write> = due;
        for write in due {
            let is_current = write.replaces == self.object.as_ref().map(|(_, revision)| *revision);
            if is_current {
                self.history.push(FormerState {
                    lasted_until: self.now,
                    revision: self.revision,
                    object: self.object.clone(),
                });
                self.revision += 1;
                self.object = Some((write.record, self.revision));
            }
            let Some((number, call)) = write.caller else { continue };
            let revision = self.states_revision.then_some(self.revision);
            let event =
                if is_current { LeaseEvent::Written(revision) } else { LeaseEvent::Conflict };
            let respond_at = self.now + self.rng.random_range(0..3) * STEP;
            if self.daemons[number].store_calls == call {
                self.daemons[number].outcome = Some((respond_at, event));
            }
        }
    }

    fn run_daemon(&mut self, number: usize) {
        self.send_call(number);
        let daemon = &mut self.daemons[number];
        let local = Millis(daemon.clock + self.now);
        match daemon.outcome.take() {
            Some((at, event)) if at <= self.now => {
                daemon.lease.observe(event, local);
                daemon.wakes_at = self.now;
            }
            outcome => daemon.outcome = outcome,
        }
        self.note_changes(number);
        let daemon = &mut self.daemons[number];
        let is_calling = daemon.outcome.is_some();
        if is_calling || (self.now < daemon.wakes_at && !daemon.lease_is_uncertain(local)) {
            return;
        }
        let unix = START_UNIX_MS + self.now + daemon.skew;
        match daemon.lease.next(local, unix, true) {
            LeaseStep::Wait(until) => {
                daemon.wakes_at = self.now + until.0.saturating_sub(local.0).max(STEP);
            }
            LeaseStep::Stop => {
                let starts_at = self.now + 1_000;
                self.restart(number, starts_at);
            }
            LeaseStep::Read => self.start_read(number),
            LeaseStep::Write { record, replaces } => self.start_write(number, record, replaces),
        }
        self.note_changes(number);
    }

    fn start_read(&mut self, number: usize) {
        let is_lost = self.now < self.lost_until || !self.reaches_store(number);
        let daemon = &mut self.daemons[number];
        daemon.store_calls += 1;
        daemon.outcome = Some(if is_lost {
            (self.now + STORE_TIMEOUT, LeaseEvent::ReadFailed)
        } else {
            (self.now + STEP, LeaseEvent::Read(self.object.clone()))
        });
    }

    fn start_write(&mut self, number: usize, record: DutyRecord, replaces: Option<u64>) {
        let reaches_store = self.reaches_store(number);
        let is_late = self.now < self.late_until;
        let is_lost = self.now < self.lost_until || is_late;
        let daemon = &mut self.daemons[number];
        daemon.store_calls += 1;
        // The response replaces this outcome.
        daemon.outcome = Some((self.now + STORE_TIMEOUT, LeaseEvent::WriteFailed));
        if reaches_store {
            let caller = (!is_lost).then_some((number, daemon.store_calls));
            let delay = if is_late { self.rng.random_range(0..5_000) } else { STEP };
            let carried_out_at = self.now + delay;
            self.writes.push(Write { caller, carried_out_at, record, replaces });
        }
    }

    fn reaches_store(&self, number: usize) -> bool {
        self.now >= self.down_until && self.now >= self.daemons[number].cut_from_store_until
    }

    /// Sends a call to the platform if the daemon may act. It arrives before its time limit.
    fn send_call(&mut self, number: usize) {
        let daemon = &self.daemons[number];
        let local = daemon.clock + self.now;
        if !self.now.is_multiple_of(CALL_INTERVAL) {
            return;
        }
        let Some((token, until)) = daemon.lease.act_until(Millis(local)) else { return };
        let longest = (until.0 - local).min(LEASE * 2 / 3);
        let is_slow = self.rng.random_range(0..4) == 0;
        let delay = if is_slow { self.rng.random_range(0..longest) } else { 0 };
        let arrived = self.now + delay;
        self.calls.push(Call { arrived, token, daemon: number, sent: self.now });
    }

    /// Records the changes of a daemon and has the holder send notices.
    fn note_changes(&mut self, number: usize) {
        let now = self.now;
        let count = self.daemons.len();
        let daemon = &mut self.daemons[number];
        let changes = daemon.lease.take_changes();
        let is_new = changes.iter().any(|change| matches!(change, LeaseChange::Claimed { .. }));
        self.changes.extend(changes.into_iter().map(|change| (now, number, change)));
        let is_due = is_new || now - daemon.last_notice >= NOTICE_INTERVAL;
        let known = daemon.lease.announced(Millis(daemon.clock + now));
        if let Some(known) = known.filter(|_| is_due && now >= daemon.cut_from_peers_until) {
            daemon.last_notice = now;
            for other in 0..count {
                let arrives = now + self.rng.random_range(0..MAX_NOTICE_TIME);
                self.notices.push((arrives, other, known.token));
            }
        }
    }

    /// Checks the calls: each token belongs to one daemon, tokens do not fall, and no daemon acts
    /// again within a lease after another one has.
    pub fn check_calls(&self) -> Result<(), String> {
        let mut calls = self.calls.clone();
        calls.sort();
        let mut last_of_others: Option<Call> = None;
        for pair in calls.windows(2) {
            let (before, call) = (pair[0], pair[1]);
            if call.token < before.token {
                return Err(format!("token falls: {before:?}, {call:?}"));
            }
            if call.token == before.token && call.daemon != before.daemon {
                return Err(format!("token of two holders: {before:?}, {call:?}"));
            }
            if call.daemon != before.daemon {
                let is_return = last_of_others.is_some_and(|earlier| {
                    earlier.daemon == call.daemon && call.arrived - earlier.arrived < LEASE
                });
                if is_return {
                    return Err(format!("{last_of_others:?}, then {before:?}, then {call:?}"));
                }
                last_of_others = Some(before);
            }
        }
        Ok(())
    }
}

impl Daemon {
    /// Whether the next step must be asked for although nothing was waited for: a notice may have
    /// ended the role of the holder.
    fn lease_is_uncertain(&self, now: Millis) -> bool {
        self.is_stopping && self.lease.held_token(now).is_some()
    }
}
