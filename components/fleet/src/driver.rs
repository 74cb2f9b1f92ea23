use crate::{Invariants, Store, Times, Traffic};
use decision::Millis;
use decision::cluster::{
    Cluster, ClusterConfig, Effect, Event, Identity, MemberChange, Seed, packet_bytes,
};
use messages::{decode_signed, encode_signed};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

const PEER_KEY: &[u8] = b"the key of a measured fleet";
const TICK_INTERVAL: Millis = Millis(50);
const UDP_AND_IP_HEADERS: usize = 28;
const INSTANCE_LIST_INTERVAL: Millis = Millis(2_000);
/// Age at which the instance list is brought up to date with the nodes that run.
const INSTANCE_LIST_LAG: Millis = Millis(5_000);
/// The first two data centres form one region, the others a second.
const DATA_CENTRES: usize = 4;

/// Settings of a simulated fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of daemons.
    pub size: usize,
    /// Packet loss per thousand.
    pub loss_permille: u32,
    /// Seed of all random choices.
    pub seed: u64,
    /// All daemons start within this time, each at a random moment.
    pub start_within: Millis,
    /// Whether the first process of each daemon starts with the lists of the store.
    pub is_preloaded: bool,
    /// Settings of each daemon; address and data centre are set per daemon.
    pub cluster: ClusterConfig,
}

impl Default for FleetConfig {
    fn default() -> FleetConfig {
        FleetConfig {
            size: 7,
            loss_permille: 0,
            seed: 1,
            start_within: Millis(1_000),
            is_preloaded: false,
            cluster: ClusterConfig { check_invariants: true, ..ClusterConfig::default() },
        }
    }
}

/// A scheduled action of a node. Actions of an earlier incarnation are dropped.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Action {
    Start,
    Tick { incarnation: u64 },
    Arrive { from: usize, buf: Vec<u8> },
    ListInstances { incarnation: u64 },
    StoreResponse { incarnation: u64, version: Option<u64> },
}

/// An address of the fleet and the process that runs there, if any.
struct Node {
    cluster: Option<Cluster>,
    incarnation: u64,
    invariants: Invariants,
    paused_until: Millis,
    started_at: Millis,
}

/// A fleet of cluster state machines with their network, store and clock.
pub struct Fleet {
    cfg: FleetConfig,
    rng: Pcg64,
    nodes: Vec<Node>,
    actions: BinaryHeap<Reverse<(Millis, u64, usize, Action)>>,
    sequence: u64,
    /// Nodes in the instance list.
    listed: BTreeSet<usize>,
    listed_at: Millis,
    /// Current virtual time.
    pub now: Millis,
    /// The store that holds the lists.
    pub store: Store,
    /// Traffic since the field was last reset.
    pub traffic: Traffic,
    /// Pairs of data centres (from, to) between which every packet is lost.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Data centres that can't reach the store.
    pub cut_from_store: BTreeSet<usize>,
    /// When each node activated a revision, by node and revision number.
    pub activated_at: BTreeMap<(usize, u64), Millis>,
    /// Members declared dead: identity, observing node, time.
    pub deaths: Vec<(Identity, usize, Millis)>,
    /// Suspicions of members: identity, suspecting node, time.
    pub suspicions: Vec<(Identity, usize, Millis)>,
    /// Number of identities replaced because peers had declared them dead.
    pub identities_replaced: u64,
    /// Number of times that a node found the store older than its active lists.
    pub outdated_store_reports: u64,
}

impl Fleet {
    /// Creates a fleet whose daemons start within [`FleetConfig::start_within`].
    pub fn new(cfg: FleetConfig) -> Fleet {
        let mut rng = Pcg64::seed_from_u64(cfg.seed);
        let mut actions = BinaryHeap::new();
        let mut nodes = Vec::new();
        for node in 0..cfg.size {
            let at = Millis(rng.random_range(0..=cfg.start_within.0));
            actions.push(Reverse((at, node as u64, node, Action::Start)));
            nodes.push(Node {
                cluster: None,
                incarnation: 0,
                invariants: Invariants::default(),
                paused_until: Millis(0),
                started_at: Millis(0),
            });
        }
        Fleet {
            rng,
            actions,
            nodes,
            sequence: cfg.size as u64,
            listed: (0..cfg.size).collect(),
            listed_at: Millis(0),
            cfg,
            now: Millis(0),
            store: Store::default(),
            traffic: Traffic::default(),
            cut_links: BTreeSet::new(),
            cut_from_store: BTreeSet::new(),
            activated_at: BTreeMap::new(),
            deaths: Vec::new(),
            suspicions: Vec::new(),
            identities_replaced: 0,
            outdated_store_reports: 0,
        }
    }

