use super::Identity;
use messages::cluster as wire;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of a member. Of two records with the same sequence number, the later state takes
/// precedence.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Considered alive.
    #[default]
    Live,
    /// Did not respond to a probe, but can still refute the suspicion.
    Suspected,
    /// Announced its departure; final.
    Left,
    /// Declared dead; final.
    Dead,
}

impl MemberState {
    /// Whether an identity in this state can never change state again.
    pub fn is_final(self) -> bool {
        matches!(self, MemberState::Left | MemberState::Dead)
    }
}

/// What is known of one incarnation of a daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Identity of the incarnation.
    pub identity: Identity,
    /// Source address of its packets.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Increased by the member each time that it refutes a suspicion.
    pub sequence: u64,
    /// State at this sequence number.
    pub state: MemberState,
}

impl Member {
    /// Converts a record from the wire; `None` if its address does not parse.
    pub(super) fn from_record(record: &wire::MemberRecord) -> Option<Member> {
        let state = match record.state {
            wire::MemberState::Live => MemberState::Live,
            wire::MemberState::Suspected => MemberState::Suspected,
            wire::MemberState::Left => MemberState::Left,
            wire::MemberState::Dead => MemberState::Dead,
        };
        Some(Member {
            identity: Identity::from(&record.id),
            address: record.address.parse().ok()?,
            data_centre: record.data_centre.clone(),
            sequence: record.sequence,
            state,
        })
    }

    pub(super) fn to_record(&self) -> wire::MemberRecord {
        let state = match self.state {
            MemberState::Live => wire::MemberState::Live,
            MemberState::Suspected => wire::MemberState::Suspected,
            MemberState::Left => wire::MemberState::Left,
            MemberState::Dead => wire::MemberState::Dead,
        };
        wire::MemberRecord {
            id: self.identity.into(),
            address: self.address.to_string(),
            data_centre: self.data_centre.clone(),
            sequence: self.sequence,
            state,
        }
    }
}
