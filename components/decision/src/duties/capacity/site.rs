use super::demand::{EndpointCounts, Work};
use super::order::{EndpointKind, OrderOutcome};
use super::ordered::Ordered;
use super::scaling::ServiceScaling;
use crate::Millis;
use std::collections::VecDeque;

/// Time for which the need must have been lower before endpoints are reduced.
const LOWER_AFTER: Millis = Millis(10_000);
/// Time between two reductions, in which the waits show the effect of the first.
const LOWER_INTERVAL: Millis = Millis(2_000);
/// Divisor of the excess that is reduced at a time, and the minimum number of endpoints.
const LOWER_DIVISOR: u32 = 4;
const LOWER_MIN: u32 = 2;
/// An excess of spot endpoints up to this part of their number, or [`LOWER_MIN`], is left.
const SPOT_EXCESS_DIVISOR: u32 = 5;
/// Time after the last change after which even one ordinary endpoint too many is given back; before,
/// a single one is not worth a call.
const SINGLE_EXCESS_AFTER: Millis = Millis(30_000);
/// Time for which new spot endpoints must have served before they replace ordinary ones: their
/// caches are empty at first.
const WARM_UP: Millis = Millis(2_000);
/// Time after which spot endpoints are ordered again where there were none.
const SPOT_RETRY_AFTER: Millis = Millis(15_000);
/// Time after which ordinary endpoints are ordered again where there were none.
const ORDINARY_RETRY_AFTER: Millis = Millis(5_000);
/// Time for which a refusal says that the platform has no spot endpoints at all.
const REFUSAL_HOLDS: Millis = Millis(500);
/// Time constant of the long-term averages, in milliseconds. A load that has just jumped is not
/// expected to jump as much again.
const AVERAGE_MS: f64 = 30_000.0;
/// Weight of the latest report in the short-term average of the work: counts of one second vary.
const WORK_WEIGHT: f64 = 0.5;
/// Growth above the short-term average that is followed at once.
const JUMP_FACTOR: f64 = 1.4;

/// How many endpoints a data centre is to have.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Goal {
    /// The minimum number of endpoints of both kinds.
    pub(super) total: u32,
    /// The minimum number of ordinary endpoints.
    pub(super) base: u32,
}

/// The state of a service in one data centre: what is ordered, and its recent need.
#[derive(Clone, Debug, Default)]
pub(super) struct Site {
    ordinary: Ordered,
    spot: Ordered,
    registered: EndpointCounts,
    /// Registered spot endpoints in the last [`WARM_UP`].
    recent_spot: VecDeque<(Millis, u32)>,
    /// Spot endpoints are not ordered before this time.
    spot_refused_until: Option<Millis>,
    /// Ordinary endpoints are not ordered before this time.
    ordinary_refused_until: Option<Millis>,
    /// When the platform refused to reduce an order of spot endpoints that do not come.
    reduction_refused_at: Option<Millis>,
    /// The order without a response so far.
    pending: Option<(EndpointKind, u32)>,
    started_at: Millis,
    lowered_at: Millis,
    /// Short-term averages of the steady and the burst need.
    steady: f64,
    burst: f64,
    /// Long-term averages of the steady and the burst need.
    average_steady: f64,
    average_burst: f64,
    /// When the need was last updated; `None` before any report.
    updated_at: Option<Millis>,
    /// The needs of the last [`LOWER_AFTER`], with and without a burst.
    recent_needs: VecDeque<(Millis, f64, f64)>,
}

impl Site {
    /// Starts from the registered endpoints. The former holder may have ordered more spot endpoints,
    /// which were reclaimed or refused.
    pub(super) fn new(registered: EndpointCounts, scaling: &ServiceScaling, now: Millis) -> Site {
        let standing = if scaling.has_spot() { scaling.maximum() } else { registered.spot };
        Site {
            ordinary: Ordered::new(registered.ordinary, now),
            spot: Ordered { standing, ..Ordered::new(registered.spot, now) },
            registered,
            recent_spot: VecDeque::from([(now, registered.spot)]),
            started_at: now,
            lowered_at: now,
            ..Site::default()
        }
    }

    /// Records the registered endpoints. An order that was not carried out in time is given up, and
    /// endpoints that remain without an order are taken over.
    pub(super) fn observe(
        &mut self,
        registered: EndpointCounts,
        scaling: &ServiceScaling,
        now: Millis,
    ) {
        // All spot endpoints leave together, whether or not their entries say so before they are gone.
        let were_reclaimed = registered.spot < self.registered.spot
            && (registered.reclaimed > 0 || registered.spot == 0);
        self.registered = registered;
        self.recent_spot.push_back((now, registered.spot));
        while self.recent_spot.get(1).is_some_and(|(at, _)| now.since(*at) >= WARM_UP) {
            self.recent_spot.pop_front();
        }
        if were_reclaimed {
            self.spot.count = registered.spot;
        }
        let is_first = now.since(self.started_at) < scaling.boot();
        if self.spot.observe(registered.spot, is_first, scaling.boot(), now) {
            self.spot_refused_until = Some(now + SPOT_RETRY_AFTER);
        }
        self.ordinary.observe(registered.ordinary, is_first, scaling.boot(), now);
    }

