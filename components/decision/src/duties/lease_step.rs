use super::record::DutyRecord;
use crate::Millis;
use crate::routing::Peer;

/// The identity of a daemon and the duration of its lease.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeaseConfig {
    /// The name of the instance and the address at which other daemons reach it.
    pub own: Peer,
    /// Distinguishes this process from all others, whatever their names are.
    pub incarnation: u64,
    /// The time after a renewal in which the holder may act.
    pub lease: Millis,
}

/// What a daemon does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Read the object.
    Read,
    /// Write the object: create it, or replace this revision.
    Write {
        /// The content.
        record: DutyRecord,
        /// The revision that is replaced; `None` to create the object.
        replaces: Option<u64>,
    },
    /// Do nothing until this time, or until something else happens.
    Wait(Millis),
    /// The lease is closed.
    Stop,
}

/// The outcome of a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseEvent {
    /// The object was read, with its revision; `None` if it does not exist.
    Read(Option<(DutyRecord, u64)>),
    /// The object could not be read.
    ReadFailed,
    /// The write was carried out; with the new revision, if the store stated it.
    Written(Option<u64>),
    /// The object has changed, so that the write was not carried out.
    Conflict,
    /// There was no response: the write may have been carried out, or may be later.
    WriteFailed,
}

/// A change to be logged and published.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseChange {
    /// This daemon has become the holder.
    Claimed {
        /// The fencing token of its calls.
        token: u64,
    },
    /// A renewal failed.
    RenewalFailed {
        /// The token of the holder.
        token: u64,
    },
    /// This daemon has ceased to be the holder.
    Lost {
        /// The token of its calls until now.
        token: u64,
        /// The reason.
        reason: LossReason,
    },
    /// This daemon has given up the duties.
    Released {
        /// The token of its calls until now.
        token: u64,
    },
}

/// Why a daemon has ceased to be the holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossReason {
    /// The lease could not be renewed in time.
    Expired,
    /// The stored object names another holder, or another token.
    Replaced,
    /// A higher token is known from another daemon.
    HigherToken,
}

impl LossReason {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            LossReason::Expired => "expired",
            LossReason::Replaced => "replaced",
            LossReason::HigherToken => "higher_token",
        }
    }
}
