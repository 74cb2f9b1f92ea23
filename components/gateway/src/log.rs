use decision::Millis;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Maximum number of lines per second about successful requests; further ones are counted and
/// omitted. A fully loaded daemon serves about 150 requests per second with two lines each.
const ROUTINE_LINES_PER_SECOND: u32 = 300;
/// Maximum number of lines per second about failed or refused requests. They have a quota of their
/// own because these are the lines that investigations need.
const FAILURE_LINES_PER_SECOND: u32 = 600;
const QUOTA_PERIOD: Millis = Millis(1_000);
/// Size at which a batch is sent before the next round of maintenance: about 80 lines.
const BATCH_BYTES: usize = 32 * 1_024;
/// Batches queued for a slow reader of standard output, 2 MiB in total; further ones are dropped.
const MAX_QUEUED_BATCHES: usize = 64;

/// Which quota a line about a single request counts against.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineKind {
    /// An attempt or a request succeeded.
    Routine,
    /// An attempt or a request failed, or the request was refused.
    Failure,
}

/// Limits the rate of log lines about single requests, with a quota for each [`LineKind`].
#[derive(Clone, Debug, Default)]
pub struct LogQuota {
    period_start: Millis,
    routine: u32,
    failures: u32,
    omitted: OmittedLines,
}

/// The numbers of lines that were omitted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OmittedLines {
    /// Lines about successful requests.
    pub routine: u64,
    /// Lines about failed or refused requests.
    pub failures: u64,
}

impl LogQuota {
    /// Counts a line and returns whether it may be written.
    pub fn admits(&mut self, kind: LineKind, now: Millis) -> bool {
        if now.since(self.period_start) >= QUOTA_PERIOD {
            (self.period_start, self.routine, self.failures) = (now, 0, 0);
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

    /// Returns and resets the numbers of omitted lines, once the current period is over.
    pub fn take_omitted(&mut self, now: Millis) -> OmittedLines {
        if now.since(self.period_start) < QUOTA_PERIOD {
            return OmittedLines::default();
        }
        std::mem::take(&mut self.omitted)
    }

    /// Logs the numbers of lines omitted since the last report.
    pub(crate) fn report(&mut self, now: Millis) {
        let OmittedLines { routine, failures } = self.take_omitted(now);
        if routine + failures > 0 {
            let lines = routine + failures;
            tracing::warn!(event = "log_lines_left_out", lines, failures);
        }
    }
}

/// Collects lines and sends them to the writer thread together, as each message wakes that thread.
#[derive(Clone, Debug)]
struct Batch(Arc<Mutex<BatchBuffer>>);

#[derive(Debug)]
struct BatchBuffer {
    lines: Vec<u8>,
    output: NonBlocking,
    dropped: usize,
}

impl BatchBuffer {
    /// Sends the lines, or counts them as dropped if the queue is full.
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
    /// Sends the collected lines and reports how many were dropped because of a slow reader.
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

    /// Writes the queued lines, as far as the reader accepts them within a second.
    pub(crate) fn close(self) {
        self.flush();
        drop(self.writer_guard);
    }
}

/// Installs the log, which writes to standard output from a separate thread, so that no task waits
/// for the reader. `None` if a log is already installed.
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
