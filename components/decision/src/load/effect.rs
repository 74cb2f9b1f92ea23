use errors::Refusal;
use serde::{Deserialize, Serialize};

/// What the shell around the scheduler has to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Send the request to an endpoint of this data centre.
    Dispatch {
        /// The request.
        request: u64,
        /// The number of the attempt, from 1.
        attempt: u32,
        /// The name of the endpoint.
        endpoint: String,
    },
    /// Send the request to a daemon of another data centre.
    Forward {
        /// The request.
        request: u64,
        /// The number of the attempt, from 1.
        attempt: u32,
        /// The name of the data centre.
        data_centre: String,
    },
    /// Ask the endpoint to hold the request's stream back.
    Pause {
        /// The request.
        request: u64,
    },
    /// Ask the endpoint to go on with a paused stream.
    Resume {
        /// The request.
        request: u64,
    },
    /// End the attempt that runs now; a new dispatch or a refusal follows.
    Cancel {
        /// The request.
        request: u64,
    },
    /// Answer the caller with a refusal, at once.
    Refuse {
        /// The request.
        request: u64,
        /// The refusal.
        refusal: Refusal,
    },
}
