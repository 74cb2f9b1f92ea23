use decision::Millis;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;

/// Lines about single requests in a second; the rest are counted and left out.
const LINES_PER_SECOND: u32 = 400;
/// Lines that wait for a slow reader of standard output; the rest are dropped.
const WAITING_LINES: usize = 4_096;
/// The length of the quota's period.
const SECOND: Millis = Millis(1_000);

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

/// Sends log lines to standard output from a thread of their own, so that no task waits for the
/// reader. The guard writes the waiting lines when it is dropped.
pub(crate) fn start(level: LevelFilter) -> Option<WorkerGuard> {
    let (writer, guard): (NonBlocking, WorkerGuard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(WAITING_LINES)
        .finish(std::io::stdout());
    let started = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_max_level(level)
        .with_writer(writer)
        .try_init();
    started.ok().map(|()| guard)
}
