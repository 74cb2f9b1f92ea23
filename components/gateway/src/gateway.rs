use crate::adapter::Adapter;
use crate::clock::now;
use crate::configuration_history::ConfigurationHistory;
use crate::continuation::StreamLookup;
use crate::duties::Duties;
use crate::large_responses::LargeResponses;
use crate::log::LogQuota;
use crate::metrics::Metrics;
use crate::object_feed::to_json;
use crate::pool::Pool;
use crate::registry_copies::{PackedEndpoints, RegistryCopies};
use crate::registry_log::log_registry_changes;
use crate::response_memory::ResponseMemory;
use crate::settings::Settings;
use crate::shutdown::Shutdown;
use crate::software_versions::SoftwareVersions;
use crate::update_source::CurrentSource;
use decision::duties::{DemandCounts, DemandReports};
use decision::routing::{
    BrittleEndpoints, Catalog, ChangeLog, ConnectionBudget, Directory, DirectoryChange, Doubt,
    EndpointLimits, FleetSize, Freshness, LoadExchange, LoadTable, NoticeBoard, NoticeId,
    OutcomeExchange, Peer, PlacementConfig, Quarantine, Reachability, ReaderElection, Relays,
    RetryBudget, Service, SetDigest, Source, SourceHealth, StreamRecords, WaitQueues, start_wait,
};
use decision::{LatestEra, Millis};
use messages::feed::EndpointChange;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, Ref, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, Notify};
use tokio::time::timeout;

/// The part of the memory limit for the responses of endpoints is one in this number. Buffers take up to
/// twice their content while they grow.
const ENDPOINT_MEMORY_PART: u64 = 5;
/// The same for the responses of the store and of other daemons: several times a configuration of 1 MB.
const CONTROL_MEMORY_PART: u64 = 10;
/// Changes kept for followers: enough for some seconds of rapid registry changes.
const CHANGE_LOG_LIMIT: usize = 1_000;

/// Maximum age of the freshness confirmation, as a share of the revocation bound, before another
/// source of updates is looked for.
const MAX_CONFIRMATION_AGE_SHARE: f64 = 0.6;

/// Time after which the initialization is checked again without a notification.
const INITIALIZATION_RECHECK: Duration = Duration::from_millis(20);

/// A change that is published to the followers of this daemon.
#[derive(Clone, Debug)]
pub(crate) enum Change {
    /// Another configuration became active.
    Configuration,
    /// An endpoint joined or left.
    Endpoint(EndpointChange),
    /// Another notice is known.
    Notice(NoticeId),
}

