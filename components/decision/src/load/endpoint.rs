use super::observation::Smoothed;
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The static data of an endpoint, from the instance list and the endpoint's description.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EndpointInfo {
    /// The name of the endpoint's instance.
    pub name: String,
    /// The data centre of the instance.
    pub data_centre: String,
    /// The models or plain services that it serves.
    pub serves: BTreeSet<String>,
    /// The number of concurrent streams that it runs.
    pub slots: u32,
    /// Whether it can pause and resume a stream.
    pub pauses: bool,
}

/// The state of an endpoint incarnation; it only moves forward in this order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Accepts new requests.
    #[default]
    Live,
    /// Finishes its requests and accepts no new ones.
    Leaving,
}

/// A load report of an endpoint, already `age_ms` old when it is received.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EndpointReport {
    /// Running streams.
    pub running: u32,
    /// Requests queued inside the endpoint.
    pub waiting: u32,
    /// The age of the report when it was received, in milliseconds.
    pub age_ms: u64,
}

/// The scheduler's state of one endpoint.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Endpoint {
    /// The static data, replaced on each description.
    pub info: EndpointInfo,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Requests of this daemon that it runs.
    pub outstanding: u32,
    /// Paused streams of this daemon.
    pub paused: u32,
    /// Failed attempts since the last successful one.
    pub failures: u32,
    /// The time before which a failed endpoint gets no requests.
    pub cooldown_until: Millis,
    /// The last load report and when it was received.
    pub report: Option<(EndpointReport, Millis)>,
    /// The running and paused requests of this daemon.
    pub requests: BTreeSet<u64>,
    /// The time to the first token, in milliseconds.
    pub first_token: Smoothed,
    /// The time between tokens, in milliseconds.
    pub between_tokens: Smoothed,
    /// Whether its time between tokens is much longer than the pool's median.
    pub slow: bool,
    /// The limit on its requests during slow start; `None` outside slow start.
    pub slow_start_limit: Option<u32>,
    /// A hash of the endpoint's name, used for prefix affinity.
    pub hash: u64,
}

/// The request limit of a slow endpoint and at the beginning of slow start.
const PROBE_REQUESTS: u32 = 1;

/// The upper bound of the cooldown as a multiple of the first one.
const MAX_COOLDOWN_FACTOR: u32 = 16;

impl Endpoint {
    /// Returns whether it is live and not cooling down.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.state == EndpointState::Live && self.cooldown_until <= now
    }

    /// Returns the maximum number of requests that it may run for this daemon.
    pub fn limit(&self) -> u32 {
        if self.slow {
            return PROBE_REQUESTS;
        }
        self.slow_start_limit.unwrap_or(self.info.slots).min(self.info.slots)
    }

    /// Returns whether it gets single requests that probe whether it has recovered.
    pub fn is_probed(&self) -> bool {
        self.slow || self.slow_start_limit == Some(PROBE_REQUESTS)
    }

    /// Records a failure and starts a cooldown that doubles with each consecutive failure.
    pub fn fail(&mut self, cooldown: Millis, slow_start: bool, now: Millis) {
        let times = 1 << self.failures.min(4);
        self.failures += 1;
        self.cooldown_until = now + Millis(cooldown.0 * u64::from(times.min(MAX_COOLDOWN_FACTOR)));
        if slow_start {
            self.slow_start_limit = Some(PROBE_REQUESTS);
        }
    }

    /// Records a complete response; doubles the slow-start limit until it reaches the slots.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.slow_start_limit =
            self.slow_start_limit.map(|limit| limit * 2).filter(|limit| *limit < self.info.slots);
    }
}
