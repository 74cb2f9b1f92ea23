use crate::adapter::Adapter;
use crate::clock::now;
use crate::contents::judge;
use crate::dispatch::place;
use crate::gateway::Gateway;
use crate::routed_request::RoutedRequest;
use decision::routing::{Choice, Condemnation, Judgement, Placement, QueueKey, Ticket, WaitLimits};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Time after which a waiting request checks again without a notification: wait estimates decay
/// with time, and other daemons report theirs.
const RECHECK_INTERVAL: Duration = Duration::from_millis(40);

/// An entry in a wait queue. It is removed on drop, as when the client disconnects.
struct QueueEntry<'a, A> {
    gateway: &'a Gateway<A>,
    key: QueueKey,
    ticket: Ticket,
}

impl<A> Drop for QueueEntry<'_, A> {
    fn drop(&mut self) {
        self.gateway.wait_queues.borrow_mut().remove(&self.key, self.ticket);
        self.gateway.queue_progress.notify_waiters();
    }
}

/// How waiting for an endpoint ended.
#[derive(Debug)]
pub(crate) enum WaitOutcome {
    /// An endpoint was selected.
    Placed(Choice),
    /// The refusal time of the request has passed; the text states what it waited for.
    TimedOut(String),
    /// No endpoint is registered that was not tried yet.
    NoEndpoint,
    /// The request, or a part of its prompt, crashes endpoints.
    Condemned(Condemnation),
}

/// Waits in order of priority until an endpoint can start the next attempt at a request or its
/// refusal time has passed.
pub(crate) async fn wait_for_endpoint<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    request: &RoutedRequest,
    limits: WaitLimits,
    tried: &BTreeSet<String>,
) -> WaitOutcome {
    let key = request.queue_key();
    let ticket = gateway.wait_queues.borrow_mut().enqueue(&key, request.priority);
    let entry = QueueEntry { gateway, key, ticket };
    let mut text = String::from("requests of higher priority or earlier arrival are waiting");
    loop {
        let judgement = judge(gateway, request, now());
        if let Judgement::Condemned(condemnation) = judgement {
            return WaitOutcome::Condemned(condemnation);
        }
        let is_first = gateway.wait_queues.borrow().is_first(&entry.key, ticket);
        if is_first {
            match place(gateway, request, limits, tried, now()) {
                Placement::Saturated(best) => {
                    text = saturation_text(gateway, request, limits, &best);
                }
                Placement::Send(choice) => {
                    if let Judgement::Trial(content) = judgement {
                        let mut quarantine = gateway.quarantine.borrow_mut();
                        quarantine.start_trial(&request.service, content, now());
                    }
                    gateway.limits.borrow_mut().record_send(&choice.id, now());
                    return WaitOutcome::Placed(choice);
                }
                Placement::NoEndpoint => return WaitOutcome::NoEndpoint,
            }
        }
        if now() >= limits.refused_at {
            return WaitOutcome::TimedOut(text);
        }
        // The request checks again after the time-out, also without a notification.
        let _ = timeout(RECHECK_INTERVAL, gateway.queue_progress.notified()).await;
    }
}

fn saturation_text<A: Adapter>(
    gateway: &Gateway<A>,
    request: &RoutedRequest,
    limits: WaitLimits,
    best: &Choice,
) -> String {
    let max_rejections = gateway.brittle.borrow().max_rejections(&request.service);
    if let Some(max_rejections) = max_rejections.filter(|_| best.is_full) {
        return format!(
            "best endpoint {} has no room for this daemon; it bears {max_rejections} rejections a \
             second",
            best.id
        );
    }
    let stated_limit = gateway.limits.borrow().stated(&best.id);
    if let Some(per_second) = stated_limit.filter(|_| best.is_full) {
        return format!(
            "best endpoint {} states a limit of {per_second} requests a second",
            best.id
        );
    }
    if best.is_full {
        return format!("best endpoint {} has all its connections in use", best.id);
    }
    let left = limits.budget(now()).0;
    let wait = best.wait_ms as u64;
    format!(
        "best endpoint {} has an expected wait of {wait} ms, first byte is due in {left} ms",
        best.id
    )
}
