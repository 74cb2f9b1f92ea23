use decision::Millis;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Lines about requests that go well, in a second; the rest are counted and left out. A daemon that
/// is full serves about 150 requests a second with two lines each.
const ROUTINE_LINES_PER_SECOND: u32 = 300;
/// Lines about requests that fail or are refused, in a second: these are the ones that are asked
/// for later, so routine lines do not take their room.
const FAILURE_LINES_PER_SECOND: u32 = 600;
/// The length of the quota's period.
const QUOTA_PERIOD: Millis = Millis(1_000);
/// Bytes of lines that are passed on without waiting for the next round: about 80 lines.
const BATCH_BYTES: usize = 32 * 1_024;
/// Batches that wait for a slow reader of standard output, 2 MiB; the rest are dropped.
const MAX_QUEUED_BATCHES: usize = 64;

/// What a line about a single request tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineKind {
    /// The request goes well.
    Routine,
    /// The request failed at an endpoint, or it is refused.
    Failure,
}

/// Bounds how many lines about single requests are written.
#[derive(Clone, Debug, Default)]
pub struct LogQuota {
    started: Millis,
    routine: u32,
    failures: u32,
    omitted: OmittedLines,
}

/// Lines that were not written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OmittedLines {
    /// Those about requests that went well.
    pub routine: u64,
    /// Those about requests that failed or were refused.
    pub failures: u64,
}

impl LogQuota {
    /// Returns whether one more line may be written.
    pub fn admits(&mut self, kind: LineKind, now: Millis) -> bool {
        if now.since(self.started) >= QUOTA_PERIOD {
            (self.started, self.routine, self.failures) = (now, 0, 0);
        }
        let (written, limit, omitted) = match kind {
            LineKind::Routine => {
                (&mut self.routine, ROUTINE_LINES_PER_SECOND, &mut self.omitted.routine)
            }
            LineKind::Failure => {
                (&mut self.failures, FAILURE_LINES_PER_SECOND, &mut self.omitted.failures)
            }
        };
        if *written >= limit {
            *omitted += 1;
            return false;
        }
        *written += 1;
        true
    }

    /// Returns how many lines were left out since the last call, once their second is over.
    pub fn take_omitted(&mut self, now: Millis) -> OmittedLines {
        if now.since(self.started) < QUOTA_PERIOD {
            return OmittedLines::default();
        }
        std::mem::take(&mut self.omitted)
    }

    /// Writes how many lines were left out since the last report.
    pub(crate) fn report(&mut self, now: Millis) {
        let OmittedLines { routine, failures } = self.take_omitted(now);
        if routine + failures > 0 {
            let lines = routine + failures;
            tracing::warn!(event = "log_lines_left_out", lines, failures);
        }
    }
}

/// Lines that are passed to the writing thread together, since each message wakes that thread.
#[derive(Clone, Debug)]
struct Batch(Arc<Mutex<BatchBuffer>>);

#[derive(Debug)]
struct BatchBuffer {
    lines: Vec<u8>,
    output: NonBlocking,
    dropped: usize,
}

impl BatchBuffer {
    /// Passes the lines on, or counts them if the reader of standard output is too slow.
    fn send(&mut self) -> io::Result<()> {
        if self.lines.is_empty() {
            return Ok(());
        }
        let dropped_before = self.output.error_counter().dropped_lines();
        let sent = self.output.write_all(&self.lines);
        if self.output.error_counter().dropped_lines() > dropped_before {
            self.dropped += self.lines.iter().filter(|b| **b == b'\n').count();
        }
        self.lines.clear();
        sent
    }
}

impl Batch {
    fn with<T>(&self, f: impl FnOnce(&mut BatchBuffer) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Write for Batch {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.with(|buffer| {
            buffer.lines.extend_from_slice(line);
            if buffer.lines.len() >= BATCH_BYTES {
                buffer.send()?;
            }
            Ok(line.len())
        })
    }

    fn flush(&mut self) -> io::Result<()> {
        self.with(BatchBuffer::send)
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
    writer_guard: WorkerGuard,
}

impl Log {
    /// Passes on the lines that have been gathered, and says how many a slow reader has cost.
    pub(crate) fn flush(&self) {
        let (sent, dropped) = self.batch.with(|buffer| {
            let sent = buffer.send();
            (sent, std::mem::take(&mut buffer.dropped))
        });
        if let Err(e) = sent {
            tracing::error!(event = "log_not_written", error = %e);
        }
        if dropped > 0 {
            tracing::warn!(event = "log_lines_dropped", lines = dropped);
        }
    }

    /// Writes what waits, as far as the reader takes it within a second.
    pub(crate) fn close(self) {
        self.flush();
        drop(self.writer_guard);
    }
}

/// Sends log lines to standard output from a thread of their own, so that no task waits for the
/// reader.
pub(crate) fn start(level: LevelFilter) -> Option<Log> {
    let (output, writer_guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_BATCHES)
        .finish(io::stdout());
    let buffer = BatchBuffer { lines: Vec::new(), output, dropped: 0 };
    let batch = Batch(Arc::new(Mutex::new(buffer)));
    let installed = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_max_level(level)
        .with_writer(batch.clone())
        .try_init();
    installed.ok().map(|()| Log { batch, writer_guard })
}
