use snafu::Snafu;

/// A failed call to the object API.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The object does not have the version that the write requires; nothing was written.
    #[snafu(display("{path}: write rejected: the object has version {current} in the store"))]
    Conflict {
        /// The path of the object.
        path: String,
        /// The version in the store; 0 when there is no object.
        current: u64,
    },
    /// The store no longer keeps the changes since the requested version, or has not reached that
    /// version; list the kind again.
    #[snafu(display("{path}: the store does not keep the changes since the requested version"))]
    HistoryGone {
        /// The path of the kind.
        path: String,
    },
    /// The store rejected the call with a 4xx status; nothing was written.
    #[snafu(display("{path}: the store rejected the call: {text}"))]
    Rejected {
        /// The path of the object or the kind.
        path: String,
        /// The error of the HTTP client, with the status of the response.
        text: String,
    },
    /// The connection was refused, so no byte was sent; nothing was written.
    #[snafu(display("{path}: the store is unreachable: {text}"))]
    Unreachable {
        /// The path of the object or the kind.
        path: String,
        /// The error of the HTTP client.
        text: String,
    },
    /// No usable response came back; a write may have been applied.
    #[snafu(display("{path}: no usable response from the store: {text}"))]
    ResponseLost {
        /// The path of the object or the kind.
        path: String,
        /// The error of the HTTP client, or the server error that the store responded with.
        text: String,
    },
}

impl StoreError {
    /// Returns whether a write that failed with this error may have been applied.
    pub fn may_have_written(&self) -> bool {
        matches!(self, StoreError::ResponseLost { .. })
    }
}
