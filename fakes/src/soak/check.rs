use crate::clients::{Seen, TARGETS};
use fakes::Runner;
use std::collections::BTreeMap;

/// Statuses that say that a request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Checks what clients and endpoints saw; returns a summary, or the first promise that broke.
pub fn check(seen: &[Seen], runners: &[Runner], events: u32) -> Result<String, String> {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for arrival in runners.iter().flat_map(Runner::arrivals).filter(|arrival| arrival.ran) {
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
        if one.status == Some(200) && one.is_whole {
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
    let served = seen.iter().filter(|one| one.status == Some(200) && one.is_whole).count();
    Ok(format!("{} requests, {served} answered whole", seen.len()))
}
