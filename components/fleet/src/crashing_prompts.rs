use crate::notice_fleet::{NoticeFleet, STEP};
use decision::Millis;
use decision::routing::{Content, Judgement};
use messages::feed::{CompletionNotice, CrashNotice, Notice};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeSet;

const SERVICE: &str = "pool";
/// The part that crashes endpoints.
const CRASHING_PART: u64 = 0xbad;
/// The digest of the request that crashes endpoints, if there is one.
const CRASHING_DIGEST: u64 = 0xbad;
/// First parts that requests have in common by default, and sessions.
const FIRST_PARTS: u64 = 40;
const SESSIONS: u64 = 255;
/// Time from sending a request until its endpoint begins to respond, and until the response ends.
const FIRST_BYTE_MS: std::ops::Range<u64> = 50..400;
const RESPONSE_MS: std::ops::Range<u64> = 100..2_000;
/// Time from a crash until the daemon of a request knows that the endpoint has crashed.
const DETECTION_TIME: Millis = Millis(20);
const RESTART_AFTER: Millis = Millis(4_000);
/// Requests with the part begin after this time, in which the fleet becomes steady.
const CRASHES_FROM: Millis = Millis(5_000);
/// Time between the samples of which daemons refuse the part.
const SAMPLE_INTERVAL: Millis = Millis(100);
const DURATION: Millis = Millis(50_000);
/// The crash from which the platform limits what reaches endpoints of requests with a part, and of
/// one request that comes again.
const LIMITING_CRASH: usize = 5;
const LIMITING_REPETITION: usize = 3;

/// A fleet, its load, and what fails.
#[derive(Clone, Debug)]
pub struct CrashConfig {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Sound requests per second.
    pub sound_per_s: f64,
    /// Requests per second with the part that crashes endpoints.
    pub crashing_per_s: f64,
    /// Number of different parts that crash endpoints.
    pub crashing_parts: u64,
    /// Whether endpoints crash before they respond to requests with such a part.
    pub crashes_before_response: bool,
    /// Number of first parts that all requests have in common.
    pub first_parts: u64,
    /// Whether one request comes again and again, rather than several with one part; its endpoints
    /// crash before they respond.
    pub repeats: bool,
    /// Time that daemons have to act on the fifth crash, or on the third under one request.
    pub contact_time: Millis,
    /// Whether the store readers of two data centres, one of them the first of its region, are lost
    /// at the third crash.
    pub loses_readers: bool,
    /// Time from the first crash for which the regions are separated.
    pub separated_for: Millis,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for CrashConfig {
    fn default() -> CrashConfig {
        CrashConfig {
            daemons: 7,
            endpoints: 12,
            sound_per_s: 60.0,
            crashing_per_s: 1.0,
            crashing_parts: 1,
            crashes_before_response: false,
            first_parts: FIRST_PARTS,
            repeats: false,
            contact_time: Millis(4_000),
            loses_readers: false,
            separated_for: Millis(0),
            seed: 1,
        }
    }
}

/// What happened to the requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrashResult {
    /// Endpoints that crashed.
    pub crashes: usize,
    /// Requests that crash endpoints and were sent to one later than the contact time after the
    /// crash from which they are limited; of several parts the most under one.
    pub sent_late: usize,
    /// Time from the third crash until the last daemon refused the part.
    pub condemned_after: Millis,
    /// Sound requests that were refused.
    pub sound_refused: usize,
    /// Sound requests that were sent.
    pub sound_sent: usize,
    /// Bytes of notices that a daemon sent on average.
    pub mean_bytes: u64,
    /// The most bytes of notices that a daemon sent.
    pub most_bytes: u64,
}

#[derive(Clone, Debug)]
struct Running {
    daemon: usize,
    endpoint: usize,
    sent_at: Millis,
    begins_at: Millis,
    ends_at: Millis,
    contents: BTreeSet<Content>,
    /// The number of the part with which it crashes its endpoint.
    crashing_part: Option<usize>,
}

