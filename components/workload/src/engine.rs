use std::collections::{BTreeMap, VecDeque};

/// The time of one step of an empty batch, in milliseconds.
const STEP_MS: f64 = 20.0;

/// What each stream of the batch adds to a step, in milliseconds.
const STEP_MS_PER_STREAM: f64 = 0.8;

/// Prompt tokens processed in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 8.0;

/// The part of a prompt that a cached prefix spares.
const CACHED_PART: f64 = 0.8;

/// Prefixes that an engine's cache holds.
const CACHED_PREFIXES: usize = 12;

/// The tokens a second of an engine with `slots` streams.
pub fn capacity(slots: u32) -> f64 {
    let slots = f64::from(slots);
    slots * 1_000.0 / (STEP_MS + STEP_MS_PER_STREAM * slots)
}

/// One stream inside an engine.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The call.
    pub call: usize,
    /// The daemon that sent it, by number.
    pub daemon: usize,
    /// The tier, which the engine's queue honours.
    pub tier: u8,
    /// The prefix of the prompt.
    pub prefix: u64,
    /// Prompt tokens still to process.
    pub prefill: f64,
    /// Tokens still to generate.
    pub left: f64,
    /// The part of the next token that is done.
    pub part: f64,
}

/// What an engine tells of one stream.
#[derive(Clone, Copy, Debug)]
pub struct Generated {
    /// The call.
    pub call: usize,
    /// The daemon that sent it.
    pub daemon: usize,
    /// New tokens.
    pub tokens: u32,
    /// Whether the answer is whole.
    pub done: bool,
}

/// A model engine that batches continuously.
#[derive(Debug, Default)]
pub struct Engine {
    /// The name of its instance.
    pub name: String,
    /// The number of its data centre.
    pub data_centre: usize,
    /// Streams of its batch at most.
    pub slots: u32,
    /// How many times slower than usual it is.
    pub slowness: f64,
    /// Whether it is gone.
    pub crashed: bool,
    /// The batch.
    pub running: Vec<Stream>,
    /// Streams held back, whose cache it keeps.
    pub paused: Vec<Stream>,
    waiting: BTreeMap<(u8, u64), Stream>,
    next: u64,
    cache: VecDeque<u64>,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(name: String, data_centre: usize, slots: u32) -> Engine {
        Engine { name, data_centre, slots, ..Engine::default() }
    }

    /// Drops the streams of a daemon that is gone.
    pub fn drop_daemon(&mut self, daemon: usize) {
        self.running.retain(|s| s.daemon != daemon);
        self.paused.retain(|s| s.daemon != daemon);
        self.waiting.retain(|_, s| s.daemon != daemon);
    }

    /// Returns how many streams wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a stream.
    pub fn push(&mut self, stream: Stream) {
        self.next += 1;
        self.waiting.insert((stream.tier, self.next), stream);
    }

    /// Takes out a stream, wherever it is.
    pub fn remove(&mut self, call: usize, daemon: usize) -> Option<Stream> {
        let is = |s: &Stream| s.call == call && s.daemon == daemon;
        if let Some(at) = self.running.iter().position(is) {
            return Some(self.running.remove(at));
        }
        if let Some(at) = self.paused.iter().position(is) {
            return Some(self.paused.remove(at));
        }
        let key = self.waiting.iter().find(|(_, s)| is(s)).map(|(k, _)| *k)?;
        self.waiting.remove(&key)
    }

    /// Holds a stream back.
    pub fn pause(&mut self, call: usize, daemon: usize) {
        if let Some(stream) = self.remove(call, daemon) {
            self.paused.push(stream);
        }
    }

    /// Goes on with a stream that was held back.
    pub fn resume(&mut self, call: usize, daemon: usize) {
        let at = self.paused.iter().position(|s| s.call == call && s.daemon == daemon);
        if let Some(at) = at {
            let stream = self.paused.remove(at);
            self.push(stream);
        }
    }

    /// Empties the engine.
    pub fn drain(&mut self) -> Vec<Stream> {
        let mut all = std::mem::take(&mut self.running);
        all.append(&mut self.paused);
        all.extend(std::mem::take(&mut self.waiting).into_values());
        all
    }

    /// Lets `dt` milliseconds pass.
    pub fn step(&mut self, dt: f64, out: &mut Vec<Generated>) {
        self.fill_batch();
        let slowness = self.slowness.max(1.0);
        let batch = self.running.len() as f64;
        let step_ms = (STEP_MS + STEP_MS_PER_STREAM * batch) * slowness;
        let mut prefill = dt * PREFILL_TOKENS_PER_MS / slowness;
        let mut order: Vec<usize> = (0..self.running.len()).collect();
        order.sort_by_key(|at| self.running[*at].tier);
        for at in order {
            let stream = &mut self.running[at];
            let spent = stream.prefill.min(prefill);
            prefill -= spent;
            stream.prefill -= spent;
        }
        let mut at = 0;
        while at < self.running.len() {
            let stream = &mut self.running[at];
            if stream.prefill > 0.0 {
                at += 1;
                continue;
            }
            stream.part += dt / step_ms;
            let tokens = stream.part.floor().min(stream.left.ceil());
            stream.part -= tokens;
            stream.left -= tokens;
            let done = stream.left <= 0.0;
            if tokens > 0.0 || done {
                let Stream { call, daemon, .. } = *stream;
                out.push(Generated { call, daemon, tokens: tokens as u32, done });
            }
            if done {
                self.running.remove(at);
            } else {
                at += 1;
            }
        }
    }

    fn fill_batch(&mut self) {
        while self.running.len() < self.slots as usize {
            let Some((_, mut stream)) = self.waiting.pop_first() else { return };
            let known = self.cache.iter().position(|p| *p == stream.prefix);
            if let Some(at) = known {
                self.cache.remove(at);
                stream.prefill *= 1.0 - CACHED_PART;
            }
            self.cache.push_front(stream.prefix);
            self.cache.truncate(CACHED_PREFIXES);
            self.running.push(stream);
        }
    }
}
