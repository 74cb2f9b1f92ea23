use super::content::digest;
use super::version_record::SoftwareVersion;
use crate::Millis;
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Streams of one client account that a daemon keeps; the oldest are dropped first.
const MAX_STREAMS_PER_ACCOUNT: usize = 4_096;
/// Streams of other daemons that a daemon keeps.
const MAX_READ_STREAMS: usize = 65_536;
/// Time in which the restart of an endpoint under its id shows in the registry: a few heartbeats.
const RESTART_NOTICE_TIME: Millis = Millis(5_000);

/// Minimum time between two batches of a daemon.
const MIN_BATCH_INTERVAL: Millis = Millis(250);
/// Share of the store's writes that the batches of all daemons use.
const WRITE_SHARE: f64 = 0.25;
/// Number of daemons that is assumed while it is unknown.
const ASSUMED_DAEMONS: usize = 100;

/// Returns the time between two batches of a daemon, if all daemons together may make
/// `writes_per_second` writes to the store.
pub fn batch_interval(daemons: Option<usize>, writes_per_second: f64) -> Millis {
    let daemons = daemons.unwrap_or(ASSUMED_DAEMONS) as f64;
    let seconds = daemons / (writes_per_second * WRITE_SHARE).max(1.0);
    Millis((seconds * 1_000.0).ceil() as u64).max(MIN_BATCH_INTERVAL)
}

/// The key of a stream, the same on all daemons: a digest of the client account and of the request
/// that brought the first event, so that an account cannot name a stream of another one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream that a request of an account began.
    pub fn new(account: Option<&str>, request_id: &str) -> StreamKey {
        let account = account.map_or(&[][..], str::as_bytes);
        StreamKey(digest(&[account, request_id.as_bytes()]))
    }
}

/// A stream whose first event a client was sent.
#[derive(Clone, Debug)]
pub struct BegunStream {
    /// Its key.
    pub key: StreamKey,
    /// The client account; empty for anonymous requests.
    pub account: String,
    /// The endpoint that began it.
    pub endpoint: String,
    /// The software version that began it.
    pub origin: SoftwareVersion,
    /// When its client no longer waits for its end.
    pub expires: Millis,
}

#[derive(Clone, Debug)]
struct StreamRecord {
    stream: BegunStream,
    began: Millis,
    /// Whether another stream with this key began at another version.
    is_ambiguous: bool,
}

/// The streams that a daemon began, as it writes them to the store: for each service and software
/// version the keys, 8 bytes each, in base64.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct StreamBatch {
    services: BTreeMap<String, BTreeMap<String, String>>,
}

impl StreamBatch {
    fn new(streams: BTreeMap<&SoftwareVersion, Vec<u8>>) -> StreamBatch {
        let mut batch = StreamBatch::default();
        for (origin, keys) in streams {
            let versions = batch.services.entry(origin.service.clone()).or_default();
            versions.insert(origin.version.clone(), STANDARD_NO_PAD.encode(keys));
        }
        batch
    }

    /// Returns the streams; the error names the version whose keys cannot be decoded.
    fn streams(&self) -> Result<Vec<(StreamKey, SoftwareVersion)>, String> {
        let mut streams = Vec::new();
        for (service, versions) in &self.services {
            for (version, text) in versions {
                let bytes = STANDARD_NO_PAD
                    .decode(text)
                    .map_err(|e| format!("streams of {service} at {version:?}: {e}"))?;
                let origin = SoftwareVersion { service: service.clone(), version: version.clone() };
                let (keys, _) = bytes.as_chunks::<8>();
                let key = |key: &[u8; 8]| (StreamKey(u64::from_be_bytes(*key)), origin.clone());
                streams.extend(keys.iter().map(key));
            }
        }
        Ok(streams)
    }
}

/// The software versions of the streams that this daemon began, and of those that it read from the
/// records of other daemons.
#[derive(Clone, Debug, Default)]
pub struct StreamRecords {
    own: BTreeMap<StreamKey, StreamRecord>,
    /// The streams of each account in the order of their beginnings.
    by_account: BTreeMap<String, BTreeSet<(Millis, StreamKey)>>,
    /// With the time at which they are discarded.
    read: BTreeMap<StreamKey, (SoftwareVersion, Millis)>,
    /// The number of additions so far.
    additions: u64,
}

