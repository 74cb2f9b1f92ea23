use crate::Millis;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings of the cluster state machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ClusterConfig {
    /// Address from which this daemon sends its packets.
    pub address: SocketAddr,
    /// Data centre of this daemon.
    pub data_centre: String,
    /// Time between two probes of members of this data centre. A member that has not acknowledged a
    /// probe within this time is suspected.
    pub probe_interval: Millis,
    /// Time without a reply after which a direct probe is followed by indirect ones.
    pub probe_timeout: Millis,
    /// Number of members asked to probe a member indirectly.
    pub indirect_peers: usize,
    /// Time after which a suspected member is probed once more before it is declared dead.
    pub suspicion_timeout: Millis,
    /// Number of members of each data centre that are bridges: they probe the other data centres.
    pub bridges: usize,
    /// Time without a packet from a data centre after which it counts as unreachable.
    pub unreachable_after: Millis,
    /// Time after which a member of an unreachable data centre that is not on the platform's list
    /// is declared dead.
    pub unlisted_timeout: Millis,
    /// Number of members that get the first announcement of a revision, a refutation or a
    /// departure. Repeated announcements of a revision go to half as many.
    pub fanout: usize,
    /// Time between two packets that contain only gossip.
    pub gossip_interval: Millis,
    /// Maximum rate of gossip sent by this daemon.
    pub gossip_bytes_per_second: u64,
    /// Maximum size of an encoded packet.
    pub packet_limit_bytes: usize,
    /// Number of members of each data centre that watch the store.
    pub watchers: usize,
    /// Time between two attempts to join.
    pub join_interval: Millis,
    /// Attempts without a reply after which the daemon runs without peers.
    pub join_attempts: u32,
    /// Time after which a chunk is requested again.
    pub fetch_timeout: Millis,
    /// Maximum number of chunk requests in flight.
    pub fetch_window: usize,
    /// Time between becoming a store watcher and the first call to the store. Without lists, it
    /// restarts whenever a daemon of this data centre is discovered.
    pub watch_delay: Millis,
    /// Maximum rate of calls to the store.
    pub store_calls_per_second: u64,
    /// Upper bound of the delay after the first failed call to the store; doubles with each further
    /// one.
    pub backoff_base: Millis,
    /// Maximum delay after failed calls to the store.
    pub backoff_max: Millis,
    /// Time for which the tombstone of a member is kept.
    pub tombstone_retention: Millis,
    /// Maximum memory for shared values, both published by this daemon and received.
    pub table_limit_bytes: usize,
    /// Checks internal invariants after each event; a violation panics.
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
