use super::Identity;
use messages::cluster as wire;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The state of a member.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers.
    #[default]
    Live,
    /// Did not answer and can still show that it lives.
    Suspected,
    /// Said that it leaves; final.
    Left,
    /// Is gone; final.
    Dead,
}

impl MemberState {
    /// Returns whether the state never changes again under the same identity.
    pub fn is_final(self) -> bool {
        matches!(self, MemberState::Left | MemberState::Dead)
    }
}

/// One incarnation of a daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its identity.
    pub identity: Identity,
    /// The address that its packets come from.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Grows each time that it refutes a suspicion.
    pub sequence: u64,
    /// Its state.
    pub state: MemberState,
}

impl Member {
    /// Reads a record; an address that does not parse gives `None`.
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

    /// Writes a record.
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
