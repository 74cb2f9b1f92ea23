use decision::Millis;
use decision::routing::{
    BegunStream, SoftwareVersion, StreamKey, StreamRecords, VersionKeeper, VersionRecord,
    batch_interval,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeSet;

const STEP: Millis = Millis(20);
const DURATION: Millis = Millis(120_000);
const DATA_CENTRES: usize = 4;
const SERVICE: &str = "pool";
/// No stream lasts longer, including the time until its client continues it.
const RETENTION: Millis = Millis(29_000);
/// The time for which a client waits for the end of a stream.
const CLIENT_TIME: Millis = Millis(12_000);
/// New streams a second at each daemon.
const STREAMS_PER_S: f64 = 2.0;
/// Time in which a change of the registry reaches the daemons.
const REGISTRY_LAG_MS: std::ops::Range<u64> = 50..800;
const STREAM_MS: std::ops::Range<u64> = 500..4_000;
/// Time after which a client continues a stream that broke off.
const RETURN_MS: std::ops::Range<u64> = 50..2_000;
const RESTART_MS: std::ops::Range<u64> = 500..2_500;
/// Time between two checks of the record by a store reader.
const CHECK_INTERVAL: Millis = Millis(1_000);
/// Writes a second that the store allows for each daemon.
const WRITES_PER_S_AND_DAEMON: f64 = 10.0;

/// What happens besides the releases, which take place in each run: a second version beside the
/// first, then instead of it, a third, and the first again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamFaults {
    /// Streams break off.
    Interruptions,
    /// All daemons lose power at the same time, five times, the last time after a release.
    AllKilled,
    /// Half of the daemons are cut off from the store and from changes of the registry.
    HalfCutOff,
    /// The store does not answer.
    StoreAway,
}

/// What became of the streams of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamResult {
    /// Streams that began.
    pub begun: u64,
    /// Streams that clients continued while an endpoint of their version served.
    pub continued: u64,
    /// Of these, those that went on.
    pub went_on: u64,
    /// Of these, those whose version was not known.
    pub unknown: u64,
    /// Streams that were sent to an endpoint of another version. None are allowed.
    pub joined: u64,
    /// Calls to the store.
    pub store_calls: u64,
    /// The most bytes that a daemon wrote at once.
    pub most_batch_bytes: u64,
}

#[derive(Debug, Default)]
struct Daemon {
    streams: StreamRecords,
    /// The versions at whose endpoints it begins streams.
    usable: BTreeSet<SoftwareVersion>,
    /// The changes of the registry that will reach it, with their times.
    pending: Vec<(Millis, BTreeSet<SoftwareVersion>)>,
    record: VersionRecord,
    written: u64,
    wrote_at: Millis,
    keeper: VersionKeeper,
    down_until: Millis,
    cut_until: Millis,
}

#[derive(Debug)]
struct Stream {
    key: StreamKey,
    /// The version that in truth began it.
    origin: SoftwareVersion,
    daemon: usize,
    ends: Millis,
    /// When its client continues it, if it broke off, and at which daemon it looks again.
    returns: Option<Millis>,
    reads: u32,
}

struct StreamFleet {
    rng: Pcg64,
    daemons: Vec<Daemon>,
    registry: BTreeSet<SoftwareVersion>,
    record: VersionRecord,
    /// The streams that daemons wrote. Those of a batch stay when a later one replaces it, as they
    /// would be read from it until they expire.
    written: StreamRecords,
    store_away_until: Millis,
    streams: Vec<Stream>,
    next_id: u64,
    result: StreamResult,
}

fn version(version: &str) -> SoftwareVersion {
    SoftwareVersion { service: SERVICE.to_owned(), version: version.to_owned() }
}

/// Simulates a fleet of daemons while endpoints of several software versions come and go.
pub fn measure_streams(daemons: usize, faults: StreamFaults, seed: u64) -> StreamResult {
    let mut fleet = StreamFleet::new(daemons, seed);
    let mut now = Millis(0);
    while now < DURATION {
        fleet.release(now);
        fleet.inject(faults, now);
        fleet.step(now);
        now = now + STEP;
    }
    fleet.result
}

impl StreamFleet {
    fn new(daemons: usize, seed: u64) -> StreamFleet {
        StreamFleet {
            rng: Pcg64::seed_from_u64(seed),
            daemons: (0..daemons).map(|_| Daemon::default()).collect(),
            registry: BTreeSet::new(),
            record: VersionRecord::default(),
            written: StreamRecords::default(),
            store_away_until: Millis(0),
            streams: Vec::new(),
            next_id: 0,
            result: StreamResult::default(),
        }
    }

