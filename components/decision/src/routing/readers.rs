//! Which daemon of each data centre reads the store for the others.
//!
//! A record in the store names the reader of each data centre. The daemons of the data centre
//! follow it, and the readers of a region follow the reader of one of its data centres, so the
//! calls to the store do not grow with the number of daemons. A reader names a few of its followers
//! as standbys, which replace it in order. The record is only replaced on condition that it is
//! unchanged, so that one of several successors becomes the reader.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// A daemon that others can follow.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(default)]
pub struct Peer {
    /// The name of its instance.
    pub name: String,
    /// The address at which other daemons reach it.
    pub address: String,
}

/// The stored record of a data centre's reader.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReaderRecord {
    /// The reader.
    pub reader: Peer,
    /// The region of the data centre.
    pub region: String,
    /// The revision of the record in the store.
    pub revision: u64,
}

/// What a daemon does next to stay up to date.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Read the records of all data centres; `stale` if data that is seconds old suffices.
    ReadRecords {
        /// Whether the store may return data that is seconds old.
        stale: bool,
    },
    /// Write the record of the own data centre: create it, or replace this revision.
    Claim {
        /// The revision that is replaced; `None` to create the record.
        replaces: Option<u64>,
    },
    /// Request updates from this daemon.
    Follow(Peer),
    /// Read the configuration and the registry from the store.
    ReadStore,
    /// Do nothing until this time.
    Wait(Millis),
}

/// Why a followed daemon is left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerFault {
    /// It did not respond.
    Unreachable,
    /// It has not read the store yet, or knows less than this daemon.
    Unready,
    /// It sends copies to other followers, and to this one later.
    Busy,
    /// It has not confirmed its configuration recently enough.
    Outdated,
}

/// How a conditional write of the record ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// This daemon is the reader of its data centre.
    Written,
    /// The record was changed by another daemon.
    Conflict,
    /// The store did not respond, so the write may have been executed.
    Failed,
}
