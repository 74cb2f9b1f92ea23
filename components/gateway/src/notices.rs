use crate::adapter::Adapter;
use crate::clock::now;
use crate::contents::{content_list, contents};
use crate::departures::{apply_departure, is_known};
use crate::gateway::{Change, Gateway};
use crate::log::LineKind;
use crate::routed_request::RoutedRequest;
use decision::Millis;
use decision::duties::KnownHolder;
use decision::routing::{Content, NoticeId, NoticeSource, Peer};
use messages::feed::{
    CompletionNotice, CrashNotice, DepartureNotice, HolderNotice, LimitNotice, Notice,
};
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

/// Records that a request was completed, and publishes it if it has suspected contents.
pub(crate) fn record_completion<A: Adapter>(gateway: &Rc<Gateway<A>>, request: &RoutedRequest) {
    let contents = contents(gateway, request);
    if contents.is_empty() {
        return;
    }
    let mut quarantine = gateway.quarantine.borrow_mut();
    let suspected = quarantine.record_own_completion(&request.service, &contents, now());
    drop(quarantine);
    if !suspected.is_empty() {
        let (parts, digest) = Content::split(&suspected);
        let service = request.service.clone();
        let completion = CompletionNotice { service, parts, request: digest };
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

/// Publishes which daemon holds the duties.
pub(crate) fn publish_holder<A: Adapter>(gateway: &Rc<Gateway<A>>, holder: KnownHolder) {
    let KnownHolder { peer: Peer { name, address }, token, window } = holder;
    let holder = HolderNotice { name, address, token, window };
    publish(gateway, Notice { holder: Some(holder), ..empty_notice() });
}

fn known_holder(notice: &HolderNotice) -> KnownHolder {
    let peer = Peer { name: notice.name.clone(), address: notice.address.clone() };
    KnownHolder { peer, token: notice.token, window: notice.window }
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
        holder: None,
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
    let contents = Content::set(&completion.parts, completion.request);
    !gateway.quarantine.borrow().is_news(&completion.service, &contents, at)
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
    if let Some(holder) = &notice.holder {
        return gateway.duties.learn(&known_holder(holder));
    }
    let observed_at = now - Millis(notice.age_ms);
    let mut quarantine = gateway.quarantine.borrow_mut();
    if let Some(crash) = &notice.crash {
        let condemned = quarantine.record_crash(NoticeId::of(notice), crash, observed_at);
        let contents: Vec<Content> =
            Content::set(&crash.parts, crash.request).into_iter().collect();
        if !condemned.is_empty() || gateway.log_quota.borrow_mut().admits(LineKind::Failure, now) {
            tracing::info!(
                event = "crash_reported",
                service = %crash.service,
                endpoint = %crash.endpoint,
                contents = content_list(&contents),
                condemned = content_list(&condemned),
                origin = notice.origin,
                age_ms = notice.age_ms,
            );
        }
        if !condemned.is_empty() {
            gateway.quarantine_changed.notify_waiters();
        }
    }
    if let Some(completion) = &notice.completion {
        let contents = Content::set(&completion.parts, completion.request);
        let acquitted = quarantine.record_completion(&completion.service, &contents, observed_at);
        if !acquitted.is_empty() {
            let (service, contents) = (&completion.service, content_list(&acquitted));
            tracing::info!(event = "parts_acquitted", %service, contents, origin = notice.origin);
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
