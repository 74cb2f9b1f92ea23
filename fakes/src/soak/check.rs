use crate::clients::{Seen, TARGETS};
use fakes::PlatformEndpoint;
use gateway::RefusalLine;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Statuses that say that a request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Time in which a killed gateway loses the lines that it has not passed on, with a margin.
const LOST_LINES: Duration = Duration::from_millis(400);

/// Checks that each refusal which a client saw has a line that says why, unless the gateway was
/// killed before it had passed the line on; returns how many refusals there were.
pub fn check_lines(seen: &[Seen], log: &[String], killed: &[Instant]) -> Result<usize, String> {
    let lines: Vec<RefusalLine> = log.iter().filter_map(|line| RefusalLine::parse(line)).collect();
    if let Some(line) = lines.iter().find(|line| !line.missing().is_empty()) {
        return Err(format!("a refusal's line lacks {:?}: {line:?}", line.missing()));
    }
    let explained: BTreeSet<(&str, u16)> =
        lines.iter().map(|line| (line.request.as_str(), line.status)).collect();
    let is_lost =
        |at: Instant| killed.iter().any(|kill| *kill + LOST_LINES > at && at + LOST_LINES > *kill);
    // An endpoint's own answer is passed on with its seal; it is no refusal.
    let refused = seen.iter().filter(|one| !one.is_sealed && one.status.is_some_and(|s| s != 200));
    let refused: Vec<&Seen> = refused.collect();
    let has_line = |one: &Seen| explained.contains(&(one.id.as_str(), one.status.unwrap_or(0)));
    let silent = refused.iter().filter(|one| !has_line(one) && !is_lost(one.at));
    let silent: Vec<&&Seen> = silent.collect();
    match silent.first() {
        Some(one) if silent.len() as u64 > left_out(log) => {
            Err(format!("{} refusals have no line: {one:?}", silent.len()))
        }
        _ => Ok(refused.len()),
    }
}

/// Returns how many lines about failures the log says were left out.
fn left_out(log: &[String]) -> u64 {
    let lines = log.iter().filter(|line| line.contains("log_lines_left_out"));
    let values = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    values.filter_map(|value| value["failures"].as_u64()).sum()
}

/// Checks what clients and endpoints saw; returns a summary, or the first promise that broke.
pub fn check(seen: &[Seen], runners: &[PlatformEndpoint], events: u32) -> Result<String, String> {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for arrival in
        runners.iter().flat_map(PlatformEndpoint::received_requests).filter(|arrival| arrival.ran)
    {
        let id = arrival.message.header("x-chervilspur-attempt-id").to_owned();
        *runs.entry(id).or_default() += 1;
    }
    let whole: String =
        (1..=events).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect();
    for one in seen {
        let (target, may_repeat) = TARGETS[one.target];
        let ran = runs.get(&one.id).copied().unwrap_or(0);
        let says = |what: &str| Err(format!("{what}: {target} {} {:?}, {ran} runs", one.id, one));
        if !may_repeat && ran > 1 {
            return says("ran twice");
        }
        if !may_repeat && ran > 0 && one.status.is_some_and(|s| NOT_RUN.contains(&s)) {
            return says("ran though it was refused as not run");
        }
        if matches!(one.status, Some(400..=407)) {
            return says("a proper request was denied");
        }
        if one.status == Some(200) && one.is_complete {
            let is_own = if target.contains("stream") {
                one.body == whole
            } else {
                one.body.ends_with(&format!("to {}", one.id))
            };
            if !is_own {
                return says("an answer is not whole or not its own");
            }
        }
    }
    let served = seen.iter().filter(|one| one.status == Some(200) && one.is_complete).count();
    Ok(format!("{} requests, {served} answered whole", seen.len()))
}
