//! Simulates the daemons of a fleet that elect store readers and follow each other, in virtual time.

use decision::Millis;
use decision::routing::{
    ClaimOutcome, Doubt, Peer, PeerFault, ReaderElection, ReaderRecord, Source, SourceHealth, Step,
};
use messages::feed::Rank;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Length of a step of virtual time.
const TICK_MS: u64 = 10;
/// Time that a call to the store takes, and its time limit if the store does not respond.
const STORE_MS: u64 = 30;
const STORE_TIMEOUT_MS: u64 = 400;
/// Age of the data that the store returns when stale data is allowed.
const STALENESS_MS: u64 = 2_000;
/// Time of a watch of the configuration without a change.
const WATCH_MS: u64 = 1_100;
/// Time between polls of a followed daemon, and the connect timeout if it does not respond.
const POLL_MS: u64 = 400;
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Time after its last poll in which a follower is known to its reader.
const FOLLOWER_KNOWN_MS: u64 = 2_500;
/// Interval at which readers choose their standbys.
const STANDBYS_INTERVAL_MS: u64 = 500;
/// Age of a confirmation above which a daemon looks for another source.
const OUTDATED_MS: u64 = 3_000;
/// Time by which a response of the store is late when followers are told.
const LATE_MS: u64 = 400;
/// Number of data centres unless a test says otherwise.
const DATA_CENTRES: usize = 6;
/// Length of the start-up of a killed process.
const RESTART_MS: u64 = 500;

/// One daemon.
#[derive(Clone)]
struct Daemon {
    own: Peer,
    data_centre: usize,
    election: ReaderElection,
    is_alive: bool,
    starts_at: u64,
    busy_until: u64,
    /// When its configuration was last confirmed.
    confirmed_at: Option<u64>,
    watch_until: u64,
    /// The time of its first call to the store that failed, while they fail.
    failing_since: Option<u64>,
    health: SourceHealth,
    polled: Option<(usize, u64)>,
    /// Whether it watches the store.
    reads_store: bool,
    /// The daemon for whose response to a poll it waits.
    polling: Option<usize>,
}

/// A fleet in two regions, unless it has a single data centre, and its store.
#[derive(Clone)]
pub struct Fleet {
    daemons: Vec<Daemon>,
    data_centres: usize,
    by_name: BTreeMap<String, usize>,
    records: BTreeMap<String, ReaderRecord>,
    history: VecDeque<(u64, BTreeMap<String, ReaderRecord>)>,
    revision: u64,
    seed: u64,
    /// Virtual time in milliseconds.
    pub now: u64,
    /// Calls to the store by their price; one that allows stale data costs a tenth.
    pub calls: f64,
    /// When the last change was acknowledged whose way to the daemons is watched.
    pub changed_at: Option<u64>,
    /// The daemons that the store does not serve, by index.
    pub turned_away: Rc<dyn Fn(usize) -> bool>,
    /// The oldest confirmation of a live daemon seen since it was last reset, in milliseconds.
    pub oldest_ms: u64,
}

fn region(data_centre: usize, data_centres: usize) -> &'static str {
    if data_centre * 2 < data_centres { "east" } else { "west" }
}

fn election(own: &Peer, data_centre: usize, data_centres: usize, seed: u64) -> ReaderElection {
    let region = region(data_centre, data_centres);
    ReaderElection::new(own.clone(), &format!("dc-{data_centre}"), region, seed)
}

impl Fleet {
    /// Starts `size` daemons in six data centres within 300 ms.
    pub fn start(size: usize, seed: u64) -> Fleet {
        Fleet::start_in(DATA_CENTRES, size, seed)
    }

    /// The same in another number of data centres.
    pub fn start_in(data_centres: usize, size: usize, seed: u64) -> Fleet {
        let daemon = |index: usize| {
            let name = format!("gateway-{index}");
            let own = Peer { address: format!("10.0.0.1:{index}"), name };
            let data_centre = index % data_centres;
            let seed = seed * 100_000 + index as u64;
            Daemon {
                election: election(&own, data_centre, data_centres, seed),
                own,
                data_centre,
                is_alive: true,
                starts_at: index as u64 * 300 / size as u64,
                busy_until: 0,
                confirmed_at: None,
                watch_until: 0,
                failing_since: None,
                health: SourceHealth::default(),
                polled: None,
                reads_store: false,
                polling: None,
            }
        };
        let daemons: Vec<Daemon> = (0..size).map(daemon).collect();
        let by_name = daemons.iter().enumerate().map(|(n, d)| (d.own.name.clone(), n)).collect();
        Fleet {
            daemons,
            data_centres,
            by_name,
            records: BTreeMap::new(),
            history: VecDeque::new(),
            revision: 0,
            seed,
            now: 0,
            calls: 0.0,
            changed_at: None,
            turned_away: Rc::new(|_| false),
            oldest_ms: 0,
        }
    }

