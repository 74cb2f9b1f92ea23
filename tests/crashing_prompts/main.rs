//! What reaches endpoints of requests with prompt parts that crash them, and what is served beside
//! them, at the request rate of a small site.

#[path = "../platform_objects/mod.rs"]
mod platform_objects;
mod site;
mod traffic;

use fakes::CrashStage;
use rstest::rstest;
use site::{Registry, Site, kill_in_turn};
use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use traffic::{Outcome, Pace, Position, Sample, Traffic, TrafficConfig};

/// The crashes after which the platform limits what reaches endpoints.
const CRASHES: usize = 5;
/// The time that daemons have to act on the last of these crashes (`contact_ms`).
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// The requests with a part that may reach endpoints after that.
const ALLOWED_LATE: usize = 3;
/// Time in which requests are sent before the first one with a crashing part.
const WARM_UP: Duration = Duration::from_secs(3);
/// The first five crashes take less than a second, the daemons have `CONTACT_TIME`, and the endpoints
/// that crashed meanwhile are back three seconds later.
const SETTLED_AFTER: Duration = Duration::from_secs(8);
/// With three parts, up to twelve endpoints are gone before each part has crashed five of them, so the
/// last of these crashes may come only after a restart.
const SETTLED_AFTER_THREE: Duration = Duration::from_secs(12);
/// The share of sound requests that must be served.
const SERVED_SHARE: f64 = 0.9;
/// The share of sound requests that must be served, or refused with a time after which to send again,
/// while endpoints are gone. Streams that run at a crashing endpoint may break off.
const ANSWERED_SHARE: f64 = 0.5;
const LOG_LINES: usize = 6;
/// Gateways write their lines in batches.
const LOG_DELAY: Duration = Duration::from_millis(500);

/// Held by the test that runs: each has seven processes, and time limits are checked.
static RUNNING: Mutex<()> = Mutex::new(());

struct Scenario {
    crashing_parts: usize,
    position: Position,
    stage: CrashStage,
    pace: Pace,
    has_equal_bodies: bool,
    kills_gateways: bool,
    duration: Duration,
    settled_after: Duration,
}

impl Default for Scenario {
    /// A twentieth of the requests crash endpoints.
    fn default() -> Scenario {
        Scenario {
            crashing_parts: 1,
            position: Position::First,
            stage: CrashStage::BeforeHead,
            pace: Pace::OneOf(20),
            has_equal_bodies: false,
            kills_gateways: false,
            duration: Duration::from_secs(13),
            settled_after: SETTLED_AFTER,
        }
    }
}

impl Scenario {
    /// One request at a time crashes endpoints, so enough of them are up all the time. With one crash
    /// under each request, the last eight seconds are later than `CONTACT_TIME` after the fifth.
    fn slow() -> Scenario {
        Scenario {
            pace: Pace::Interval(Duration::from_millis(1_500)),
            duration: Duration::from_secs(18),
            settled_after: Duration::ZERO,
            ..Scenario::default()
        }
    }
}

