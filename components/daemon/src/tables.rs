use crate::active_lists::ActiveLists;
use crate::admin::instance_text;
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

/// The time after which the load of a daemon that no longer comes in does not count.
const PEER_TIMEOUT: Millis = Millis(5_000);

/// Requests of this daemon by number and by id.
#[derive(Debug, Default)]
pub struct Jobs {
    /// Requests that have not ended.
    pub open: BTreeMap<u64, Arc<Job>>,
    /// Requests whose answer a caller may still come back for.
    pub by_id: BTreeMap<String, Arc<Job>>,
}

/// The tables that all workers share.
///
/// Locks are taken in this order: `in_force`, `endpoints`, `addresses`, `peers`, `scheduler`, `jobs`, then
/// the locks inside a job. None is held during I/O.
pub struct Tables {
    /// The settings.
    pub cfg: Settings,
    /// The identity of this process.
    pub instance: u128,
    /// The lists in force.
    pub active: RwLock<Arc<ActiveLists>>,
    /// The endpoints of the instance list.
    pub endpoints: Mutex<EndpointTable>,
    /// The addresses of endpoints by name.
    pub addresses: RwLock<BTreeMap<String, SocketAddr>>,
    /// The other daemons by identity.
    pub peers: RwLock<BTreeMap<u128, Peer>>,
    /// The decisions under load.
    pub scheduler: Mutex<Scheduler>,
    /// The requests.
    pub jobs: Mutex<Jobs>,
    /// The execution records of calls that may not be repeated.
    pub records: Records,
    /// The spans of the newest requests.
    pub spans: SpanTable,
    /// The measures by class.
    pub metrics: Metrics,
    /// What operators have to know.
    pub notices: Notices,
    /// Whether new work is refused because the daemon stops.
    pub stopping: AtomicBool,
    /// Whether this daemon has joined the others.
    pub joined: AtomicBool,
    /// Whether the last call to the store by this data centre went well, or none has ended yet.
    pub store_reachable: AtomicBool,
    /// The time of the store's last answer plus one, in milliseconds; 0 before it.
    pub store_answered: AtomicU64,
    /// Requests of callers and peers that are being served.
    pub serving: AtomicUsize,
    next_request: AtomicU64,
    started: Instant,
}

impl Tables {
    /// Creates empty tables.
    pub fn new(cfg: Settings) -> io::Result<Tables> {
        let instance = random_id();
        let scheduler_cfg = SchedulerConfig {
            name: instance_text(instance),
            data_centre: cfg.data_centre.clone(),
            region: cfg.region.clone(),
            seed: instance as u64,
            queue_limit: cfg.queue_limit,
            silence_limit: Millis(cfg.silence_limit_ms),
            link_bytes_per_second: cfg.link_bytes_per_second,
            check_invariants: cfg.check_invariants,
            peer_timeout: PEER_TIMEOUT,
            ..SchedulerConfig::default()
        };
        Ok(Tables {
            instance,
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
            store_answered: AtomicU64::new(0),
            serving: AtomicUsize::new(0),
            next_request: AtomicU64::new(1),
            started: Instant::now(),
            cfg,
        })
    }

    /// Returns the time since the start of this process.
    pub fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }

    /// Draws the number and the id of a new request.
    pub fn new_request(&self) -> (u64, String) {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        (number, format!("{:032x}-{number}", self.instance))
    }

    /// Returns the lists in force.
    pub fn active_lists(&self) -> Arc<ActiveLists> {
        Arc::clone(&lock_read(&self.active))
    }

    /// Returns whether the daemon stops.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns whether callers can be served: lists are in force, the other daemons are known and
    /// endpoints have been probed.
    pub fn is_ready(&self) -> bool {
        let has_lists = self.active_lists().revision > 0;
        let has_joined = self.joined.load(Ordering::Relaxed);
        !self.is_stopping() && has_lists && has_joined && lock(&self.endpoints).all_probed()
    }

    /// Returns a request that has not ended.
    pub fn job(&self, number: u64) -> Option<Arc<Job>> {
        lock(&self.jobs).open.get(&number).cloned()
    }

    /// Returns a request whose answer is still kept.
    pub fn job_by_id(&self, id: &str) -> Option<Arc<Job>> {
        lock(&self.jobs).by_id.get(id).cloned()
    }

    /// Forgets a request, unless another one has taken its id since.
    pub fn forget(&self, job: &Arc<Job>) {
        let mut jobs = lock(&self.jobs);
        if jobs.by_id.get(&job.id).is_some_and(|kept| Arc::ptr_eq(kept, job)) {
            jobs.by_id.remove(&job.id);
        }
    }

    /// Adds a request.
    pub fn add_job(&self, job: &Arc<Job>) {
        let mut jobs = lock(&self.jobs);
        jobs.open.insert(job.number, Arc::clone(job));
        jobs.by_id.insert(job.id.clone(), Arc::clone(job));
    }
}

/// Locks a table; one that a panic left is used as it stands.
pub fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(|e| e.into_inner())
}

/// Locks a table for reading.
pub fn lock_read<T>(table: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    table.read().unwrap_or_else(|e| e.into_inner())
}

/// Locks a table for writing.
pub fn lock_write<T>(table: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    table.write().unwrap_or_else(|e| e.into_inner())
}