    /// Changes the registry; each daemon learns of it after a while.
    fn release(&mut self, now: Millis) {
        let versions: &[&str] = match now.0 {
            0 => &["v1"],
            10_000 => &["v1", "v2"],
            25_000 => &["v2"],
            70_000 => &["v2", "v3"],
            72_000 => &["v3"],
            90_000 => &["v3", "v1"],
            100_000 => &["v1"],
            _ => return,
        };
        self.registry = versions.iter().map(|v| version(v)).collect();
        for daemon in &mut self.daemons {
            let at = now + Millis(self.rng.random_range(REGISTRY_LAG_MS));
            daemon.pending.push((at, self.registry.clone()));
        }
    }

    fn inject(&mut self, faults: StreamFaults, now: Millis) {
        let is_time = [12_000, 25_500, 50_000, 73_000, 101_000].contains(&now.0);
        match faults {
            StreamFaults::AllKilled if is_time => {
                (0..self.daemons.len()).for_each(|number| self.kill(number, now));
            }
            StreamFaults::HalfCutOff if is_time => {
                let cut = self.daemons.iter_mut().step_by(2);
                cut.for_each(|daemon| daemon.cut_until = now + Millis(4_000));
            }
            StreamFaults::StoreAway if is_time => self.store_away_until = now + Millis(6_000),
            _ => {}
        }
    }

    fn kill(&mut self, number: usize, now: Millis) {
        let down_until = now + Millis(self.rng.random_range(RESTART_MS));
        let pending = vec![(down_until, self.registry.clone())];
        self.daemons[number] = Daemon { pending, down_until, ..Daemon::default() };
        for stream in self.streams.iter_mut().filter(|s| s.daemon == number) {
            let wait = Millis(self.rng.random_range(RETURN_MS));
            stream.returns.get_or_insert(now + wait);
        }
    }

    fn reaches_store(&self, number: usize, now: Millis) -> bool {
        let daemon = &self.daemons[number];
        now >= self.store_away_until && now >= daemon.cut_until && now >= daemon.down_until
    }

    fn step(&mut self, now: Millis) {
        for number in 0..self.daemons.len() {
            if now >= self.daemons[number].down_until {
                self.apply_changes(number, now);
                self.write_streams(number, now);
                self.begin_streams(number, now);
            }
        }
        self.keep_record(now);
        self.end_streams(now);
    }

    /// Applies the changes of the registry that are due, once their versions are in the record. The
    /// first daemons read the registry for the others.
    fn apply_changes(&mut self, number: usize, now: Millis) {
        let due = |(at, _): &(Millis, BTreeSet<SoftwareVersion>)| *at <= now;
        let Some(position) = self.daemons[number].pending.iter().rposition(due) else { return };
        if !self.reaches_store(number, now) {
            return;
        }
        let listed = self.daemons[number].pending[position].1.clone();
        self.result.store_calls += u64::from(number < DATA_CENTRES);
        let is_recorded = listed.iter().all(|version| self.record.is_in_service(version));
        let keeper = &mut self.daemons[number].keeper;
        if !is_recorded && let Some(updated) = keeper.update(&self.record, &listed, RETENTION, now)
        {
            self.record = updated;
            self.result.store_calls += 1;
        }
        let daemon = &mut self.daemons[number];
        daemon.usable = listed;
        daemon.record = self.record.clone();
        daemon.pending.drain(..=position);
    }

    /// Lets the store readers remove versions that have no endpoint any more.
    fn keep_record(&mut self, now: Millis) {
        if !now.0.is_multiple_of(CHECK_INTERVAL.0) {
            return;
        }
        for number in 0..self.daemons.len().min(DATA_CENTRES) {
            if !self.reaches_store(number, now) {
                self.daemons[number].keeper.restart();
                continue;
            }
            let listed = self.registry.clone();
            let daemon = &mut self.daemons[number];
            if let Some(updated) = daemon.keeper.update(&self.record, &listed, RETENTION, now) {
                self.record = updated;
                self.result.store_calls += 1;
            }
        }
        self.written.expire(now);
        let record = &self.record;
        for daemon in self.daemons.iter_mut().filter(|d| now >= d.cut_until) {
            daemon.record = record.clone();
        }
    }

