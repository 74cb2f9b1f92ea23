use super::Identity;
use super::{Member, Revision, Scope, StoreCall, StoreOutcome};
use crate::Millis;
use messages::cluster::Packet;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Daemon on the platform's list of instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Seed {
    /// Address that receives its cluster packets.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: String,
}

/// Input of the cluster state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An authenticated packet was received.
    Packet {
        /// Source address.
        from: SocketAddr,
        /// Decoded content.
        packet: Packet,
    },
    /// Timer event, expected every 50 ms.
    Tick,
    /// The platform's complete list of daemons was read.
    Instances(Vec<Seed>),
    /// A read or watch of the store returned the lists.
    Lists {
        /// Store version from which the next watch starts.
        version: u64,
        /// Revision number assigned by the operators' tool.
        revision: u64,
        /// Both lists as one text.
        text: String,
    },
    /// A store call ended without returning lists.
    Store(StoreOutcome),
    /// This daemon publishes a value to its peers.
    Publish {
        /// Name of the value; a later value of the same origin and name replaces it.
        key: String,
        /// Daemons that receive it.
        scope: Scope,
        /// Time until it expires.
        ttl: Millis,
        /// Numbers that make up the value.
        values: Vec<u64>,
    },
    /// This daemon shuts down and leaves the cluster.
    Leave,
}

/// Change of a member's state as seen by this daemon.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberChange {
    /// It was unknown before.
    Joined,
    /// It did not respond to probes.
    Suspected,
    /// It refuted a suspicion.
    Recovered,
    /// It announced its departure.
    Left,
    /// It was declared dead.
    Dead,
}

/// Output of the cluster state machine, carried out by the executor.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a packet.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// Content to encode and sign.
        packet: Packet,
    },
    /// Make these lists the active ones.
    ActivateLists {
        /// Revision that becomes active.
        revision: Revision,
        /// Both lists as one text.
        text: String,
    },
    /// A member changed its state.
    Member {
        /// Member after the change.
        member: Member,
        /// Kind of change.
        change: MemberChange,
    },
    /// Peers declared this daemon dead; it continues under a new identity.
    IdentityReplaced {
        /// Identity that was declared dead.
        old: Identity,
        /// Identity used from now on.
        new: Identity,
    },
    /// Call the store and report the outcome as an event.
    Store(StoreCall),
    /// The store has an older revision than the active one; operators must apply the lists again
    /// with a higher revision.
    StoreOutdated {
        /// Revision number in the store.
        store: u64,
        /// Active revision number.
        active: u64,
    },
    /// Two different texts have the same revision number; operators must apply one of them again
    /// with a higher revision.
    RevisionConflict {
        /// Revision number that both texts have.
        revision: u64,
    },
    /// Another data centre became reachable or unreachable.
    DataCentre {
        /// Name of the data centre.
        name: String,
        /// Whether this daemon or a bridge of its data centre received a packet from it recently.
        reachable: bool,
    },
    /// The daemon has joined and has lists; emitted once.
    Ready,
}
