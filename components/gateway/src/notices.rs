use crate::adapter::Adapter;
use crate::clock::now;
use crate::departures::{apply_departure, is_known};
use crate::gateway::{Change, Gateway};
use crate::log::LineKind;
use crate::routed_request::RoutedRequest;
use decision::Millis;
use decision::routing::{Judgement, NoticeId, NoticeSource};
use messages::feed::{CompletionNotice, CrashNotice, DepartureNotice, LimitNotice, Notice};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Time in which notices are collected before they are passed on to followers together.
const COLLECTION_TIME: Duration = Duration::from_millis(100);

/// Publishes that an endpoint crashed under a request.
pub(crate) fn publish_crash<A: Adapter>(gateway: &Rc<Gateway<A>>, crash: CrashNotice) {
    publish(gateway, Notice { crash: Some(crash), ..empty_notice() });
}

/// Records that a request was completed, and publishes it if its prompt has suspected parts.
pub(crate) fn record_completion<A: Adapter>(gateway: &Rc<Gateway<A>>, request: &RoutedRequest) {
    let Some(prompt) = &request.prompt else { return };
    let mut quarantine = gateway.quarantine.borrow_mut();
    let parts = quarantine.record_own_completion(&request.service, prompt, now());
    drop(quarantine);
    if !parts.is_empty() {
        let completion = CompletionNotice { service: request.service.clone(), parts };
        publish(gateway, Notice { completion: Some(completion), ..empty_notice() });
    }
}

/// Records what a response of an endpoint states about its limit, and publishes a change.
pub(crate) fn observe_limit<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    endpoint: &str,
    per_second: Option<f64>,
) {
    if gateway.limits.borrow_mut().observe(endpoint, per_second, now()) {
        let limit = LimitNotice { endpoint: endpoint.to_owned(), per_second };
        publish(gateway, Notice { limit: Some(limit), ..empty_notice() });
    }
}

/// Publishes that an endpoint said that it leaves.
pub(crate) fn publish_departure<A: Adapter>(gateway: &Rc<Gateway<A>>, departure: DepartureNotice) {
    publish(gateway, Notice { departure: Some(departure), ..empty_notice() });
}

fn empty_notice() -> Notice {
    Notice {
        origin: 0,
        sequence: 0,
        age_ms: 0,
        crash: None,
        completion: None,
        limit: None,
        departure: None,
    }
}

fn publish<A: Adapter>(gateway: &Rc<Gateway<A>>, content: Notice) {
    let Some(notice) = gateway.notices.borrow_mut().publish(content, now()) else { return };
    apply(gateway, &notice, now());
    pass_on(gateway, NoticeId::of(&notice));
}

/// Applies the notices of another daemon that are not known yet, and passes them on.
pub(crate) fn receive_notices<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    notices: &[Notice],
    source: NoticeSource,
) {
    for notice in notices {
        if is_redundant(gateway, notice, now()) {
            continue;
        }
        if gateway.notices.borrow_mut().receive(notice, source, now()) {
            apply(gateway, notice, now());
            pass_on(gateway, NoticeId::of(notice));
        }
    }
}

/// Whether a notice changes nothing. Of a part that many requests share, many daemons report the
/// completion of a request at the same time, and of an endpoint that leaves, what it says.
fn is_redundant<A: Adapter>(gateway: &Gateway<A>, notice: &Notice, now: Millis) -> bool {
    if let Some(departure) = &notice.departure {
        return is_known(gateway, departure);
    }
    let Some(completion) = &notice.completion else { return false };
    let at = now - Millis(notice.age_ms);
    !gateway.quarantine.borrow().is_news(&completion.service, &completion.parts, at)
}

/// Passes a notice on to the followers of this daemon, together with those of the next moment.
fn pass_on<A: Adapter>(gateway: &Rc<Gateway<A>>, id: NoticeId) {
    let is_first = gateway.collected_notices.borrow().is_empty();
    gateway.collected_notices.borrow_mut().push(id);
    if is_first {
        let gateway = gateway.clone();
        spawn_local(async move {
            sleep(COLLECTION_TIME).await;
            for id in gateway.collected_notices.take() {
                gateway.publish(Change::Notice(id));
            }
        });
    }
}

fn apply<A: Adapter>(gateway: &Gateway<A>, notice: &Notice, now: Millis) {
    if let Some(departure) = &notice.departure {
        return apply_departure(gateway, notice, departure);
    }
    let observed_at = now - Millis(notice.age_ms);
    let mut quarantine = gateway.quarantine.borrow_mut();
    if let Some(crash) = &notice.crash {
        let condemned = quarantine.record_crash(NoticeId::of(notice), crash, observed_at);
        if !condemned.is_empty() || gateway.log_quota.borrow_mut().admits(LineKind::Failure, now) {
            tracing::info!(
                event = "crash_reported",
                service = %crash.service,
                endpoint = %crash.endpoint,
                parts = hex(&crash.parts),
                condemned = hex(&condemned),
                origin = notice.origin,
                age_ms = notice.age_ms,
            );
        }
        if !condemned.is_empty() {
            gateway.quarantine_changed.notify_waiters();
        }
    }
    if let Some(completion) = &notice.completion {
        let parts = &completion.parts;
        let acquitted = quarantine.record_completion(&completion.service, parts, observed_at);
        if !acquitted.is_empty() {
            let (service, parts) = (&completion.service, hex(&acquitted));
            tracing::info!(event = "parts_acquitted", %service, parts, origin = notice.origin);
        }
    }
    if let Some(limit) = &notice.limit {
        let mut limits = gateway.limits.borrow_mut();
        limits.apply(&limit.endpoint, limit.per_second, observed_at);
        gateway.metrics.limited_endpoints.set(limits.len() as i64);
        if gateway.log_quota.borrow_mut().admits(LineKind::Routine, now) {
            tracing::info!(
                event = "limit_stated",
                endpoint = %limit.endpoint,
                per_second = limit.per_second,
                origin = notice.origin,
                age_ms = notice.age_ms,
            );
        }
    }
}

/// Formats ids of prompt parts as in requests, separated by commas.
pub(crate) fn hex(parts: &[u64]) -> String {
    let parts: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
    parts.join(",")
}

/// Decides whether a request may be sent to an endpoint.
pub(crate) fn judge<A: Adapter>(
    gateway: &Gateway<A>,
    request: &RoutedRequest,
    now: Millis,
) -> Judgement {
    let quarantine = gateway.quarantine.borrow();
    let prompt = request.prompt.as_ref();
    prompt.map_or(Judgement::Admitted, |p| quarantine.judge(&request.service, p, now))
}

/// Waits until a request may no longer be sent to endpoints; forever if that does not happen.
pub(crate) async fn condemned<A: Adapter>(gateway: &Gateway<A>, request: &RoutedRequest) {
    loop {
        gateway.quarantine_changed.notified().await;
        if matches!(judge(gateway, request, now()), Judgement::Condemned(_)) {
            return;
        }
    }
}