/// State shared by all tasks of a gateway. They run on one thread and hold no borrow across an
/// `await`, so no locks are needed.
#[derive(Debug)]
pub(crate) struct Gateway<A> {
    pub(crate) adapter: A,
    pub(crate) settings: RefCell<Rc<Settings>>,
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    pub(crate) configurations: RefCell<ConfigurationHistory>,
    pub(crate) directory: RefCell<Directory>,
    /// Whether the registry has been read at least once.
    pub(crate) registry_known: Cell<bool>,
    /// Whether this daemon watches the registry in the store, and no call to the store has failed since
    /// it was listed.
    pub(crate) registry_watched: Cell<bool>,
    /// Notified when the registry has to be listed again.
    pub(crate) registry_doubted: Notify,
    /// Time until which entries that expired during a store outage may be registered again.
    pub(crate) unsettled_until: Cell<Millis>,
    pub(crate) freshness: RefCell<Freshness>,
    pub(crate) source_health: RefCell<SourceHealth>,
    pub(crate) latest_era: RefCell<LatestEra>,
    pub(crate) loads: RefCell<LoadTable>,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    pub(crate) pool: RefCell<Pool>,
    pub(crate) rng: RefCell<Pcg64Mcg>,
    pub(crate) log_quota: RefCell<LogQuota>,
    pub(crate) metrics: Metrics,
    pub(crate) shutdown: Shutdown,
    /// When this process started.
    started: Millis,
    /// Distinguishes this process from earlier ones of the same daemon.
    pub(crate) incarnation: u64,
    pub(crate) change_log: RefCell<ChangeLog<Change>>,
    /// Notified on each addition to the change log.
    pub(crate) change_added: Notify,
    pub(crate) readers: RefCell<ReaderElection>,
    /// Notified when another daemon has become the store reader of the data centre.
    pub(crate) reader_changed: Notify,
    fleet_size: RefCell<FleetSize>,
    pub(crate) load_exchange: RefCell<LoadExchange>,
    pub(crate) outcome_exchange: RefCell<OutcomeExchange>,
    pub(crate) limits: RefCell<EndpointLimits>,
    pub(crate) brittle: RefCell<BrittleEndpoints>,
    /// The daemons of this data centre by name, while this one is their store reader.
    pub(crate) data_centre_members: RefCell<Option<BTreeSet<String>>>,
    pub(crate) notices: RefCell<NoticeBoard>,
    /// Notices that are passed on to followers soon.
    pub(crate) collected_notices: RefCell<Vec<NoticeId>>,
    pub(crate) quarantine: RefCell<Quarantine>,
    /// Notified when contents are condemned.
    pub(crate) quarantine_changed: Notify,
    registry_copies: RefCell<RegistryCopies>,
    pub(crate) large_responses: LargeResponses,
    /// Memory for the responses of endpoints, also those that other daemons pass on.
    pub(crate) endpoint_memory: ResponseMemory,
    /// Memory for the responses of the store and of other daemons about their own state, which do not wait
    /// for those of endpoints.
    pub(crate) control_memory: ResponseMemory,
    pub(crate) update_source: CurrentSource,
    pub(crate) reachability: RefCell<Reachability>,
    /// Whether this daemon reached no endpoint when it last looked.
    pub(crate) was_cut_off: Cell<bool>,
    pub(crate) relays: RefCell<Relays>,
    /// Connections on which other daemons pass requests on.
    pub(crate) relayed_connections: Cell<u32>,
    pub(crate) versions: SoftwareVersions,
    pub(crate) streams: RefCell<StreamRecords>,
    pub(crate) stream_lookup: Mutex<StreamLookup>,
    /// The number of reads of the streams of other daemons so far.
    pub(crate) stream_reads: Cell<u64>,
    pub(crate) wait_queues: RefCell<WaitQueues>,
    /// Notified when a response begins, a request ends, or one leaves its queue.
    pub(crate) queue_progress: Notify,
    /// The holder of the calls that one daemon makes for all.
    pub(crate) duties: Duties,
    /// The requests to services whose endpoints are ordered.
    pub(crate) demand: RefCell<DemandCounts>,
    /// What other daemons and this one reported to this one as the holder.
    pub(crate) demand_reports: RefCell<DemandReports>,
}

fn retry_budget(settings: &Settings, now: Millis) -> RetryBudget {
    match settings.is_first_start {
        true => RetryBudget::new(settings.retry_budget),
        false => RetryBudget::after_restart(settings.retry_budget, now),
    }
}

/// The memory for responses that is one part of `parts` of the limit of the process.
fn part_of_memory(settings: &Settings, parts: u64) -> ResponseMemory {
    let bytes = settings.memory_limit_bytes / parts;
    ResponseMemory::new(usize::try_from(bytes).unwrap_or(usize::MAX))
}

