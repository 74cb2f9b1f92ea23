use crate::Millis;
use serde::{Deserialize, Serialize};

/// The weight of a new observation in the moving averages.
const EWMA_WEIGHT: f64 = 0.1;

/// An exponentially weighted mean and mean deviation.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Smoothed {
    /// The mean, in the unit of the observations.
    pub mean: f64,
    /// The mean absolute deviation; half of the first observation to begin with.
    pub deviation: f64,
    /// The number of observations, saturating.
    pub count: u32,
}

impl Smoothed {
    /// Adds an observation to both averages.
    pub fn add(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            self.mean = value;
            self.deviation = value / 2.0;
            return;
        }
        self.deviation += EWMA_WEIGHT * ((value - self.mean).abs() - self.deviation);
        self.mean += EWMA_WEIGHT * (value - self.mean);
    }

    /// Returns the mean plus two mean deviations, or `default` before the first observation.
    pub fn upper_or(&self, default: f64) -> f64 {
        if self.count == 0 { default } else { self.mean + 2.0 * self.deviation }
    }

    /// Returns the mean, or `default` before the first observation.
    pub fn mean_or(&self, default: f64) -> f64 {
        if self.count == 0 { default } else { self.mean }
    }
}

/// Returns the median, the upper one of an even number; `None` for no values.
pub(super) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// The time constant of the decay of a rate, in milliseconds.
const RATE_TIME_CONSTANT_MS: f64 = 5_000.0;

/// An exponentially decaying rate.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    per_ms: f64,
    updated_at: Millis,
}

impl Rate {
    pub(super) fn add(&mut self, amount: f64, now: Millis) {
        self.per_ms = self.per_ms(now) + amount / RATE_TIME_CONSTANT_MS;
        self.updated_at = now;
    }

    /// Returns the rate per millisecond, decayed to `now`.
    pub(super) fn per_ms(&self, now: Millis) -> f64 {
        self.per_ms * (-(now.since(self.updated_at).0 as f64) / RATE_TIME_CONSTANT_MS).exp()
    }
}
