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

const KEY: &[u8] = b"the key of a measured fleet";
const TICK: Millis = Millis(50);
const UDP_AND_IP_HEADERS: usize = 28;
const INSTANCE_LIST_INTERVAL: Millis = Millis(2_000);
const INSTANCE_LIST_LAG: Millis = Millis(5_000);
const DATA_CENTRES: usize = 4;

/// Settings of a measured fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Daemons.
    pub size: usize,
    /// Packets lost, in a thousand.
    pub loss_permille: u32,
    /// The seed of everything random.
    pub seed: u64,
    /// The time in which all daemons start.
    pub start_within: Millis,
    /// Whether the daemons that start with the fleet have its lists already.
    pub is_preloaded: bool,
    /// Settings of each daemon; address and data centre are filled in.
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

/// What happens to a node.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Action {
    Start,
    Tick { incarnation: u64 },
    Arrive { from: usize, buf: Vec<u8> },
    Instances { incarnation: u64 },
    StoreAnswer { incarnation: u64, call: Option<u64> },
}

/// One daemon of the fleet.
struct Node {
    cluster: Option<Cluster>,
    incarnation: u64,
    invariants: Invariants,
    paused_until: Millis,
    started: Millis,
}

/// N copies of the cluster state machine and what passes between them.
pub struct Fleet {
    cfg: FleetConfig,
    rng: Pcg64,
    nodes: Vec<Node>,
    heap: BinaryHeap<Reverse<(Millis, u64, usize, Action)>>,
    sequence: u64,
    listed: BTreeSet<usize>,
    listed_at: Millis,
    /// The present time.
    pub now: Millis,
    /// The store.
    pub store: Store,
    /// What was sent since the last reset.
    pub traffic: Traffic,
    /// Pairs of data centres that lose every packet, in this direction.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Data centres that do not reach the store.
    pub store_cuts: BTreeSet<usize>,
    /// Where each node's lists came into force, and when.
    pub in_force: BTreeMap<(usize, u64), Millis>,
    /// Members that were found to be dead: who, found by whom, when.
    pub deaths: Vec<(Identity, usize, Millis)>,
    /// Suspicions: who, raised at whom, when.
    pub suspicions: Vec<(Identity, usize, Millis)>,
    /// Identities that were replaced because others took them for dead.
    pub replaced: u64,
    /// Reports of an older store.
    pub older_reports: u64,
}

impl Fleet {
    /// Creates a fleet whose daemons start within the first moments.
    pub fn new(cfg: FleetConfig) -> Fleet {
        let mut rng = Pcg64::seed_from_u64(cfg.seed);
        let mut heap = BinaryHeap::new();
        let mut nodes = Vec::new();
        for node in 0..cfg.size {
            let at = Millis(rng.random_range(0..=cfg.start_within.0));
            heap.push(Reverse((at, node as u64, node, Action::Start)));
            nodes.push(Node {
                cluster: None,
                incarnation: 0,
                invariants: Invariants::default(),
                paused_until: Millis(0),
                started: Millis(0),
            });
        }
        Fleet {
            rng,
            heap,
            nodes,
            sequence: cfg.size as u64,
            listed: (0..cfg.size).collect(),
            listed_at: Millis(0),
            cfg,
            now: Millis(0),
            store: Store::default(),
            traffic: Traffic::default(),
            cuts: BTreeSet::new(),
            store_cuts: BTreeSet::new(),
            in_force: BTreeMap::new(),
            deaths: Vec::new(),
            suspicions: Vec::new(),
            replaced: 0,
            older_reports: 0,
        }
    }

    /// Returns the data centre of a node.
    pub fn data_centre(node: usize) -> usize {
        node % DATA_CENTRES
    }

    /// Returns the state machine of a node that runs.
    pub fn cluster(&self, node: usize) -> Option<&Cluster> {
        self.nodes.get(node)?.cluster.as_ref()
    }

    /// Returns how often a node has started.
    pub(crate) fn incarnation(&self, node: usize) -> u64 {
        self.nodes[node].incarnation
    }

