//! Usage reports while holders change, daemons restart, and the store, the platform and other daemons lose
//! requests and responses.

use decision::duties::{
    ReportOutcome, UsageConfig, UsageCounts, UsageReports, UsageState, WindowClock, report_interval,
};
use decision::{LatestEra, Millis};
use messages::duties::{DutyReport, UsageWindow};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const DAEMONS: usize = 4;
const ACCOUNTS: [&str; 3] = ["hule", "fida", "mapo"];
const WINDOW: Millis = Millis(5_000);
const LATE: Millis = Millis(10_000);
const STEP: Millis = Millis(250);
/// The time until a notice has reached all daemons.
const NOTICE_TIME: Millis = Millis(1_500);
/// The time from a claim until the claimant acts.
const LEASE: Millis = Millis(3_000);
/// Faults occur until then. A report without a clear response is given up only later.
const FAULTY_TIME: Millis = Millis(25_000);
const END: Millis = Millis(60_000);
/// A request that got no response is executed up to this much later.
const MAX_DELAY: Millis = Millis(2_000);
/// The start of the test, in windows.
const FIRST_WINDOW: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Another daemon claims the duties, whatever the present holder does.
    Claim(usize),
    Restart(usize),
    /// The store rejects all calls for this many steps.
    StoreDown(u64),
    /// The platform cannot be reached for this many steps.
    PlatformDown(u64),
    /// Half of all requests or responses are lost or delayed for this many steps.
    Losses(u64),
    /// The store comes back as an older copy, which all of this many daemons survive.
    OlderCopy(usize),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => (0..DAEMONS).prop_map(Fault::Claim),
        2 => (0..DAEMONS).prop_map(Fault::Restart),
        1 => (1_u64..30).prop_map(Fault::StoreDown),
        1 => (1_u64..60).prop_map(Fault::PlatformDown),
        3 => (1_u64..40).prop_map(Fault::Losses),
        1 => (0..=DAEMONS).prop_map(Fault::OlderCopy),
    ]
}

#[derive(Clone, Debug, Default)]
struct Record {
    revision: u64,
    token: u64,
    usage: Option<UsageState>,
}

/// What becomes of a request.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Delivery {
    Answered,
    ResponseLost,
    RequestLost,
    Delayed,
}

struct Daemon {
    incarnation: u64,
    sequence: u64,
    counts: UsageCounts,
    reports: UsageReports,
    /// The token of its claim, and when it may act.
    claim: Option<(u64, Millis)>,
    /// Whether it has to read the object before it writes again.
    is_unsure: bool,
    has_taken_over: bool,
    known_holder: (u64, usize),
    /// When its last renewal was sent.
    renewed_at: Millis,
    era: LatestEra,
}

impl Daemon {
    fn new(incarnation: u64) -> Daemon {
        let clock = WindowClock::new(start(FIRST_WINDOW), Millis(0), WINDOW);
        Daemon {
            incarnation,
            sequence: 0,
            counts: UsageCounts::default(),
            reports: UsageReports::new(UsageConfig { late: LATE }, clock),
            claim: None,
            is_unsure: false,
            has_taken_over: false,
            known_holder: (0, 0),
            renewed_at: Millis(0),
            era: LatestEra::default(),
        }
    }

    fn stop(&mut self) {
        self.claim = None;
        self.reports.stop();
    }
}

fn start(window: u64) -> Millis {
    Millis(window * WINDOW.0)
}

/// What happens later.
enum Delayed {
    Write { replaces: u64, token: u64, usage: UsageState },
    Call(UsageWindow),
    Report(DutyReport, usize),
    Notice { token: u64, holder: usize, to: usize },
}

struct World {
    rng: Pcg64Mcg,
    now: Millis,
    store: Record,
    /// Earlier states of the store.
    copies: Vec<Record>,
    daemons: Vec<Daemon>,
    delayed: Vec<(Millis, Delayed)>,
    store_down_until: Millis,
    platform_down_until: Millis,
    lossy_until: Millis,
    /// The token and the daemon of the last claim.
    last_claim: (u64, usize),
    /// What the platform has accepted, and when.
    accepted: BTreeMap<u64, (BTreeMap<String, u64>, Millis)>,
    truth: BTreeMap<u64, BTreeMap<String, u64>>,
    /// The number of the store's era.
    era: u64,
    /// When a holder that found an object of an earlier era had learned of the latest one.
    skipped_until: Option<Millis>,
}

