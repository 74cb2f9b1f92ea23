use crate::Millis;

/// Parameters of the cost function that endpoints do not announce in the registry.
#[derive(Clone, Copy, Debug)]
pub struct PlacementConfig {
    /// Prompt tokens that an engine prefills per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Service time of a request without a prompt, in milliseconds.
    pub call_ms: f64,
    /// Round trip to an endpoint of another data centre of the region, in milliseconds.
    pub data_centre_rtt_ms: f64,
    /// Round trip to an endpoint of another region, in milliseconds.
    pub region_rtt_ms: f64,
    /// Cost of prefilling shared parts of a prompt that are not cached at the engine, as a multiple
    /// of the cost of waiting for the same time.
    pub repeated_prefill_weight: f64,
    /// Cost of sending an interactive request to a bulk engine, where long prompts would interrupt
    /// its stream, in milliseconds.
    pub bulk_engine_penalty_ms: f64,
    /// Expected wait above which an engine counts as saturated, as a share of the wait budget of
    /// the request.
    pub wait_budget_share: f64,
    /// Interactive requests that an engine can run without slowing their streams, as a share of its
    /// slots.
    pub interactive_slot_share: f64,
    /// Upper bound of the wait correction (observed wait divided by predicted wait). Waits exceed
    /// the prediction because an engine that always has prompts to prefill generates only one token
    /// per response and prefill chunk, and the first event contains several tokens; the bound is
    /// therefore above 1.
    pub max_wait_correction: f64,
    /// Weight of the expected wait for a free slot of an engine; 0 ignores it.
    pub slot_wait_weight: f64,
    /// Cost of an endpoint all of whose recent requests failed, in milliseconds; scaled by the
    /// share of failures.
    pub failure_penalty_ms: f64,
    /// Cost of the failure of a request that must not be repeated, in milliseconds; scaled by the
    /// share of failures above that of other endpoints. Its client gets no response at all.
    pub lost_request_ms: f64,
    /// Time after its last use at which a prompt part counts as evicted from the cache.
    pub cache_ttl: Millis,
}

impl Default for PlacementConfig {
    /// Rates of a large model on one accelerator; round trips between two regions of one continent,
    /// increased to account for the cost of the traffic.
    fn default() -> PlacementConfig {
        PlacementConfig {
            prefill_tokens_per_ms: 40.0,
            call_ms: 20.0,
            data_centre_rtt_ms: 5.0,
            region_rtt_ms: 60.0,
            repeated_prefill_weight: 10.0,
            bulk_engine_penalty_ms: 400.0,
            wait_budget_share: 1.0,
            interactive_slot_share: 0.4,
            max_wait_correction: 6.0,
            slot_wait_weight: 1.0,
            failure_penalty_ms: 400.0,
            lost_request_ms: 4_000.0,
            cache_ttl: Millis(20_000),
        }
    }
}
