use super::observation::Smoothed;
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What the instance list and the endpoint's own description say of an endpoint.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EndpointInfo {
    /// The name of the endpoint's instance.
    pub name: String,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// The models or plain services that it answers for.
    pub serves: BTreeSet<String>,
    /// The streams that it runs at once.
    pub slots: u32,
    /// Whether it can hold a stream back and go on with it.
    pub pauses: bool,
}

/// The life of an endpoint incarnation; it only moves down this list.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Takes new work.
    #[default]
    Live,
    /// Finishes what it has and takes nothing new.
    Leaving,
}

/// A load report of an endpoint, which describes a moment already past.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EndpointReport {
    /// Streams that ran.
    pub running: u32,
    /// Requests that waited inside the endpoint.
    pub waiting: u32,
    /// The age of the report when it was received, in milliseconds.
    pub age_ms: u64,
}

/// What the scheduler knows of an endpoint.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Endpoint {
    /// Its description.
    pub info: EndpointInfo,
    /// Its state.
    pub state: EndpointState,
    /// Requests of this daemon that it works on.
    pub outstanding: u32,
    /// Streams of this daemon that it holds back.
    pub paused: u32,
    /// Attempts that failed since the last one that went well.
    pub failures: u32,
    /// The time before which a failed endpoint gets no work.
    pub cooldown_until: Millis,
    /// Its last report and when it was received.
    pub report: Option<(EndpointReport, Millis)>,
    /// Requests that it works on or holds back.
    pub requests: BTreeSet<u64>,
    /// The time to the first token, in milliseconds.
    pub first_token: Smoothed,
    /// The time between tokens, in milliseconds.
    pub between_tokens: Smoothed,
    /// Whether it is much slower than its pool.
    pub slow: bool,
    /// Requests that it may work on while it comes back; `None` when it is back.
    pub slow_start_limit: Option<u32>,
    /// A hash of its name.
    pub hash: u64,
}

/// Requests that an endpoint gets at first when it comes back.
const SLOW_START_SLOTS: u32 = 1;

/// The longest rest as a multiple of the first.
const MAX_COOLDOWN_FACTOR: u32 = 16;

impl Endpoint {
    /// Returns whether it may get new work.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.state == EndpointState::Live && self.cooldown_until <= now
    }

    /// Returns the requests that it may work on at most.
    pub fn limit(&self) -> u32 {
        if self.slow {
            return SLOW_START_SLOTS;
        }
        self.slow_start_limit.unwrap_or(self.info.slots).min(self.info.slots)
    }

    /// Returns whether it gets single requests to see whether it is well again.
    pub fn is_probed(&self) -> bool {
        self.slow || self.slow_start_limit == Some(SLOW_START_SLOTS)
    }

    /// Notes a failure; the endpoint rests, longer each time.
    pub fn fail(&mut self, cooldown: Millis, slow_start: bool, now: Millis) {
        let times = 1 << self.failures.min(4);
        self.failures += 1;
        self.cooldown_until = now + Millis(cooldown.0 * u64::from(times.min(MAX_COOLDOWN_FACTOR)));
        if slow_start {
            self.slow_start_limit = Some(SLOW_START_SLOTS);
        }
    }

    /// Notes a whole answer; an endpoint that comes back may work on more.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.slow_start_limit =
            self.slow_start_limit.map(|limit| limit * 2).filter(|limit| *limit < self.info.slots);
    }
}
