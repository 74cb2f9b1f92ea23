//! Formats the reports and errors of the tool for `--output text`.

use crate::cmd::{
    ApplyReport, CheckReport, ClassReport, DaemonReport, DiffReport, ExplainReport, OutdatedDaemon,
    RefusalsReport, StatusReport, Step, StoreReport, WaitOutcome,
};
use config::{Difference, ListError};
use serde_json::Value;
use std::collections::BTreeMap;

const ABSENT: &str = "-";
const DIGEST_PREFIX_CHARS: usize = 12;

/// Formats the errors in the files, one per line.
pub fn list_errors(errors: &[ListError]) -> String {
    let lines: Vec<String> = errors.iter().map(ListError::to_string).collect();
    lines.join("\n")
}

/// Explains that the object API was restored from an older state, and how to publish anyway.
pub fn store_restored(in_store: u64, in_daemons: u64) -> String {
    format!(
        "the object API holds revision {in_store}, but daemons have revision {in_daemons} with \
         other lists: the object API was restored from an older state, and daemons would ignore \
         the edit; nothing was changed. To publish the edit with a higher revision, run the \
         command again with --base {in_store} --above {in_daemons}"
    )
}

/// Formats the error that no daemon responded.
pub fn no_daemon_reached(unreached: &[String]) -> String {
    if unreached.is_empty() {
        return "the instance list contains no daemon".to_string();
    }
    format!("no daemon responded; tried {}", unreached.join(", "))
}

/// Formats the error that no daemon has spans of a request.
pub fn request_not_found(request: &str, unreached: &[String]) -> String {
    let text = format!("request {request:?} not found in any daemon that was reached");
    if unreached.is_empty() {
        text
    } else {
        format!("{text}; not reached: {}", unreached.join(", "))
    }
}

/// Formats the counts and the digest of valid files.
pub fn check_report(report: &CheckReport) -> String {
    let CheckReport { accounts, plans, classes, digest } = report;
    format!("{accounts} client accounts, {plans} plans, {classes} classes; digest {digest}")
}

/// Formats the counts of refusals and the refusals with an incomplete log line.
pub fn refusals_report(report: &RefusalsReport) -> String {
    let mut lines: Vec<String> =
        report.counts.iter().map(|(reason, count)| format!("{count:>8} {reason}")).collect();
    let total: u64 = report.counts.values().sum();
    let unexplained = report.unexplained.len();
    lines.push(format!("{total} refusals, {unexplained} of them with an incomplete log line"));
    if report.omitted_lines > 0 {
        lines.push(format!(
            "{} lines about requests were not written to the log",
            report.omitted_lines
        ));
    }
    let missing = report.unexplained.iter().map(|refusal| {
        format!("request {:?}: missing {}", refusal.request, refusal.missing.join(", "))
    });
    lines.extend(missing);
    lines.join("\n")
}

