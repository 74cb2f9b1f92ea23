use super::rendezvous::rendezvous_hash;
use super::usage::Usage;
use crate::Millis;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Share of the slots and of the memory of an endpoint that is divided among the daemons. The
/// remainder is room for trials.
const DIVIDED_SHARE: f64 = 0.75;
/// Share of the rejections that an endpoint bears that may be caused by trials of all daemons.
const TRIAL_SHARE: f64 = 0.15;
/// Share of the rejections that an endpoint bears that are expected where daemons with a slot each
/// may together have more requests in flight than it has slots.
const LOSS_SHARE: f64 = 0.15;
/// Steps of the search for the rate with a number of losses: halved so often, a slot is below 0.1%.
const LOSS_FORMULA_STEPS: u32 = 16;
/// Time of a request at an endpoint while none has been measured, in milliseconds.
const DEFAULT_WORK_MS: f64 = 100.0;
/// Weight of the latest request in the average time at an endpoint.
const WORK_AVERAGE_WEIGHT: f64 = 0.05;
/// Time after an endpoint did not respond in which no daemon sends it a request.
const ABSENCE_TIME: Millis = Millis(1_000);
/// Longest time between two trials of a daemon at an endpoint, also at one that bears no rejection.
const MAX_TRIAL_INTERVAL_MS: f64 = 60_000.0;
/// Time after the first statement in which endpoints may still begin to let fewer requests wait: a
/// trial before that tells nothing.
const SETTLING_TIME: Millis = Millis(5_000);
/// Time for which a window above the daemon's part is kept while it is not used.
const UNUSED_WINDOW_LIFETIME: Millis = Millis(10_000);
/// Time after a rejection within which the crash of an endpoint is taken for its consequence.
const FALL_TIME: Millis = Millis(1_500);

/// What the endpoints of a service last stated.
#[derive(Clone, Copy, Debug)]
struct Statement {
    /// The rejections in a second after which an endpoint falls over.
    max_rejections: f64,
    since: Millis,
    /// The average time of a request at an endpoint, once one has been measured.
    work_ms: Option<f64>,
}

/// The requests that this daemon may have in flight at an endpoint.
#[derive(Clone, Copy, Debug)]
struct Window {
    requests: u32,
    /// The earliest time of the next trial.
    trial_at: Millis,
    /// The earliest time of the next request, where daemons keep a rate.
    paced_until: Millis,
    used_at: Millis,
    rejected_at: Option<Millis>,
}

/// This daemon's part of the capacity of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Requests that it may have in flight there.
    pub requests: u32,
    /// Tokens that these may hold together; infinite for a plain service.
    pub tokens: f64,
    /// The daemons that share the endpoint.
    pub holders: f64,
    /// The slots of the endpoint.
    pub slots: u32,
    /// When this daemon makes its first trial within the interval of all holders, from 0 to 1.
    pub phase: f64,
}

/// Divides the endpoints of a service among daemons.
#[derive(Clone, Debug)]
pub struct Division<'a> {
    /// The endpoints, in this daemon's order of preference.
    ranked: Vec<&'a str>,
    daemons: f64,
    own_seed: u64,
}

impl<'a> Division<'a> {
    /// Divides `endpoints` among `daemons`; `own_seed` differs between daemons.
    pub fn new(endpoints: impl Iterator<Item = &'a str>, daemons: usize, own_seed: u64) -> Self {
        let mut ranked: Vec<&str> = endpoints.collect();
        ranked.sort_by_key(|id| Reverse(rendezvous_hash(id, own_seed)));
        Division { ranked, daemons: daemons.max(1) as f64, own_seed }
    }

    /// Returns this daemon's part of an endpoint with a number of slots and tokens of memory, 0 for a
    /// plain service.
    ///
    /// Where there are fewer slots than daemons, each daemon has one slot at the endpoints that it
    /// prefers, and at least at one.
    pub fn part(&self, endpoint: &str, slots: u32, cache_tokens: u64) -> Part {
        let exact = f64::from(slots) * DIVIDED_SHARE / self.daemons;
        let endpoints = self.ranked.len().max(1) as f64;
        let extra = (exact.fract() * endpoints).round();
        let extra = if exact < 1.0 { extra.max(1.0) } else { extra };
        let is_extra = self.ranked.iter().take(extra as usize).any(|id| *id == endpoint);
        let holders =
            if exact < 1.0 { (self.daemons * extra / endpoints).max(1.0) } else { self.daemons };
        let tokens = match cache_tokens {
            0 => f64::INFINITY,
            tokens => tokens as f64 * DIVIDED_SHARE / holders,
        };
        let phase = rendezvous_hash(endpoint, self.own_seed) as f64 / u64::MAX as f64;
        Part { requests: exact as u32 + u32::from(is_extra), tokens, holders, slots, phase }
    }
}

