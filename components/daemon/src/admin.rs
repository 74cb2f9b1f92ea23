use crate::metrics::ClassMetrics;
use crate::spans::Span;
use crate::tables::{Tables, lock, lock_read};
use decision::Millis;
use messages::status::{
    ClassStatus, DaemonStatus, EndpointStatus, Explanation, MemberStatus, StoreStatus,
};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::UNIX_EPOCH;

/// The response to `/admin/status`.
pub fn status(tables: &Tables) -> DaemonStatus {
    let active = tables.active_lists();
    let reachable = tables.store_reachable.load(Ordering::Relaxed);
    DaemonStatus {
        instance: identity_text(tables.identity),
        name: tables.cfg.name.clone(),
        data_centre: tables.cfg.data_centre.clone(),
        region: tables.cfg.region.clone(),
        revision: active.revision,
        digest: active.digest.clone(),
        ready: tables.is_ready(),
        stopping: tables.is_stopping(),
        store: StoreStatus {
            reachable,
            answered_ms_ago: answered_ms_ago(tables),
            revision: tables.notices.outdated_store(active.revision),
        },
        members: members(tables),
        endpoints: endpoints(tables),
        classes: classes(tables),
        admission: admission(tables),
        waiting: waiting(tables),
        notes: notes(tables, active.revision, reachable),
    }
}

/// Milliseconds since the store last responded; `None` if this daemon has had no response, since
/// only some daemons watch the store.
fn answered_ms_ago(tables: &Tables) -> Option<u64> {
    let last_response = tables.last_store_response.load(Ordering::Relaxed).checked_sub(1)?;
    Some(tables.now().since(Millis(last_response)).0)
}

fn admission(tables: &Tables) -> BTreeMap<String, u8> {
    lock(&tables.scheduler).admitted_tiers(tables.now())
}

fn waiting(tables: &Tables) -> u64 {
    lock(&tables.scheduler).waiting() as u64
}

fn notes(tables: &Tables, revision: u64, reachable: bool) -> Vec<String> {
    let mut notes = tables.notices.texts(revision);
    if !reachable {
        notes.push("the store does not answer".to_string());
    }
    let unexported = tables.spans.unexported();
    if tables.cfg.spans.is_some() && unexported > 0 {
        notes.push(format!("{unexported} spans were not exported"));
    }
    notes
}

/// The response to `/admin/explain/{id}`; `None` when no span of the request is kept.
pub fn explain(tables: &Tables, request: &str) -> Option<Explanation> {
    let mut spans = tables.spans.of_request(request);
    if spans.is_empty() {
        return None;
    }
    spans.sort_by_key(|span| span.start);
    Some(Explanation {
        request: request.to_string(),
        instance: identity_text(tables.identity),
        daemon: tables.cfg.name.clone(),
        spans: spans.iter().map(span_status).collect(),
    })
}

/// Formats the identity of a process as 32 hexadecimal digits.
pub fn identity_text(identity: u128) -> String {
    format!("{identity:032x}")
}

fn members(tables: &Tables) -> Vec<MemberStatus> {
    let peers = lock_read(&tables.peers);
    let members = peers.iter().map(|(identity, peer)| MemberStatus {
        instance: identity_text(*identity),
        name: peer.name.clone(),
        data_centre: peer.data_centre.clone(),
        state: "live".to_string(),
        revision: 0,
    });
    members.collect()
}

fn endpoints(tables: &Tables) -> Vec<EndpointStatus> {
    let scheduler = lock(&tables.scheduler);
    let endpoints = scheduler.endpoints().values().map(|e| EndpointStatus {
        name: e.info.name.clone(),
        data_centre: e.info.data_centre.clone(),
        serves: e.info.serves.iter().cloned().collect(),
        state: format!("{:?}", e.state).to_lowercase(),
        outstanding: u64::from(e.outstanding),
        failures: u64::from(e.failures),
    });
    endpoints.collect()
}

fn classes(tables: &Tables) -> BTreeMap<String, ClassStatus> {
    let metrics = tables.metrics.classes().into_iter();
    metrics.map(|(class, m)| (class, class_status(&m))).collect()
}

fn class_status(metrics: &ClassMetrics) -> ClassStatus {
    ClassStatus {
        requests: metrics.requests,
        attained: metrics.attained,
        refused: metrics.refused_not_run,
        failed: metrics.requests.saturating_sub(metrics.complete + metrics.not_run),
    }
}

fn span_status(span: &Span) -> messages::status::Span {
    let start = span.start.duration_since(UNIX_EPOCH).unwrap_or_default();
    let attributes = span.attributes.iter().map(|(name, value)| (name.to_string(), value.clone()));
    messages::status::Span {
        trace: format!("{:032x}", span.trace_id),
        span: format!("{:016x}", span.id),
        parent: (span.parent != 0).then(|| format!("{:016x}", span.parent)),
        name: span.name.to_string(),
        start_unix_us: start.as_micros() as u64,
        duration_us: Some(span.duration.as_micros() as u64),
        attributes: attributes.collect(),
    }
}
