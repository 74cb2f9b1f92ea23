use errors::Refusal;
use serde::{Deserialize, Serialize};

/// An action that the executor carries out for the scheduler.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Send the request to an endpoint of this data centre.
    Dispatch {
        /// The number of the request.
        request: u64,
        /// The number of the attempt, from 1.
        attempt: u32,
        /// The name of the endpoint.
        endpoint: String,
    },
    /// Send the request to a daemon of another data centre.
    Forward {
        /// The number of the request.
        request: u64,
        /// The number of the attempt, from 1.
        attempt: u32,
        /// The name of the data centre.
        data_centre: String,
    },
    /// Ask the endpoint to pause the request's stream.
    Pause {
        /// The number of the request.
        request: u64,
    },
    /// Ask the endpoint to resume a paused stream.
    Resume {
        /// The number of the request.
        request: u64,
    },
    /// Cancel the current attempt. The request is dispatched, forwarded or refused later, unless
    /// its caller disconnected.
    Cancel {
        /// The number of the request.
        request: u64,
    },
    /// Send the caller a refusal immediately.
    Refuse {
        /// The number of the request.
        request: u64,
        /// The refusal.
        refusal: Refusal,
    },
}
