use super::cache::PrefixCache;
use super::{EngineConfig, Faults};
use crate::lagged::Lagged;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Condvar};
use std::time::{Duration, Instant};

/// The load of an engine at one moment.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Load {
    running: u32,
    waiting: u32,
    age_ms: u64,
}

/// What an engine did for one request id.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Count {
    pub(super) runs: u64,
    pub(super) tokens: u64,
    pub(super) priority: u8,
    pub(super) offset: u64,
    /// Tokens of the prompt that were cached.
    pub(super) cached: u64,
    pub(super) traceparent: String,
}

/// Where a stream stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    Waiting,
    Running,
    Paused,
    Cancelled,
}

/// One stream of the engine.
#[derive(Debug)]
pub(super) struct Entry {
    request: String,
    priority: u8,
    pub(super) phase: Phase,
    pub(super) silent: bool,
    pub(super) changed: Arc<Condvar>,
}

/// The streams that run, wait and are held, and all else that the engine's threads share.
#[derive(Debug)]
pub(super) struct Batch {
    slots: u32,
    queue: usize,
    running: u32,
    next: u64,
    waiting: BTreeSet<(u8, u64)>,
    pub(super) streams: BTreeMap<u64, Entry>,
    pub(super) serves: BTreeSet<String>,
    pub(super) leaving: bool,
    pub(super) fence: u64,
    pub(super) faults: Faults,
    pub(super) cache: PrefixCache,
    pub(super) counts: BTreeMap<String, Count>,
    load: Lagged<Load>,
    load_age: Duration,
}

impl Batch {
    /// Creates an engine without streams.
    pub(super) fn new(cfg: &EngineConfig) -> Batch {
        Batch {
            slots: cfg.slots,
            queue: cfg.queue,
            running: 0,
            next: 0,
            waiting: BTreeSet::new(),
            streams: BTreeMap::new(),
            serves: BTreeSet::from([cfg.model.clone()]),
            leaving: false,
            fence: 0,
            faults: Faults::default(),
            cache: PrefixCache::new(cfg.cache_blocks),
            counts: BTreeMap::new(),
            load: Lagged::new(cfg.report_lag),
            load_age: cfg.report_lag,
        }
    }

    /// Returns how many streams run.
    pub(super) fn running(&self) -> u32 {
        self.running
    }

    /// Lets a request wait for a slot, or says why it is not started.
    pub(super) fn enter(&mut self, request: &str, priority: u8) -> Result<u64, &'static str> {
        if self.leaving {
            return Err("the engine is leaving");
        }
        if self.faults.refuse {
            return Err("the engine refuses work");
        }
        if self.running >= self.slots && self.waiting.len() >= self.queue {
            return Err("the queue is full");
        }
        self.next += 1;
        let (request, changed) = (request.to_string(), Arc::default());
        let entry = Entry { request, priority, phase: Phase::Waiting, silent: false, changed };
        self.streams.insert(self.next, entry);
        self.waiting.insert((priority, self.next));
        self.admit();
        Ok(self.next)
    }

    /// Ends a stream and gives its slot to the next one.
    pub(super) fn leave(&mut self, number: u64) {
        self.set_phase(number, Phase::Cancelled);
        self.streams.remove(&number);
    }

    /// Moves a stream to another phase and gives free slots to those that wait.
    pub(super) fn set_phase(&mut self, number: u64, phase: Phase) {
        let Some(entry) = self.streams.get_mut(&number) else { return };
        let before = std::mem::replace(&mut entry.phase, phase);
        let key = (entry.priority, number);
        entry.changed.notify_all();
        self.running -= u32::from(before == Phase::Running);
        self.waiting.remove(&key);
        if phase == Phase::Waiting {
            self.waiting.insert(key);
        }
        self.admit();
    }

    /// Cancels, pauses or resumes the streams of a request; returns how many.
    pub(super) fn control(&mut self, request: &str, from: &[Phase], to: Phase) -> usize {
        let concerned = self.streams.iter();
        let concerned = concerned.filter(|(_, e)| e.request == request && from.contains(&e.phase));
        let numbers: Vec<u64> = concerned.map(|(number, _)| *number).collect();
        for number in &numbers {
            self.set_phase(*number, to);
        }
        numbers.len()
    }

    /// Sets the faults and wakes every stream to look at them.
    pub(super) fn set_faults(&mut self, faults: Faults) {
        for entry in self.streams.values_mut() {
            entry.silent |= faults.silent;
            entry.changed.notify_all();
        }
        self.faults = faults;
    }

    /// Counts a token; returns whether the engine crashes after it.
    pub(super) fn count_token(&mut self, request: &str) -> bool {
        self.counts.entry(request.to_string()).or_default().tokens += 1;
        let Some(left) = self.faults.crash_after_tokens.as_mut() else { return false };
        *left = left.saturating_sub(1);
        *left == 0
    }

    /// Returns the load as it was some time ago.
    pub(super) fn report(&mut self, now: Instant) -> Load {
        Load { age_ms: self.load_age.as_millis() as u64, ..self.load.get(now) }
    }

    fn admit(&mut self) {
        while self.running < self.slots {
            let Some((_, number)) = self.waiting.pop_first() else { break };
            let Some(entry) = self.streams.get_mut(&number) else { continue };
            entry.phase = Phase::Running;
            entry.changed.notify_all();
            self.running += 1;
        }
        let load = Load { running: self.running, waiting: self.waiting.len() as u32, age_ms: 0 };
        self.load.set(load, Instant::now());
    }
}
