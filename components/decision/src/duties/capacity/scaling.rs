use crate::Millis;
use std::collections::BTreeMap;

/// What the planner needs to know of the configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceScaling {
    /// The minimum number of endpoints in a data centre, both kinds together.
    pub minimum: u32,
    /// The maximum number of endpoints in a data centre, both kinds together.
    pub maximum: u32,
    /// The time until an ordered endpoint serves.
    pub boot: Millis,
    /// The price of a spot endpoint as a share of that of an ordinary one; 0 if there are none.
    pub spot_price: f64,
    /// The price of an endpoint by data centre; 1 where it is not listed.
    pub prices: BTreeMap<String, f64>,
    /// The number of requests that an endpoint runs concurrently.
    pub slots: u32,
    /// The memory of an endpoint in tokens; 0 for a plain service.
    pub cache_tokens: u64,
    /// Prompt tokens that an endpoint reads per millisecond.
    pub prefill_tokens_per_ms: f64,
}

impl Default for ServiceScaling {
    fn default() -> ServiceScaling {
        ServiceScaling {
            minimum: 1,
            maximum: u32::MAX,
            boot: Millis(4_000),
            spot_price: 0.0,
            prices: BTreeMap::new(),
            slots: 1,
            cache_tokens: 0,
            prefill_tokens_per_ms: 40.0,
        }
    }
}

impl ServiceScaling {
    /// Returns whether spot endpoints can be ordered and cost less than ordinary ones.
    pub(super) fn has_spot(&self) -> bool {
        self.spot_price > 0.0 && self.spot_price < 1.0
    }

    /// Returns the price of an endpoint in a data centre relative to the others.
    pub(super) fn price(&self, data_centre: &str) -> f64 {
        self.prices.get(data_centre).copied().unwrap_or(1.0)
    }

    /// Returns a number of endpoints within the limits.
    pub(super) fn clamp(&self, count: u32) -> u32 {
        count.max(self.minimum).min(self.maximum)
    }
}
