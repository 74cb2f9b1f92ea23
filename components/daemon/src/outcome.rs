use crate::job::{Job, Origin};
use crate::metrics::RequestOutcome;
use crate::spans::Span;
use crate::stream::StreamEnd;
use crate::tables::{Tables, lock};
use errors::{Reason, Verdict};

/// Ends an open request: closes its stream and records its span and, for a caller, its metrics.
/// Later calls have no effect.
pub fn end_job(tables: &Tables, job: &Job, end: StreamEnd) {
    if lock(&tables.jobs).open.remove(&job.number).is_none() {
        return;
    }
    let mut span = Span { start: job.arrived_at, ..Span::root(&job.trace) };
    span.set("class", &job.arrival.class);
    span.set("account", &job.arrival.account);
    span.set("tier", job.arrival.tier);
    span.set("tokens", job.stream.offset());
    match &end {
        StreamEnd::Complete => span.set("outcome", "whole"),
        StreamEnd::Refused(refusal) => span.set("outcome", refusal),
    }
    span.close(&tables.spans, &job.id);
    if job.origin == Origin::Caller {
        record_metrics(tables, job, &end);
    }
    job.stream.end(end);
}

fn record_metrics(tables: &Tables, job: &Job, end: &StreamEnd) {
    let class = &job.arrival.class;
    let complete = *end == StreamEnd::Complete;
    let first_token = job.counters.first_token_at().map(|at| at.since(job.arrived));
    let in_time = first_token.is_some_and(|t| t <= job.arrival.first_token)
        && tables.now().since(job.arrived) <= job.arrival.finish;
    let tokens = if complete { job.stream.offset() as u64 } else { 0 };
    let outcome = RequestOutcome {
        first_token_ms: first_token.map(|t| t.0),
        complete,
        attained: complete && in_time,
        not_run: matches!(end, StreamEnd::Refused(refusal) if refusal.verdict == Verdict::NotRun),
        tokens,
        wasted_tokens: job.counters.generated_tokens().saturating_sub(tokens),
        link_bytes: job.counters.link_bytes(),
    };
    if let StreamEnd::Refused(refusal) = end {
        tables.metrics.record_refusal(class, refusal);
        if refusal.reason == Reason::LimitReached {
            return;
        }
    }
    tables.metrics.record_outcome(class, &outcome);
}
