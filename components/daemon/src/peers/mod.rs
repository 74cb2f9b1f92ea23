//! The datagrams between the daemons, and what the cluster decides for the rest of this one.

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

/// The time that the notes of leaving get before the process ends.
const LEAVE_NOTICE: Duration = Duration::from_millis(150);

/// This daemon among the others.
///
/// The lock of `cluster` comes before those of the tables and is not held during I/O.
pub struct Peers {
    tables: Arc<Tables>,
    cluster: Mutex<Cluster>,
    socket: UdpSocket,
    calls: Sender<StoreCall>,
    /// The daemons of the instance list, for their names and regions.
    listed: Mutex<BTreeMap<SocketAddr, Peer>>,
    closed: AtomicBool,
}

impl Peers {
    /// Starts to join the other daemons.
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
        let rng = Pcg64::from_seed(seed());
        let cluster = Cluster::new(cfg, Identity(tables.instance), rng, tables.now());
        let (tx, rx) = unbounded();
        let peers = Arc::new(Peers {
            tables: Arc::clone(tables),
            cluster: Mutex::new(cluster),
            socket,
            calls: tx,
            listed: Mutex::default(),
            closed: AtomicBool::new(false),
        });
        let receiver = Arc::clone(&peers);
        thread::Builder::new().name("peers".into()).spawn(move || receive(&receiver))?;
        let follower = Arc::clone(&peers);
        thread::Builder::new().name("lists".into()).spawn(move || follow_store(&follower, &rx))?;
        Ok(peers)
    }

    /// Gives the cluster an event and does what it decides.
    pub fn tell(&self, event: Event) {
        let effects = lock(&self.cluster).handle(event, self.tables.now());
        for effect in effects {
            self.execute(effect);
        }
    }

    /// Takes in the daemons of the instance list.
    pub fn list(&self, daemons: Vec<Peer>) {
        let seed =
            |peer: &Peer| Seed { address: peer.address, data_centre: peer.data_centre.clone() };
        let seeds = daemons.iter().map(seed).collect();
        *lock(&self.listed) = daemons.into_iter().map(|peer| (peer.address, peer)).collect();
        self.tell(Event::Instances(seeds));
        self.update_peers();
    }

    /// Notes whether the store answers a watcher of this data centre; nothing changes until one
    /// has told.
    fn update_store(&self) {
        let now = self.tables.now();
        let cluster = lock(&self.cluster);
        let lives = |id| id == cluster.me().identity || cluster.members().get(id).is_some();
        let notes = cluster.entries(now).filter(|e| e.key == STORE_KEY && lives(e.origin));
        let answers: Vec<bool> = notes.map(|entry| entry.values == [1]).collect();
        drop(cluster);
        if !answers.is_empty() {
            self.tables.store_reachable.store(answers.contains(&true), Ordering::Relaxed);
        }
    }

    /// Spreads a small value to every daemon.
    pub fn publish(&self, key: String, ttl: Millis, values: Vec<u64>) {
        self.tell(Event::Publish { key, scope: Scope::Fleet, ttl, values });
    }

    /// Returns the values that other daemons spread under a key, by origin.
    pub fn values(&self, key: &str) -> BTreeMap<u128, Vec<u64>> {
        let cluster = lock(&self.cluster);
        let me = cluster.me().identity;
        let entries = cluster.entries(self.tables.now());
        let others = entries.filter(|e| e.origin != me && e.key == key);
        others.map(|e| (e.origin.0, e.values.clone())).collect()
    }

    /// Tells the others that this daemon leaves.
    pub fn leave(&self) {
        self.tell(Event::Leave);
        // The ticks of the receiving thread repeat the note.
        thread::sleep(LEAVE_NOTICE);
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
                log::warn!("taken for dead as {old}; goes on as {new}");
            }
            Effect::Store(call) => {
                // The thread at the other end runs as long as the process.
                let _ = self.calls.send(call);
            }
            Effect::StoreOutdated { store, active } => {
                self.tables.notices.set_outdated_store(store, active);
                log::error!("the store has revision {store} and {active} is in force");
            }
            Effect::RevisionConflict { revision } => {
                self.tables.notices.set_conflict(revision);
                log::error!("two lists have revision {revision}; apply one again");
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
                log::error!("revision {} cannot be read: {e}", revision.number);
                return;
            }
        };
        let active = ActiveLists::new(revision.number, document.digest, document.lists);
        let mut current = lock_write(&self.tables.active);
        // Two threads may carry out the effects of two revisions.
        if active.revision > current.revision {
            log::info!("lists revision={} in force", active.revision);
            let share = active.lists.grants.share_of(&self.tables.cfg.data_centre);
            *current = Arc::new(active);
            lock(&self.tables.scheduler).set_limit_share(share);
        }
    }

    /// Makes the live members that can be reached the daemons that requests can be handed to.
    fn update_peers(&self) {
        let members: Vec<Member> = {
            let cluster = lock(&self.cluster);
            let is_cut_off =
                |m: &&Member| cluster.data_centres().get(&m.data_centre) == Some(&false);
            let live = cluster.members().iter().filter(|m| m.state == MemberState::Live);
            live.filter(|m| !is_cut_off(m)).cloned().collect()
        };
        let listed = lock(&self.listed).clone();
        let peer = |member: Member| {
            let known = listed.get(&member.address).cloned();
            (member.identity.0, known.unwrap_or_else(|| self.unlisted(member)))
        };
        *lock_write(&self.tables.peers) = members.into_iter().map(peer).collect();
    }

    /// Describes a member that the instance list does not name yet.
    fn unlisted(&self, member: Member) -> Peer {
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

fn seed() -> [u8; 32] {
    let (first, second) = (random_id().to_be_bytes(), random_id().to_be_bytes());
    std::array::from_fn(|i| if i < 16 { first[i] } else { second[i - 16] })
}
