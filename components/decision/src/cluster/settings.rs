use crate::Millis;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings of the cluster state machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ClusterConfig {
    /// The address that this daemon's packets come from.
    pub address: SocketAddr,
    /// The data centre of this daemon.
    pub data_centre: String,
    /// The time between two probes of members of the own data centre.
    pub probe_interval: Millis,
    /// The time after which a direct probe is followed by indirect ones.
    pub probe_timeout: Millis,
    /// Members asked to probe for this one.
    pub indirect_peers: usize,
    /// The time after which a suspected member is probed once more before it counts as dead.
    pub suspicion_timeout: Millis,
    /// Members of a data centre that probe the other data centres.
    pub bridges: usize,
    /// The time without a word from a data centre after which it counts as cut off.
    pub unreachable_after: Millis,
    /// The time after which an unlisted member of an unreachable data centre counts as dead.
    pub unlisted_timeout: Millis,
    /// Members told at once of a new revision.
    pub fanout: usize,
    /// The time between two packets that only spread news.
    pub gossip_interval: Millis,
    /// Bytes of news sent in a second at most.
    pub gossip_bytes_per_second: u64,
    /// Bytes of an encoded packet at most.
    pub packet_limit_bytes: usize,
    /// Members of a data centre that watch the store.
    pub watchers: usize,
    /// The time between two attempts to join.
    pub join_interval: Millis,
    /// Unanswered attempts after which a daemon stands alone.
    pub join_attempts: u32,
    /// The time after which a chunk is asked for again.
    pub fetch_timeout: Millis,
    /// Chunks asked for at once.
    pub fetch_window: usize,
    /// The time for which a daemon holds the duty to watch the store before its first call.
    pub watch_delay: Millis,
    /// Calls to the store in a second at most.
    pub store_calls_per_second: u64,
    /// The first wait after a failed call to the store.
    pub backoff_base: Millis,
    /// The longest wait after failed calls to the store.
    pub backoff_max: Millis,
    /// The time for which the end of a member is remembered.
    pub tombstone_retention: Millis,
    /// Bytes of shared values that this daemon keeps for itself and others.
    pub table_limit_bytes: usize,
    /// Whether internal invariants are checked while the daemon runs.
    pub check_invariants: bool,
}

impl Default for ClusterConfig {
    fn default() -> ClusterConfig {
        ClusterConfig {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            data_centre: String::from("local"),
            probe_interval: Millis(1_000),
            probe_timeout: Millis(300),
            indirect_peers: 3,
            suspicion_timeout: Millis(2_000),
            bridges: 4,
            unreachable_after: Millis(6_000),
            unlisted_timeout: Millis(120_000),
            fanout: 4,
            gossip_interval: Millis(300),
            gossip_bytes_per_second: 1_500,
            packet_limit_bytes: 1_200,
            watchers: 2,
            join_interval: Millis(500),
            join_attempts: 4,
            fetch_timeout: Millis(120),
            fetch_window: 64,
            watch_delay: Millis(2_000),
            store_calls_per_second: 4,
            backoff_base: Millis(250),
            backoff_max: Millis(10_000),
            tombstone_retention: Millis(7 * 24 * 3_600_000),
            table_limit_bytes: 4 << 20,
            check_invariants: false,
        }
    }
}