    /// Returns the nodes that run.
    pub fn live(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|node| self.nodes[*node].cluster.is_some()).collect()
    }

    /// Returns how many members and tombstones all nodes know together.
    pub fn views(&self) -> (usize, usize) {
        let clusters = self.nodes.iter().filter_map(|node| node.cluster.as_ref());
        clusters.fold((0, 0), |(members, ended), cluster| {
            (members + cluster.members().len(), ended + cluster.members().tombstones())
        })
    }

    /// Gives an event to a node.
    pub fn tell(&mut self, node: usize, event: Event) {
        let now = self.now;
        let Some(cluster) = self.nodes[node].cluster.as_mut() else { return };
        let effects = cluster.handle(event, now);
        self.carry_out(node, effects);
    }

    /// Ends a node without notice.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].cluster = None;
        self.nodes[node].incarnation += 1;
    }

    /// Starts a new process at the address of a node that ended.
    pub fn restart(&mut self, node: usize, after: Millis) {
        self.schedule(self.now + after, node, Action::Start);
    }

    /// Keeps a node from running for a while; what arrives meanwhile waits.
    pub fn pause(&mut self, node: usize, time: Millis) {
        self.nodes[node].paused_until = self.now + time;
    }

    /// Loses this many packets in a thousand from now on.
    pub fn set_loss(&mut self, permille: u32) {
        self.cfg.loss_permille = permille;
    }

    /// Runs until `until`.
    pub fn run(&mut self, until: Millis) {
        while let Some(Reverse((at, _, _, _))) = self.heap.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, node, action))) = self.heap.pop() else { break };
            self.now = at;
            let paused_until = self.nodes[node].paused_until;
            if paused_until > at {
                self.schedule(paused_until, node, action);
                continue;
            }
            self.act(node, action);
        }
        self.now = until;
        self.expire_watches();
    }

    fn act(&mut self, node: usize, action: Action) {
        let current = self.nodes[node].incarnation;
        match action {
            Action::Start => self.start(node),
            Action::Tick { incarnation } if incarnation == current => {
                let started = Instant::now();
                self.tell(node, Event::Tick);
                self.traffic.tick_time += started.elapsed();
                self.traffic.ticks += 1;
                self.schedule(self.now + TICK, node, Action::Tick { incarnation });
            }
            Action::Instances { incarnation } if incarnation == current => {
                let seeds = self.instance_list();
                self.tell(node, Event::Instances(seeds));
                let at = self.now + INSTANCE_LIST_INTERVAL;
                self.schedule(at, node, Action::Instances { incarnation });
            }
            Action::Arrive { from, buf } => self.arrive(node, from, &buf),
            Action::StoreAnswer { incarnation, call } if incarnation == current => {
                self.tell_store(node, call);
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
        self.nodes[node].started = self.now;
        self.nodes[node].invariants = Invariants::default();
        self.nodes[node].cluster = Some(Cluster::new(cfg, identity, rng, self.now));
        let incarnation = self.nodes[node].incarnation;
        self.in_force.retain(|(n, _), _| *n != node);
        if self.cfg.is_preloaded && incarnation == 1 {
            let Store { version, revision, text, .. } = self.store.clone();
            self.tell(node, Event::Lists { version, revision, text });
        }
        self.schedule(self.now, node, Action::Instances { incarnation });
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
        let started = Instant::now();
        let packet = decode_signed(KEY, buf).expect("every packet of the fleet opens");
        self.tell(node, Event::Packet { from: address(from), packet });
        self.traffic.packet_time += started.elapsed();
    }

    fn carry_out(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.nodes[node].invariants.check(&effect);
            match effect {
                Effect::Send { to, packet } => {
                    let buf = encode_signed(KEY, &packet).expect("every packet encodes");
                    let bound = packet_bytes(&packet) + 16;
                    assert!(buf.len() <= bound, "{} bytes, bound {bound}: {packet:?}", buf.len());
                    self.send(node, node_at(to), buf);
                }
                Effect::ActivateLists { revision, .. } => {
                    self.in_force.insert((node, revision.number), self.now);
                }
                Effect::Member { member, change: MemberChange::Dead } => {
                    self.deaths.push((member.identity, node, self.now));
                }
                Effect::Member { member, change: MemberChange::Suspected } => {
                    self.suspicions.push((member.identity, node, self.now));
                }
                Effect::Store(call) => self.call_store(node, call),
                Effect::IdentityReplaced { .. } => self.replaced += 1,
                Effect::StoreOutdated { .. } => self.older_reports += 1,
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, buf: Vec<u8>) {
        let limit = self.cfg.cluster.packet_limit_bytes + 16;
        assert!(buf.len() <= limit, "a packet of {} bytes", buf.len());
        let bytes = (buf.len() + UDP_AND_IP_HEADERS) as u64;
        let between = (Fleet::data_centre(from), Fleet::data_centre(to));
        let crosses = between.0 / 2 != between.1 / 2;
        self.traffic.packets += 1;
        self.traffic.bytes += bytes;
        self.traffic.link_bytes += if crosses { bytes } else { 0 };
        self.traffic.largest = self.traffic.largest.max(buf.len());
        let lost = self.rng.random_range(0..1_000) < self.cfg.loss_permille;
        if lost || to >= self.nodes.len() || self.cuts.contains(&between) {
            return;
        }
        let delay = if crosses { 30 } else { 1 } + self.rng.random_range(0..=2);
        self.schedule(self.now + Millis(delay), to, Action::Arrive { from, buf });
    }

    pub(crate) fn schedule(&mut self, at: Millis, node: usize, action: Action) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence, node, action)));
    }
}

impl Fleet {
    /// Returns how long each live node took to put a revision in force after `since`: first the
    /// nodes that ran then, after that those that started later, from their start.
    pub fn times_in_force(&self, revision: u64, since: Millis) -> (Times, Times) {
        let mut running = Times::default();
        let mut fresh = Times::default();
        for node in self.live() {
            let Some(at) = self.in_force.get(&(node, revision)) else { continue };
            let started = self.nodes[node].started;
            if started > since {
                fresh.push(at.since(started));
            } else {
                running.push(at.since(since));
            }
        }
        (running, fresh)
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
