use super::gossip::{GossipQueue, Update};
use super::prober::Prober;
use super::{
    ClusterConfig, Effect, Entry, Event, Identity, ListState, Member, MemberState, Members,
    Revision, Scope, Seed, StoreLimits, StoreWatch, Table, owners,
};
use crate::Millis;
use rand_pcg::Pcg64;
use std::collections::BTreeMap;

/// Delay between two ticks above which the process is taken to have been paused.
const STALL_THRESHOLD: Millis = Millis(500);
/// Time between two assignments of duties.
const DUTY_INTERVAL: Millis = Millis(1_000);

/// Counters of rejected input and of suspicions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Packets dropped because their sender had left or died.
    pub from_departed: u64,
    /// Member records and probe requests with an address that does not parse.
    pub bad_records: u64,
    /// Suspicions against this daemon that it refuted.
    pub refuted: u64,
    /// Suspicions raised by this daemon.
    pub suspected: u64,
}

/// Progress of joining the cluster.
#[derive(Clone, Debug, Default)]
pub(super) struct Join {
    pub is_complete: bool,
    pub attempts: u32,
    pub replies: u32,
    pub next_at: Millis,
}

/// Time of the last tick and due times of the periodic tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct Due {
    pub last_tick: Millis,
    pub gossip: Millis,
    pub bridge: Millis,
    pub duties: Millis,
    pub seeds: Millis,
    pub exchange: Millis,
    pub reachability: Millis,
    pub announce: Millis,
    pub store: Millis,
}

/// One daemon's view of the cluster.
///
/// The executor passes in events and the current time, and carries out the returned effects. The
/// state machine does no I/O.
#[derive(Clone, Debug)]
pub struct Cluster {
    pub(super) cfg: ClusterConfig,
    pub(super) rng: Pcg64,
    pub(super) me: Member,
    pub(super) members: Members,
    pub(super) prober: Prober,
    pub(super) gossip: GossipQueue,
    pub(super) lists: ListState,
    pub(super) table: Table,
    pub(super) store: StoreWatch,
    pub(super) seeds: Option<Vec<Seed>>,
    pub(super) join: Join,
    pub(super) due: Due,
    /// Time of the last packet from each data centre.
    pub(super) last_contact: BTreeMap<String, Millis>,
    /// The other data centres and whether each is reachable.
    pub(super) reachable: BTreeMap<String, bool>,
    /// Since when members of unreachable data centres have been missing from the platform's list.
    pub(super) unlisted_since: BTreeMap<Identity, Millis>,
    /// Sequence number of the last value published by this daemon.
    pub(super) entry_sequence: u64,
    /// Announcements still to be sent, of the active revision or of the departure.
    pub(super) announcements_left: u32,
    /// Selects the bucket whose digest the next packet contains.
    pub(super) bucket_cursor: u64,
    /// Selects the data centre that this daemon probes next as a bridge.
    pub(super) bridge_cursor: usize,
    pub(super) is_watcher: bool,
    pub(super) is_bridge: bool,
    pub(super) ready: bool,
    pub(super) leaving: bool,
    /// Revision number in the store that was last reported as outdated.
    pub(super) reported_outdated: Option<u64>,
    pub(super) counters: Counters,
}

impl Cluster {
    /// Creates the state of a daemon that knows no other members.
    pub fn new(cfg: ClusterConfig, identity: Identity, rng: Pcg64, now: Millis) -> Cluster {
        let me = Member {
            identity,
            address: cfg.address,
            data_centre: cfg.data_centre.clone(),
            sequence: 0,
            state: MemberState::Live,
        };
        let due = Due { last_tick: now, ..Due::default() };
        Cluster {
            cfg,
            rng,
            me,
            due,
            members: Members::default(),
            prober: Prober::default(),
            gossip: GossipQueue::default(),
            lists: ListState::default(),
            table: Table::default(),
            store: StoreWatch::default(),
            seeds: None,
            join: Join::default(),
            last_contact: BTreeMap::new(),
            reachable: BTreeMap::new(),
            unlisted_since: BTreeMap::new(),
            entry_sequence: 0,
            announcements_left: 0,
            bucket_cursor: 0,
            bridge_cursor: 0,
            is_watcher: false,
            is_bridge: false,
            ready: false,
            leaving: false,
            reported_outdated: None,
            counters: Counters::default(),
        }
    }

