use crate::stream::Stream;
use config::{Lists, Settings};
use decision::Millis;
use decision::load::{Arrival, Scheduler, SchedulerConfig};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Instant;
use utils::{random_id, sha256_hex};

/// The lists in force, with an index of the client accounts by key.
#[derive(Debug, Default)]
pub struct InForce {
    /// The version of the lists in the store; 0 before the first.
    pub version: u64,
    /// Both lists.
    pub lists: Lists,
    by_key: BTreeMap<String, String>,
}

impl InForce {
    /// Indexes the lists of a version.
    pub fn new(version: u64, lists: Lists) -> InForce {
        let accounts = lists.plans.accounts.iter();
        let by_key = accounts.map(|(name, a)| (a.key_sha256.clone(), name.clone())).collect();
        InForce { version, lists, by_key }
    }

    /// Returns the client account that holds a key.
    pub fn account(&self, key: &str) -> Option<&str> {
        self.by_key.get(&sha256_hex(key)).map(String::as_str)
    }
}

/// A request that this daemon answers for.
#[derive(Debug)]
pub struct Job {
    /// The request's id towards callers and endpoints.
    pub id: String,
    /// What the scheduler knows of it.
    pub arrival: Arrival,
    /// The body for the endpoint.
    pub body: serde_json::Value,
    /// The answer as far as it has come.
    pub stream: Stream,
}

/// The tables that all workers share.
///
/// Locks are taken in this order: `in_force`, `addresses`, `scheduler`, `jobs`, then the lock
/// inside a stream. None is held during I/O.
pub struct Tables {
    /// The settings.
    pub cfg: Settings,
    /// The identity of this process.
    pub instance: u128,
    /// The lists in force.
    pub in_force: RwLock<Arc<InForce>>,
    /// The addresses of endpoints by name.
    pub addresses: RwLock<BTreeMap<String, SocketAddr>>,
    /// The decisions under load.
    pub scheduler: Mutex<Scheduler>,
    /// Requests that have not ended, by number.
    pub jobs: Mutex<BTreeMap<u64, Arc<Job>>>,
    /// Whether new work is refused because the daemon stops.
    pub stopping: AtomicBool,
    next_request: AtomicU64,
    started: Instant,
}

impl Tables {
    /// Creates empty tables.
    pub fn new(cfg: Settings) -> Tables {
        let scheduler_cfg =
            SchedulerConfig { data_centre: cfg.data_centre.clone(), ..SchedulerConfig::default() };
        Tables {
            cfg,
            instance: random_id(),
            in_force: RwLock::default(),
            addresses: RwLock::default(),
            scheduler: Mutex::new(Scheduler::new(scheduler_cfg)),
            jobs: Mutex::default(),
            stopping: AtomicBool::new(false),
            next_request: AtomicU64::new(1),
            started: Instant::now(),
        }
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
    pub fn lists(&self) -> Arc<InForce> {
        Arc::clone(&lock_read(&self.in_force))
    }

    /// Returns whether callers can be served.
    pub fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && self.lists().version > 0
    }

    /// Returns a request that has not ended.
    pub fn job(&self, request: u64) -> Option<Arc<Job>> {
        lock(&self.jobs).get(&request).cloned()
    }
}

/// Locks a table; one that a panic left is used as it stands.
pub fn lock<T>(table: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    table.lock().unwrap_or_else(|e| e.into_inner())
}

/// Locks a table for reading.
pub fn lock_read<T>(table: &RwLock<T>) -> std::sync::RwLockReadGuard<'_, T> {
    table.read().unwrap_or_else(|e| e.into_inner())
}

/// Locks a table for writing.
pub fn lock_write<T>(table: &RwLock<T>) -> std::sync::RwLockWriteGuard<'_, T> {
    table.write().unwrap_or_else(|e| e.into_inner())
}
