use crate::clients::Observation;
use crate::faults::{Fault, ScheduledFault};
use fakes::PlatformEndpoint;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Index of the path of streams that may be continued, in `TARGETS`.
pub const STREAM_TARGET: usize = 4;
/// Requests that a client sends for one stream.
const MAX_REQUESTS: usize = 4;
const LOSS_INTERVAL_MS: std::ops::Range<u64> = 1_500..4_000;

/// A stream of which a client has received some events, and that broke off.
#[derive(Clone, Debug)]
pub struct BrokenStream {
    /// The request that brought the first event.
    pub first_request: String,
    last_event: usize,
    requests: usize,
}

impl BrokenStream {
    /// The stream to continue after a request, which continued `before`.
    pub fn after(observation: &Observation, before: Option<BrokenStream>) -> Option<BrokenStream> {
        let is_over = observation.is_complete && observation.status == Some(200);
        if observation.target != STREAM_TARGET || is_over {
            return None;
        }
        let received = complete_events(&observation.body).count();
        let stream = before.unwrap_or_else(|| BrokenStream {
            first_request: observation.id.clone(),
            last_event: 0,
            requests: 0,
        });
        let last_event = stream.last_event + received;
        let requests = stream.requests + 1;
        let is_continued = last_event > 0 && requests < MAX_REQUESTS;
        is_continued.then_some(BrokenStream { last_event, requests, ..stream })
    }

    /// The headers with which the client continues it.
    pub fn headers(&self) -> String {
        format!("Last-Event-Id: {}\r\nResumes: {}\r\n", self.last_event, self.first_request)
    }

    /// The number of the last event that the client has.
    pub fn last_event(&self) -> usize {
        self.last_event
    }
}

/// The texts of the events that were received completely.
fn complete_events(body: &str) -> impl Iterator<Item = &str> {
    let end = body.rfind("\n\n").map_or(0, |end| end + 1);
    body[..end].split("\n\n").map(str::trim).filter(|event| !event.is_empty())
}

/// The body of a stream without the software versions that its events state.
pub fn without_versions(body: &str) -> String {
    let lines = body.split('\n').map(|line| line.split_once(" of v").map_or(line, |(l, _)| l));
    lines.collect::<Vec<_>>().join("\n")
}

/// Generates times at which all gateways are killed.
pub fn generate_losses(rng: &mut Pcg64Mcg, duration_ms: u64) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    let mut at_ms = rng.random_range(LOSS_INTERVAL_MS);
    while at_ms < duration_ms {
        faults.push((at_ms, Fault::KillAll));
        at_ms += rng.random_range(LOSS_INTERVAL_MS);
    }
    faults
}

/// Sets the version of an endpoint at the start of a run: one of two.
pub fn set_version(endpoint: &PlatformEndpoint, number: usize) {
    endpoint.set_software_version(Some(if number.is_multiple_of(2) { "v1" } else { "v2" }));
}

/// Sets the other of the two versions.
pub fn set_other_version(endpoint: &PlatformEndpoint) {
    let is_first = endpoint.software_version() == "v1";
    endpoint.set_software_version(Some(if is_first { "v2" } else { "v1" }));
}

/// Checks that no client has events of two software versions in one stream. Returns a summary.
pub fn check_versions(observations: &[Observation]) -> Result<String, String> {
    let mut streams: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    let (mut continued, mut went_on) = (0, 0);
    for one in observations.iter().filter(|one| one.target == STREAM_TARGET) {
        let first = one.continues.as_ref().map_or(&one.id, |stream| &stream.first_request);
        let versions = streams.entry(first).or_default();
        versions.extend(complete_events(&one.body).filter_map(|event| event.split(" of ").nth(1)));
        if versions.len() > 1 {
            return Err(format!("stream {first} has events of {versions:?}, the last of {one:?}"));
        }
        continued += usize::from(one.continues.is_some());
        went_on += usize::from(one.continues.is_some() && one.status == Some(200));
    }
    Ok(format!("{went_on} of {continued} continued streams went on"))
}
