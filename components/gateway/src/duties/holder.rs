use super::record_store::RecordStore;
use super::{CHECK_INTERVAL, Duties};
use crate::adapter::Adapter;
use crate::clock::{now, unix_ms};
use crate::gateway::Gateway;
use crate::notices::publish_holder;
use decision::Millis;
use decision::duties::{
    DutyRecord, KnownHolder, Lease, LeaseChange, LeaseConfig, LeaseEvent, LeaseStep,
};
use decision::routing::Peer;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between notices of the holder.
const NOTICE_INTERVAL: Millis = Millis(60_000);
/// A call to the store fails after this part of a lease, but no later than `MAX_STORE_TIMEOUT`. The
/// holder renews its lease often enough that two calls may fail.
const STORE_TIMEOUT_DIVISOR: u64 = 4;
/// Four times the response time of a slow store.
const MAX_STORE_TIMEOUT: Millis = Millis(800);

/// Takes part in the choice of the holder of the duties until the process stops; then a holder gives
/// them up.
pub(crate) async fn hold_duties<A: Adapter>(gateway: Rc<Gateway<A>>) {
    let settings = gateway.settings();
    let Some(duties) = &settings.duties else { return };
    let address = settings.listen_peers.map_or_else(String::new, |address| address.to_string());
    let own = Peer { name: settings.name.clone(), address };
    let cfg = LeaseConfig { own, incarnation: gateway.incarnation, lease: duties.lease };
    let timeout = Millis(duties.lease.0 / STORE_TIMEOUT_DIVISOR).min(MAX_STORE_TIMEOUT);
    gateway.duties.lease.replace(Some(Lease::new(cfg, gateway.incarnation)));
    let mut task = HolderTask { store: RecordStore::new(timeout), last_notice: Millis(0) };
    while task.step(&gateway).await {}
}

/// Whether this daemon may claim the duties: it reads the store for its data centre.
fn contends<A: Adapter>(gateway: &Gateway<A>) -> bool {
    gateway.settings().listen_peers.is_none() || gateway.readers.borrow().is_reader()
}

struct HolderTask {
    store: RecordStore,
    last_notice: Millis,
}

impl HolderTask {
    /// Carries out one step; returns false after the last one.
    async fn step<A: Adapter>(&mut self, gateway: &Rc<Gateway<A>>) -> bool {
        let duties = &gateway.duties;
        if gateway.shutdown.is_stopping() {
            duties.with_lease(Lease::close);
        }
        let contends = contends(gateway);
        let step = duties.with_lease(|lease| lease.next(now(), unix_ms(), contends));
        self.publish_changes(gateway);
        match step {
            None | Some(LeaseStep::Stop) => return false,
            Some(LeaseStep::Wait(until)) => wait(gateway, until).await,
            Some(LeaseStep::Read) => {
                let event = self.store.read(gateway).await;
                if let LeaseEvent::Read(Some((record, _))) = &event {
                    duties.learn(&known_holder(record));
                }
                duties.with_lease(|lease| lease.observe(event, now()));
            }
            Some(LeaseStep::Write { record, replaces }) => {
                let event = self.store.write(gateway, &record, replaces).await;
                duties.with_lease(|lease| lease.observe(event, now()));
            }
        }
        self.publish_changes(gateway);
        duties.stepped.notify_waiters();
        true
    }

    /// Logs changes of the lease, and publishes the holder at its claim and from time to time.
    fn publish_changes<A: Adapter>(&mut self, gateway: &Rc<Gateway<A>>) {
        let now = now();
        let changes = gateway.duties.with_lease(Lease::take_changes).unwrap_or_default();
        let is_new = changes.iter().any(|change| matches!(change, LeaseChange::Claimed { .. }));
        changes.into_iter().for_each(log_change);
        let is_due = is_new || now.since(self.last_notice) >= NOTICE_INTERVAL;
        let announced = gateway.duties.with_lease(|lease| lease.announced(now)).flatten();
        if let Some(holder) = announced.filter(|_| is_due) {
            self.last_notice = now;
            publish_holder(gateway, holder);
        }
        let is_acting = gateway.duties.may_act(now).is_some();
        if gateway.duties.was_acting.replace(is_acting) != is_acting || is_new {
            gateway.duties.changed.notify_waiters();
        }
        gateway.metrics.duty_holder.set(i64::from(is_acting));
    }
}

impl Duties {
    fn with_lease<T>(&self, f: impl FnOnce(&mut Lease) -> T) -> Option<T> {
        self.lease.borrow_mut().as_mut().map(f)
    }
}

fn known_holder(record: &DutyRecord) -> KnownHolder {
    let window = record.usage.as_ref().map(|usage| usage.window);
    KnownHolder { peer: record.holder.clone(), token: record.token, window }
}

/// Waits until a time, or until there is something to be done. Timers stand still while the instance is
/// suspended, so it looks again after a moment.
async fn wait<A: Adapter>(gateway: &Gateway<A>, until: Millis) {
    let left = Duration::from_millis(until.since(now()).0);
    tokio::select! {
        () = sleep(left.min(CHECK_INTERVAL)) => {}
        () = gateway.duties.wake.notified() => {}
        () = gateway.shutdown.changed() => {}
    }
}

fn log_change(change: LeaseChange) {
    match change {
        LeaseChange::Claimed { token } => tracing::info!(event = "duty_claimed", token),
        LeaseChange::RenewalFailed { token } => {
            tracing::warn!(event = "duty_renewal_failed", token);
        }
        LeaseChange::Lost { token, reason } => {
            tracing::warn!(event = "duty_lost", token, reason = reason.as_str());
        }
        LeaseChange::Released { token } => tracing::info!(event = "duty_released", token),
    }
}