/// Guards against crashes that are not attributed to the part that causes them, and against sound
/// requests that are refused for a part which they share with those that crash endpoints.
#[rstest]
#[case::first_part(Scenario::default())]
#[case::gateways_killed(Scenario { kills_gateways: true, ..Scenario::default() })]
#[case::seldom(Scenario::slow())]
#[case::seldom_second_part(Scenario { position: Position::SecondOfThree, ..Scenario::slow() })]
#[case::seldom_last_part(Scenario { position: Position::LastOfThree, ..Scenario::slow() })]
#[case::within_response(Scenario { stage: CrashStage::AfterEvent, ..Scenario::default() })]
#[case::within_response_equal_bodies(Scenario {
    stage: CrashStage::AfterEvent,
    has_equal_bodies: true,
    ..Scenario::default()
})]
#[case::within_response_second_part_equal_bodies(Scenario {
    position: Position::SecondOfThree,
    stage: CrashStage::AfterEvent,
    has_equal_bodies: true,
    ..Scenario::default()
})]
#[case::three_parts(Scenario {
    crashing_parts: 3,
    duration: Duration::from_secs(17),
    settled_after: SETTLED_AFTER_THREE,
    ..Scenario::default()
})]
fn crashing_parts_are_kept_from_endpoints_and_sound_requests_served(#[case] scenario: Scenario) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let crashing_parts: Vec<String> =
        (0..scenario.crashing_parts).map(|number| format!("bad{number}")).collect();
    let mut site = Site::start(&crashing_parts, scenario.stage);
    let first_crashing = Instant::now() + WARM_UP;
    let end = first_crashing + scenario.duration;
    let cfg = TrafficConfig {
        crashing_parts: crashing_parts.clone(),
        position: scenario.position,
        pace: scenario.pace,
        has_equal_bodies: scenario.has_equal_bodies,
        first_crashing,
        end,
    };
    let traffic = Traffic::new(cfg, site.gateways.iter().map(|gateway| gateway.address).collect());
    let Site { gateways, registry } = &mut site;
    thread::scope(|scope| {
        scope.spawn(|| registry.follow_restarts(end));
        if scenario.kills_gateways {
            scope.spawn(|| {
                kill_in_turn(gateways, end, |gateway, is_in_service| {
                    traffic.set_in_service(gateway.address, is_in_service);
                });
            });
        }
        traffic.run();
    });
    thread::sleep(LOG_DELAY);

    let reached: Vec<Reached> =
        crashing_parts.iter().map(|part| Reached::count(&site.registry, part)).collect();
    let settled = first_crashing + scenario.settled_after;
    let warm_up = Answers::count(&traffic.samples(first_crashing - WARM_UP, first_crashing));
    let early = Answers::count(&traffic.samples(first_crashing, first_crashing + SETTLED_AFTER));
    let later = Answers::count(&traffic.samples(settled, end));
    let by_part: Vec<String> = reached.iter().map(Reached::to_string).collect();
    let counts = format!(
        "crashing parts: {}\nsound requests, warm-up: {warm_up:?}\n\
         first {SETTLED_AFTER:?}: {early:?}\nafter {:?}: {later:?}",
        by_part.join("; "),
        scenario.settled_after
    );
    println!("{counts}");
    let log = || format!("{counts}\n{}", site.log_lines(LOG_LINES));
    assert!(warm_up.served_share() >= SERVED_SHARE, "not served before any crash\n{}", log());
    assert!(reached.iter().all(|reached| reached.crashes > 0), "no crash\n{}", log());
    let is_held = reached.iter().all(|reached| reached.late <= ALLOWED_LATE);
    let is_served = later.served_share() >= SERVED_SHARE;
    let is_answered = early.answered_share() >= ANSWERED_SHARE;
    assert!(
        is_held && is_served && is_answered,
        "crashing parts kept from endpoints: {is_held}, sound requests served: {is_served}, \
         answered while endpoints were gone: {is_answered}\n{}",
        log()
    );
}

/// What reached endpoints of requests with a crashing part.
struct Reached {
    crashes: usize,
    requests: usize,
    /// Requests later than `CONTACT_TIME` after the last of `CRASHES`.
    late: usize,
}

impl fmt::Display for Reached {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Reached { crashes, requests, late } = self;
        write!(f, "{crashes} crashes, {requests} requests reached endpoints, {late} of them late")
    }
}

impl Reached {
    fn count(registry: &Registry, part: &str) -> Reached {
        let requests = registry.requests_with(part);
        let mut crashes: Vec<Instant> = requests.iter().filter_map(|r| r.crashed).collect();
        crashes.sort();
        let late = crashes.get(CRASHES - 1).map_or(0, |limiting| {
            requests.iter().filter(|r| r.arrived > *limiting + CONTACT_TIME).count()
        });
        Reached { crashes: crashes.len(), requests: requests.len(), late }
    }
}

/// What clients got for sound requests.
#[derive(Debug)]
struct Answers {
    sent: usize,
    served: usize,
    refused: usize,
}

impl Answers {
    fn count(samples: &[Sample]) -> Answers {
        let count = |outcome| samples.iter().filter(|sample| sample.outcome == outcome).count();
        Answers {
            sent: samples.len(),
            served: count(Outcome::Served),
            refused: count(Outcome::Refused),
        }
    }

    fn served_share(&self) -> f64 {
        self.served as f64 / self.sent as f64
    }

    fn answered_share(&self) -> f64 {
        (self.served + self.refused) as f64 / self.sent as f64
    }
}