struct Simulation {
    cfg: CrashConfig,
    rng: Pcg64,
    fleet: NoticeFleet,
    up_from: Vec<Millis>,
    running: Vec<Running>,
    crashed_at: Vec<Millis>,
    /// The crashes under each part that crashes endpoints.
    crashed_by_part: Vec<Vec<Millis>>,
    sent_late: Vec<usize>,
    /// Notices that a daemon publishes at a time.
    pending: Vec<(Millis, usize, Notice)>,
    result: CrashResult,
}

/// Simulates requests that crash endpoints beside sound ones.
pub fn measure_crashes(cfg: CrashConfig) -> CrashResult {
    let mut simulation = Simulation {
        rng: Pcg64::seed_from_u64(cfg.seed),
        fleet: NoticeFleet::new(cfg.daemons),
        up_from: vec![Millis(0); cfg.endpoints],
        running: Vec::new(),
        crashed_at: Vec::new(),
        crashed_by_part: vec![Vec::new(); cfg.crashing_parts as usize],
        sent_late: vec![0; cfg.crashing_parts as usize],
        pending: Vec::new(),
        result: CrashResult::default(),
        cfg,
    };
    let mut now = Millis(0);
    while now < DURATION {
        simulation.step(now);
        now = now + STEP;
    }
    simulation.result.crashes = simulation.crashed_at.len();
    simulation.result.sent_late = simulation.sent_late.iter().copied().max().unwrap_or(0);
    simulation.result.mean_bytes = simulation.fleet.mean_sent_bytes();
    simulation.result.most_bytes = simulation.fleet.most_sent_bytes();
    simulation.result
}

impl Simulation {
    fn step(&mut self, now: Millis) {
        let (due, later) = std::mem::take(&mut self.pending).into_iter().partition(|p| p.0 <= now);
        self.pending = later;
        let due: Vec<(Millis, usize, Notice)> = due;
        for (_, daemon, notice) in due {
            if self.fleet.is_up(daemon) {
                self.fleet.publish(daemon, notice, now);
            }
        }
        self.fleet.step(now);
        self.end_responses(now);
        self.crash_endpoints(now);
        let seconds = STEP.0 as f64 / 1_000.0;
        for (per_s, crashes) in [(self.cfg.sound_per_s, false), (self.cfg.crashing_per_s, true)] {
            if crashes && now < CRASHES_FROM {
                continue;
            }
            let expected = per_s * seconds;
            let arrivals =
                expected as usize + usize::from(self.rng.random::<f64>() < expected % 1.0);
            (0..arrivals).for_each(|_| self.send_request(crashes, now));
        }
        self.record_condemnation(now);
    }

    /// The contents of a request, and the number of the part with which it crashes its endpoint.
    fn contents(&mut self, crashes: bool) -> (BTreeSet<Content>, Option<usize>) {
        let first = 0x1000 + self.rng.random_range(0..self.cfg.first_parts);
        let session = 0x2000 + self.rng.random_range(0..SESSIONS);
        let has_part = crashes && !self.cfg.repeats;
        let part = self.rng.random_range(0..self.cfg.crashing_parts);
        let middle = if has_part { CRASHING_PART + part } else { 0x3000 + session };
        let is_repetition = crashes && self.cfg.repeats;
        let digest = if is_repetition { CRASHING_DIGEST } else { self.rng.random() };
        let crashing_part = crashes.then_some(if has_part { part as usize } else { 0 });
        (Content::set(&[first, middle, session], Some(digest)), crashing_part)
    }

    fn send_request(&mut self, crashes: bool, now: Millis) {
        let (contents, crashing_part) = self.contents(crashes);
        let daemon = self.rng.random_range(0..self.cfg.daemons);
        if !self.fleet.is_up(daemon) {
            return;
        }
        let judgement = self.fleet.judge(daemon, SERVICE, &contents, now);
        let is_refused = matches!(judgement, Judgement::Condemned(_));
        if !crashes {
            self.result.sound_sent += 1;
            self.result.sound_refused += usize::from(is_refused);
        }
        let up: Vec<usize> = (0..self.cfg.endpoints).filter(|n| self.up_from[*n] <= now).collect();
        if is_refused || up.is_empty() {
            return;
        }
        if let Some(part) = crashing_part.filter(|part| self.is_late(*part, now)) {
            self.sent_late[part] += 1;
        }
        let endpoint = up[self.rng.random_range(0..up.len())];
        let begins_at = now + Millis(self.rng.random_range(FIRST_BYTE_MS));
        let ends_at = begins_at + Millis(self.rng.random_range(RESPONSE_MS));
        let running =
            Running { daemon, endpoint, sent_at: now, begins_at, ends_at, contents, crashing_part };
        self.running.push(running);
    }

