use decision::Millis;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Lines about single requests in a second; the rest are counted and left out.
const LINES_PER_SECOND: u32 = 400;
/// The length of the quota's period.
const SECOND: Millis = Millis(1_000);
/// Bytes of lines that are passed on without waiting for the next round: about 80 lines.
const BATCH_BYTES: usize = 32 * 1_024;
/// Batches that wait for a slow reader of standard output, 2 MiB; the rest are dropped.
const WAITING_BATCHES: usize = 64;

/// Bounds how many lines about single requests are written.
#[derive(Clone, Debug, Default)]
pub struct LogQuota {
    started: Millis,
    written: u32,
    left_out: u64,
}

impl LogQuota {
    /// Returns whether one more line may be written.
    pub fn admits(&mut self, now: Millis) -> bool {
        if now.since(self.started) >= SECOND {
            self.started = now;
            self.written = 0;
        }
        if self.written >= LINES_PER_SECOND {
            self.left_out += 1;
            return false;
        }
        self.written += 1;
        true
    }

    /// Writes how many lines were left out since the last report.
    pub fn report(&mut self, now: Millis) {
        if self.left_out > 0 && now.since(self.started) >= SECOND {
            tracing::warn!(event = "log_lines_left_out", lines = self.left_out);
            self.left_out = 0;
        }
    }
}

/// Lines that are passed to the writing thread together, since each message wakes that thread.
#[derive(Clone, Debug)]
struct Batch(Arc<Mutex<Gathered>>);

#[derive(Debug)]
struct Gathered {
    lines: Vec<u8>,
    output: NonBlocking,
    dropped: usize,
}

impl Gathered {
    /// Passes the lines on, or counts them if the reader of standard output is too slow.
    fn pass_on(&mut self) -> io::Result<()> {
        if self.lines.is_empty() {
            return Ok(());
        }
        let before = self.output.error_counter().dropped_lines();
        let passed = self.output.write_all(&self.lines);
        if self.output.error_counter().dropped_lines() > before {
            self.dropped += self.lines.iter().filter(|b| **b == b'\n').count();
        }
        self.lines.clear();
        passed
    }
}

impl Batch {
    fn with<T>(&self, f: impl FnOnce(&mut Gathered) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Write for Batch {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.with(|gathered| {
            gathered.lines.extend_from_slice(line);
            if gathered.lines.len() >= BATCH_BYTES {
                gathered.pass_on()?;
            }
            Ok(line.len())
        })
    }

    fn flush(&mut self) -> io::Result<()> {
        self.with(Gathered::pass_on)
    }
}

impl<'a> MakeWriter<'a> for Batch {
    type Writer = Batch;

    fn make_writer(&'a self) -> Batch {
        self.clone()
    }
}

/// The log on standard output.
#[derive(Debug)]
pub(crate) struct Log {
    batch: Batch,
    writing: WorkerGuard,
}

impl Log {
    /// Passes on the lines that have been gathered, and says how many a slow reader has cost.
    pub(crate) fn pass_on(&self) {
        let (passed, dropped) = self.batch.with(|gathered| {
            let passed = gathered.pass_on();
            (passed, std::mem::take(&mut gathered.dropped))
        });
        if let Err(e) = passed {
            tracing::error!(event = "log_not_written", error = %e);
        }
        if dropped > 0 {
            tracing::warn!(event = "log_lines_dropped", lines = dropped);
        }
    }

    /// Writes what waits, as far as the reader takes it within a second.
    pub(crate) fn close(self) {
        self.pass_on();
        drop(self.writing);
    }
}

/// Sends log lines to standard output from a thread of their own, so that no task waits for the
/// reader.
pub(crate) fn start(level: LevelFilter) -> Option<Log> {
    let (output, writing) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(WAITING_BATCHES)
        .finish(io::stdout());
    let gathered = Gathered { lines: Vec::new(), output, dropped: 0 };
    let batch = Batch(Arc::new(Mutex::new(gathered)));
    let started = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_max_level(level)
        .with_writer(batch.clone())
        .try_init();
    started.ok().map(|()| Log { batch, writing })
}
