//! Calls to the platform that exactly one daemon makes at a time.
//!
//! The holder of the duties has a lease, which it renews in the store. [`Duties`] tells every daemon
//! who the holder is, and the holder whether it may act. [`call`] makes a call to the platform.

// The duties themselves are not carried out yet.
#![allow(dead_code)]

mod capacity;
pub(crate) mod demand;

pub(crate) use capacity::order_capacity;

use crate::adapter::Adapter;
use crate::gateway::Gateway;
use decision::Millis;
use decision::duties::{DutyCall, KnownHolder, UsageState};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::Notify;

/// The outcome of a call to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallOutcome {
    /// The platform accepted it (status 200).
    Accepted,
    /// The platform has no more endpoints of the ordered kind (status 409).
    Unavailable,
    /// It was not accepted and may be repeated: the platform did not respond, or with another status,
    /// or the limit on the rate is reached.
    Failed,
    /// This daemon may not act, so that nothing was sent.
    NotHolder,
}

/// What a daemon knows about the holder of the duties, and its own lease.
#[derive(Debug, Default)]
pub(crate) struct Duties {
    known: RefCell<Option<KnownHolder>>,
    /// Notified when another holder or begun window is known, and when this daemon begins or ceases
    /// to be the holder.
    pub(crate) changed: Notify,
}

impl Duties {
    /// Returns the holder with the highest token that is known; `None` if none is.
    pub(crate) fn known_holder(&self) -> Option<KnownHolder> {
        self.known.borrow().clone()
    }

    /// Takes over what a notice or the stored object says about the holder.
    pub(crate) fn learn(&self, holder: &KnownHolder) {
        let mut known = self.known.borrow_mut();
        if known.get_or_insert_default().merge(holder) {
            self.changed.notify_waiters();
        }
    }

    /// Returns the token if this daemon may act as the holder now.
    pub(crate) fn may_act(&self, _now: Millis) -> Option<u64> {
        None
    }

    /// Returns the usage report that the stored object holds, as this daemon read or wrote it last.
    /// It is current only while [`Duties::may_act`] returns a token.
    pub(crate) fn stored_usage(&self) -> Option<UsageState> {
        None
    }

    /// Writes the state of the usage reports into the stored object, together with a renewal of the
    /// lease. Returns whether it is stored and this daemon is still the holder. Otherwise it may be
    /// stored or not: after a change of holder, [`Duties::stored_usage`] says so.
    pub(crate) async fn store_usage(&self, _usage: UsageState) -> bool {
        false
    }
}

/// Makes a call once, with the headers of the holder: if this daemon may act and the limit on the
/// rate admits it. Waits for an earlier call about the same subject.
pub(crate) async fn call<A: Adapter>(_gateway: &Rc<Gateway<A>>, _call: &DutyCall) -> CallOutcome {
    CallOutcome::NotHolder
}

/// Makes a call until it is accepted or the platform states that there are no more endpoints, with a
/// growing pause between attempts. Returns early when this daemon may no longer act.
pub(crate) async fn call_until_accepted<A: Adapter>(
    _gateway: &Rc<Gateway<A>>,
    _call: &DutyCall,
) -> CallOutcome {
    CallOutcome::NotHolder
}
