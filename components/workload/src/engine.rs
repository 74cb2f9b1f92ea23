use std::collections::{BTreeMap, VecDeque};

/// Time of a decoding step of an empty batch.
const DECODE_STEP_MS: f64 = 20.0;

/// Time that each stream of the batch adds to a decoding step.
const DECODE_STEP_MS_PER_STREAM: f64 = 0.8;

const PREFILL_TOKENS_PER_MS: f64 = 8.0;

/// Fraction of the prefill that a cached prefix saves.
const CACHED_PREFIX_FRACTION: f64 = 0.8;

/// Number of prefixes in an engine's cache; the least recently used one is evicted.
const PREFIX_CACHE_ENTRIES: usize = 12;

/// Response tokens per second of an engine whose batch of `slots` streams is full.
pub fn tokens_per_second(slots: u32) -> f64 {
    let slots = f64::from(slots);
    slots * 1_000.0 / (DECODE_STEP_MS + DECODE_STEP_MS_PER_STREAM * slots)
}

/// A request inside an engine.
#[derive(Clone, Debug)]
pub struct Stream {
    pub call: usize,
    /// Index of the daemon that dispatched it.
    pub daemon: usize,
    /// Orders the engine's queue and its prefill work; the lowest number goes first.
    pub tier: u8,
    /// Identifies the shared prefix of the prompt in the cache.
    pub prefix: u64,
    pub prefill_tokens_left: f64,
    pub tokens_left: f64,
    /// Progress towards the next token, from 0 to 1.
    pub token_progress: f64,
}

/// Output of one stream in one step.
#[derive(Clone, Copy, Debug)]
pub struct Generated {
    pub call: usize,
    /// Index of the daemon that dispatched the stream.
    pub daemon: usize,
    pub tokens: u32,
    /// Whether the response is complete.
    pub is_complete: bool,
}

/// A model of an inference engine with continuous batching.
#[derive(Debug, Default)]
pub struct Engine {
    pub name: String,
    /// Index of its data centre.
    pub data_centre: usize,
    /// Maximum number of streams in the batch.
    pub slots: u32,
    /// Factor by which it is slower than normal; values below 1 count as 1.
    pub slowdown: f64,
    pub crashed: bool,
    /// The streams of the batch.
    pub running: Vec<Stream>,
    /// Paused streams, which keep their progress.
    pub paused: Vec<Stream>,
    /// Queued streams by tier and sequence number.
    waiting: BTreeMap<(u8, u64), Stream>,
    sequence: u64,
    /// Cached prefixes, most recently used first.
    cache: VecDeque<u64>,
}

impl Engine {
    pub fn new(name: String, data_centre: usize, slots: u32) -> Engine {
        Engine { name, data_centre, slots, ..Engine::default() }
    }

    /// Drops the streams that a daemon dispatched, whether running, paused or queued.
    pub fn remove_daemon_streams(&mut self, daemon: usize) {
        self.running.retain(|s| s.daemon != daemon);
        self.paused.retain(|s| s.daemon != daemon);
        self.waiting.retain(|_, s| s.daemon != daemon);
    }

    /// Number of queued streams.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn enqueue(&mut self, stream: Stream) {
        self.sequence += 1;
        self.waiting.insert((stream.tier, self.sequence), stream);
    }

    /// Removes a stream, whether running, paused or queued.
    pub fn remove(&mut self, call: usize, daemon: usize) -> Option<Stream> {
        let matches = |s: &Stream| s.call == call && s.daemon == daemon;
        if let Some(at) = self.running.iter().position(matches) {
            return Some(self.running.remove(at));
        }
        if let Some(at) = self.paused.iter().position(matches) {
            return Some(self.paused.remove(at));
        }
        let key = self.waiting.iter().find(|(_, s)| matches(s)).map(|(k, _)| *k)?;
        self.waiting.remove(&key)
    }

    /// Takes a stream out of the batch or the queue until [`Engine::resume`].
    pub fn pause(&mut self, call: usize, daemon: usize) {
        if let Some(stream) = self.remove(call, daemon) {
            self.paused.push(stream);
        }
    }

    /// Queues a paused stream again.
    pub fn resume(&mut self, call: usize, daemon: usize) {
        let at = self.paused.iter().position(|s| s.call == call && s.daemon == daemon);
        if let Some(at) = at {
            let stream = self.paused.remove(at);
            self.enqueue(stream);
        }
    }

    /// Removes all streams.
    pub fn drain(&mut self) -> Vec<Stream> {
        let mut all = std::mem::take(&mut self.running);
        all.append(&mut self.paused);
        all.extend(std::mem::take(&mut self.waiting).into_values());
        all
    }

    /// Advances the engine by `dt_ms` and appends what it generated to `out`.
    pub fn step(&mut self, dt_ms: f64, out: &mut Vec<Generated>) {
        self.fill_batch();
        let slowdown = self.slowdown.max(1.0);
        let batch = self.running.len() as f64;
        let step_ms = (DECODE_STEP_MS + DECODE_STEP_MS_PER_STREAM * batch) * slowdown;
        let mut prefill_budget = dt_ms * PREFILL_TOKENS_PER_MS / slowdown;
        let mut order: Vec<usize> = (0..self.running.len()).collect();
        order.sort_by_key(|at| self.running[*at].tier);
        for at in order {
            let stream = &mut self.running[at];
            let processed = stream.prefill_tokens_left.min(prefill_budget);
            prefill_budget -= processed;
            stream.prefill_tokens_left -= processed;
        }
        let mut at = 0;
        while at < self.running.len() {
            let stream = &mut self.running[at];
            if stream.prefill_tokens_left > 0.0 {
                at += 1;
                continue;
            }
            stream.token_progress += dt_ms / step_ms;
            let tokens = stream.token_progress.floor().min(stream.tokens_left.ceil());
            stream.token_progress -= tokens;
            stream.tokens_left -= tokens;
            let is_complete = stream.tokens_left <= 0.0;
            if tokens > 0.0 || is_complete {
                let Stream { call, daemon, .. } = *stream;
                out.push(Generated { call, daemon, tokens: tokens as u32, is_complete });
            }
            if is_complete {
                self.running.remove(at);
            } else {
                at += 1;
            }
        }
    }

    fn fill_batch(&mut self) {
        while self.running.len() < self.slots as usize {
            let Some((_, mut stream)) = self.waiting.pop_first() else { return };
            let cached = self.cache.iter().position(|p| *p == stream.prefix);
            if let Some(at) = cached {
                self.cache.remove(at);
                stream.prefill_tokens_left *= 1.0 - CACHED_PREFIX_FRACTION;
            }
            self.cache.push_front(stream.prefix);
            self.cache.truncate(PREFIX_CACHE_ENTRIES);
            self.running.push(stream);
        }
    }
}