/// Formats the keys that differ, and the command that publishes them.
pub fn diff_report(report: &DiffReport) -> String {
    let revision = report.active_revision;
    if report.changes.is_empty() {
        return format!("no differences from revision {revision}");
    }
    let mut text = format!("differences from revision {revision}:\n");
    for change in &report.changes {
        text.push_str(&difference(change));
    }
    text.push_str(&format!("to publish: chervilspur apply --base {revision}"));
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

/// Formats the revision of an edit and, after `--wait`, the daemons that do not have it.
pub fn apply_report(report: &ApplyReport) -> String {
    let ApplyReport { revision, digest, already_applied, waited } = report;
    let digest = digest.get(..DIGEST_PREFIX_CHARS).unwrap_or(digest);
    let verb = if *already_applied { "was already accepted" } else { "was accepted" };
    let text = format!("revision {revision} (digest {digest}) {verb}");
    let Some(WaitOutcome { active_count, outdated, error }) = waited else { return text };
    if let Some(error) = error {
        return format!("{text}; cannot determine whether it is active: {error}");
    }
    if outdated.is_empty() {
        return format!("{text} and is active in all {active_count} daemons");
    }
    let lines: Vec<String> = outdated.iter().map(outdated_line).collect();
    let count = outdated.len();
    format!(
        "{text} and is active in {active_count} daemons; {count} do not have it:\n{}",
        lines.join("\n")
    )
}

fn outdated_line(outdated: &OutdatedDaemon) -> String {
    let OutdatedDaemon { daemon, data_centre, revision, error } = outdated;
    let state = match (revision, error) {
        (Some(revision), _) => format!("has revision {revision}"),
        (None, Some(error)) => format!("not reached: {error}"),
        (None, None) => "not reached".to_string(),
    };
    format!("  {daemon} ({data_centre}): {state}")
}

/// Formats the status of the system.
pub fn status_report(report: &StatusReport) -> String {
    let mut text = store_line(&report.store);
    text.push_str("\ndaemons:\n");
    for daemon in &report.daemons {
        text.push_str(&daemon_lines(daemon, &report.store));
    }
    text.push_str("endpoints (state, attempts in progress, failed attempts; by daemon):\n");
    text.push_str(&endpoint_lines(&report.daemons));
    text.push_str("classes (complete within the target / requests within the limits):\n");
    for (name, class) in &report.classes {
        text.push_str(&class_line(name, class));
    }
    text.push_str("admission (lowest admitted tier):\n");
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
    let DaemonReport { name, data_centre, address, listed_state, .. } = daemon;
    let head = format!("  {name} ({data_centre}, {address}, {listed_state}):");
    let Some(status) = &daemon.status else {
        return format!("{head} not reached: {}\n", daemon.error.as_deref().unwrap_or(ABSENT));
    };
    let ready = match (status.stopping, status.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let store = if status.store.reachable { "" } else { ", object API unreachable" };
    let peers = status.members.len();
    let revision = status.revision;
    let mut text = format!("{head} {ready}, revision {revision}, {peers} known peers{store}\n");
    if in_store.revision.is_some_and(|in_store| in_store < revision) {
        text.push_str(
            "    its revision is higher than that in the object API, which was restored from an \
             older state\n",
        );
    }
    let has_other_lists = in_store.digest.as_ref().is_some_and(|digest| *digest != status.digest);
    if in_store.revision == Some(revision) && has_other_lists {
        text.push_str("    its lists differ from those in the object API at the same revision\n");
    }
    for note in &status.notes {
        text.push_str(&format!("    {note}\n"));
    }
    text
}

fn endpoint_lines(daemons: &[DaemonReport]) -> String {
    let mut views_by_endpoint: BTreeMap<(&str, &str), Vec<String>> = BTreeMap::new();
    for daemon in daemons {
        for e in daemon.status.iter().flat_map(|s| &s.endpoints) {
            let view = format!("{}: {}, {}, {}", daemon.name, e.state, e.outstanding, e.failures);
            views_by_endpoint.entry((&e.data_centre, &e.name)).or_default().push(view);
        }
    }
    let line = |((data_centre, name), views): (&(&str, &str), &Vec<String>)| {
        format!("  {name} ({data_centre}): {}\n", views.join("; "))
    };
    views_by_endpoint.iter().map(line).collect()
}

fn class_line(name: &str, class: &ClassReport) -> String {
    let counts = &class.counts;
    let attainment = class.attainment.map_or(ABSENT.to_string(), |a| format!("{:.1}%", a * 100.0));
    let (attained, requests) = (counts.attained, counts.requests);
    let (refused, failed) = (counts.refused, counts.failed);
    format!("  {name}: {attainment} ({attained}/{requests}), {refused} refused, {failed} failed\n")
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

/// Formats the steps of a request, indented by their depth in the tree of spans.
pub fn explain_report(report: &ExplainReport) -> String {
    let mut text = format!("request {}\n", report.request);
    let start = report.steps.first().map_or(0, |step| step.span.start_unix_us);
    for step in &report.steps {
        text.push_str(&step_line(step, start, depth(step, &report.steps)));
    }
    if !report.unreached.is_empty() {
        let names = report.unreached.join(", ");
        text.push_str(&format!("daemons not reached, steps may be missing: {names}\n"));
    }
    text
}

fn step_line(step: &Step, start: u64, depth: usize) -> String {
    let span = &step.span;
    let offset_ms = milliseconds(span.start_unix_us - start);
    let duration =
        span.duration_us.map_or("in progress".to_string(), |us| format!("{} ms", milliseconds(us)));
    let attributes: Vec<String> =
        span.attributes.iter().map(|(name, value)| format!("{name}={value}")).collect();
    let indent = "  ".repeat(depth + 1);
    let (name, daemon) = (&span.name, &step.daemon);
    format!("{indent}+{offset_ms} ms {name} at {daemon} ({duration}) {}\n", attributes.join(" "))
}

fn depth(step: &Step, steps: &[Step]) -> usize {
    let mut depth = 0;
    let mut parent = step.span.parent.as_ref();
    while let Some(ancestor) = steps.iter().find(|s| Some(&s.span.span) == parent) {
        depth += 1;
        // Stops at a cycle of parents, which would not terminate.
        if depth >= steps.len() {
            break;
        }
        parent = ancestor.span.parent.as_ref();
    }
    depth
}

fn milliseconds(us: u64) -> String {
    format!("{}.{}", us / 1_000, us % 1_000 / 100)
}