    fn is_late(&self, part: usize, now: Millis) -> bool {
        let limiting = if self.cfg.repeats { LIMITING_REPETITION } else { LIMITING_CRASH };
        let limiting = self.crashed_by_part[part].get(limiting - 1);
        limiting.is_some_and(|at| now > *at + self.cfg.contact_time)
    }

    fn end_responses(&mut self, now: Millis) {
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|request| request.crashing_part.is_none() && request.ends_at <= now);
        self.running = running;
        let ended: Vec<Running> = ended;
        for request in ended {
            let daemon = &mut self.fleet.daemons[request.daemon];
            let suspected =
                daemon.quarantine.record_own_completion(SERVICE, &request.contents, now);
            if !suspected.is_empty() {
                let (parts, digest) = Content::split(&suspected);
                let service = SERVICE.to_owned();
                let completion = CompletionNotice { service, parts, request: digest };
                let notice = Notice { completion: Some(completion), ..empty_notice() };
                self.pending.push((now, request.daemon, notice));
            }
        }
    }

    fn crash_endpoints(&mut self, now: Millis) {
        let crashing: Vec<(usize, usize)> = self
            .running
            .iter()
            .filter(|request| request.begins_at <= now)
            .filter_map(|request| Some((request.endpoint, request.crashing_part?)))
            .collect();
        for (endpoint, part) in crashing {
            if self.up_from[endpoint] <= now {
                self.crashed_by_part[part].push(now);
                self.crash(endpoint, now);
            }
        }
    }

    fn crash(&mut self, endpoint: usize, now: Millis) {
        self.up_from[endpoint] = now + RESTART_AFTER;
        self.crashed_at.push(now);
        let (lost, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|request| request.endpoint == endpoint);
        self.running = running;
        let lost: Vec<Running> = lost;
        for request in lost {
            let contents: Vec<Content> = request.contents.iter().copied().collect();
            let (parts, digest) = Content::split(&contents);
            let quarantine = &self.fleet.daemons[request.daemon].quarantine;
            let proven = quarantine.proven_parts(SERVICE, &parts, now);
            let crash = CrashNotice {
                service: SERVICE.to_owned(),
                endpoint: format!("i-{endpoint}-{}", self.crashed_at.len()),
                parts,
                proven,
                request: digest,
                has_begun: request.begins_at <= now
                    && !(request.crashing_part.is_some() && self.cfg.crashes_before_response),
                ran_ms: now.since(request.sent_at).0,
            };
            let notice = Notice { crash: Some(crash), ..empty_notice() };
            self.pending.push((now + DETECTION_TIME, request.daemon, notice));
        }
        if self.crashed_at.len() == 1 {
            self.fleet.separated_until = now + self.cfg.separated_for;
        }
        if self.crashed_at.len() == 3 && self.cfg.loses_readers {
            self.fleet.kill_reader(0, now);
            self.fleet.kill_reader(3, now);
        }
    }

    fn record_condemnation(&mut self, now: Millis) {
        let Some(third) = self.crashed_at.get(2) else { return };
        if !now.0.is_multiple_of(SAMPLE_INTERVAL.0) {
            return;
        }
        let contents = if self.cfg.repeats {
            Content::set(&[], Some(CRASHING_DIGEST))
        } else {
            Content::set(&[CRASHING_PART], None)
        };
        let refuses = |n: usize| {
            matches!(self.fleet.judge(n, SERVICE, &contents, now), Judgement::Condemned(_))
        };
        let all_refuse = (0..self.cfg.daemons).filter(|n| self.fleet.is_up(*n)).all(refuses);
        if !all_refuse {
            self.result.condemned_after = now.since(*third) + SAMPLE_INTERVAL;
        }
    }
}

fn empty_notice() -> Notice {
    Notice {
        origin: 0,
        sequence: 0,
        age_ms: 0,
        crash: None,
        completion: None,
        limit: None,
        departure: None,
        holder: None,
    }
}