impl<A: Adapter> Gateway<A> {
    pub(crate) fn new(adapter: A, settings: Settings, seed: u64) -> Gateway<A> {
        let own = Peer {
            name: settings.name.clone(),
            address: settings.listen_peers.map_or_else(String::new, |address| address.to_string()),
        };
        let region = adapter.region(&settings.data_centre);
        let readers = ReaderElection::new(own, &settings.data_centre, region, seed);
        Gateway {
            adapter,
            catalog: RefCell::default(),
            configurations: RefCell::default(),
            directory: RefCell::default(),
            registry_known: Cell::new(false),
            registry_watched: Cell::default(),
            registry_doubted: Notify::new(),
            unsettled_until: Cell::default(),
            freshness: RefCell::default(),
            source_health: RefCell::default(),
            loads: RefCell::new(LoadTable::new(PlacementConfig::default())),
            retry_budget: RefCell::new(retry_budget(&settings, now())),
            endpoint_memory: part_of_memory(&settings, ENDPOINT_MEMORY_PART),
            control_memory: part_of_memory(&settings, CONTROL_MEMORY_PART),
            settings: RefCell::new(Rc::new(settings)),
            pool: RefCell::default(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            log_quota: RefCell::default(),
            metrics: Metrics::default(),
            shutdown: Shutdown::default(),
            latest_era: RefCell::default(),
            started: now(),
            incarnation: seed,
            change_log: RefCell::new(ChangeLog::new(CHANGE_LOG_LIMIT)),
            change_added: Notify::new(),
            readers: RefCell::new(readers),
            reader_changed: Notify::new(),
            fleet_size: RefCell::default(),
            load_exchange: RefCell::default(),
            outcome_exchange: RefCell::default(),
            limits: RefCell::default(),
            brittle: RefCell::default(),
            data_centre_members: RefCell::default(),
            notices: RefCell::new(NoticeBoard::new(seed)),
            collected_notices: RefCell::default(),
            quarantine: RefCell::new(Quarantine::new(seed)),
            quarantine_changed: Notify::new(),
            registry_copies: RefCell::default(),
            large_responses: LargeResponses::default(),
            update_source: CurrentSource::default(),
            reachability: RefCell::default(),
            was_cut_off: Cell::default(),
            relays: RefCell::default(),
            relayed_connections: Cell::default(),
            versions: SoftwareVersions::default(),
            streams: RefCell::default(),
            stream_lookup: Mutex::default(),
            stream_reads: Cell::default(),
            wait_queues: RefCell::default(),
            queue_progress: Notify::new(),
            duties: Duties::default(),
            demand: RefCell::default(),
            demand_reports: RefCell::default(),
        }
    }

    pub(crate) fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// The active configuration; `None` until one has been read.
    pub(crate) fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Whether keys may be trusted: the configuration was confirmed within the revocation bound.
    pub(crate) fn keys_are_fresh(&self, now: Millis) -> bool {
        match self.settings().revocation_bound {
            Some(bound) => self.freshness.borrow().is_within(bound, now),
            None => true,
        }
    }

    /// Whether what the active configuration does not hold may be denied. A newer one may hold it: one
    /// that is on its way here, or that this daemon cannot know without the store.
    pub(crate) fn may_deny(&self, now: Millis) -> bool {
        let bound = self.settings().configuration_bound;
        let is_confirmed = bound.is_none_or(|bound| self.freshness.borrow().is_within(bound, now));
        is_confirmed && self.keys_are_fresh(now) && !self.configurations.borrow().is_behind()
    }

    /// Whether load balancers should send new connections to this daemon.
    pub(crate) fn is_ready(&self, now: Millis) -> bool {
        !self.shutdown.is_stopping()
            && self.registry_known.get()
            && self.catalog.borrow().is_some()
            && self.keys_are_fresh(now)
    }

    pub(crate) fn directory(&self) -> Ref<'_, Directory> {
        self.directory.borrow()
    }

    /// Publishes a change to the followers of this daemon.
    pub(crate) fn publish(&self, change: Change) {
        self.change_log.borrow_mut().push(change);
        self.change_added.notify_waiters();
    }

    /// A digest of the registry, to compare with that of another daemon.
    pub(crate) fn registry_digest(&self) -> SetDigest {
        let sequence = self.change_log.borrow().last();
        self.registry_copies.borrow_mut().digest(&self.directory(), sequence).clone()
    }

