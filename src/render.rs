//! The texts that the tool prints for people.

use crate::cmd::{
    ApplyReport, CheckReport, ClassReport, DaemonReport, DiffReport, ExplainReport, Lacking,
    RefusalsReport, StatusReport, Step, StoreReport, Waited,
};
use config::{Difference, ListError};
use serde_json::Value;
use std::collections::BTreeMap;

const ABSENT: &str = "-";
const DIGEST_SHOWN: usize = 12;

/// Lists the errors in the files, one a line.
pub fn list_errors(errors: &[ListError]) -> String {
    let lines: Vec<String> = errors.iter().map(ListError::to_string).collect();
    lines.join("\n")
}

/// Says that the object API is older than the daemons.
pub fn restored(in_store: u64, in_daemons: u64) -> String {
    format!(
        "the object API holds revision {in_store}, but daemons have revision {in_daemons} with \
         other lists: it was restored older, and daemons would ignore the edit; nothing was \
         changed. To go on from here, run it again with --base {in_store} --above {in_daemons}"
    )
}

/// Says that no daemon answered.
pub fn no_daemon(unreached: &[String]) -> String {
    if unreached.is_empty() {
        return "the instance list names no daemon".to_string();
    }
    format!("no daemon answers; tried {}", unreached.join(", "))
}

/// Says that no daemon knows a request.
pub fn no_request(request: &str, unreached: &[String]) -> String {
    let text = format!("no daemon that answers knows the request {request:?}");
    if unreached.is_empty() {
        text
    } else {
        format!("{text}; not reached: {}", unreached.join(", "))
    }
}

/// Says what the files hold.
pub fn checked(report: &CheckReport) -> String {
    let CheckReport { accounts, plans, classes, digest } = report;
    format!("{accounts} client accounts, {plans} plans, {classes} classes; digest {digest}")
}

/// Counts refusals, and names those whose line does not say why.
pub fn refusals(report: &RefusalsReport) -> String {
    let mut lines: Vec<String> =
        report.counts.iter().map(|(reason, count)| format!("{count:>8} {reason}")).collect();
    let total: u64 = report.counts.values().sum();
    let unexplained = report.unexplained.len();
    lines.push(format!("{total} refusals, {unexplained} without their reason"));
    if report.left_out > 0 {
        lines.push(format!("{} lines about requests are not in the log", report.left_out));
    }
    let missing = report.unexplained.iter().map(|refusal| {
        format!("request {:?} lacks {}", refusal.request, refusal.missing.join(", "))
    });
    lines.extend(missing);
    lines.join("\n")
}

/// Lists the keys that differ, and how to put them in force.
pub fn differences(report: &DiffReport) -> String {
    let in_force = report.in_force;
    if report.changes.is_empty() {
        return format!("no difference to revision {in_force}");
    }
    let mut text = format!("against revision {in_force}:\n");
    for change in &report.changes {
        text.push_str(&difference(change));
    }
    text.push_str(&format!("to put this in force: chervilspur apply --base {in_force}"));
    text
}

fn difference(change: &Difference) -> String {
    let Difference { key, before, after } = change;
    match (before, after) {
        (Some(before), Some(after)) => format!("  ~ {key}: {before} -> {after}\n"),
        (Some(before), None) => format!("  - {key}: {before}\n"),
        (_, after) => format!("  + {key}: {}\n", after.as_ref().unwrap_or(&Value::Null)),
    }
}

/// Says which revision an edit has and which daemons lack it.
pub fn applied(report: &ApplyReport) -> String {
    let ApplyReport { revision, digest, already, waited } = report;
    let digest = digest.get(..DIGEST_SHOWN).unwrap_or(digest);
    let verb = if *already { "was accepted before" } else { "is accepted" };
    let text = format!("revision {revision} (digest {digest}) {verb}");
    let Some(Waited { in_force, lacking, error }) = waited else { return text };
    if let Some(error) = error {
        return format!("{text}; whether it is in force is unknown: {error}");
    }
    if lacking.is_empty() {
        return format!("{text} and in force in all {in_force} daemons");
    }
    let lines: Vec<String> = lacking.iter().map(lacking_line).collect();
    let count = lacking.len();
    format!("{text} and in force in {in_force} daemons; {count} lack it:\n{}", lines.join("\n"))
}

fn lacking_line(lacking: &Lacking) -> String {
    let Lacking { daemon, data_centre, revision, error } = lacking;
    let state = match (revision, error) {
        (Some(revision), _) => format!("has revision {revision}"),
        (None, Some(error)) => format!("not reached: {error}"),
        (None, None) => "not reached".to_string(),
    };
    format!("  {daemon} ({data_centre}): {state}")
}