    /// Records the work of the callers of the data centre.
    pub(super) fn record_work(
        &mut self,
        work: &Work,
        factor: f64,
        scaling: &ServiceScaling,
        now: Millis,
    ) {
        let (steady, burst) = (work.steady_need(scaling), work.burst_need(scaling));
        let Some(updated_at) = self.updated_at.replace(now) else {
            (self.steady, self.burst) = (steady, burst);
            (self.average_steady, self.average_burst) = (steady, burst);
            return self.record_need(factor, now);
        };
        self.steady = smooth(self.steady, steady);
        self.burst = smooth(self.burst, burst);
        let weight = 1.0 - (-(now.since(updated_at).0 as f64) / AVERAGE_MS).exp();
        self.average_steady += (self.steady - self.average_steady) * weight;
        self.average_burst += (self.burst - self.average_burst) * weight;
        self.record_need(factor, now);
    }

    fn record_need(&mut self, factor: f64, now: Millis) {
        let steady = self.steady * factor;
        let need = steady.max(self.burst.min(self.average_burst) * factor);
        self.recent_needs.push_back((now, need, steady));
        while self.recent_needs.front().is_some_and(|(at, ..)| now.since(*at) > LOWER_AFTER) {
            self.recent_needs.pop_front();
        }
    }

    /// Returns the greatest number of endpoints that were recently needed, with those for a burst.
    pub(super) fn need(&self) -> f64 {
        self.recent_needs.iter().map(|(_, need, _)| *need).fold(0.0, f64::max)
    }

    /// Returns the greatest number of endpoints that were recently needed without a burst.
    pub(super) fn steady_need(&self) -> f64 {
        self.recent_needs.iter().map(|(_, _, steady)| *steady).fold(0.0, f64::max)
    }

    /// Returns the endpoints that are needed without a burst in the long run.
    pub(super) fn average_need(&self) -> f64 {
        self.average_steady
    }

    /// Returns whether spot endpoints can be ordered.
    pub(super) fn has_spot(&self, scaling: &ServiceScaling, now: Millis) -> bool {
        scaling.has_spot() && self.spot_refused_until.is_none_or(|until| until <= now)
    }

    /// Returns the number of ordered endpoints.
    pub(super) fn ordered(&self, kind: EndpointKind) -> u32 {
        match kind {
            EndpointKind::Ordinary => self.ordinary.count,
            EndpointKind::Spot => self.spot.count,
        }
    }

    pub(super) fn start(&mut self, kind: EndpointKind, count: u32) {
        self.pending = Some((kind, count));
    }

    /// Records the response to the order that was started.
    pub(super) fn record(&mut self, kind: EndpointKind, outcome: OrderOutcome, now: Millis) {
        let Some((_, count)) = self.pending.take_if(|(pending, _)| *pending == kind) else {
            return;
        };
        let registered = self.registered;
        let (ordered, present) = match kind {
            EndpointKind::Ordinary => (&mut self.ordinary, registered.ordinary),
            EndpointKind::Spot => (&mut self.spot, registered.spot),
        };
        match outcome {
            OrderOutcome::Accepted => {
                if count < ordered.count {
                    self.lowered_at = now;
                }
                *ordered = Ordered::new(count, now);
            }
            OrderOutcome::Unavailable => {
                ordered.count = present.min(ordered.count);
                if kind == EndpointKind::Ordinary {
                    self.ordinary_refused_until = Some(now + ORDINARY_RETRY_AFTER);
                } else {
                    self.reduction_refused_at = (count < ordered.standing).then_some(now);
                    if count == 0 {
                        ordered.standing = 0;
                    }
                    self.spot_refused_until = Some(now + SPOT_RETRY_AFTER);
                }
            }
            OrderOutcome::Unknown => {
                ordered.standing = count.max(ordered.standing);
                ordered.is_uncertain = true;
            }
        }
    }

    /// Returns the next order for this goal, if any. `may_lower` is false while responses are late.
    pub(super) fn next_order(
        &self,
        goal: Goal,
        may_lower: bool,
        scaling: &ServiceScaling,
        now: Millis,
    ) -> Option<(EndpointKind, u32)> {
        let term = now.since(self.started_at);
        // Endpoints that the former holder ordered may not be registered before the boot time.
        if self.pending.is_some() || term < scaling.boot() {
            return None;
        }
        let raise = self.raised_spot(goal, scaling, now);
        let raise = raise.or_else(|| self.raised_ordinary(goal, scaling, now));
        if raise.is_some() {
            return raise;
        }
        if !may_lower || term < LOWER_AFTER || now.since(self.lowered_at) < LOWER_INTERVAL {
            return None;
        }
        let ordinary = self.lowered_ordinary(goal, scaling, now);
        ordinary
            .map(|count| (EndpointKind::Ordinary, count))
            .or_else(|| Some((EndpointKind::Spot, self.lowered_spot(goal, scaling)?)))
    }

