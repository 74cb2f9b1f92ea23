use crate::routing::Peer;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The usage report that was begun last.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct UsageState {
    /// The number of its window.
    pub window: u64,
    /// The number of requests by client account.
    pub counts: BTreeMap<String, u64>,
    /// Whether the platform has accepted it.
    pub is_accepted: bool,
    /// The number of the store's latest era, as the writer knew it. Reports that were begun before that era
    /// are not missing from this state. `None` if the store states no eras, or the writer ignores them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub era: Option<u64>,
}

/// The stored object that says which daemon holds the duties, with the state of the duties that a
/// successor needs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct DutyRecord {
    /// The holder.
    pub holder: Peer,
    /// The incarnation of the holder, which differs after each start of its process.
    pub incarnation: u64,
    /// The fencing token of the holder's calls.
    pub token: u64,
    /// Counts the renewals of the lease.
    pub renewal: u64,
    /// Whether the holder has given up the duties, so that another daemon may claim them at once.
    pub is_released: bool,
    /// The usage report that was begun last; `None` if there is none.
    pub usage: Option<UsageState>,
}

/// The holder as far as a daemon knows it, from the stored object or from notices.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KnownHolder {
    /// The name and the peer address of its instance; the address is empty if there is none.
    pub peer: Peer,
    /// The fencing token of its calls.
    pub token: u64,
    /// The number of the last window whose report was begun, by this or an earlier holder.
    pub window: Option<u64>,
}

impl KnownHolder {
    /// Takes over what another source knows: the holder with the higher token, and the higher window.
    /// Returns whether that changed anything.
    pub fn merge(&mut self, other: &KnownHolder) -> bool {
        let before = self.clone();
        if other.token > self.token {
            self.peer = other.peer.clone();
            self.token = other.token;
        }
        self.window = self.window.max(other.window);
        *self != before
    }
}
