use crate::adapter::Adapter;
use crate::brittle::{record_absence, record_rejection, record_send, record_success};
use crate::clock::now;
use crate::gateway::Gateway;
use crate::routed_request::RoutedRequest;
use decision::Millis;
use decision::routing::{Choice, InFlightId, Incarnation, Outcome};
use std::cell::Cell;
use std::rc::Rc;

/// A request that this daemon has in flight at an endpoint. Dropping it without `close`, as when
/// the client disconnects, ends it as abandoned, which does not count against the endpoint.
#[derive(Debug)]
pub(crate) struct InFlightRequest<A: Adapter> {
    gateway: Rc<Gateway<A>>,
    service: String,
    endpoint: String,
    /// The endpoint's incarnation when the request was sent; `None` if it had just left.
    incarnation: Option<Incarnation>,
    /// The endpoint's software version when the request was sent; `None` if it had just left.
    software_version: Option<String>,
    fetch_from: Option<String>,
    sent_at: Millis,
    first_byte_at: Cell<Option<Millis>>,
    in_flight_id: Option<InFlightId>,
}

impl<A: Adapter> InFlightRequest<A> {
    pub(crate) fn start(
        gateway: &Rc<Gateway<A>>,
        choice: &Choice,
        request: &RoutedRequest,
    ) -> InFlightRequest<A> {
        let now = now();
        let usage = gateway.loads.borrow().usage(&choice.id);
        record_send(gateway, &request.service, &choice.id, usage, now);
        gateway.demand.borrow_mut().record_send(&request.service, choice.unread_tokens);
        let in_flight_id =
            gateway.loads.borrow_mut().start(choice, &request.demand(Millis(0), 0), now);
        let registration = gateway.directory().get(&choice.id).cloned();
        let incarnation = registration.as_ref().map(|r| r.incarnation());
        let software_version = registration.map(|r| r.software_version);
        let gateway = gateway.clone();
        InFlightRequest {
            gateway,
            service: request.service.clone(),
            endpoint: choice.id.clone(),
            incarnation,
            software_version,
            fetch_from: choice.fetch_from.clone(),
            sent_at: now,
            first_byte_at: Cell::default(),
            in_flight_id: Some(in_flight_id),
        }
    }

    pub(crate) fn endpoint(&self) -> &str {
        &self.endpoint
    }

    pub(crate) fn incarnation(&self) -> Option<&Incarnation> {
        self.incarnation.as_ref()
    }

    pub(crate) fn software_version(&self) -> Option<&str> {
        self.software_version.as_deref()
    }

    /// Whether the endpoint has registered with another software version since the request was sent:
    /// either may have received it.
    pub(crate) fn has_other_version(&self) -> bool {
        let directory = self.gateway.directory();
        let registration = directory.listed_registration(&self.endpoint);
        registration.is_some_and(|now| {
            Some(now.software_version.as_str()) != self.software_version.as_deref()
        })
    }

    pub(crate) fn sent_at(&self) -> Millis {
        self.sent_at
    }

    /// When the response head arrived.
    pub(crate) fn first_byte_at(&self) -> Option<Millis> {
        self.first_byte_at.get()
    }

    /// The id of another endpoint from which a part of the prompt can be fetched.
    pub(crate) fn fetch_from(&self) -> Option<&str> {
        self.fetch_from.as_deref()
    }

    /// Records the arrival of the response head.
    pub(crate) fn record_first_byte(&self, request: &RoutedRequest) {
        self.first_byte_at.set(Some(now()));
        self.gateway.reachability.borrow_mut().record_response(now());
        self.gateway.demand.borrow_mut().record_first_byte(
            &request.service,
            request.arrived,
            request.first_byte_due,
            now(),
        );
        if let Some(in_flight_id) = self.in_flight_id {
            let mut loads = self.gateway.loads.borrow_mut();
            loads.record_first_byte(&self.endpoint, in_flight_id, request.prompt.as_ref(), now());
            self.gateway.queue_progress.notify_waiters();
        }
    }

    /// Records an outcome that tells how much room a brittle endpoint has, with the requests that are
    /// left there.
    fn record_brittle_outcome(&self, outcome: Outcome, left: u32) {
        let (gateway, service, endpoint) = (&self.gateway, &self.service, &self.endpoint);
        match outcome {
            Outcome::Full => record_rejection(gateway, service, endpoint, left, now()),
            Outcome::Answered => {
                let took = now().since(self.sent_at);
                record_success(gateway, service, endpoint, took, now());
            }
            Outcome::Silent => record_absence(gateway, service, endpoint, now()),
            Outcome::Replaced | Outcome::Failed | Outcome::Abandoned => {}
        }
    }

    pub(crate) fn close(mut self, outcome: Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: Outcome) {
        if let Some(in_flight_id) = self.in_flight_id.take() {
            let mut loads = self.gateway.loads.borrow_mut();
            loads.end(&self.endpoint, in_flight_id, outcome, now());
            let left = loads.usage(&self.endpoint).requests;
            drop(loads);
            self.record_brittle_outcome(outcome, left);
            self.gateway.queue_progress.notify_waiters();
        }
    }
}

impl<A: Adapter> Drop for InFlightRequest<A> {
    fn drop(&mut self) {
        self.end(Outcome::Abandoned);
    }
}
