use crate::executor::Executor;
use crate::job::Job;
use crate::tables::lock;
use decision::Millis;
use std::time::Duration;

/// Interval of progress reports to the scheduler while a stream waits for its reader. Without them,
/// the attempt would exceed the silence limit.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Whether the unread tokens fill the stream buffer, so that the attempt has to wait.
pub fn is_reader_behind(executor: &Executor, job: &Job) -> bool {
    job.stream.unread() >= executor.tables.cfg.stream_buffer_tokens
}

/// Blocks until at most half of the stream buffer is unread, the attempt has ended, or the stream
/// window is over.
pub fn wait_for_reader(executor: &Executor, job: &Job, attempt: u32) {
    let tables = &executor.tables;
    let max_unread = tables.cfg.stream_buffer_tokens / 2;
    let window = Millis(tables.cfg.stream_window_ms);
    let started = tables.now();
    while !job.stream.wait_until_read(max_unread, PROGRESS_INTERVAL) {
        lock(&tables.scheduler).progress(job.number, 0, tables.now());
        if !job.stream.is_live(attempt) || tables.now().since(started) > window {
            return;
        }
    }
}