    /// The endpoints of some groups of the digest, `None` for all, packed for followers.
    pub(crate) fn packed_endpoints(
        &self,
        groups: Option<&BTreeSet<u32>>,
    ) -> Result<PackedEndpoints, String> {
        let sequence = self.change_log.borrow().last();
        let mut directory = self.directory.borrow_mut();
        self.registry_copies.borrow_mut().packed(&mut directory, sequence, groups)
    }

    /// Whether a missing entry means that the endpoint has left; false after a store outage until
    /// endpoints have had time to register again.
    pub(crate) fn is_registry_settled(&self, now: Millis) -> bool {
        now >= self.unsettled_until.get()
    }

    /// The number of daemons that share the endpoints, if known.
    pub(crate) fn daemon_count(&self, now: Millis) -> Option<usize> {
        self.fleet_size.borrow().count(now)
    }

    /// How the connections to an endpoint of a service are divided. While the number of daemons is
    /// unknown, few are left to each.
    pub(crate) fn connection_budget(&self, service: &Service, now: Millis) -> ConnectionBudget {
        let daemons = self.daemon_count(now).unwrap_or(usize::MAX);
        ConnectionBudget::new(service.connection_limit, daemons)
    }

    /// Records how many daemons share the endpoints.
    pub(crate) fn record_fleet_size(&self, daemons: usize, now: Millis) {
        let before = self.daemon_count(now);
        self.fleet_size.borrow_mut().record(daemons, now);
        let count = self.daemon_count(now);
        if count != before {
            tracing::info!(event = "daemons_counted", count);
        }
    }

    /// Records that a call to the store failed: a watch of the registry that waits may be lost, too.
    pub(crate) fn doubt_registry(&self) {
        if self.registry_watched.replace(false) {
            self.registry_doubted.notify_waiters();
        }
    }

    /// Records that a source of updates fails since the time `since`, and tells the followers.
    pub(crate) fn record_source_failure(&self, source: Source, since: Millis) {
        if self.source_health.borrow_mut().record_failure(source, since) {
            self.change_added.notify_waiters();
        }
    }

    /// Why another source of updates must be found, if so: the present one fails, or the configuration was
    /// confirmed so long ago that keys are no longer valid soon.
    pub(crate) fn doubt(&self, now: Millis) -> Option<Doubt> {
        if self.source_health.borrow().needs_another(now) {
            return Some(Doubt::SourceFails);
        }
        let bound = self.settings().revocation_bound?;
        let limit = bound.0 as f64 * MAX_CONFIRMATION_AGE_SHARE;
        let is_old = self.freshness.borrow().age(now).is_none_or(|age| age.0 as f64 >= limit);
        is_old.then_some(Doubt::ConfirmationOld)
    }

    /// Whether another source of updates must be found.
    pub(crate) fn is_outdated(&self, now: Millis) -> bool {
        self.doubt(now).is_some()
    }

    /// Whether this daemon has received all that it needs to serve clients and followers.
    pub(crate) fn is_initialized(&self) -> bool {
        let is_confirmed = self.freshness.borrow().age(Millis::default()).is_some();
        is_confirmed && self.registry_known.get() && self.catalog.borrow().is_some()
    }

    /// How long a client's request may wait for the initialization of this daemon.
    pub(crate) fn start_wait(&self, now: Millis) -> Duration {
        Duration::from_millis(start_wait(self.started, now).0)
    }

    /// Waits until this daemon is initialized. Returns whether it is before the time-out.
    pub(crate) async fn wait_until_initialized(&self, limit: Duration) -> bool {
        let initialized = async {
            while !self.is_initialized() {
                // The state is checked again after the time-out, also without a notification.
                let _ = timeout(INITIALIZATION_RECHECK, self.change_added.notified()).await;
            }
        };
        self.is_initialized() || timeout(limit, initialized).await.is_ok()
    }

