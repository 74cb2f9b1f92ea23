use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// How long a worker waits for a job before it exits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A pool of threads that grows on demand up to a fixed limit and never queues a job.
pub struct ThreadPool<J, F> {
    name: &'static str,
    limit: usize,
    work: Arc<F>,
    threads: Arc<AtomicUsize>,
    tx: Sender<J>,
    rx: Receiver<J>,
}

impl<J: Send + 'static, F: Fn(J) + Send + Sync + 'static> ThreadPool<J, F> {
    /// Creates a pool of at most `limit` threads called `name` that run `work` on each job.
    pub fn new(name: &'static str, limit: usize, work: F) -> ThreadPool<J, F> {
        let (tx, rx) = bounded(0);
        ThreadPool { name, limit, work: Arc::new(work), threads: Arc::default(), tx, rx }
    }

    /// The current number of threads, idle ones included.
    pub fn threads(&self) -> usize {
        self.threads.load(Ordering::Relaxed)
    }

    /// Starts a job at once; returns it as the error if all threads are busy or none can start.
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
            let _guard = ThreadCountGuard(threads);
            if let Ok(job) = first_rx.recv() {
                work(job);
            }
            while let Ok(job) = rx.recv_timeout(IDLE_TIMEOUT) {
                work(job);
            }
        };
        if let Err(e) = thread::Builder::new().name(self.name.to_string()).spawn(worker) {
            return Err((e, job));
        }
        first_tx
            .send(job)
            .map_err(|e| (io::Error::other("the worker thread ended before its first job"), e.0))
    }
}

/// Decrements the thread count when a worker ends, including by a panic.
struct ThreadCountGuard(Arc<AtomicUsize>);

impl Drop for ThreadCountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
