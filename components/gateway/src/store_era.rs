use crate::adapter::Adapter;
use crate::clock::now;
use crate::gateway::Gateway;
use decision::StoreEra;
use http::HeaderMap;

impl<A: Adapter> Gateway<A> {
    /// Takes note of the era that a response of the store states in its head.
    pub(crate) fn observe_store_response(&self, headers: &HeaderMap) {
        let Some(number) = self.adapter.read_store_era(headers) else { return };
        let former = self.latest_era.borrow_mut().observe(number, now());
        if let Some(former) = former {
            tracing::warn!(event = "store_era_began", era = number, former = former.number);
        }
        let latest = self.store_era().map_or(number, |era| era.number);
        self.metrics.store_era.set(i64::try_from(latest).unwrap_or(i64::MAX));
    }

    /// The latest era of the store; `None` if it has stated none.
    pub(crate) fn store_era(&self) -> Option<StoreEra> {
        self.latest_era.borrow().get()
    }
}