/// The endpoints that fall over if they reject too many requests a second, and how many requests
/// this daemon may have in flight at each.
///
/// Each daemon keeps within a window that begins with its part of the endpoint, so that endpoints
/// have room for what they get. A rejection reduces the window to what the endpoint runs. One
/// request more is sent as a trial, so rarely that the trials of all daemons stay below the
/// rejections that the endpoint bears.
#[derive(Clone, Debug, Default)]
pub struct BrittleEndpoints {
    services: BTreeMap<String, Statement>,
    windows: BTreeMap<String, Window>,
}

impl BrittleEndpoints {
    /// Records what a response of an endpoint of a service states; `None` if it is not brittle. All
    /// endpoints of a service state the same. Returns whether it is news.
    pub fn observe(&mut self, service: &str, max_rejections: Option<f64>, now: Millis) -> bool {
        let Some(max_rejections) = max_rejections else {
            return self.services.remove(service).is_some();
        };
        if let Some(known) = self.services.get_mut(service) {
            let is_news = known.max_rejections != max_rejections;
            known.max_rejections = max_rejections;
            return is_news;
        }
        let statement = Statement { max_rejections, since: now, work_ms: None };
        self.services.insert(service.to_owned(), statement);
        true
    }

    /// Returns the rejections a second that the endpoints of a service bear; `None` if it is not
    /// brittle.
    pub fn max_rejections(&self, service: &str) -> Option<f64> {
        self.services.get(service).map(|statement| statement.max_rejections)
    }

    /// Returns whether no service is brittle.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns the number of brittle services.
    pub fn len(&self) -> usize {
        self.services.len()
    }

    /// Returns whether a further request that holds `tokens` may be sent to an endpoint at which this
    /// daemon has `usage` in flight.
    pub fn admits(
        &self,
        service: &str,
        endpoint: &str,
        part: Part,
        usage: Usage,
        tokens: f64,
        now: Millis,
    ) -> bool {
        let Some(statement) = self.services.get(service) else { return true };
        let window = self.window(statement, endpoint, part, now);
        let fits_memory = usage.requests == 0 || usage.tokens + tokens <= part.tokens;
        let is_within = usage.requests < window.requests && fits_memory;
        let is_trial_due = part.requests > 0 && now >= window.trial_at;
        now >= window.paced_until && (is_within || is_trial_due)
    }

    /// Records that this daemon sends a further request to an endpoint at which it has `usage` in
    /// flight.
    pub fn record_send(
        &mut self,
        service: &str,
        endpoint: &str,
        part: Part,
        usage: Usage,
        now: Millis,
    ) {
        let Some(statement) = self.services.get(service) else { return };
        let mut window = self.window(statement, endpoint, part, now);
        let requests = usage.requests + 1;
        if requests > window.requests {
            window.requests = requests;
            window.trial_at = now + trial_interval(statement, part);
        }
        if requests >= window.requests {
            window.used_at = now;
        }
        window.paced_until = now + send_interval(statement, part);
        self.windows.insert(endpoint.to_owned(), window);
    }

    /// Records that an endpoint rejected a request, while this daemon has `left` in flight there. Some
    /// of these may be rejected as well, so the window is at most the daemon's part afterwards.
    pub fn record_rejection(
        &mut self,
        service: &str,
        endpoint: &str,
        part: Part,
        left: u32,
        now: Millis,
    ) {
        let Some(statement) = self.services.get(service) else { return };
        let before = self.window(statement, endpoint, part, now);
        let requests = before.requests.min(part.requests).min(left);
        let trial_at = now + trial_interval(statement, part);
        let rejected_at = Some(now);
        let reduced = Window { requests, trial_at, used_at: now, rejected_at, ..before };
        self.windows.insert(endpoint.to_owned(), reduced);
    }

    /// Records that an endpoint did not respond. The daemons return to it one after the other, as it
    /// would fall over again if all did at once.
    pub fn record_absence(&mut self, service: &str, endpoint: &str, part: Part, now: Millis) {
        let Some(statement) = self.services.get(service) else { return };
        let before = self.window(statement, endpoint, part, now);
        let trial_at = now + ABSENCE_TIME + first_trial_delay(statement, part);
        self.windows.insert(endpoint.to_owned(), Window { requests: 0, trial_at, ..before });
    }

