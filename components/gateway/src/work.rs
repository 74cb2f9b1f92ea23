use crate::adapter::Adapter;
use crate::clock::now;
use crate::gateway::Gateway;
use crate::job::Job;
use decision::routing::{Choice, InFlightId, Outcome};
use std::rc::Rc;

/// Work of this daemon at an endpoint. Dropping it unclosed, as when the client leaves, ends the
/// work without a judgement of the endpoint.
#[derive(Debug)]
pub(crate) struct Work<A: Adapter> {
    gateway: Rc<Gateway<A>>,
    endpoint: String,
    fetch_from: Option<String>,
    lease: Option<InFlightId>,
}

impl<A: Adapter> Work<A> {
    pub(crate) fn start(gateway: &Rc<Gateway<A>>, choice: &Choice, job: &Job) -> Work<A> {
        let now = now();
        let lease = gateway.loads.borrow_mut().start(choice, &job.demand(0, now), now);
        let gateway = gateway.clone();
        Work {
            gateway,
            endpoint: choice.id.clone(),
            fetch_from: choice.fetch_from.clone(),
            lease: Some(lease),
        }
    }

    pub(crate) fn endpoint(&self) -> &str {
        &self.endpoint
    }

    /// Returns the endpoint from which a part of the prompt can be fetched.
    pub(crate) fn fetch_from(&self) -> Option<&str> {
        self.fetch_from.as_deref()
    }

    /// Notes the first byte of the answer.
    pub(crate) fn first_byte(&self, job: &Job) {
        if let Some(lease) = self.lease {
            let mut loads = self.gateway.loads.borrow_mut();
            loads.record_first_byte(&self.endpoint, lease, job.prompt.as_ref(), now());
            self.gateway.progress.notify_waiters();
        }
    }

    pub(crate) fn close(mut self, outcome: Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: Outcome) {
        if let Some(lease) = self.lease.take() {
            self.gateway.loads.borrow_mut().end(&self.endpoint, lease, outcome, now());
            self.gateway.progress.notify_waiters();
        }
    }
}

impl<A: Adapter> Drop for Work<A> {
    fn drop(&mut self) {
        self.end(Outcome::Abandoned);
    }
}