impl StreamRecords {
    /// Records a stream with its first event. A stream at an endpoint of an unknown version is left
    /// out.
    pub fn record(&mut self, stream: BegunStream, now: Millis) {
        if stream.origin.version.is_empty() {
            return;
        }
        self.additions += 1;
        let before = self.remove(stream.key);
        let is_ambiguous = before
            .is_some_and(|before| before.is_ambiguous || before.stream.origin != stream.origin);
        let of_account = self.by_account.entry(stream.account.clone()).or_default();
        of_account.insert((now, stream.key));
        let excess =
            (of_account.len() > MAX_STREAMS_PER_ACCOUNT).then(|| of_account.pop_first()).flatten();
        self.own.insert(stream.key, StreamRecord { stream, began: now, is_ambiguous });
        if let Some((_, key)) = excess {
            self.own.remove(&key);
        }
    }

    fn remove(&mut self, key: StreamKey) -> Option<StreamRecord> {
        let record = self.own.remove(&key)?;
        if let Some(of_account) = self.by_account.get_mut(&record.stream.account) {
            of_account.remove(&(record.began, key));
            if of_account.is_empty() {
                self.by_account.remove(&record.stream.account);
            }
        }
        Some(record)
    }

    /// Returns the software version that began a stream; `None` if it is not known.
    pub fn origin(&self, key: StreamKey) -> Option<&SoftwareVersion> {
        match self.own.get(&key) {
            Some(record) => Some(&record.stream.origin).filter(|_| !record.is_ambiguous),
            None => self.read.get(&key).map(|(origin, _)| origin),
        }
    }

    /// Adds the streams that another daemon wrote; they are kept until `expires`. Returns their
    /// number; the error names the version whose keys cannot be decoded.
    pub fn add_read(&mut self, batch: &StreamBatch, expires: Millis) -> Result<usize, String> {
        let streams = batch.streams()?;
        let number = streams.len();
        for (key, origin) in streams {
            if self.read.len() < MAX_READ_STREAMS || self.read.contains_key(&key) {
                self.read.insert(key, (origin, expires));
            }
        }
        Ok(number)
    }

    /// Removes the streams that an endpoint began at another version than `version` shortly before
    /// that one was registered under its id: it may have restarted before they began.
    pub fn forget_restarted(&mut self, endpoint: &str, version: &str, now: Millis) {
        let is_doubtful = |record: &StreamRecord| {
            record.stream.endpoint == endpoint
                && record.stream.origin.version != version
                && now.since(record.began) < RESTART_NOTICE_TIME
        };
        let doubtful: Vec<StreamKey> =
            self.own.iter().filter(|(_, r)| is_doubtful(r)).map(|(key, _)| *key).collect();
        self.additions += u64::from(!doubtful.is_empty());
        doubtful.into_iter().for_each(|key| drop(self.remove(key)));
    }

    /// Removes the streams whose clients no longer wait.
    pub fn expire(&mut self, now: Millis) {
        let expired = |(_, record): &(&StreamKey, &StreamRecord)| record.stream.expires <= now;
        let expired: Vec<StreamKey> = self.own.iter().filter(expired).map(|(k, _)| *k).collect();
        expired.into_iter().for_each(|key| drop(self.remove(key)));
        self.read.retain(|_, (_, expires)| *expires > now);
    }

    /// Returns the number of changes so far that a later batch has to contain.
    pub fn additions(&self) -> u64 {
        self.additions
    }

    /// Returns the streams of some services that this daemon began.
    pub fn batch(&self, services: &BTreeSet<String>) -> StreamBatch {
        let mut streams: BTreeMap<&SoftwareVersion, Vec<u8>> = BTreeMap::new();
        for (StreamKey(key), record) in &self.own {
            let origin = &record.stream.origin;
            if services.contains(&origin.service) && !record.is_ambiguous {
                streams.entry(origin).or_default().extend(key.to_be_bytes());
            }
        }
        StreamBatch::new(streams)
    }

    /// Returns the number of streams that this daemon began.
    pub fn len(&self) -> usize {
        self.own.len()
    }

    /// Returns whether this daemon began no stream.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty()
    }
}
