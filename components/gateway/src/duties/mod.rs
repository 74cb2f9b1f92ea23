//! Calls to the platform that exactly one daemon makes at a time.
//!
//! The holder of the duties has a lease, which it renews in the store. [`Duties`] tells every daemon
//! who the holder is, and the holder whether it may act. [`call`] makes a call to the platform.

mod calls;
mod capacity;
mod demand;
mod holder;
mod record_store;
mod reports;
mod usage;

// The orders of endpoints, which use these, are still to come.
#[allow(unused_imports)]
pub(crate) use calls::{CallOutcome, call, call_until_accepted};
pub(crate) use holder::hold_duties;
pub(crate) use reports::{
    DutyReports, REPORT_PATH, respond_to_report, send_last_report, start_reports,
};
pub(crate) use usage::count_request;

use crate::clock::now;
use calls::DutyCalls;
use decision::Millis;
use decision::duties::{KnownHolder, Lease, UsageState};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Time after which a lease is checked again without a notification.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What a daemon knows about the holder of the duties, and its own lease.
#[derive(Debug, Default)]
pub(crate) struct Duties {
    known: RefCell<Option<KnownHolder>>,
    /// The part of this daemon in the choice of the holder; `None` without duties.
    lease: RefCell<Option<Lease>>,
    /// Whether this daemon could act when it last looked.
    was_acting: Cell<bool>,
    calls: DutyCalls,
    /// What daemons report to the holder; `None` without such a duty.
    pub(crate) reports: RefCell<Option<DutyReports>>,
    /// Notified when another holder or begun window is known, and when this daemon begins or ceases
    /// to be the holder.
    pub(crate) changed: Notify,
    /// Notified when there is something to be written.
    wake: Notify,
    /// Notified after each read and write of the stored object.
    stepped: Notify,
}

impl Duties {
    /// Returns the holder with the highest token that is known; `None` if none is.
    pub(crate) fn known_holder(&self) -> Option<KnownHolder> {
        self.known.borrow().clone()
    }

    /// Takes over what a notice or the stored object says about the holder.
    pub(crate) fn learn(&self, holder: &KnownHolder) {
        if let Some(lease) = self.lease.borrow_mut().as_mut() {
            lease.observe_token(holder.token);
        }
        let mut known = self.known.borrow_mut();
        let known = known.get_or_insert_default();
        let token = known.token;
        if known.merge(holder) {
            self.changed.notify_waiters();
        }
        if known.token > token {
            let (name, token) = (&known.peer.name, known.token);
            tracing::info!(event = "duty_holder_known", %name, token);
        }
    }

    /// Returns the token if this daemon may act as the holder now.
    pub(crate) fn may_act(&self, now: Millis) -> Option<u64> {
        self.act_until(now).map(|(token, _)| token)
    }

    /// Returns the token, and the time before which calls must have ended, if this daemon may act.
    fn act_until(&self, now: Millis) -> Option<(u64, Millis)> {
        self.lease.borrow().as_ref()?.act_until(now)
    }

    /// Returns the token if this daemon is the holder, also while it waits to act: in the first lease
    /// after its claim, and until the store responds again.
    pub(crate) fn held_token(&self, now: Millis) -> Option<u64> {
        self.lease.borrow().as_ref()?.held_token(now)
    }

    /// Returns the usage report that the stored object holds, as this daemon read or wrote it last.
    /// It is current only while [`Duties::may_act`] returns a token.
    pub(crate) fn stored_usage(&self) -> Option<UsageState> {
        self.lease.borrow().as_ref()?.stored_usage().cloned()
    }

    /// Writes the state of the usage reports into the stored object, together with a renewal of the
    /// lease. Returns whether it is stored and this daemon is still the holder. Otherwise it may be
    /// stored or not: after a change of holder, [`Duties::stored_usage`] says so.
    pub(crate) async fn store_usage(&self, usage: UsageState) -> bool {
        let Some(token) = self.held_token(now()) else { return false };
        if let Some(lease) = self.lease.borrow_mut().as_mut() {
            lease.set_usage(usage.clone());
        }
        self.wake.notify_one();
        loop {
            if self.held_token(now()) != Some(token) {
                return false;
            }
            if self.stored_usage().as_ref() == Some(&usage) {
                return true;
            }
            // The lease may expire without a notification.
            let _ = timeout(CHECK_INTERVAL, self.stepped.notified()).await;
        }
    }
}
