//! The membership and gossip protocol between daemons over UDP, and the effects of its decisions on
//! this daemon.

mod socket;
mod store_follower;

use crate::active_lists::ActiveLists;
use crate::peer::Peer;
use crate::tables::{Tables, lock, lock_write};
use crossbeam::channel::{Sender, unbounded};
use decision::Millis;
use decision::cluster::{
    Cluster, ClusterConfig, Effect, Event, Identity, Member, MemberState, Revision, Scope, Seed,
    StoreCall,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;
pub use socket::open_socket;
use socket::receive;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use store_follower::{ListsDocument, STORE_KEY, follow_store};
use utils::random_id;

/// Time for the leave messages to reach the other daemons before the process ends.
const LEAVE_NOTICE_TIME: Duration = Duration::from_millis(150);

/// This daemon as a member of the cluster.
///
/// The lock of `cluster` is taken before those of the tables and is not held during I/O.
pub struct Peers {
    tables: Arc<Tables>,
    cluster: Mutex<Cluster>,
    socket: UdpSocket,
    store_calls: Sender<StoreCall>,
    /// The daemons of the instance list by address, for their names and regions.
    listed: Mutex<BTreeMap<SocketAddr, Peer>>,
    /// Whether this daemon has left the cluster, which ends the receiving thread.
    closed: AtomicBool,
}

impl Peers {
    /// Starts the threads that join the cluster and follow the lists in the store.
    pub fn start(
        tables: &Arc<Tables>,
        socket: UdpSocket,
        address: SocketAddr,
    ) -> io::Result<Arc<Peers>> {
        let cfg = ClusterConfig {
            address: tables.cfg.peer_address.unwrap_or(address),
            data_centre: tables.cfg.data_centre.clone(),
            check_invariants: tables.cfg.check_invariants,
            ..ClusterConfig::default()
        };
        let rng = Pcg64::from_seed(random_seed());
        let cluster = Cluster::new(cfg, Identity(tables.identity), rng, tables.now());
        let (tx, rx) = unbounded();
        let peers = Arc::new(Peers {
            tables: Arc::clone(tables),
            cluster: Mutex::new(cluster),
            socket,
            store_calls: tx,
            listed: Mutex::default(),
            closed: AtomicBool::new(false),
        });
        let receiver = Arc::clone(&peers);
        thread::Builder::new().name("peers".into()).spawn(move || receive(&receiver))?;
        let follower = Arc::clone(&peers);
        thread::Builder::new().name("lists".into()).spawn(move || follow_store(&follower, &rx))?;
        Ok(peers)
    }

    /// Passes an event to the cluster and executes the effects.
    pub fn handle(&self, event: Event) {
        let effects = lock(&self.cluster).handle(event, self.tables.now());
        for effect in effects {
            self.execute(effect);
        }
    }

    /// Replaces the daemons of the instance list.
    pub fn set_listed_daemons(&self, daemons: Vec<Peer>) {
        let seed =
            |peer: &Peer| Seed { address: peer.address, data_centre: peer.data_centre.clone() };
        let seeds = daemons.iter().map(seed).collect();
        *lock(&self.listed) = daemons.into_iter().map(|peer| (peer.address, peer)).collect();
        self.handle(Event::Instances(seeds));
        self.update_peers();
    }

    /// Updates `store_reachable` from the reports of the daemons of this data centre that watch the
    /// store; keeps the former value while there is no report.
    fn update_store_reachable(&self) {
        let now = self.tables.now();
        let cluster = lock(&self.cluster);
        let is_member = |id| id == cluster.me().identity || cluster.members().get(id).is_some();
        let reports = cluster.entries(now).filter(|e| e.key == STORE_KEY && is_member(e.origin));
        let reachable: Vec<bool> = reports.map(|entry| entry.values == [1]).collect();
        drop(cluster);
        if !reachable.is_empty() {
            self.tables.store_reachable.store(reachable.contains(&true), Ordering::Relaxed);
        }
    }

    /// Gossips values to all daemons, which drop them after `ttl`.
    pub fn publish(&self, key: String, ttl: Millis, values: Vec<u64>) {
        self.handle(Event::Publish { key, scope: Scope::Fleet, ttl, values });
    }

    /// The values that other daemons have published under a key, by the identity of the daemon.
    pub fn values(&self, key: &str) -> BTreeMap<u128, Vec<u64>> {
        let cluster = lock(&self.cluster);
        let me = cluster.me().identity;
        let entries = cluster.entries(self.tables.now());
        let others = entries.filter(|e| e.origin != me && e.key == key);
        others.map(|e| (e.origin.0, e.values.clone())).collect()
    }

    /// Notifies the other daemons that this one leaves, and stops the protocol.
    pub fn leave(&self) {
        self.handle(Event::Leave);
        // The ticks of the receiving thread repeat the notification.
        thread::sleep(LEAVE_NOTICE_TIME);
        self.closed.store(true, Ordering::Relaxed);
    }

    fn execute(&self, effect: Effect) {
        match effect {
            Effect::Send { to, packet } => socket::send(self, to, &packet),
            Effect::ActivateLists { revision, text } => self.activate_lists(revision, &text),
            Effect::Member { member, change } => {
                log::info!("daemon={} at {} {change:?}", member.identity, member.address);
                self.update_peers();
            }
            Effect::IdentityReplaced { old, new } => {
                log::warn!("declared dead as {old} by other daemons; rejoining as {new}");
            }
            Effect::Store(call) => {
                // Sending cannot fail: the receiver lives as long as the process.
                let _ = self.store_calls.send(call);
            }
            Effect::StoreOutdated { store, active } => {
                self.tables.notices.set_outdated_store(store, active);
                log::error!(
                    "the store holds revision {store}, older than the active revision {active}; \
                     apply the lists again"
                );
            }
            Effect::RevisionConflict { revision } => {
                self.tables.notices.set_conflict(revision);
                log::error!(
                    "two different documents have revision {revision}; apply one of them again"
                );
            }
            Effect::DataCentre { name, reachable } => {
                self.tables.notices.set_reachable(&name, reachable);
                log::warn!("data centre {name} reachable={reachable}");
                self.update_peers();
            }
            Effect::Ready => self.tables.joined.store(true, Ordering::Relaxed),
        }
    }

    fn activate_lists(&self, revision: Revision, text: &str) {
        let document: ListsDocument = match serde_json::from_str(text) {
            Ok(document) => document,
            Err(e) => {
                log::error!(
                    "cannot parse the lists of revision {}; the active lists stay: {e}",
                    revision.number
                );
                return;
            }
        };
        let lists = ActiveLists::new(revision.number, document.digest, document.lists);
        let mut active = lock_write(&self.tables.active);
        // Two threads may execute the effects of two revisions in either order.
        if lists.revision > active.revision {
            log::info!("lists revision={} active", lists.revision);
            let share = lists.lists.grants.share_of(&self.tables.cfg.data_centre);
            *active = Arc::new(lists);
            lock(&self.tables.scheduler).set_limit_share(share);
        }
    }

    /// Sets the peers to the live members in reachable data centres.
    fn update_peers(&self) {
        let members: Vec<Member> = {
            let cluster = lock(&self.cluster);
            let is_unreachable =
                |m: &&Member| cluster.data_centres().get(&m.data_centre) == Some(&false);
            let live = cluster.members().iter().filter(|m| m.state == MemberState::Live);
            live.filter(|m| !is_unreachable(m)).cloned().collect()
        };
        let listed = lock(&self.listed).clone();
        let peer = |member: Member| {
            let known = listed.get(&member.address).cloned();
            (member.identity.0, known.unwrap_or_else(|| self.describe_unlisted(member)))
        };
        *lock_write(&self.tables.peers) = members.into_iter().map(peer).collect();
    }

    /// Describes a member that is not in the instance list yet: its address stands for its name,
    /// and its region is left empty in another data centre.
    fn describe_unlisted(&self, member: Member) -> Peer {
        let cfg = &self.tables.cfg;
        let is_local = member.data_centre == cfg.data_centre;
        Peer {
            name: member.address.to_string(),
            address: member.address,
            data_centre: member.data_centre,
            region: if is_local { cfg.region.clone() } else { String::new() },
        }
    }
}

fn random_seed() -> [u8; 32] {
    let (first, second) = (random_id().to_be_bytes(), random_id().to_be_bytes());
    std::array::from_fn(|i| if i < 16 { first[i] } else { second[i - 16] })
}