    /// Records that an endpoint ran a request, which took `took`. A window below the daemon's part
    /// grows with it, once the time of a trial has passed since the last rejection.
    pub fn record_success(
        &mut self,
        service: &str,
        endpoint: &str,
        part: Part,
        took: Millis,
        now: Millis,
    ) {
        let Some(statement) = self.services.get_mut(service) else { return };
        let average = statement.work_ms.get_or_insert(took.0 as f64);
        *average += (took.0 as f64 - *average) * WORK_AVERAGE_WEIGHT;
        let interval = trial_interval(statement, part);
        let Some(window) = self.windows.get_mut(endpoint) else { return };
        let is_quiet = window.rejected_at.is_none_or(|rejected| now.since(rejected) >= interval);
        if is_quiet && window.requests < part.requests {
            window.requests += 1;
        }
    }

    /// Returns whether an endpoint that crashed at the time `at` may have fallen over because it
    /// rejected requests of this daemon.
    pub fn may_have_fallen(&self, service: &str, endpoint: &str, at: Millis) -> bool {
        let rejected_at = self.windows.get(endpoint).and_then(|window| window.rejected_at);
        self.services.contains_key(service)
            && rejected_at.is_some_and(|rejected| at.since(rejected) <= FALL_TIME)
    }

    /// Discards the windows of endpoints that are not listed, and all if no service is brittle.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        let is_brittle = !self.services.is_empty();
        self.windows.retain(|endpoint, _| is_brittle && is_listed(endpoint));
    }

    fn window(&self, statement: &Statement, endpoint: &str, part: Part, now: Millis) -> Window {
        let initial = Window {
            requests: part.requests,
            trial_at: statement.since + SETTLING_TIME + first_trial_delay(statement, part),
            paced_until: Millis(0),
            used_at: statement.since,
            rejected_at: None,
        };
        let mut window = self.windows.get(endpoint).copied().unwrap_or(initial);
        if now.since(window.used_at) >= UNUSED_WINDOW_LIFETIME {
            window.requests = window.requests.min(part.requests);
        }
        window
    }
}

/// The time between two trials of one daemon at an endpoint.
fn trial_interval(statement: &Statement, part: Part) -> Millis {
    let per_second = statement.max_rejections * TRIAL_SHARE;
    let interval_ms = (part.holders * 1_000.0 / per_second).min(MAX_TRIAL_INTERVAL_MS);
    Millis(interval_ms.ceil() as u64)
}

/// The part of the first interval after which this daemon makes a trial, so that the trials of all
/// daemons are spread over it.
fn first_trial_delay(statement: &Statement, part: Part) -> Millis {
    Millis((trial_interval(statement, part).0 as f64 * part.phase) as u64)
}

/// The time between two requests of one daemon to an endpoint. Where the daemons that share it may
/// not have more requests in flight than it has slots, that is none.
fn send_interval(statement: &Statement, part: Part) -> Millis {
    if part.holders * f64::from(part.requests.max(1)) <= f64::from(part.slots) {
        return Millis(0);
    }
    let losses_per_s = statement.max_rejections * LOSS_SHARE;
    let work_ms = statement.work_ms.unwrap_or(DEFAULT_WORK_MS);
    let per_s = arrivals_with_losses(part.slots, work_ms / 1_000.0, losses_per_s);
    Millis((part.holders / per_s * 1_000.0).min(MAX_TRIAL_INTERVAL_MS) as u64)
}

/// The random arrivals a second of which an endpoint without a queue rejects about `losses_per_s`, by
/// Erlang's loss formula; `work_s` is the time of a request in seconds.
fn arrivals_with_losses(slots: u32, work_s: f64, losses_per_s: f64) -> f64 {
    let work_s = work_s.max(0.001);
    let (mut low, mut high) = (0.0, f64::from(slots));
    for _ in 0..LOSS_FORMULA_STEPS {
        let middle = (low + high) / 2.0;
        if middle / work_s * blocked_share(slots, middle) > losses_per_s {
            high = middle;
        } else {
            low = middle;
        }
    }
    high / work_s
}

/// The share of random arrivals that find all slots in use, with `offered` requests in service if none
/// were rejected.
fn blocked_share(slots: u32, offered: f64) -> f64 {
    (1..=slots).fold(1.0, |blocked, slot| {
        let weighted = offered * blocked;
        weighted / (f64::from(slot) + weighted)
    })
}
