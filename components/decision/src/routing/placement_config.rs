use crate::Millis;

/// Figures of the choice that no endpoint states.
#[derive(Clone, Copy, Debug)]
pub struct PlacementConfig {
    /// Prompt tokens that an engine reads in a millisecond, until its own answers tell.
    pub read_rate: f64,
    /// Time that a request without a prompt takes, in milliseconds, until answers tell.
    pub call_ms: f64,
    /// Round trip to an endpoint of another data centre of the region, in milliseconds.
    pub data_centre_ms: f64,
    /// Round trip to an endpoint of another region, in milliseconds.
    pub region_ms: f64,
    /// Weight of reading again what another engine holds, against waiting as long.
    pub read_again: f64,
    /// Added for a bulk engine on which an interactive request would pause, in milliseconds.
    pub bulk_engine_ms: f64,
    /// Wait at an engine, as a share of the time that a request has to begin on time, from which it
    /// is not sent there.
    pub wait_share: f64,
    /// Interactive requests on an engine that leave each of them its pace, as a share of its slots.
    pub lane_fill: f64,
    /// The slowest pace of engines that is believed, as a multiple of the time that the prompts
    /// ahead take to read. An engine that reads without a pause makes one token of each answer in
    /// the time of a chunk, and the first event holds several.
    pub slowest_pace: f64,
    /// Weight of the wait for a free slot of an engine.
    pub slot_wait: f64,
    /// Added per failed answer of an endpoint, as a share of its answers, in milliseconds.
    pub failure_ms: f64,
    /// Time after which a part that was read is taken for evicted.
    pub cache_time: Millis,
}

impl Default for PlacementConfig {
    /// Rates of a large model on one accelerator; round trips of two regions on one continent,
    /// weighted for paid bytes.
    fn default() -> PlacementConfig {
        PlacementConfig {
            read_rate: 40.0,
            call_ms: 20.0,
            data_centre_ms: 5.0,
            region_ms: 60.0,
            read_again: 10.0,
            bulk_engine_ms: 400.0,
            wait_share: 1.0,
            lane_fill: 0.4,
            slowest_pace: 6.0,
            slot_wait: 1.0,
            failure_ms: 400.0,
            cache_time: Millis(20_000),
        }
    }
}