    /// Returns the greatest number of endpoints of a kind that may be present. Those that leave do
    /// not count.
    fn present(&self, kind: EndpointKind) -> u32 {
        match kind {
            EndpointKind::Ordinary => self.ordinary.standing.max(self.registered.ordinary),
            EndpointKind::Spot => self.spot.standing.max(self.registered.spot),
        }
    }

    fn raised_spot(
        &self,
        goal: Goal,
        scaling: &ServiceScaling,
        now: Millis,
    ) -> Option<(EndpointKind, u32)> {
        if !self.has_spot(scaling, now) {
            return None;
        }
        let room = scaling.maximum().saturating_sub(self.present(EndpointKind::Ordinary));
        let wanted = goal.total.saturating_sub(goal.base);
        if wanted.min(room) <= self.spot.count {
            return None;
        }
        let count = scaling.clamp(with_margin(goal.total)).saturating_sub(goal.base);
        Some((EndpointKind::Spot, count.min(room)))
    }

    fn raised_ordinary(
        &self,
        goal: Goal,
        scaling: &ServiceScaling,
        now: Millis,
    ) -> Option<(EndpointKind, u32)> {
        if self.ordinary_refused_until.is_some_and(|until| now < until) {
            return None;
        }
        let is_short = self.ordinary.count + self.spot.count < goal.total;
        let wanted = if is_short && !self.has_spot(scaling, now) {
            scaling.clamp(with_margin(goal.total)).saturating_sub(self.spot.count)
        } else if is_short && self.spot_is_full(goal, scaling) {
            goal.total - self.spot.count
        } else {
            goal.base
        };
        let wanted = wanted.max(goal.base);
        if wanted <= self.ordinary.count {
            return None;
        }
        let room = scaling.maximum().saturating_sub(self.present(EndpointKind::Spot));
        let count = wanted.min(room);
        let has_minimum = self.ordinary.count + self.spot.count >= scaling.minimum();
        let is_blocked = wanted > room && self.spot.standing > self.spot.count;
        if is_blocked && (has_minimum || count <= self.ordinary.count) {
            // The spot endpoints that were ordered before do not come, so the order is reduced.
            return Some((EndpointKind::Spot, self.withdrawn_spot(scaling, now)));
        }
        (count > self.ordinary.count).then_some((EndpointKind::Ordinary, count))
    }

    /// Returns the number to which an order of spot endpoints that do not come is reduced: the minimum
    /// holds with it, unless the platform refuses even that number.
    fn withdrawn_spot(&self, scaling: &ServiceScaling, now: Millis) -> u32 {
        let missing = scaling.minimum().saturating_sub(self.ordinary.count);
        let refused_at = self.reduction_refused_at;
        let is_refused = refused_at.is_some_and(|at| now.since(at) < REFUSAL_HOLDS);
        if is_refused || missing >= self.spot.standing {
            return self.spot.count;
        }
        self.spot.count.max(missing)
    }

    /// Returns whether the spot endpoints that the goal asks for are ordered.
    fn spot_is_full(&self, goal: Goal, scaling: &ServiceScaling) -> bool {
        !scaling.has_spot() || self.spot.count >= goal.total.saturating_sub(goal.base)
    }

    /// Returns the number of spot endpoints that have served for a while.
    fn settled_spot(&self) -> u32 {
        let least = self.recent_spot.iter().map(|(_, count)| *count).min().unwrap_or(0);
        least.min(self.spot.count)
    }

    fn lowered_ordinary(&self, goal: Goal, scaling: &ServiceScaling, now: Millis) -> Option<u32> {
        let total = scaling.clamp(goal.total);
        let floor = total.saturating_sub(self.settled_spot()).max(goal.base);
        let excess = self.ordinary.count.saturating_sub(floor);
        let has_lasted = now.since(self.ordinary.changed_at) >= SINGLE_EXCESS_AFTER;
        if excess == 0 || (excess == 1 && !has_lasted) {
            return None;
        }
        Some(self.ordinary.count - lowering_step(excess))
    }

    fn lowered_spot(&self, goal: Goal, scaling: &ServiceScaling) -> Option<u32> {
        let ordinary = self.ordinary.count.min(goal.base);
        let total = scaling.clamp(goal.total);
        let margin = scaling.clamp(with_margin(goal.total)).saturating_sub(goal.base);
        let floor = margin.max(total.saturating_sub(ordinary));
        let excess = self.spot.count.saturating_sub(floor);
        if excess <= LOWER_MIN.max(self.spot.count / SPOT_EXCESS_DIVISOR) {
            return None;
        }
        Some(self.spot.count - lowering_step(excess))
    }
}

/// Returns the number of endpoints to give back at a time.
fn lowering_step(excess: u32) -> u32 {
    excess.div_ceil(LOWER_DIVISOR).max(LOWER_MIN).min(excess)
}

/// Adds a tenth, so that a slightly larger need takes no further call.
fn with_margin(count: u32) -> u32 {
    count.saturating_add(count.div_ceil(10))
}

/// Returns the average with a new value. A jump is followed at once.
fn smooth(average: f64, value: f64) -> f64 {
    if value > average * JUMP_FACTOR {
        return value;
    }
    average + (value - average) * WORK_WEIGHT
}
