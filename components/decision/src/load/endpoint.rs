use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What the instance list and the endpoint's own description say of an endpoint.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EndpointInfo {
    /// The name of the endpoint's instance.
    pub name: String,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// The models or plain services that it answers for.
    pub serves: BTreeSet<String>,
    /// The streams that it runs at once.
    pub slots: u32,
    /// Whether it can hold a stream back and go on with it.
    pub pauses: bool,
}

/// The life of an endpoint incarnation; it only moves down this list.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Takes new work.
    #[default]
    Live,
    /// Finishes what it has and takes nothing new.
    Leaving,
}

/// A load report of an endpoint, which describes a moment already past.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EndpointReport {
    /// Streams that ran.
    pub running: u32,
    /// Requests that waited inside the endpoint.
    pub waiting: u32,
    /// The age of the report when it was received, in milliseconds.
    pub age_ms: u64,
}

/// What the scheduler knows of an endpoint.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Endpoint {
    /// Its description.
    pub info: EndpointInfo,
    /// Its state.
    pub state: EndpointState,
    /// Requests of this daemon that it works on.
    pub outstanding: u32,
    /// Attempts that failed since the last one that went well.
    pub failures: u32,
    /// The time before which a failed endpoint gets no work.
    pub resting_until: Millis,
    /// Its last report and when it was received.
    pub report: Option<(EndpointReport, Millis)>,
}
