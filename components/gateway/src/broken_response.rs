use crate::adapter::Adapter;
use crate::clock::now;
use crate::connection::{Connection, ConnectionError};
use crate::contents::{content_list, has_evidence};
use crate::gateway::Gateway;
use crate::in_flight::InFlightRequest;
use crate::log::LineKind;
use crate::notices::{publish_crash, record_completion};
use crate::routed_request::RoutedRequest;
use decision::Millis;
use decision::routing::{Content, Prompt};
use messages::feed::CrashNotice;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Connect timeout: several round trips between regions. An endpoint that does not answer within it
/// is not known to have crashed.
const CONNECT_TIMEOUT: Millis = Millis(300);

/// Time from the head of a response within which a prompt that crashes endpoints does so.
const MAX_RESPONSE_TIME: Millis = Millis(1_000);

/// Maximum number of prompt parts that are reported; prompts have a few.
const MAX_PARTS: usize = 32;

/// A response that its endpoint broke off, before or after the head.
#[derive(Debug)]
pub(crate) struct BrokenResponse {
    request: String,
    route: String,
    service: String,
    endpoint: String,
    address: SocketAddr,
    /// The ids of the prompt parts.
    parts: Vec<u64>,
    /// The digest of the whole request.
    digest: u64,
    has_head: bool,
    sent_at: Millis,
    broken_at: Millis,
}

impl BrokenResponse {
    /// Describes a response that broke off at `broken_at`; `None` if the endpoint had responded for
    /// so long that the request did not crash it.
    pub(crate) fn new<A: Adapter>(
        request: &RoutedRequest,
        in_flight: &InFlightRequest<A>,
        address: SocketAddr,
        broken_at: Millis,
    ) -> Option<BrokenResponse> {
        let began_at = in_flight.first_byte_at();
        if began_at.is_some_and(|began_at| broken_at.since(began_at) > MAX_RESPONSE_TIME) {
            return None;
        }
        Some(BrokenResponse {
            request: request.id().to_owned(),
            route: request.route.clone(),
            service: request.service.clone(),
            endpoint: in_flight.endpoint().to_owned(),
            address,
            parts: request.prompt.as_ref().map(reported_parts).unwrap_or_default(),
            digest: request.digest(),
            has_head: began_at.is_some(),
            sent_at: in_flight.sent_at(),
            broken_at,
        })
    }

    /// Finds out whether the endpoint has crashed, and publishes it. Returns the result.
    pub(crate) async fn investigate<A: Adapter>(self, gateway: &Rc<Gateway<A>>) -> bool {
        let has_crashed = has_crashed(self.address).await;
        self.log(gateway, has_crashed);
        let has_fallen =
            gateway.brittle.borrow().may_have_fallen(&self.service, &self.endpoint, self.broken_at);
        if has_crashed && !has_fallen {
            let ran_ms = self.broken_at.since(self.sent_at).0;
            let request = Some(self.digest);
            let has_begun = self.has_head;
            let BrokenResponse { service, endpoint, parts, .. } = self;
            let proven = gateway.quarantine.borrow().proven_parts(&service, &parts, now());
            let crash =
                CrashNotice { service, endpoint, parts, proven, request, has_begun, ran_ms };
            publish_crash(gateway, crash);
        }
        has_crashed
    }

    /// Records in the background that the request was completed, unless the endpoint has crashed.
    pub(crate) fn spawn_completion_check<A: Adapter>(
        self,
        gateway: &Rc<Gateway<A>>,
        request: RoutedRequest,
    ) {
        let gateway = gateway.clone();
        spawn_local(async move {
            if !self.investigate(&gateway).await {
                record_completion(&gateway, &request);
            }
        });
    }

    /// Investigates; in the background unless there is evidence already by which the request may be
    /// kept from further endpoints.
    pub(crate) async fn investigate_before_retry<A: Adapter>(
        self,
        gateway: &Rc<Gateway<A>>,
        request: &RoutedRequest,
    ) {
        if has_evidence(gateway, request) {
            self.investigate(gateway).await;
        } else {
            self.spawn_investigation(gateway);
        }
    }

    /// Investigates in the background.
    pub(crate) fn spawn_investigation<A: Adapter>(self, gateway: &Rc<Gateway<A>>) {
        let gateway = gateway.clone();
        spawn_local(async move { self.investigate(&gateway).await });
    }

    fn log<A: Adapter>(&self, gateway: &Gateway<A>, has_crashed: bool) {
        if !gateway.log_quota.borrow_mut().admits(LineKind::Failure, now()) {
            return;
        }
        let parts: Vec<Content> = self.parts.iter().copied().map(Content::Part).collect();
        tracing::info!(
            event = "response_broken",
            request = %self.request,
            route = %self.route,
            endpoint = %self.endpoint,
            has_crashed,
            parts = content_list(&parts),
            content = %Content::Request(self.digest),
            has_head = self.has_head,
            ran_ms = self.broken_at.since(self.sent_at).0,
        );
    }
}

/// The first parts of a prompt; more than [`MAX_PARTS`] are not reported.
fn reported_parts(prompt: &Prompt) -> Vec<u64> {
    let mut parts = prompt.part_ids();
    parts.truncate(MAX_PARTS);
    parts
}

/// Whether nothing listens at the address. An endpoint that only cut or reset a connection still
/// listens, and one that is unreachable does not answer.
async fn has_crashed(address: SocketAddr) -> bool {
    match Connection::open(address, CONNECT_TIMEOUT).await {
        Err(ConnectionError::Connect { source, .. }) => {
            matches!(source.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset)
        }
        _ => false,
    }
}