/// Describes the whole system.
pub fn status(report: &StatusReport) -> String {
    let mut text = store_line(&report.store);
    text.push_str("\ndaemons:\n");
    for daemon in &report.daemons {
        text.push_str(&daemon_lines(daemon, &report.store));
    }
    text.push_str("endpoints (state, outstanding, failures as each daemon sees them):\n");
    text.push_str(&endpoint_lines(&report.daemons));
    text.push_str("classes (answered whole within the target / requests within the limits):\n");
    for (name, class) in &report.classes {
        text.push_str(&class_line(name, class));
    }
    text.push_str("admission (lowest tier still admitted):\n");
    text.push_str(&admission_lines(&report.daemons));
    text
}

fn store_line(store: &StoreReport) -> String {
    match (store.revision, &store.error) {
        (Some(revision), _) => format!("object API: revision {revision}"),
        (None, Some(error)) => format!("object API: {error}"),
        (None, None) => "object API: unknown".to_string(),
    }
}

fn daemon_lines(daemon: &DaemonReport, in_store: &StoreReport) -> String {
    let DaemonReport { name, data_centre, address, listed, .. } = daemon;
    let head = format!("  {name} ({data_centre}, {address}, {listed}):");
    let Some(status) = &daemon.status else {
        return format!("{head} not reached: {}\n", daemon.error.as_deref().unwrap_or(ABSENT));
    };
    let ready = match (status.stopping, status.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let store = if status.store.reachable { "" } else { ", object API not reached" };
    let members = status.members.len();
    let revision = status.revision;
    let mut text = format!("{head} {ready}, revision {revision}, knows {members} others{store}\n");
    if in_store.revision.is_some_and(|in_store| in_store < revision) {
        text.push_str("    its revision is above the object API's, which was restored older\n");
    }
    let other_lists = in_store.digest.as_ref().is_some_and(|digest| *digest != status.digest);
    if in_store.revision == Some(revision) && other_lists {
        text.push_str("    its lists are not those that the object API has of this revision\n");
    }
    for note in &status.notes {
        text.push_str(&format!("    {note}\n"));
    }
    text
}

fn endpoint_lines(daemons: &[DaemonReport]) -> String {
    let mut seen: BTreeMap<(&str, &str), Vec<String>> = BTreeMap::new();
    for daemon in daemons {
        for e in daemon.status.iter().flat_map(|s| &s.endpoints) {
            let view = format!("{}: {}, {}, {}", daemon.name, e.state, e.outstanding, e.failures);
            seen.entry((&e.data_centre, &e.name)).or_default().push(view);
        }
    }
    let line = |((data_centre, name), views): (&(&str, &str), &Vec<String>)| {
        format!("  {name} ({data_centre}): {}\n", views.join("; "))
    };
    seen.iter().map(line).collect()
}

fn class_line(name: &str, class: &ClassReport) -> String {
    let counts = &class.counts;
    let share = class.attainment.map_or(ABSENT.to_string(), |a| format!("{:.1}%", a * 100.0));
    let (attained, requests) = (counts.attained, counts.requests);
    let (refused, failed) = (counts.refused, counts.failed);
    format!("  {name}: {share} ({attained}/{requests}), {refused} refused, {failed} failed\n")
}

fn admission_lines(daemons: &[DaemonReport]) -> String {
    let mut text = String::new();
    for daemon in daemons {
        for (pool, tier) in daemon.status.iter().flat_map(|s| &s.admission) {
            text.push_str(&format!("  {} at {}: tier {tier}\n", pool, daemon.name));
        }
    }
    text
}

/// Describes the steps of a request, indented by their parents.
pub fn explanation(report: &ExplainReport) -> String {
    let mut text = format!("request {}\n", report.request);
    let start = report.steps.first().map_or(0, |step| step.span.start_unix_us);
    for step in &report.steps {
        text.push_str(&step_line(step, start, depth(step, &report.steps)));
    }
    if !report.unreached.is_empty() {
        let names = report.unreached.join(", ");
        text.push_str(&format!("not reached, so steps may be missing: {names}\n"));
    }
    text
}

fn step_line(step: &Step, start: u64, depth: usize) -> String {
    let span = &step.span;
    let after = milliseconds(span.start_unix_us - start);
    let took =
        span.duration_us.map_or("still runs".to_string(), |us| format!("{} ms", milliseconds(us)));
    let attributes: Vec<String> =
        span.attributes.iter().map(|(name, value)| format!("{name}={value}")).collect();
    let indent = "  ".repeat(depth + 1);
    let (name, daemon) = (&span.name, &step.daemon);
    format!("{indent}+{after} ms {name} at {daemon} ({took}) {}\n", attributes.join(" "))
}

fn depth(step: &Step, steps: &[Step]) -> usize {
    let mut depth = 0;
    let mut parent = step.span.parent.as_ref();
    while let Some(found) = steps.iter().find(|s| Some(&s.span.span) == parent) {
        depth += 1;
        // Spans that name each other as parents would never end.
        if depth >= steps.len() {
            break;
        }
        parent = found.span.parent.as_ref();
    }
    depth
}

fn milliseconds(us: u64) -> String {
    format!("{}.{}", us / 1_000, us % 1_000 / 100)
}