impl World {
    fn new(seed: u64) -> World {
        let ended = UsageState {
            window: FIRST_WINDOW - 1,
            is_accepted: true,
            era: Some(1),
            ..UsageState::default()
        };
        World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Millis(0),
            store: Record { revision: 1, token: 0, usage: Some(ended) },
            copies: Vec::new(),
            daemons: (0..DAEMONS as u64).map(Daemon::new).collect(),
            delayed: Vec::new(),
            store_down_until: Millis(0),
            platform_down_until: Millis(0),
            lossy_until: Millis(0),
            last_claim: (0, 0),
            accepted: BTreeMap::new(),
            truth: BTreeMap::new(),
            era: 1,
            skipped_until: None,
        }
    }

    fn window(&self) -> u64 {
        (start(FIRST_WINDOW) + self.now).0 / WINDOW.0
    }

    fn delivery(&mut self) -> Delivery {
        if self.now >= self.lossy_until || self.rng.random_range(0..2) == 0 {
            return Delivery::Answered;
        }
        [Delivery::ResponseLost, Delivery::RequestLost, Delivery::Delayed]
            [self.rng.random_range(0..3)]
    }

    fn delay(&mut self, delayed: Delayed, max: Millis) {
        let at = self.now + Millis(self.rng.random_range(0..=max.0));
        self.delayed.push((at, delayed));
    }

    fn inject(&mut self, fault: Fault) {
        let until = |steps: u64| Millis(steps * STEP.0) + self.now;
        match fault {
            Fault::Claim(by) => self.claim(by),
            Fault::Restart(index) => self.restart(index),
            Fault::StoreDown(steps) => self.store_down_until = until(steps).min(FAULTY_TIME),
            Fault::PlatformDown(steps) => self.platform_down_until = until(steps).min(FAULTY_TIME),
            Fault::Losses(steps) => self.lossy_until = until(steps).min(FAULTY_TIME),
            Fault::OlderCopy(survivors) => self.lose_history(survivors),
        }
    }

    fn restart(&mut self, index: usize) {
        let incarnation = self.daemons[index].incarnation + 100;
        self.daemons[index] = Daemon::new(incarnation);
        // It gets the notices that others know.
        let (token, holder) = self.last_claim;
        self.delay(Delayed::Notice { token, holder, to: index }, NOTICE_TIME);
    }

    fn lose_history(&mut self, survivors: usize) {
        if self.copies.is_empty() {
            return;
        }
        // The holder is among the first to be lost.
        let (_, holder) = self.last_claim;
        for lost in (0..DAEMONS).rev().take(DAEMONS - survivors) {
            self.restart((holder + 1 + lost) % DAEMONS);
        }
        let index = self.rng.random_range(0..self.copies.len());
        // The revisions of the two histories are told apart by the lease.
        let revision = self.store.revision + 1;
        self.store = Record { revision, ..self.copies[index].clone() };
        self.era += 1;
    }

    fn claim(&mut self, by: usize) {
        if self.now < self.store_down_until {
            return;
        }
        let token = self.last_claim.0 + 1;
        self.last_claim = (token, by);
        self.copies.push(self.store.clone());
        self.store.revision += 1;
        self.store.token = token;
        let now = self.now;
        let daemon = &mut self.daemons[by];
        daemon.claim = Some((token, now + LEASE));
        daemon.renewed_at = now;
        daemon.has_taken_over = false;
        daemon.reports.start(NOTICE_TIME + report_interval(DAEMONS), now);
        for to in 0..DAEMONS {
            self.delay(Delayed::Notice { token, holder: by, to }, NOTICE_TIME);
        }
    }

    fn write(&mut self, replaces: u64, token: u64, usage: UsageState) -> bool {
        if self.store.revision != replaces || self.store.token != token {
            return false;
        }
        self.copies.push(self.store.clone());
        self.store = Record { revision: replaces + 1, token, usage: Some(usage) };
        true
    }

    fn accept(&mut self, report: UsageWindow) {
        let now = self.now;
        let entry = self.accepted.entry(report.number);
        let (counts, _) = entry.or_insert_with(|| (report.counts.clone(), now));
        assert_eq!(*counts, report.counts, "window {} has two counts", report.number);
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let (due, later) =
            std::mem::take(&mut self.delayed).into_iter().partition(|(at, _)| *at <= self.now);
        self.delayed = later;
        let due: Vec<(Millis, Delayed)> = due;
        for (_, delayed) in due {
            self.happen(delayed);
        }
        for index in 0..DAEMONS {
            if self.now >= self.store_down_until {
                self.daemons[index].era.observe(self.era, self.now);
            }
            self.run_requests(index);
            let steps = report_interval(DAEMONS).0 / STEP.0;
            if (self.now.0 / STEP.0 + index as u64).is_multiple_of(steps) {
                self.report(index);
            }
            self.act(index);
        }
    }

    fn happen(&mut self, delayed: Delayed) {
        match delayed {
            Delayed::Write { replaces, token, usage } => {
                self.write(replaces, token, usage);
            }
            Delayed::Call(report) => self.accept(report),
            Delayed::Report(report, to) => {
                self.daemons[to].reports.receive(&report, self.now);
            }
            Delayed::Notice { token, holder, to } => {
                let daemon = &mut self.daemons[to];
                daemon.known_holder = daemon.known_holder.max((token, holder));
            }
        }
    }

    fn run_requests(&mut self, index: usize) {
        let window = self.window();
        for _ in 0..self.rng.random_range(0..3) {
            let account = ACCOUNTS[self.rng.random_range(0..ACCOUNTS.len())];
            assert_eq!(self.daemons[index].counts.record(account, window), None);
            *self.truth.entry(window).or_default().entry(account.to_owned()).or_default() += 1;
        }
    }

    /// Reports the counts of a daemon to the holder that it knows.
    fn report(&mut self, index: usize) {
        let current_window = self.window();
        let daemon = &mut self.daemons[index];
        let (token, holder) = daemon.known_holder;
        if token == 0 || !daemon.counts.is_report_due(current_window, token) {
            return;
        }
        daemon.sequence += 1;
        let report = DutyReport {
            name: index.to_string(),
            data_centre: String::from("a"),
            incarnation: daemon.incarnation,
            sequence: daemon.sequence,
            current_window,
            last_window: daemon.reports.last_window(),
            is_last: false,
            windows: daemon.counts.windows(),
            covered_ms: 0,
            services: Vec::new(),
        };
        let recorded = daemon.counts.recorded();
        match self.delivery() {
            Delivery::RequestLost => return,
            Delivery::Delayed => return self.delay(Delayed::Report(report, holder), MAX_DELAY),
            Delivery::ResponseLost => {
                self.daemons[holder].reports.receive(&report, self.now);
                return;
            }
            Delivery::Answered => {}
        }
        let is_taken = self.daemons[holder].reports.receive(&report, self.now);
        let last_window = self.daemons[holder].reports.last_window();
        let daemon = &mut self.daemons[index];
        if let Some(window) = last_window {
            daemon.counts.observe_last_window(window);
            daemon.reports.observe_last_window(window);
        }
        if is_taken {
            daemon.counts.record_taken(recorded, current_window, token);
        }
    }

    /// Writes and sends what a holder has to. One that has lost the duties goes on until it looks at the
    /// object or gets a notice of another.
    fn act(&mut self, index: usize) {
        let Some((token, acts_at)) = self.daemons[index].claim else { return };
        let is_store_up = self.now >= self.store_down_until;
        let renews = is_store_up && self.rng.random_range(0..4) == 0;
        let is_replaced = self.daemons[index].known_holder.0 > token;
        let has_expired = self.now > self.daemons[index].renewed_at + LEASE;
        if is_replaced || has_expired || (renews && self.store.token != token) {
            return self.daemons[index].stop();
        }
        if renews {
            self.daemons[index].renewed_at = self.now;
        }
        let has_to_read = self.daemons[index].is_unsure || !self.daemons[index].has_taken_over;
        if self.now < acts_at || (has_to_read && !is_store_up) {
            return;
        }
        let (now, record) = (self.now, self.store.clone());
        let daemon = &mut self.daemons[index];
        if has_to_read {
            if record.token != token {
                return daemon.stop();
            }
            if !daemon.has_taken_over {
                let stated = record.usage.as_ref().and_then(|usage| usage.era);
                let era = daemon.era.get();
                let skipped = daemon.reports.take_over(record.usage.as_ref(), era);
                if stated == era.map(|era| era.number) {
                    assert_eq!(skipped, None, "windows of the present era are skipped");
                } else {
                    self.skipped_until = self.skipped_until.max(era.map(|era| era.known_at));
                }
                daemon.has_taken_over = true;
            } else if let Some(usage) = &record.usage {
                daemon.reports.confirm(usage);
            }
            daemon.is_unsure = false;
        }
        if let Some(era) = daemon.era.get() {
            daemon.reports.observe_era(era.number);
        }
        daemon.reports.expire(now);
        daemon.reports.begin_report(now);
        if let Some(usage) = daemon.reports.state_to_write() {
            self.write_usage(index, token, usage);
        }
        if let Some(report) = self.daemons[index].reports.report().cloned() {
            self.send(index, report);
        }
    }

    fn write_usage(&mut self, index: usize, token: u64, usage: UsageState) {
        let replaces = self.store.revision;
        self.daemons[index].is_unsure = true;
        if self.now < self.store_down_until {
            return;
        }
        if self.store.token != token {
            return self.daemons[index].stop();
        }
        match self.delivery() {
            Delivery::RequestLost => {}
            Delivery::Delayed => self.delay(Delayed::Write { replaces, token, usage }, MAX_DELAY),
            Delivery::ResponseLost => {
                self.write(replaces, token, usage);
            }
            Delivery::Answered => {
                assert!(self.write(replaces, token, usage.clone()));
                self.daemons[index].reports.confirm(&usage);
                self.daemons[index].is_unsure = false;
            }
        }
    }

    fn send(&mut self, index: usize, report: UsageWindow) {
        let window = report.number;
        let outcome = if self.now < self.platform_down_until {
            ReportOutcome::NotAccepted
        } else {
            match self.delivery() {
                Delivery::RequestLost => ReportOutcome::Unclear,
                Delivery::Delayed => {
                    self.delay(Delayed::Call(report), MAX_DELAY);
                    ReportOutcome::Unclear
                }
                Delivery::ResponseLost => {
                    self.accept(report);
                    ReportOutcome::Unclear
                }
                Delivery::Answered => {
                    self.accept(report);
                    ReportOutcome::Accepted
                }
            }
        };
        let now = self.now;
        let given_up = self.daemons[index].reports.record_outcome(window, outcome, now, now);
        assert_eq!(given_up, None);
    }

    fn has_holder(&self) -> bool {
        let holds =
            |daemon: &Daemon| daemon.claim.is_some_and(|(token, _)| token == self.store.token);
        self.daemons.iter().any(holds)
    }
}

