use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// The time after which an idle worker ends.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// A pool of threads that grows on demand to a fixed limit and never queues a job.
pub struct ThreadPool<J, F> {
    name: &'static str,
    limit: usize,
    work: Arc<F>,
    threads: Arc<AtomicUsize>,
    tx: Sender<J>,
    rx: Receiver<J>,
}

impl<J: Send + 'static, F: Fn(J) + Send + Sync + 'static> ThreadPool<J, F> {
    /// Creates a pool of at most `limit` threads that run `work` on each job.
    pub fn new(name: &'static str, limit: usize, work: F) -> ThreadPool<J, F> {
        let (tx, rx) = bounded(0);
        ThreadPool { name, limit, work: Arc::new(work), threads: Arc::default(), tx, rx }
    }

    /// Returns how many threads the pool has now.
    pub fn threads(&self) -> usize {
        self.threads.load(Ordering::Relaxed)
    }

    /// Starts a job at once, or gives it back when every thread is busy.
    pub fn run(&self, job: J) -> Result<(), J> {
        let job = match self.tx.try_send(job) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => job,
        };
        if self.threads.fetch_add(1, Ordering::Relaxed) >= self.limit {
            self.threads.fetch_sub(1, Ordering::Relaxed);
            return Err(job);
        }
        self.start_worker(job).map_err(|(_, job)| job)
    }

    fn start_worker(&self, job: J) -> Result<(), (io::Error, J)> {
        let work = Arc::clone(&self.work);
        let threads = Arc::clone(&self.threads);
        let rx = self.rx.clone();
        let (first_tx, first_rx) = bounded(1);
        let worker = move || {
            let _count = ThreadCount(threads);
            if let Ok(job) = first_rx.recv() {
                work(job);
            }
            while let Ok(job) = rx.recv_timeout(IDLE_LIMIT) {
                work(job);
            }
        };
        if let Err(e) = thread::Builder::new().name(self.name.to_string()).spawn(worker) {
            return Err((e, job));
        }
        first_tx.send(job).map_err(|e| (io::Error::other("worker"), e.0))
    }
}

/// Counts a thread until it ends, also by a panic.
struct ThreadCount(Arc<AtomicUsize>);

impl Drop for ThreadCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
