use crate::executor::Executor;
use crate::job::Job;
use crate::tables::lock;
use decision::Millis;
use std::time::Duration;

/// The time after which the scheduler is told again that a stream is held back.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Returns whether the caller is so far behind that the attempt has to wait.
pub fn is_reader_behind(executor: &Executor, job: &Job) -> bool {
    job.stream.unread() >= executor.tables.cfg.stream_buffer_tokens
}

/// Waits until the caller has read half of what it lacks, at most for the stream window.
pub fn wait_for_reader(executor: &Executor, job: &Job, attempt: u32) {
    let tables = &executor.tables;
    let left = tables.cfg.stream_buffer_tokens / 2;
    let window = Millis(tables.cfg.stream_window_ms);
    let started = tables.now();
    while !job.stream.wait_until_read(left, PROGRESS_INTERVAL) {
        lock(&tables.scheduler).progress(job.number, 0, tables.now());
        if !job.stream.is_live(attempt) || tables.now().since(started) > window {
            return;
        }
    }
}