fn run(seed: u64, faults: &[(u64, Fault)]) -> World {
    let mut world = World::new(seed);
    world.claim(0);
    while world.now < END {
        world.step();
        if world.now < FAULTY_TIME {
            let step = world.now.0 / STEP.0;
            for (_, fault) in faults.iter().filter(|(at, _)| *at == step) {
                world.inject(*fault);
            }
        } else if !world.has_holder() {
            world.claim(0);
        }
    }
    world
}

proptest! {
    /// Guards against a window that is accepted with two counts, or is missing, late or wrong although its
    /// daemons and the store run again.
    #[test]
    fn each_window_is_reported_once_whatever_is_lost(
        seed in any::<u64>(),
        faults in prop::collection::vec((1..FAULTY_TIME.0 / STEP.0, fault()), 0..12),
    ) {
        let world = run(seed, &faults);
        let last_due = FIRST_WINDOW + (END - LATE).0 / WINDOW.0 - 1;
        for window in FIRST_WINDOW..=last_due {
            let end = start(window + 1 - FIRST_WINDOW);
            let accepted = world.accepted.get(&window);
            if end <= FAULTY_TIME {
                // A window that ended before the store came back may have been accepted, and is skipped.
                let may_be_skipped = world.skipped_until.is_some_and(|until| end <= until);
                prop_assert!(accepted.is_some() || may_be_skipped, "window {window} is missing");
                continue;
            }
            let Some((counts, at)) = accepted else {
                return Err(TestCaseError::fail(format!("window {window} is missing")));
            };
            prop_assert!(*at <= end + LATE, "window {window} was accepted at {} ms", at.0);
            prop_assert_eq!(counts, &world.truth[&window], "window {}", window);
        }
    }
}
