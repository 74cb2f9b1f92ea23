use crate::adapter::Adapter;
use crate::log::LogQuota;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::settings::Settings;
use crate::stop::Stop;
use decision::Millis;
use decision::routing::{
    Catalog, Directory, DirectoryChange, Freshness, LoadTable, PlacementTerms, RetryBudget,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;

/// All that the tasks of a gateway share. They run on one thread, and no borrow is held across an
/// `await`, so there are no locks and no order of locks.
#[derive(Debug)]
pub(crate) struct Gateway<A> {
    pub(crate) adapter: A,
    pub(crate) settings: RefCell<Rc<Settings>>,
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) registry_known: Cell<bool>,
    pub(crate) freshness: RefCell<Freshness>,
    pub(crate) loads: RefCell<LoadTable>,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) pool: RefCell<Pool>,
    pub(crate) random: RefCell<Pcg64Mcg>,
    pub(crate) quota: RefCell<LogQuota>,
    pub(crate) metrics: Metrics,
    pub(crate) stop: Stop,
}

impl<A: Adapter> Gateway<A> {
    pub(crate) fn new(adapter: A, settings: Settings, seed: u64) -> Gateway<A> {
        Gateway {
            adapter,
            catalog: RefCell::default(),
            directory: RefCell::default(),
            registry_known: Cell::new(false),
            freshness: RefCell::default(),
            loads: RefCell::new(LoadTable::new(PlacementTerms::default())),
            budget: RefCell::new(RetryBudget::new(settings.budget)),
            settings: RefCell::new(Rc::new(settings)),
            pool: RefCell::default(),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            quota: RefCell::default(),
            metrics: Metrics::default(),
            stop: Stop::default(),
        }
    }

    pub(crate) fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Returns the configuration in force, if one is known.
    pub(crate) fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Returns whether keys may be trusted now.
    pub(crate) fn keys_are_fresh(&self, now: Millis) -> bool {
        match self.settings().revocation {
            Some(bound) => self.freshness.borrow().holds(bound, now),
            None => true,
        }
    }

    /// Returns whether this daemon should get new connections.
    pub(crate) fn is_ready(&self, now: Millis) -> bool {
        !self.stop.is_stopping()
            && self.registry_known.get()
            && self.catalog.borrow().is_some()
            && self.keys_are_fresh(now)
    }

    pub(crate) fn directory(&self) -> Ref<'_, Directory> {
        self.directory.borrow()
    }

    /// Writes what changed in the registry to the log and forgets what was known of endpoints that
    /// start anew.
    pub(crate) fn note_changes(&self, changes: &[DirectoryChange]) {
        for change in changes {
            match change {
                DirectoryChange::Joined(id) => {
                    self.loads.borrow_mut().reset(id);
                    tracing::info!(event = "endpoint_joined", endpoint = %id);
                }
                DirectoryChange::Left(id) => {
                    tracing::info!(event = "endpoint_left", endpoint = %id)
                }
            }
        }
    }

    /// Does what is due a few times a second.
    pub(crate) fn housekeep(&self, now: Millis) {
        let changes = self.directory.borrow_mut().expire(now);
        self.note_changes(&changes);
        self.pool.borrow_mut().sweep(now);
        let directory = self.directory.borrow();
        self.loads.borrow_mut().retain(|id| directory.get(id).is_some());
        self.quota.borrow_mut().report(now);
        self.metrics.idle_connections.set(self.pool.borrow().len() as i64);
    }
}