    /// Handles an event and returns the effects to carry out, in order.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Packet { from, packet } => self.receive(from, packet, now, &mut effects),
            Event::Tick => self.tick(now, &mut effects),
            Event::Instances(seeds) => self.update_seeds(seeds, now, &mut effects),
            Event::Lists { version, revision, text } => {
                self.handle_store_lists(version, revision, text, now, &mut effects);
            }
            Event::Store(outcome) => {
                let limits = self.store_limits();
                self.store.record_outcome(outcome, &limits, &mut self.rng, now);
            }
            Event::Publish { key, scope, ttl, values } => {
                self.publish(key, scope, ttl, values, now);
            }
            Event::Leave => self.leave(now, &mut effects),
        }
        if self.cfg.check_invariants {
            self.check();
        }
        effects
    }

    /// This daemon's own member record.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The other members, without this daemon.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Active revision of the lists; number 0 before the first one.
    pub fn active_revision(&self) -> Revision {
        self.lists.active_revision()
    }

    /// Shared values that have not expired.
    pub fn entries(&self, now: Millis) -> impl Iterator<Item = &Entry> {
        self.table.iter(now)
    }

    /// Whether the daemon has joined and has lists.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether this daemon watches the store for its data centre.
    pub fn is_watcher(&self) -> bool {
        self.is_watcher
    }

    /// Number of consecutive failed store calls.
    pub fn store_failures(&self) -> u32 {
        self.store.failures()
    }

    /// The other data centres and whether each is reachable.
    pub fn data_centres(&self) -> &BTreeMap<String, bool> {
        &self.reachable
    }

    /// Counters since the start of the process.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Up to `count` owners of a duty among this daemon and the live members of its data centre.
    pub fn owners(&self, duty: &str, count: usize) -> Vec<Identity> {
        let live = self.local().filter(|m| m.state == MemberState::Live).map(|m| m.identity);
        owners(live.chain([self.me.identity]), duty, count)
    }

    pub(super) fn local(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.data_centre == self.cfg.data_centre)
    }

    pub(super) fn store_limits(&self) -> StoreLimits {
        StoreLimits {
            calls_per_second: self.cfg.store_calls_per_second,
            backoff_base: self.cfg.backoff_base,
            backoff_max: self.cfg.backoff_max,
        }
    }

    fn tick(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if now.since(self.due.last_tick) > STALL_THRESHOLD {
            self.prober.discard_outstanding();
            self.members.restart_suspicions(now);
        }
        self.due.last_tick = now;
        if self.leaving {
            return self.repeat_leave(effects);
        }
        self.gossip.refill(self.cfg.gossip_bytes_per_second, now);
        self.join_when_due(now, effects);
        if now >= self.due.duties {
            self.due.duties = now + DUTY_INTERVAL;
            self.assign_duties(now);
            self.members.expire(self.cfg.tombstone_retention, now);
            self.table.expire(now);
            self.prober.expire(now);
            self.update_reachability(now, effects);
        }
        self.probe_when_due(now, effects);
        self.check_probes(now, effects);
        self.gossip_when_due(now, effects);
        self.sync_lists(now, effects);
        self.report_ready(effects);
    }

    fn assign_duties(&mut self, now: Millis) {
        let me = self.me.identity;
        self.is_bridge = self.owners("bridge", self.cfg.bridges).contains(&me);
        let was_watcher = self.is_watcher;
        self.is_watcher = self.owners("store-watch", self.cfg.watchers).contains(&me);
        if self.is_watcher && !was_watcher {
            self.store.reset();
            self.due.store = now + self.cfg.watch_delay;
        }
    }

    pub(super) fn publish(
        &mut self,
        key: String,
        scope: Scope,
        ttl: Millis,
        values: Vec<u64>,
        now: Millis,
    ) {
        self.entry_sequence += 1;
        let origin = self.me.identity;
        let update = Update::Entry(origin, key.clone());
        let expires = now + ttl;
        let entry = Entry { origin, key, sequence: self.entry_sequence, expires, scope, values };
        if self.table.merge(entry, self.cfg.table_limit_bytes, now) {
            self.gossip.push(update);
        }
    }

    pub(super) fn report_ready(&mut self, effects: &mut Vec<Effect>) {
        if self.ready || !self.join.is_complete || self.lists.active_revision().number == 0 {
            return;
        }
        self.ready = true;
        effects.push(Effect::Ready);
    }

    fn check(&self) {
        self.members.check();
        assert!(self.members.get(self.me.identity).is_none(), "the daemon lists itself as a peer");
        assert!(
            self.members.departed(self.me.identity).is_none() || self.leaving,
            "a tombstone exists for the current identity"
        );
    }
}
