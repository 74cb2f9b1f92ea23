use crate::clients::{Observation, TARGETS};
use crate::versions::{BrokenStream, without_versions};
use fakes::PlatformEndpoint;
use gateway::RefusalLine;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The statuses by which the gateway states that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A refusal this close to the kill of a gateway may have no log line: the gateway loses the lines
/// that it has not written yet. Includes a margin.
const LOST_LINES_WINDOW: Duration = Duration::from_millis(400);

/// Checks that each refusal that a client received has a complete log line, except near the kill of a
/// gateway, and up to the number of lines that the log reports as left out. Returns the number of
/// refusals.
pub fn check_refusal_lines(
    observations: &[Observation],
    log: &[String],
    killed_at: &[Instant],
) -> Result<usize, String> {
    let lines: Vec<RefusalLine> = log.iter().filter_map(|line| RefusalLine::parse(line)).collect();
    if let Some(line) = lines.iter().find(|line| !line.missing_fields().is_empty()) {
        return Err(format!("a refusal line has no {:?}: {line:?}", line.missing_fields()));
    }
    let logged: BTreeSet<(&str, u16)> =
        lines.iter().map(|line| (line.request.as_str(), line.status)).collect();
    let is_near_kill = |at: Instant| {
        killed_at
            .iter()
            .any(|kill| *kill + LOST_LINES_WINDOW > at && at + LOST_LINES_WINDOW > *kill)
    };
    // A signed response comes from an endpoint and is not a refusal of the gateway.
    let refused =
        observations.iter().filter(|one| !one.is_signed && one.status.is_some_and(|s| s != 200));
    let refused: Vec<&Observation> = refused.collect();
    let has_line = |one: &Observation| logged.contains(&(one.id.as_str(), one.status.unwrap_or(0)));
    let unlogged = refused.iter().filter(|one| !has_line(one) && !is_near_kill(one.received_at));
    let unlogged: Vec<&&Observation> = unlogged.collect();
    match unlogged.first() {
        Some(one) if unlogged.len() as u64 > left_out_lines(log) => {
            let after_kill =
                killed_at.iter().map(|kill| one.received_at.saturating_duration_since(*kill));
            let before_kill =
                killed_at.iter().map(|kill| kill.saturating_duration_since(one.received_at));
            Err(format!(
                "{} refusals have no log line, first: {one:?}; received {:?} after and {:?} before a kill",
                unlogged.len(),
                after_kill.filter(|time| !time.is_zero()).min(),
                before_kill.filter(|time| !time.is_zero()).min(),
            ))
        }
        _ => Ok(refused.len()),
    }
}

/// The number of failure lines that the log reports as left out (`log_lines_left_out`).
fn left_out_lines(log: &[String]) -> u64 {
    let lines = log.iter().filter(|line| line.contains("log_lines_left_out"));
    let values = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    values.filter_map(|value| value["failures"].as_u64()).sum()
}

/// Checks the observations of the clients against the requests that the endpoints ran. Returns a
/// summary, or the first violated guarantee.
pub fn check_observations(
    observations: &[Observation],
    endpoints: &[PlatformEndpoint],
    events: u32,
) -> Result<String, String> {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for request in
        endpoints.iter().flat_map(PlatformEndpoint::received_requests).filter(|request| request.ran)
    {
        let id = request.message.header("x-chervilspur-attempt-id").to_owned();
        *runs.entry(id).or_default() += 1;
    }
    let stream_after = |last: usize| -> String {
        let events = last + 1..=events as usize;
        events.map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect()
    };
    for one in observations {
        let (target, may_repeat) = TARGETS[one.target];
        let ran = runs.get(&one.id).copied().unwrap_or(0);
        let violation =
            |text: &str| Err(format!("{text}: {target} {} {:?}, {ran} runs", one.id, one));
        if !may_repeat && ran > 1 {
            return violation("request that may run at most once ran more than once");
        }
        if !may_repeat && ran > 0 && one.status.is_some_and(|s| NOT_RUN_STATUSES.contains(&s)) {
            return violation("request ran, but its status says that it did not");
        }
        if matches!(one.status, Some(400..=407)) {
            return violation("valid request was rejected with a 4xx status");
        }
        if one.status == Some(200) && one.is_complete {
            let is_expected = if target.contains("stream") {
                let last = one.continues.as_ref().map_or(0, BrokenStream::last_event);
                without_versions(&one.body) == stream_after(last)
            } else {
                one.body.ends_with(&format!("to {}", one.id))
            };
            if !is_expected {
                return violation("complete response has the wrong body");
            }
        }
    }
    let served =
        observations.iter().filter(|one| one.status == Some(200) && one.is_complete).count();
    Ok(format!("{} requests, {served} complete responses", observations.len()))
}
