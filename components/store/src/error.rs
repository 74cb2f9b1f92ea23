use snafu::Snafu;

/// A call to the object API that did not give what was asked.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The object has another version than the condition names; nothing was written.
    #[snafu(display("{path}: has version {current}"))]
    Conflict {
        /// The object's path.
        path: String,
        /// The version in the store; 0 when there is no object.
        current: u64,
    },
    /// The changes since the version asked for are no longer kept.
    #[snafu(display("{path}: the history is gone"))]
    HistoryGone {
        /// The kind's path.
        path: String,
    },
    /// The store refused the call; nothing was written.
    #[snafu(display("{path}: {text}"))]
    Rejected {
        /// The object's path.
        path: String,
        /// What the store said.
        text: String,
    },
    /// No byte reached the store.
    #[snafu(display("{path}: the store is unreachable: {text}"))]
    Unreachable {
        /// The object's path.
        path: String,
        /// What failed.
        text: String,
    },
    /// The answer is lost: a write may have taken effect.
    #[snafu(display("{path}: the answer is lost: {text}"))]
    ResponseLost {
        /// The object's path.
        path: String,
        /// What failed.
        text: String,
    },
}

impl StoreError {
    /// Returns whether a write that failed so may have taken effect.
    pub fn may_have_written(&self) -> bool {
        matches!(self, StoreError::ResponseLost { .. })
    }
}
