use super::Identity;
use super::{Member, Revision, Scope, StoreCall, StoreOutcome};
use crate::Millis;
use messages::cluster::Packet;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A daemon on the platform's list of instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Seed {
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
}

/// What the cluster state machine is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An authenticated packet arrived.
    Packet {
        /// The address that it came from.
        from: SocketAddr,
        /// The packet.
        packet: Packet,
    },
    /// Time has passed; due every 50 ms.
    Tick,
    /// The platform's list of daemons was read.
    Instances(Vec<Seed>),
    /// A read or watch of the store gave the lists.
    Lists {
        /// The version of the store to watch from next.
        version: u64,
        /// The revision that the operators' tool gave the lists.
        revision: u64,
        /// Both lists as text.
        text: String,
    },
    /// A call to the store gave no lists.
    Store(StoreOutcome),
    /// This daemon has a value for the others.
    Publish {
        /// The subject and name.
        key: String,
        /// How far it spreads.
        scope: Scope,
        /// The time for which it holds.
        ttl: Millis,
        /// The value.
        values: Vec<u64>,
    },
    /// This daemon leaves the cluster.
    Leave,
}

/// How a member changed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberChange {
    /// It is new here.
    Joined,
    /// It did not answer.
    Suspected,
    /// It answers again.
    Recovered,
    /// It said that it leaves.
    Left,
    /// It is gone.
    Dead,
}

/// What the shell around the cluster state machine has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a packet.
    Send {
        /// The address to send it to.
        to: SocketAddr,
        /// The packet.
        packet: Packet,
    },
    /// Use these lists from now on.
    ActivateLists {
        /// The revision.
        revision: Revision,
        /// Both lists as text.
        text: String,
    },
    /// A member changed.
    Member {
        /// The member.
        member: Member,
        /// How it changed.
        change: MemberChange,
    },
    /// The others took this daemon for dead; it goes on under a new identity.
    IdentityReplaced {
        /// The identity that is gone.
        old: Identity,
        /// The identity from now on.
        new: Identity,
    },
    /// Call the store and tell how it ended.
    Store(StoreCall),
    /// The store has an older revision than the one in force; operators have to apply the lists
    /// again with a higher revision.
    StoreOutdated {
        /// The revision in the store.
        store: u64,
        /// The revision in force.
        active: u64,
    },
    /// Two texts have the same revision; operators have to apply one with a higher revision.
    RevisionConflict {
        /// The revision.
        revision: u64,
    },
    /// A data centre can be reached or is cut off.
    DataCentre {
        /// The data centre.
        name: String,
        /// Whether a packet came from it lately.
        reachable: bool,
    },
    /// Lists and members are there.
    Ready,
}