    /// Logs registry changes, publishes them to followers and resets the loads of endpoints that
    /// joined.
    pub(crate) fn publish_registry_changes(&self, changes: &[DirectoryChange]) {
        log_registry_changes(changes, &self.directory());
        for change in changes {
            let (endpoint, registration) = match change {
                DirectoryChange::Joined(id) => {
                    self.loads.borrow_mut().reset(id);
                    self.limits.borrow_mut().reset(id);
                    self.forget_restarted(id);
                    (id.clone(), self.directory().get(id).and_then(to_json))
                }
                DirectoryChange::Returned(id) => {
                    (id.clone(), self.directory().get(id).and_then(to_json))
                }
                DirectoryChange::Left(id) => (id.clone(), None),
            };
            self.publish(Change::Endpoint(EndpointChange { endpoint, registration }));
        }
    }

    /// Whether other daemons may pass requests on to this one.
    pub(crate) fn takes_relayed_requests(&self) -> bool {
        !self.is_cut_off() && !self.shutdown.is_stopping()
    }

    /// Whether this daemon reaches no endpoint of any service.
    pub(crate) fn is_cut_off(&self) -> bool {
        let reachability = self.reachability.borrow();
        reachability.is_doubtful() && reachability.is_cut_off(&self.directory().usable_by_service())
    }

    /// Records whether a new connection to an endpoint could be opened.
    pub(crate) fn record_connection(
        &self,
        service: &str,
        endpoint: &str,
        is_open: bool,
        now: Millis,
    ) {
        let mut reachability = self.reachability.borrow_mut();
        if is_open {
            reachability.record_connection(service, now);
        } else {
            reachability.record_failure(service, endpoint);
        }
    }

    /// Forgets the streams that an endpoint may have begun after it restarted with another software
    /// version, and before that was known.
    fn forget_restarted(&self, id: &str) {
        let directory = self.directory();
        let Some(registration) = directory.get(id) else { return };
        let version = &registration.software_version;
        self.streams.borrow_mut().forget_restarted(id, version, now());
    }

    /// Records that the registry was read, unless all its endpoints that could be used are withheld.
    pub(crate) fn mark_registry_known(&self) {
        if !self.versions.has_withheld() || self.directory().usable().next().is_some() {
            self.registry_known.set(true);
        }
    }

    /// One round of maintenance: drops expired registry entries, loads and idle connections,
    /// updates metrics and reports omitted log lines.
    pub(crate) fn run_maintenance(&self, now: Millis) {
        let changes = self.directory.borrow_mut().expire(now);
        self.publish_registry_changes(&changes);
        self.configurations.borrow_mut().expire(now);
        self.large_responses.expire(now);
        self.pool.borrow_mut().remove_expired(now);
        let directory = self.directory.borrow();
        self.loads.borrow_mut().retain(|id| directory.get(id).is_some());
        let mut limits = self.limits.borrow_mut();
        limits.retain(|id| directory.get(id).is_some());
        self.metrics.limited_endpoints.set(limits.len() as i64);
        self.brittle.borrow_mut().retain(|id| directory.get(id).is_some());
        self.metrics.leaving_endpoints.set(directory.leaving() as i64);
        self.load_exchange.borrow_mut().expire(now);
        self.outcome_exchange.borrow_mut().expire(now);
        self.reachability.borrow_mut().retain(|id| directory.get(id).is_some());
        self.relays.borrow_mut().expire(now);
        self.streams.borrow_mut().expire(now);
        self.metrics.recorded_streams.set(self.streams.borrow().len() as i64);
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.expire(now);
        self.notices.borrow_mut().expire(&quarantine.evidence(), now);
        self.metrics.condemned_parts.set(quarantine.condemned_contents() as i64);
        self.log_quota.borrow_mut().report(now);
        self.metrics.idle_connections.set(self.pool.borrow().len() as i64);
    }
}