    fn write_streams(&mut self, number: usize, now: Millis) {
        let writes_per_s = WRITES_PER_S_AND_DAEMON * self.daemons.len() as f64;
        let interval = batch_interval(Some(self.daemons.len()), writes_per_s);
        let reaches_store = self.reaches_store(number, now);
        let daemon = &mut self.daemons[number];
        if now.since(daemon.wrote_at) < interval {
            return;
        }
        daemon.wrote_at = now;
        daemon.streams.expire(now);
        let services = daemon.record.services_with_several_versions(&daemon.usable);
        if services.is_empty() || daemon.written == daemon.streams.additions() || !reaches_store {
            return;
        }
        let batch = daemon.streams.batch(&services);
        daemon.written = daemon.streams.additions();
        let bytes = serde_json::to_string(&batch).map_or(0, |text| text.len() as u64);
        self.result.most_batch_bytes = self.result.most_batch_bytes.max(bytes);
        self.result.store_calls += 1;
        let added = self.written.add_read(&batch, now + CLIENT_TIME);
        debug_assert!(added.is_ok(), "{added:?}");
    }

    fn begin_streams(&mut self, number: usize, now: Millis) {
        let is_due = self.rng.random::<f64>() < STREAMS_PER_S * STEP.0 as f64 / 1_000.0;
        let usable = &self.daemons[number].usable;
        // Endpoints that have left do not answer a daemon that does not know it yet.
        let origins: Vec<&SoftwareVersion> = usable.intersection(&self.registry).collect();
        if !is_due || origins.is_empty() {
            return;
        }
        let origin = origins[self.rng.random_range(0..origins.len())].clone();
        self.next_id += 1;
        let key = StreamKey::new(None, &self.next_id.to_string());
        let ends = now + Millis(self.rng.random_range(STREAM_MS));
        let is_interrupted = self.rng.random::<f64>() < 0.05;
        let breaks = Millis(self.rng.random_range(0..1_500));
        let returns = is_interrupted.then_some(now + breaks);
        self.daemons[number].streams.record(
            BegunStream {
                key,
                account: String::new(),
                endpoint: String::from("i-1"),
                origin: origin.clone(),
                expires: now + CLIENT_TIME,
            },
            now,
        );
        self.result.begun += 1;
        self.streams.push(Stream { key, origin, daemon: number, ends, returns, reads: 0 });
    }

    /// Ends complete streams, and lets clients continue those that broke off.
    fn end_streams(&mut self, now: Millis) {
        for mut stream in std::mem::take(&mut self.streams) {
            match stream.returns {
                Some(at) if at <= now => {
                    if self.continue_stream(&mut stream, now) {
                        self.streams.push(stream);
                    }
                }
                None if stream.ends <= now => {}
                _ => self.streams.push(stream),
            }
        }
    }

    /// Continues a stream at a random daemon. Returns whether the client still waits.
    fn continue_stream(&mut self, stream: &mut Stream, now: Millis) -> bool {
        let up: Vec<usize> = (0..self.daemons.len())
            .filter(|n| now >= self.daemons[*n].down_until && !self.daemons[*n].usable.is_empty())
            .collect();
        if up.is_empty() {
            stream.returns = Some(now + Millis(200));
            return now < stream.ends + CLIENT_TIME;
        }
        let daemon = up[self.rng.random_range(0..up.len())];
        let origin = self.find_origin(daemon, stream.key, now);
        if origin.is_none() && stream.reads == 0 && self.reaches_store(daemon, now) {
            stream.reads += 1;
            stream.returns = Some(now + Millis(600));
            return true;
        }
        let result = &mut self.result;
        result.joined += u64::from(origin.as_ref().is_some_and(|o| *o != stream.origin));
        if self.registry.contains(&stream.origin) {
            result.continued += 1;
            result.went_on += u64::from(origin.is_some());
            result.unknown += u64::from(origin.is_none());
        }
        false
    }

    fn find_origin(
        &mut self,
        number: usize,
        key: StreamKey,
        now: Millis,
    ) -> Option<SoftwareVersion> {
        if let Some(origin) = self.daemons[number].streams.origin(key) {
            return Some(origin.clone());
        }
        if !self.reaches_store(number, now) {
            return None;
        }
        self.result.store_calls += 1;
        if let Some(origin) = self.record.only_version(SERVICE) {
            return Some(origin);
        }
        self.result.store_calls += 1;
        self.written.origin(key).cloned()
    }
}
