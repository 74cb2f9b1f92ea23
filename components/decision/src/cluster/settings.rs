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
    pub suspicion: Millis,
    /// Members of a data centre that probe the other data centres.
    pub bridges: usize,
    /// The time without a word from a data centre after which it counts as cut off.
    pub unreachable_after: Millis,
    /// The time after which an unlisted member of an unreachable data centre counts as dead.
    pub unlisted_limit: Millis,
    /// Members told at once of a new revision.
    pub fanout: usize,
    /// The time between two packets that only spread news.
    pub spread_interval: Millis,
    /// Bytes of news sent in a second at most.
    pub spread_rate: u64,
    /// Bytes of an encoded packet at most.
    pub packet_limit: usize,
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
    pub watch_hold: Millis,
    /// Calls to the store in a second at most.
    pub store_rate: u64,
    /// The first wait after a failed call to the store.
    pub backoff_base: Millis,
    /// The longest wait after failed calls to the store.
    pub backoff_limit: Millis,
    /// The time for which the end of a member is remembered.
    pub tombstone_limit: Millis,
    /// Bytes of shared values that this daemon keeps for itself and others.
    pub table_limit: usize,
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
            suspicion: Millis(2_000),
            bridges: 4,
            unreachable_after: Millis(6_000),
            unlisted_limit: Millis(120_000),
            fanout: 4,
            spread_interval: Millis(300),
            spread_rate: 1_500,
            packet_limit: 1_200,
            watchers: 2,
            join_interval: Millis(500),
            join_attempts: 4,
            fetch_timeout: Millis(120),
            fetch_window: 64,
            watch_hold: Millis(2_000),
            store_rate: 4,
            backoff_base: Millis(250),
            backoff_limit: Millis(10_000),
            tombstone_limit: Millis(7 * 24 * 3_600_000),
            table_limit: 4 << 20,
            check_invariants: false,
        }
    }
}
