use super::cache::PrefixCache;
use super::{EngineConfig, Faults};
use crate::delayed::Delayed;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Condvar};
use std::time::{Duration, Instant};

/// The load of an engine, as `/v1/load` reports it.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Load {
    running: u32,
    waiting: u32,
    age_ms: u64,
}

/// The work of an engine for one request id, as `/counts` reports it.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Count {
    pub(super) runs: u64,
    pub(super) tokens: u64,
    pub(super) priority: u8,
    pub(super) offset: u64,
    /// Prompt tokens found in the prefix cache.
    pub(super) cached: u64,
    pub(super) traceparent: String,
}

/// The state of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    Waiting,
    Running,
    Paused,
    Cancelled,
}

/// A stream that waits, runs or is paused.
#[derive(Debug)]
pub(super) struct Entry {
    request: String,
    priority: u8,
    pub(super) phase: Phase,
    /// Set by the fault `silent`: nothing more is sent.
    pub(super) silent: bool,
    /// Notified when the phase or the faults change.
    pub(super) changed: Arc<Condvar>,
}

/// The state shared by the threads of an engine: streams, loaded models, faults, cache and counts.
#[derive(Debug)]
pub(super) struct Batch {
    slots: u32,
    queue: usize,
    running: u32,
    last_id: u64,
    /// Waiting streams by priority (lowest number first), then by arrival.
    waiting: BTreeSet<(u8, u64)>,
    pub(super) streams: BTreeMap<u64, Entry>,
    pub(super) serves: BTreeSet<String>,
    pub(super) leaving: bool,
    pub(super) fence: u64,
    pub(super) faults: Faults,
    pub(super) cache: PrefixCache,
    pub(super) counts: BTreeMap<String, Count>,
    load: Delayed<Load>,
    load_lag: Duration,
}

impl Batch {
    pub(super) fn new(cfg: &EngineConfig) -> Batch {
        Batch {
            slots: cfg.slots,
            queue: cfg.queue,
            running: 0,
            last_id: 0,
            waiting: BTreeSet::new(),
            streams: BTreeMap::new(),
            serves: BTreeSet::from([cfg.model.clone()]),
            leaving: false,
            fence: 0,
            faults: Faults::default(),
            cache: PrefixCache::new(cfg.cache_blocks),
            counts: BTreeMap::new(),
            load: Delayed::new(cfg.report_lag),
            load_lag: cfg.report_lag,
        }
    }

    /// The number of streams that hold a slot.
    pub(super) fn running(&self) -> u32 {
        self.running
    }

    /// Queues a request and returns the id of its stream, or the reason for its rejection.
    pub(super) fn enqueue(&mut self, request: &str, priority: u8) -> Result<u64, &'static str> {
        if self.leaving {
            return Err("the engine is leaving");
        }
        if self.faults.refuse {
            return Err("the engine refuses work");
        }
        if self.running >= self.slots && self.waiting.len() >= self.queue {
            return Err("the queue is full");
        }
        self.last_id += 1;
        let (request, changed) = (request.to_string(), Arc::default());
        let entry = Entry { request, priority, phase: Phase::Waiting, silent: false, changed };
        self.streams.insert(self.last_id, entry);
        self.waiting.insert((priority, self.last_id));
        self.start_waiting();
        Ok(self.last_id)
    }

    /// Removes a stream and gives its slot to the next waiting one.
    pub(super) fn remove(&mut self, id: u64) {
        self.set_phase(id, Phase::Cancelled);
        self.streams.remove(&id);
    }

    /// Changes the phase of a stream and gives free slots to waiting streams.
    pub(super) fn set_phase(&mut self, id: u64, phase: Phase) {
        let Some(entry) = self.streams.get_mut(&id) else { return };
        let previous = std::mem::replace(&mut entry.phase, phase);
        let key = (entry.priority, id);
        entry.changed.notify_all();
        self.running -= u32::from(previous == Phase::Running);
        self.waiting.remove(&key);
        if phase == Phase::Waiting {
            self.waiting.insert(key);
        }
        self.start_waiting();
    }

    /// Moves the streams of a request that are in one of the phases `from` to the phase `to`;
    /// returns their number.
    pub(super) fn control(&mut self, request: &str, from: &[Phase], to: Phase) -> usize {
        let matching = self.streams.iter();
        let matching = matching.filter(|(_, e)| e.request == request && from.contains(&e.phase));
        let ids: Vec<u64> = matching.map(|(id, _)| *id).collect();
        for id in &ids {
            self.set_phase(*id, to);
        }
        ids.len()
    }

    /// Replaces the faults and wakes every stream, so that it applies them.
    pub(super) fn set_faults(&mut self, faults: Faults) {
        for entry in self.streams.values_mut() {
            entry.silent |= faults.silent;
            entry.changed.notify_all();
        }
        self.faults = faults;
    }

    /// Counts a token; true if the fault `crash_after_tokens` is due.
    pub(super) fn count_token(&mut self, request: &str) -> bool {
        self.counts.entry(request.to_string()).or_default().tokens += 1;
        let Some(remaining) = self.faults.crash_after_tokens.as_mut() else { return false };
        *remaining = remaining.saturating_sub(1);
        *remaining == 0
    }

    /// The load as of the report lag before `now`.
    pub(super) fn reported_load(&mut self, now: Instant) -> Load {
        Load { age_ms: self.load_lag.as_millis() as u64, ..self.load.get(now) }
    }

    fn start_waiting(&mut self) {
        while self.running < self.slots {
            let Some((_, id)) = self.waiting.pop_first() else { break };
            let Some(entry) = self.streams.get_mut(&id) else { continue };
            entry.phase = Phase::Running;
            entry.changed.notify_all();
            self.running += 1;
        }
        let load = Load { running: self.running, waiting: self.waiting.len() as u32, age_ms: 0 };
        self.load.set(load, Instant::now());
    }
}
