use crate::active_lists::ActiveLists;
use crate::admin::identity_text;
use crate::endpoints::EndpointTable;
use crate::job::Job;
use crate::metrics::Metrics;
use crate::notices::Notices;
use crate::peer::Peer;
use crate::records::Records;
use crate::spans::SpanTable;
use config::Settings;
use decision::Millis;
use decision::load::{Scheduler, SchedulerConfig};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::time::Instant;
use utils::random_id;

/// The load of another daemon is ignored when no update has arrived for this time.
const PEER_LOAD_TIMEOUT: Millis = Millis(5_000);

/// The requests of this daemon, by number and by id.
#[derive(Debug, Default)]
pub struct Jobs {
    /// Requests that have not ended.
    pub open: BTreeMap<u64, Arc<Job>>,
    /// Requests whose stream a caller may still resume, which includes the open ones.
    pub by_id: BTreeMap<String, Arc<Job>>,
}

/// The state that all threads share.
///
/// Locks are taken in this order: `active`, `endpoints`, `addresses`, `peers`, `scheduler`, `jobs`,
/// then the locks inside a job. None is held during I/O.
pub struct Tables {
    pub cfg: Settings,
    /// The identity of this process.
    pub identity: u128,
    /// Replaced as a whole, so that a reader keeps a consistent revision.
    pub active: RwLock<Arc<ActiveLists>>,
    /// The endpoints to probe.
    pub endpoints: Mutex<EndpointTable>,
    /// The addresses of the endpoints whose description has been read, by name.
    pub addresses: RwLock<BTreeMap<String, SocketAddr>>,
    /// The other live and reachable daemons by identity.
    pub peers: RwLock<BTreeMap<u128, Peer>>,
    /// Decides on admission, queueing and dispatch.
    pub scheduler: Mutex<Scheduler>,
    pub jobs: Mutex<Jobs>,
    /// The execution records of calls that must not be repeated.
    pub records: Records,
    /// The spans of the newest requests.
    pub spans: SpanTable,
    pub metrics: Metrics,
    /// Findings of the cluster for `/admin/status`.
    pub notices: Notices,
    /// Whether the daemon is stopping and refuses new requests.
    pub stopping: AtomicBool,
    /// Whether this daemon has joined the cluster.
    pub joined: AtomicBool,
    /// Whether any daemon of this data centre that watches the store reports it as reachable; true
    /// until the first report.
    pub store_reachable: AtomicBool,
    /// The time of the last response of the store by `Tables::now` in milliseconds, plus 1; 0 before
    /// the first.
    pub last_store_response: AtomicU64,
    /// The number of requests of callers and peers that are being served.
    pub serving: AtomicUsize,
    next_request: AtomicU64,
    started: Instant,
}

impl Tables {
    /// Creates empty tables under a new random identity; opens the socket to the metrics collector.
    pub fn new(cfg: Settings) -> io::Result<Tables> {
        let identity = random_id();
        let scheduler_cfg = SchedulerConfig {
            name: identity_text(identity),
            data_centre: cfg.data_centre.clone(),
            region: cfg.region.clone(),
            seed: identity as u64,
            queue_limit: cfg.queue_limit,
            silence_limit: Millis(cfg.silence_limit_ms),
            link_bytes_per_second: cfg.link_bytes_per_second,
            check_invariants: cfg.check_invariants,
            peer_timeout: PEER_LOAD_TIMEOUT,
            ..SchedulerConfig::default()
        };
        Ok(Tables {
            identity,
            active: RwLock::default(),
            endpoints: Mutex::default(),
            addresses: RwLock::default(),
            peers: RwLock::default(),
            scheduler: Mutex::new(Scheduler::new(scheduler_cfg)),
            jobs: Mutex::default(),
            records: Records::new(cfg.store),
            spans: SpanTable::default(),
            metrics: Metrics::new(cfg.metrics)?,
            notices: Notices::default(),
            stopping: AtomicBool::new(false),
            joined: AtomicBool::new(false),
            store_reachable: AtomicBool::new(true),
            last_store_response: AtomicU64::new(0),
            serving: AtomicUsize::new(0),
            next_request: AtomicU64::new(1),
            started: Instant::now(),
            cfg,
        })
    }

    /// Monotonic time since these tables were created.
    pub fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }

    /// Allocates the number and the id of a new request; the id starts with the identity of this
    /// process.
    pub fn new_request(&self) -> (u64, String) {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        (number, format!("{:032x}-{number}", self.identity))
    }

    pub fn active_lists(&self) -> Arc<ActiveLists> {
        Arc::clone(&lock_read(&self.active))
    }

    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether callers can be served: the daemon is not stopping, lists are active, the cluster is
    /// joined and all listed endpoints have been probed.
    pub fn is_ready(&self) -> bool {
        let has_lists = self.active_lists().revision > 0;
        let has_joined = self.joined.load(Ordering::Relaxed);
        !self.is_stopping() && has_lists && has_joined && lock(&self.endpoints).all_probed()
    }

    /// Looks up a request that has not ended.
    pub fn job(&self, number: u64) -> Option<Arc<Job>> {
        lock(&self.jobs).open.get(&number).cloned()
    }

    /// Looks up a request whose stream is still kept.
    pub fn job_by_id(&self, id: &str) -> Option<Arc<Job>> {
        lock(&self.jobs).by_id.get(id).cloned()
    }

    /// Removes the stream of a request, unless its id belongs to a newer job.
    pub fn remove_stream(&self, job: &Arc<Job>) {
        let mut jobs = lock(&self.jobs);
        if jobs.by_id.get(&job.id).is_some_and(|kept| Arc::ptr_eq(kept, job)) {
            jobs.by_id.remove(&job.id);
        }
    }

    pub fn add_job(&self, job: &Arc<Job>) {
        let mut jobs = lock(&self.jobs);
        jobs.open.insert(job.number, Arc::clone(job));
        jobs.by_id.insert(job.id.clone(), Arc::clone(job));
    }
}

/// Locks a table; one that a panic has poisoned is used in its present state.
pub fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(|e| e.into_inner())
}

/// Locks a table for reading, also if it is poisoned.
pub fn lock_read<T>(table: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    table.read().unwrap_or_else(|e| e.into_inner())
}

/// Locks a table for writing, also if it is poisoned.
pub fn lock_write<T>(table: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    table.write().unwrap_or_else(|e| e.into_inner())
}