    /// Kills daemons; they start again after 500 ms as new processes.
    pub fn restart(&mut self, is_killed: impl Fn(usize) -> bool) {
        for index in (0..self.daemons.len()).filter(|index| is_killed(*index)) {
            let seed = self.seed * 100_000 + self.now + index as u64;
            let now = self.now;
            let daemon = &mut self.daemons[index];
            daemon.election = election(&daemon.own, daemon.data_centre, self.data_centres, seed);
            daemon.starts_at = now + RESTART_MS;
            daemon.busy_until = 0;
            daemon.confirmed_at = None;
            daemon.failing_since = None;
            daemon.health = SourceHealth::default();
            daemon.polled = None;
            daemon.reads_store = false;
            daemon.polling = None;
        }
    }

    /// Removes daemons for good.
    pub fn remove(&mut self, is_removed: impl Fn(usize) -> bool) {
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.is_alive &= !is_removed(index);
        }
    }

    /// Returns the indexes of the daemons that the records name as readers.
    pub fn readers(&self) -> Vec<usize> {
        self.records.values().map(|record| self.by_name[&record.reader.name]).collect()
    }

    /// Returns the number of daemons, those that were removed included.
    pub fn size(&self) -> usize {
        self.daemons.len()
    }

    /// Returns the number of data centres.
    pub fn data_centres(&self) -> usize {
        self.data_centres
    }

    /// Returns the data centre of a daemon.
    pub fn data_centre(&self, index: usize) -> usize {
        self.daemons[index].data_centre
    }

    /// Returns the standbys of a reader in their order, by index.
    pub fn standbys(&self, reader: usize) -> Vec<usize> {
        let standbys = self.daemons[reader].election.standbys().iter();
        standbys.map(|peer| self.by_name[&peer.name]).collect()
    }

    /// Returns the readers and their standbys, by index.
    pub fn readers_and_standbys(&self) -> BTreeSet<usize> {
        let readers = self.readers();
        let standbys: Vec<usize> = readers.iter().flat_map(|r| self.standbys(*r)).collect();
        readers.into_iter().chain(standbys).collect()
    }

    /// Returns the number of live daemons whose confirmation is older than `limit_ms`.
    pub fn unconfirmed(&self, limit_ms: u64) -> usize {
        let live = self.daemons.iter().filter(|daemon| daemon.is_alive);
        live.filter(|d| d.confirmed_at.is_none_or(|at| self.now - at > limit_ms)).count()
    }

    /// Returns the number of daemons that the store serves and that have not been confirmed by a call
    /// after the time `since`.
    pub fn unconfirmed_since(&self, since: u64) -> usize {
        let served = self.daemons.iter().enumerate().filter(|(n, _)| !(self.turned_away)(*n));
        served.filter(|(_, d)| d.is_alive && d.confirmed_at.is_none_or(|at| at <= since)).count()
    }

    /// Lets a change be acknowledged as the store begins to turn daemons away, and returns the time until
    /// all that it serves are confirmed since, in milliseconds.
    ///
    /// # Panics
    ///
    /// Panics if that takes 20 s.
    pub fn time_of_change(&mut self, turned_away: BTreeSet<usize>) -> u64 {
        self.turned_away = Rc::new(move |index| turned_away.contains(&index));
        let changed_at = self.now;
        self.changed_at = Some(changed_at);
        while self.unconfirmed_since(changed_at) > 0 {
            self.run_for(TICK_MS);
            assert!(self.now - changed_at < 20_000, "not confirmed after 20 s");
        }
        self.now - changed_at
    }

    /// Advances the virtual time.
    pub fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_MS;
            self.history.push_back((self.now, self.records.clone()));
            if self.now.is_multiple_of(STANDBYS_INTERVAL_MS) {
                self.choose_standbys();
            }
            for index in 0..self.daemons.len() {
                let daemon = &self.daemons[index];
                let is_running = daemon.is_alive && daemon.starts_at <= self.now;
                if is_running && daemon.reads_store {
                    self.read_store(index);
                }
                if is_running && self.daemons[index].busy_until <= self.now {
                    self.step(index);
                }
            }
            let oldest = self.daemons.iter().filter(|daemon| daemon.is_alive);
            let ages = oldest.filter_map(|d| d.confirmed_at).map(|at| self.now - at);
            self.oldest_ms = self.oldest_ms.max(ages.max().unwrap_or(0));
        }
    }

    fn choose_standbys(&mut self) {
        let mut followers: BTreeMap<usize, Vec<Peer>> = BTreeMap::new();
        for daemon in self.daemons.iter().filter(|daemon| daemon.is_alive) {
            if let Some((followed, at)) = daemon.polled
                && self.now - at < FOLLOWER_KNOWN_MS
                && self.daemons[followed].data_centre == daemon.data_centre
            {
                followers.entry(followed).or_default().push(daemon.own.clone());
            }
        }
        for (index, followers) in followers {
            let election = &mut self.daemons[index].election;
            if election.is_reader() {
                election.choose_standbys(followers.into_iter());
            }
        }
    }

    fn step(&mut self, index: usize) {
        let now = Millis(self.now);
        if let Some(followed) = self.daemons[index].polling.take() {
            self.apply_response(index, followed);
        }
        let daemon = &mut self.daemons[index];
        let is_old = daemon.confirmed_at.is_none_or(|at| self.now - at >= OUTDATED_MS);
        let doubt = match daemon.health.needs_another(now) {
            true => Some(Doubt::SourceFails),
            false => is_old.then_some(Doubt::ConfirmationOld),
        };
        let step = daemon.election.next(doubt, now);
        let is_served = !(self.turned_away)(index);
        let store_ms = if is_served { STORE_MS } else { STORE_TIMEOUT_MS };
        if let Step::Follow(_) | Step::ReadStore = step {
            self.daemons[index].reads_store = step == Step::ReadStore;
        }
        self.daemons[index].busy_until = self.now
            + match step {
                Step::ReadRecords { stale } => {
                    self.calls += if stale { 0.1 } else { 1.0 };
                    self.read_records(index, stale, is_served, now + Millis(store_ms));
                    store_ms
                }
                Step::Claim { replaces } => {
                    self.calls += 1.0;
                    self.claim(index, replaces, is_served, now + Millis(store_ms));
                    store_ms
                }
                Step::Follow(peer) => self.poll(index, self.by_name[&peer.name]),
                Step::ReadStore => {
                    self.read_store(index);
                    200
                }
                Step::Wait(until) => until.since(now).0.clamp(TICK_MS, 200),
            };
    }

    fn read_records(&mut self, index: usize, stale: bool, is_served: bool, end: Millis) {
        let election = &mut self.daemons[index].election;
        if !is_served {
            return election.observe_read_failure(end);
        }
        while self.history.len() > 1 && self.history[1].0 + STALENESS_MS <= self.now {
            self.history.pop_front();
        }
        let records = if stale { self.history[0].1.clone() } else { self.records.clone() };
        election.observe_records(records, stale, end);
    }

    fn claim(&mut self, index: usize, replaces: Option<u64>, is_served: bool, end: Millis) {
        let daemon = &mut self.daemons[index];
        let name = format!("dc-{}", daemon.data_centre);
        let stored = self.records.get(&name).map(|record| record.revision);
        let outcome = match (is_served, stored == replaces) {
            (false, _) => ClaimOutcome::Failed,
            (true, false) => ClaimOutcome::Conflict,
            (true, true) => {
                self.revision += 1;
                let region = region(daemon.data_centre, self.data_centres).to_owned();
                let reader = daemon.own.clone();
                self.records.insert(name, ReaderRecord { reader, region, revision: self.revision });
                ClaimOutcome::Written
            }
        };
        let replaced = daemon.election.reader().cloned();
        daemon.election.observe_claim(outcome, end);
        let own = daemon.own.clone();
        if let Some(replaced) = replaced.filter(|_| outcome == ClaimOutcome::Written) {
            let index = self.by_name[&replaced.name];
            let data_centre = format!("dc-{}", self.daemons[index].data_centre);
            self.daemons[index].election.observe_reader(&data_centre, &own, &[]);
            self.end_poll(index);
            self.end_polls_of_followers(index);
        }
    }

    /// Ends the poll of a daemon, if it waits for a response.
    fn end_poll(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        if daemon.polling.is_some() {
            daemon.busy_until = daemon.busy_until.min(self.now + TICK_MS);
        }
    }

    /// Ends the polls of the followers of a daemon, which has news.
    fn end_polls_of_followers(&mut self, followed: usize) {
        let follows = |daemon: &Daemon| daemon.polled.is_some_and(|(index, _)| index == followed);
        let followers: Vec<usize> =
            (0..self.daemons.len()).filter(|n| follows(&self.daemons[*n])).collect();
        followers.into_iter().for_each(|follower| self.end_poll(follower));
    }

    /// Records a confirmation of a daemon's configuration; its followers are told of the change that
    /// comes with it.
    fn confirm(&mut self, index: usize, confirmed: u64) {
        let knows = |at: Option<u64>, change: u64| at.is_some_and(|at| at > change);
        let before = self.daemons[index].confirmed_at;
        let after = before.max(Some(confirmed));
        self.daemons[index].confirmed_at = after;
        if self.changed_at.is_some_and(|change| !knows(before, change) && knows(after, change)) {
            self.end_polls_of_followers(index);
        }
    }

    /// Records that a source of a daemon fails; its followers are told.
    fn record_failure(&mut self, index: usize, source: Source, since: Millis) {
        if self.daemons[index].health.record_failure(source, since) {
            self.end_polls_of_followers(index);
        }
    }

    /// Begins a poll of a daemon; returns the time until its response, which a change there ends.
    fn poll(&mut self, index: usize, followed: usize) -> u64 {
        let now = Millis(self.now);
        self.daemons[index].polling = Some(followed);
        let (daemon, peer) = (&self.daemons[index], &self.daemons[followed]);
        if !peer.is_alive || peer.starts_at > self.now {
            return CONNECT_TIMEOUT_MS;
        }
        if daemon.polled.is_none_or(|(polled, _)| polled != followed) {
            return TICK_MS;
        }
        let wait =
            peer.health.report_due(now).map_or(Millis(POLL_MS), |due| due.min(Millis(POLL_MS)));
        daemon.election.poll_wait(wait, now).0.max(TICK_MS)
    }

    /// Applies the response to a poll, which tells what the followed daemon knows now.
    fn apply_response(&mut self, index: usize, followed: usize) {
        let now = Millis(self.now);
        let peer = &self.daemons[followed];
        let name = peer.own.name.clone();
        let is_up = peer.is_alive && peer.starts_at <= self.now;
        let data_centre = format!("dc-{}", peer.data_centre);
        let (confirmed, reader) = (peer.confirmed_at, peer.election.reader().cloned());
        let standbys = peer.election.standbys().to_vec();
        let failing_for = peer.health.failing_for(now);
        let fault = match (is_up, confirmed) {
            (false, _) => Some(PeerFault::Unreachable),
            (true, None) => Some(PeerFault::Unready),
            (true, Some(confirmed)) => {
                self.confirm(index, confirmed);
                let daemon = &mut self.daemons[index];
                daemon.health.record_report(failing_for, now);
                let age = daemon.confirmed_at.map_or(0, |at| self.now - at);
                let is_outdated = age >= OUTDATED_MS || daemon.health.needs_another(now);
                let is_left = daemon.election.is_reader() && is_outdated;
                is_left.then_some(PeerFault::Outdated)
            }
        };
        if let Some(fault) = fault {
            if self.daemons[index].election.is_reader() {
                self.record_failure(index, Source::Peer, now);
            }
            return self.daemons[index].election.observe_fault(&name, fault, now);
        }
        let daemons = self.size().div_ceil(self.data_centres) as u32;
        let daemon = &mut self.daemons[index];
        daemon.election.observe_followed();
        daemon.polled = Some((followed, self.now));
        let position = (index / self.data_centres) as u32;
        daemon.election.set_rank(Rank { position, daemons });
        if let Some(reader) = reader.filter(|_| !daemon.election.is_reader()) {
            daemon.election.observe_reader(&data_centre, &reader, &standbys);
        }
    }

    fn read_store(&mut self, index: usize) {
        let is_served = !(self.turned_away)(index);
        let daemon = &mut self.daemons[index];
        if daemon.watch_until > self.now {
            return;
        }
        self.calls += 1.0;
        if is_served {
            daemon.watch_until = self.now + WATCH_MS;
            daemon.failing_since = None;
            daemon.health.record_success(Source::Configurations);
            self.confirm(index, self.now);
        } else {
            daemon.watch_until = self.now + STORE_TIMEOUT_MS;
            let due = *daemon.failing_since.get_or_insert(self.now);
            if self.now - due >= LATE_MS {
                self.record_failure(index, Source::Configurations, Millis(due));
            }
        }
    }
}
