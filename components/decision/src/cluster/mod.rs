//! Cluster state machine of the daemons: membership, distribution of the two lists (plans and
//! grants) and gossip of small shared values.
//!
//! In each data centre a few members have duties: watchers read the lists from the store, and
//! bridges probe members of the other data centres.

mod anti_entropy;
mod chunks;
mod event;
mod gossip;
mod identity;
mod list_sync;
mod lists;
mod member;
mod members;
mod membership;
mod packets;
mod prober;
mod probing;
mod reachability;
mod rendezvous;
mod settings;
mod state;
mod store_watch;
mod table;

pub use chunks::{ChunkMap, ChunkTree, chunk_digest};
pub use event::{Effect, Event, MemberChange, Seed};
pub use identity::Identity;
pub use lists::{ListState, OfferOutcome, Revision};
pub use member::{Member, MemberState};
pub use members::{Members, Merge};
pub use packets::packet_bytes;
pub use rendezvous::owners;
pub use settings::ClusterConfig;
pub use state::{Cluster, Counters};
pub use store_watch::{StoreCall, StoreLimits, StoreOutcome, StoreWatch};
pub use table::{Entry, Scope, Table};