    /// Index of the data centre of a node.
    pub fn data_centre(node: usize) -> usize {
        node % DATA_CENTRES
    }

    /// The state machine of a node, or `None` if it doesn't run.
    pub fn cluster(&self, node: usize) -> Option<&Cluster> {
        self.nodes.get(node)?.cluster.as_ref()
    }

    /// Number of starts and kills of a node; tells its processes apart.
    pub(crate) fn incarnation(&self, node: usize) -> u64 {
        self.nodes[node].incarnation
    }

    /// The nodes that run.
    pub fn live(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|node| self.nodes[*node].cluster.is_some()).collect()
    }

    /// Members and tombstones known, each summed over all nodes.
    pub fn member_and_tombstone_counts(&self) -> (usize, usize) {
        let clusters = self.nodes.iter().filter_map(|node| node.cluster.as_ref());
        clusters.fold((0, 0), |(members, tombstones), cluster| {
            (members + cluster.members().len(), tombstones + cluster.members().tombstones())
        })
    }

    /// Passes an event to a node and applies the effects; ignored if the node doesn't run.
    pub fn handle_event(&mut self, node: usize, event: Event) {
        let now = self.now;
        let Some(cluster) = self.nodes[node].cluster.as_mut() else { return };
        let effects = cluster.handle(event, now);
        self.apply_effects(node, effects);
    }

    /// Kills a node without a departure message.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].cluster = None;
        self.nodes[node].incarnation += 1;
    }

    /// Starts a new process at the address of a killed node after a delay.
    pub fn restart(&mut self, node: usize, delay: Millis) {
        self.schedule(self.now + delay, node, Action::Start);
    }

    /// Suspends a node; its actions and arriving packets are deferred until the pause ends.
    pub fn pause(&mut self, node: usize, duration: Millis) {
        self.nodes[node].paused_until = self.now + duration;
    }

    /// Sets the packet loss per thousand.
    pub fn set_loss(&mut self, permille: u32) {
        self.cfg.loss_permille = permille;
    }

    /// Runs all actions up to and including `until`.
    pub fn run(&mut self, until: Millis) {
        while let Some(Reverse((at, _, _, _))) = self.actions.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, node, action))) = self.actions.pop() else { break };
            self.now = at;
            let paused_until = self.nodes[node].paused_until;
            if paused_until > at {
                self.schedule(paused_until, node, action);
                continue;
            }
            self.handle_action(node, action);
        }
        self.now = until;
        self.expire_watches();
    }

    fn handle_action(&mut self, node: usize, action: Action) {
        let current = self.nodes[node].incarnation;
        match action {
            Action::Start => self.start(node),
            Action::Tick { incarnation } if incarnation == current => {
                let start = Instant::now();
                self.handle_event(node, Event::Tick);
                self.traffic.tick_time += start.elapsed();
                self.traffic.ticks += 1;
                self.schedule(self.now + TICK_INTERVAL, node, Action::Tick { incarnation });
            }
            Action::ListInstances { incarnation } if incarnation == current => {
                let seeds = self.instance_list();
                self.handle_event(node, Event::Instances(seeds));
                let at = self.now + INSTANCE_LIST_INTERVAL;
                self.schedule(at, node, Action::ListInstances { incarnation });
            }
            Action::Arrive { from, buf } => self.arrive(node, from, &buf),
            Action::StoreResponse { incarnation, version } if incarnation == current => {
                self.deliver_store_response(node, version);
            }
            _ => {}
        }
    }

    fn start(&mut self, node: usize) {
        let cfg = ClusterConfig {
            address: address(node),
            data_centre: format!("data-centre-{}", Fleet::data_centre(node)),
            ..self.cfg.cluster.clone()
        };
        let rng = Pcg64::seed_from_u64(self.rng.random());
        let identity = Identity::random(&mut self.rng);
        self.nodes[node].incarnation += 1;
        self.nodes[node].started_at = self.now;
        self.nodes[node].invariants = Invariants::default();
        self.nodes[node].cluster = Some(Cluster::new(cfg, identity, rng, self.now));
        let incarnation = self.nodes[node].incarnation;
        self.activated_at.retain(|(n, _), _| *n != node);
        if self.cfg.is_preloaded && incarnation == 1 {
            let Store { version, revision, text, .. } = self.store.clone();
            self.handle_event(node, Event::Lists { version, revision, text });
        }
        self.schedule(self.now, node, Action::ListInstances { incarnation });
        self.schedule(self.now, node, Action::Tick { incarnation });
    }

    fn instance_list(&mut self) -> Vec<Seed> {
        if self.now.since(self.listed_at) >= INSTANCE_LIST_LAG {
            self.listed_at = self.now;
            self.listed = self.live().into_iter().collect();
        }
        let seed = |node: &usize| Seed {
            address: address(*node),
            data_centre: format!("data-centre-{}", Fleet::data_centre(*node)),
        };
        self.listed.iter().map(seed).collect()
    }

    fn arrive(&mut self, node: usize, from: usize, buf: &[u8]) {
        if self.nodes[node].cluster.is_none() {
            return;
        }
        let start = Instant::now();
        let packet = decode_signed(PEER_KEY, buf).expect("cannot decode a packet of the fleet");
        self.handle_event(node, Event::Packet { from: address(from), packet });
        self.traffic.packet_time += start.elapsed();
    }

    fn apply_effects(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.nodes[node].invariants.check(&effect);
            match effect {
                Effect::Send { to, packet } => {
                    let buf = encode_signed(PEER_KEY, &packet).expect("packet does not encode");
                    let bound = packet_bytes(&packet) + 16;
                    assert!(
                        buf.len() <= bound,
                        "signed packet of {} bytes exceeds the estimate of {bound}: {packet:?}",
                        buf.len()
                    );
                    self.send(node, node_at(to), buf);
                }
                Effect::ActivateLists { revision, .. } => {
                    self.activated_at.insert((node, revision.number), self.now);
                }
                Effect::Member { member, change: MemberChange::Dead } => {
                    self.deaths.push((member.identity, node, self.now));
                }
                Effect::Member { member, change: MemberChange::Suspected } => {
                    self.suspicions.push((member.identity, node, self.now));
                }
                Effect::Store(call) => self.call_store(node, call),
                Effect::IdentityReplaced { .. } => self.identities_replaced += 1,
                Effect::StoreOutdated { .. } => self.outdated_store_reports += 1,
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, buf: Vec<u8>) {
        let limit = self.cfg.cluster.packet_limit_bytes + 16;
        assert!(buf.len() <= limit, "packet of {} bytes exceeds the limit of {limit}", buf.len());
        let bytes = (buf.len() + UDP_AND_IP_HEADERS) as u64;
        let link = (Fleet::data_centre(from), Fleet::data_centre(to));
        let is_between_regions = link.0 / 2 != link.1 / 2;
        self.traffic.packets += 1;
        self.traffic.bytes += bytes;
        self.traffic.link_bytes += if is_between_regions { bytes } else { 0 };
        self.traffic.largest = self.traffic.largest.max(buf.len());
        let lost = self.rng.random_range(0..1_000) < self.cfg.loss_permille;
        if lost || to >= self.nodes.len() || self.cut_links.contains(&link) {
            return;
        }
        let delay = if is_between_regions { 30 } else { 1 } + self.rng.random_range(0..=2);
        self.schedule(self.now + Millis(delay), to, Action::Arrive { from, buf });
    }

    pub(crate) fn schedule(&mut self, at: Millis, node: usize, action: Action) {
        self.sequence += 1;
        self.actions.push(Reverse((at, self.sequence, node, action)));
    }
}

impl Fleet {
    /// Times until live nodes activated a revision: those that ran at `since`, measured from then,
    /// and those that started later, measured from their start. Nodes that have not activated it
    /// are left out.
    pub fn activation_times(&self, revision: u64, since: Millis) -> (Times, Times) {
        let mut running = Times::default();
        let mut started_later = Times::default();
        for node in self.live() {
            let Some(at) = self.activated_at.get(&(node, revision)) else { continue };
            let started_at = self.nodes[node].started_at;
            if started_at > since {
                started_later.push(at.since(started_at));
            } else {
                running.push(at.since(since));
            }
        }
        (running, started_later)
    }
}

fn address(node: usize) -> SocketAddr {
    let [high, low] = (node as u16).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7_000))
}

fn node_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { return usize::MAX };
    let [_, _, high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}
