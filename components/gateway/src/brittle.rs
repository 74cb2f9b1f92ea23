use crate::adapter::{Adapter, ResponseHead};
use crate::clock::now;
use crate::gateway::Gateway;
use decision::Millis;
use decision::routing::{Directory, Division, Part, Prompt, Registration, Usage};
use http::StatusCode;

/// Records what a response states about the rejections that endpoints of a service bear. Only a
/// complete success tells that they no longer state them.
pub(crate) fn observe_brittleness<A: Adapter>(
    gateway: &Gateway<A>,
    service: &str,
    endpoint: &str,
    status: StatusCode,
    head: &ResponseHead,
) {
    let max_rejections = head.max_rejections_per_second;
    if max_rejections.is_none() && !status.is_success() {
        return;
    }
    let mut brittle = gateway.brittle.borrow_mut();
    if brittle.observe(service, max_rejections, now()) {
        gateway.metrics.brittle_services.set(brittle.len() as i64);
        tracing::info!(event = "brittleness_stated", service, endpoint, max_rejections);
    }
}

/// The room that brittle endpoints of a service have for requests of this daemon.
pub(crate) struct BrittleRoom<'a> {
    service: &'a str,
    division: Division<'a>,
    cache_tokens: u64,
    /// The tokens that the request holds.
    tokens: f64,
}

impl<'a> BrittleRoom<'a> {
    /// Returns the room for a request; `None` if the endpoints of the service are not brittle.
    pub(crate) fn new<A: Adapter>(
        gateway: &Gateway<A>,
        directory: &'a Directory,
        service: &'a str,
        prompt: Option<&Prompt>,
        now: Millis,
    ) -> Option<BrittleRoom<'a>> {
        gateway.brittle.borrow().max_rejections(service)?;
        let catalog = gateway.catalog()?;
        let engine = catalog.service(service)?.engine;
        let daemons = gateway.daemon_count(now).unwrap_or(usize::MAX);
        let loads = gateway.loads.borrow();
        let endpoints =
            directory.of_service(service).map(|(id, _)| id).filter(|id| !loads.is_ejected(id, now));
        Some(BrittleRoom {
            service,
            division: Division::new(endpoints, daemons, gateway.incarnation),
            cache_tokens: engine.map_or(0, |engine| engine.cache_tokens),
            tokens: prompt.map_or(0.0, |prompt| f64::from(prompt.held_tokens())),
        })
    }

    /// Whether an endpoint has room for the request.
    pub(crate) fn admits<A: Adapter>(
        &self,
        gateway: &Gateway<A>,
        endpoint: &str,
        registration: &Registration,
        now: Millis,
    ) -> bool {
        let usage = gateway.loads.borrow().usage(endpoint);
        let part = self.part(endpoint, registration);
        gateway.brittle.borrow().admits(self.service, endpoint, part, usage, self.tokens, now)
    }

    fn part(&self, endpoint: &str, registration: &Registration) -> Part {
        self.division.part(endpoint, registration.slots, self.cache_tokens)
    }
}

/// Records that a request is sent to an endpoint at which this daemon has `usage` in flight.
pub(crate) fn record_send<A: Adapter>(
    gateway: &Gateway<A>,
    service: &str,
    endpoint: &str,
    usage: Usage,
    now: Millis,
) {
    if let Some(part) = own_part(gateway, service, endpoint, now) {
        gateway.brittle.borrow_mut().record_send(service, endpoint, part, usage, now);
    }
}

/// Records that an endpoint rejected a request, while this daemon has `left` in flight there.
pub(crate) fn record_rejection<A: Adapter>(
    gateway: &Gateway<A>,
    service: &str,
    endpoint: &str,
    left: u32,
    now: Millis,
) {
    if let Some(part) = own_part(gateway, service, endpoint, now) {
        gateway.brittle.borrow_mut().record_rejection(service, endpoint, part, left, now);
    }
}

/// Records that an endpoint ran a request, which took `took`.
pub(crate) fn record_success<A: Adapter>(
    gateway: &Gateway<A>,
    service: &str,
    endpoint: &str,
    took: Millis,
    now: Millis,
) {
    if let Some(part) = own_part(gateway, service, endpoint, now) {
        gateway.brittle.borrow_mut().record_success(service, endpoint, part, took, now);
    }
}

/// Records that an endpoint did not respond.
pub(crate) fn record_absence<A: Adapter>(
    gateway: &Gateway<A>,
    service: &str,
    endpoint: &str,
    now: Millis,
) {
    if let Some(part) = own_part(gateway, service, endpoint, now) {
        gateway.brittle.borrow_mut().record_absence(service, endpoint, part, now);
    }
}

/// This daemon's part of a brittle endpoint; `None` if it is not brittle or has left.
fn own_part<A: Adapter>(
    gateway: &Gateway<A>,
    service: &str,
    endpoint: &str,
    now: Millis,
) -> Option<Part> {
    let directory = gateway.directory();
    let registration = directory.get(endpoint)?;
    let room = BrittleRoom::new(gateway, &directory, service, None, now)?;
    Some(room.part(endpoint, registration))
}
