use crate::Millis;
use crate::routing::{PlacementConfig, Scaling, Service};

/// What the planner needs to know of the configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceScaling {
    /// The limits and prices.
    pub scaling: Scaling,
    /// The number of requests that an endpoint runs concurrently.
    pub slots: u32,
    /// The memory of an endpoint in tokens; 0 for a plain service.
    pub cache_tokens: u64,
    /// Prompt tokens that an endpoint reads per millisecond.
    pub prefill_tokens_per_ms: f64,
}

impl ServiceScaling {
    /// Creates it from the configuration of a service whose endpoints register with this number of
    /// slots; `None` if its endpoints are not ordered.
    pub fn new(
        service: &Service,
        slots: u32,
        placement: &PlacementConfig,
    ) -> Option<ServiceScaling> {
        let engine = service.engine.unwrap_or_default();
        Some(ServiceScaling {
            scaling: service.scaling.clone()?,
            slots: if engine.slots > 0 { engine.slots } else { slots.max(1) },
            cache_tokens: engine.cache_tokens,
            prefill_tokens_per_ms: placement.prefill_tokens_per_ms,
        })
    }

    pub(super) fn boot(&self) -> Millis {
        self.scaling.boot
    }

    pub(super) fn minimum(&self) -> u32 {
        self.scaling.minimum
    }

    pub(super) fn maximum(&self) -> u32 {
        self.scaling.maximum
    }

    /// Returns whether spot endpoints can be ordered and cost less than ordinary ones.
    pub(super) fn has_spot(&self) -> bool {
        self.scaling.spot_price.is_some_and(|price| price > 0.0 && price < 1.0)
    }

    /// Returns the price of an endpoint in a data centre relative to the others.
    pub(super) fn price(&self, data_centre: &str) -> f64 {
        self.scaling.data_centre_prices.get(data_centre).copied().unwrap_or(1.0)
    }

    /// Returns a number of endpoints within the limits.
    pub(super) fn clamp(&self, count: u32) -> u32 {
        count.max(self.minimum()).min(self.maximum())
    }
}
