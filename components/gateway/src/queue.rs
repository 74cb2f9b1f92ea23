use crate::adapter::Adapter;
use crate::clock::now;
use crate::dispatch::place;
use crate::gateway::Gateway;
use crate::routed_request::RoutedRequest;
use decision::routing::{Choice, Placement, QueueKey, Ticket, refusal_time};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Time after which a waiting request looks again without word of progress: waits fade by
/// themselves, and other daemons tell theirs.
const RECHECK_INTERVAL: Duration = Duration::from_millis(40);

/// A place in the queue, left when it is dropped, as when the client leaves.
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

/// How the wait of a request for an endpoint ended.
#[derive(Debug)]
pub(crate) enum WaitOutcome {
    /// An endpoint can take it.
    Placed(Choice),
    /// It has waited as long as it should; the text says for what.
    TimedOut(String),
    /// No endpoint is listed.
    NoEndpoint,
}

/// Waits in the order of ranks until an endpoint can take a request, or for as long as it should.
pub(crate) async fn wait_for_endpoint<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    request: &RoutedRequest,
    tried: &BTreeSet<String>,
) -> WaitOutcome {
    let key = (request.service.clone(), request.lane);
    let ticket = gateway.wait_queues.borrow_mut().enqueue(&key, request.priority);
    let entry = QueueEntry { gateway, key, ticket };
    let refused_at = refusal_time(request.arrived, request.first_byte_due);
    let mut text = String::from("requests that are older or more urgent wait");
    loop {
        let is_first = gateway.wait_queues.borrow().is_first(&entry.key, ticket);
        if is_first {
            match place(gateway, request, tried, now()) {
                Placement::Saturated(best) => text = saturation_text(request, &best),
                Placement::Send(choice) => return WaitOutcome::Placed(choice),
                Placement::NoEndpoint => return WaitOutcome::NoEndpoint,
            }
        }
        if now() >= refused_at {
            return WaitOutcome::TimedOut(text);
        }
        // Without word of progress the request looks again all the same.
        let _ = timeout(RECHECK_INTERVAL, gateway.queue_progress.notified()).await;
    }
}

/// Says why a request waits.
fn saturation_text(request: &RoutedRequest, best: &Choice) -> String {
    let left = (request.first_byte_due - now()).0;
    let wait = best.wait_ms as u64;
    format!("its best engine {} has {wait} ms of prompts waiting, {left} ms are left", best.id)
}

/// Returns an endpoint for a further attempt, without a wait.
pub(crate) fn place_without_waiting<A: Adapter>(
    gateway: &Gateway<A>,
    request: &RoutedRequest,
    tried: &BTreeSet<String>,
) -> Option<Choice> {
    match place(gateway, request, tried, now()) {
        Placement::Send(choice) => Some(choice),
        Placement::Saturated(_) | Placement::NoEndpoint => None,
    }
}
