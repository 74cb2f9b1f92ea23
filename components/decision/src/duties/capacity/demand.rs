use super::scaling::ServiceScaling;
use crate::Millis;
use std::collections::BTreeMap;

/// Share of the time of an endpoint that reading prompts may take in the long run. While an
/// endpoint reads, its running streams get one token per chunk of the prompt.
const READING_SHARE: f64 = 0.7;
/// Share of the slots of an endpoint that may be in use in the long run: with more, the streams with
/// a short limit on the gap between events are slowed.
const SLOT_SHARE: f64 = 0.4;
/// Share of the memory of an endpoint that running requests may hold. The rest keeps prompts cached.
const MEMORY_SHARE: f64 = 0.5;
/// The factor by which the load may grow within a second.
const BURST_FACTOR: f64 = 2.3;
/// [`READING_SHARE`] and [`SLOT_SHARE`] in a burst, until the endpoints that are ordered for it
/// serve.
const BURST_READING_SHARE: f64 = 0.75;
const BURST_SLOT_SHARE: f64 = 0.8;
/// Time in which the prompts that wait are to be read.
const BACKLOG_MS: f64 = 1_000.0;

/// What the callers of a data centre ask of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Requests sent to endpoints per second.
    pub placed: f64,
    /// Prompt tokens to be read per second, without those that endpoints have cached.
    pub prompt_tokens: f64,
    /// Requests refused for lack of capacity per second.
    pub refused: f64,
    /// Responses begun per second.
    pub begun: f64,
    /// Responses begun per second after more than half of the objective had passed.
    pub begun_late: f64,
    /// Requests in flight.
    pub in_flight: f64,
    /// Requests that wait at daemons for an endpoint.
    pub queued: f64,
    /// Tokens that the requests in flight hold in the memory of endpoints.
    pub held_tokens: f64,
    /// Prompt tokens of requests in flight whose response has not begun.
    pub unread_tokens: f64,
}

impl Work {
    /// Adds the work of another daemon.
    pub fn add(&mut self, other: &Work) {
        self.placed += other.placed;
        self.prompt_tokens += other.prompt_tokens;
        self.refused += other.refused;
        self.begun += other.begun;
        self.begun_late += other.begun_late;
        self.in_flight += other.in_flight;
        self.queued += other.queued;
        self.held_tokens += other.held_tokens;
        self.unread_tokens += other.unread_tokens;
    }

    /// Multiplies the work.
    pub(super) fn scale(&mut self, factor: f64) {
        self.placed *= factor;
        self.prompt_tokens *= factor;
        self.refused *= factor;
        self.begun *= factor;
        self.begun_late *= factor;
        self.in_flight *= factor;
        self.queued *= factor;
        self.held_tokens *= factor;
        self.unread_tokens *= factor;
    }

    /// Returns the endpoints that serve this work without late responses if it lasts.
    pub(super) fn steady_need(&self, scaling: &ServiceScaling) -> f64 {
        let rate = scaling.prefill_tokens_per_ms * 1_000.0;
        let backlog = self.unread_tokens / (rate * BACKLOG_MS / 1_000.0);
        let reading = self.prompt_tokens / rate + backlog;
        let need = reading / READING_SHARE + self.slots_used(scaling) / SLOT_SHARE;
        let memory = self.held_tokens / (scaling.cache_tokens as f64 * MEMORY_SHARE);
        if scaling.cache_tokens > 0 { need.max(memory) } else { need }
    }

    /// Returns the endpoints that bear [`BURST_FACTOR`] times this work until more of them serve.
    pub(super) fn burst_need(&self, scaling: &ServiceScaling) -> f64 {
        let reading = self.prompt_tokens / (scaling.prefill_tokens_per_ms * 1_000.0);
        let slots = (self.in_flight + self.queued) / f64::from(scaling.slots.max(1));
        BURST_FACTOR * (reading / BURST_READING_SHARE + slots / BURST_SLOT_SHARE)
    }

    /// Returns the number of endpoints whose slots the requests would fill, with the refused ones.
    fn slots_used(&self, scaling: &ServiceScaling) -> f64 {
        let lost = if self.placed > 0.0 { 1.0 + self.refused / self.placed } else { 1.0 };
        (self.in_flight * lost + self.queued) / f64::from(scaling.slots.max(1))
    }
}

/// The endpoints of a service in a data centre, as registered.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointCounts {
    /// Ordinary endpoints that accept requests.
    pub ordinary: u32,
    /// Spot endpoints that accept requests.
    pub spot: u32,
    /// Spot endpoints that the platform reclaims.
    pub reclaimed: u32,
}

/// What is known of a service in a data centre.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DataCentreDemand {
    /// The daemons that are known there.
    pub daemons: u32,
    /// The daemons whose report is recent.
    pub reporting: u32,
    /// The work of the callers of the reporting daemons.
    pub work: Work,
    /// The registered endpoints.
    pub endpoints: EndpointCounts,
}

impl DataCentreDemand {
    /// Returns whether too few daemons report for an order to be based on it.
    pub(super) fn is_silent(&self) -> bool {
        self.reporting == 0 || self.reporting * 2 < self.daemons
    }
}

/// What is known of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    /// The name of the service.
    pub service: String,
    /// The number of daemons that are known from other sources than their reports; 0 if unknown.
    pub daemons: u32,
    /// When the list of endpoints was last confirmed.
    pub confirmed_at: Millis,
    /// The data centres with endpoints or daemons.
    pub data_centres: BTreeMap<String, DataCentreDemand>,
}

impl ServiceDemand {
    /// Returns whether fewer than half of the daemons report.
    pub(super) fn is_incomplete(&self) -> bool {
        let listed: u32 = self.data_centres.values().map(|demand| demand.daemons).sum();
        let daemons = listed.max(self.daemons);
        let reporting: u32 = self.data_centres.values().map(|demand| demand.reporting).sum();
        reporting == 0 || reporting * 2 < daemons
    }
}
