use bytes::Bytes;
use decision::Millis;
use decision::routing::{
    Caller, Catalog, Demand, Lane, Prompt, QueueKey, Repeat, Route, SoftwareVersion, StreamKey,
    WaitLimits, request_digest,
};
use http::{HeaderMap, Method, Uri};
use std::cell::{Cell, OnceCell};
use std::collections::BTreeSet;
use std::rc::Rc;

/// An authorized client request with its complete body and the service that it is sent to.
#[derive(Clone, Debug)]
pub(crate) struct RoutedRequest {
    /// The id, for logs and to match responses.
    pub(crate) request_id: Option<String>,
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: Uri,
    /// The headers that are forwarded to the endpoint.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: String,
    /// The version of the configuration that authorized the request.
    pub(crate) version: u64,
    pub(crate) service: String,
    pub(crate) account: Option<String>,
    /// The key of the client, for a daemon to which the request is passed on.
    pub(crate) key: Option<String>,
    /// Whether another daemon passed the request on.
    pub(crate) is_relayed: bool,
    pub(crate) repeat: Repeat,
    pub(crate) streamed: bool,
    pub(crate) max_attempts: u32,
    pub(crate) priority: u8,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) lane: Lane,
    pub(crate) last_event: Option<String>,
    /// The id of the request that brought the first event of the stream that the client continues.
    pub(crate) resumes: Option<String>,
    /// The software version at which a stream that has events must go on.
    pub(crate) origin: Option<SoftwareVersion>,
    /// Time after which the client no longer waits for the end of a stream, whatever the route allows.
    pub(crate) client_leaves: Millis,
    /// Whether an endpoint or another daemon may have run the request so far.
    pub(crate) may_have_run: Rc<Cell<bool>>,
    /// Whether it is among the requests of its account that began to run.
    pub(crate) is_counted: Rc<Cell<bool>>,
    /// Computed when it is first needed.
    pub(crate) digest: OnceCell<u64>,
    pub(crate) arrived: Millis,
    /// Time by which the complete response must be sent.
    pub(crate) deadline: Millis,
    /// Time by which the first byte meets the route's objective.
    pub(crate) first_byte_due: Millis,
}

impl RoutedRequest {
    /// The id for logs, or a dash.
    pub(crate) fn id(&self) -> &str {
        self.request_id.as_deref().unwrap_or("-")
    }

    /// The digest by which repetitions of the request are recognized.
    pub(crate) fn digest(&self) -> u64 {
        *self.digest.get_or_init(|| {
            let target = self.target.path_and_query().map_or("", |target| target.as_str());
            let account = self.account.as_deref();
            let parts = self.prompt.as_ref().map(Prompt::part_ids).unwrap_or_default();
            request_digest(self.method.as_str(), target, account, &parts, &self.body)
        })
    }

    /// The demand for placement.
    pub(crate) fn demand(&self, wait_budget: Millis, tie_breaker: u64) -> Demand<'_> {
        Demand {
            prompt: self.prompt.as_ref(),
            lane: self.lane,
            priority: self.priority,
            wait_budget,
            is_repeatable: self.repeat.may_run_again() && self.max_attempts > 1,
            tie_breaker,
        }
    }

    /// The limits of the wait for the next attempt; `tried` contains the endpoints of all attempts
    /// before it.
    pub(crate) fn wait_limits(&self, tried: &BTreeSet<String>, now: Millis) -> WaitLimits {
        if tried.is_empty() {
            WaitLimits::first_attempt(self.arrived, self.first_byte_due)
        } else {
            WaitLimits::further_attempt(now, self.deadline)
        }
    }

    /// The queue in which the request waits for an endpoint.
    pub(crate) fn queue_key(&self) -> QueueKey {
        let software_version = self.origin.as_ref().map(|origin| origin.version.clone());
        QueueKey { service: self.service.clone(), lane: self.lane, software_version }
    }

    /// The key of the stream that the request begins or continues; `None` without a request id.
    pub(crate) fn stream_key(&self) -> Option<StreamKey> {
        let continued = self.resumes.as_ref().filter(|_| self.last_event.is_some());
        let id = continued.or(self.request_id.as_ref())?;
        Some(StreamKey::new(self.account.as_deref(), id))
    }

    /// Time left until the deadline.
    pub(crate) fn time_left(&self, now: Millis) -> Millis {
        self.deadline - now
    }
}

/// Number of route priorities within each priority of client accounts.
const ROUTE_PRIORITIES: u8 = 3;
/// The lowest priority that endpoints accept; 0 is the highest.
const LOWEST_PRIORITY: u8 = 9;

/// The priority of a request: that of its client account, and within it that of its route.
pub(crate) fn priority(route: &Route, caller: Caller<'_>) -> u8 {
    let account_priority = match caller {
        Caller::Known(account) => account.priority.unwrap_or(route.priority),
        Caller::Anonymous | Caller::Unknown => route.priority,
    };
    let route_priority = route.priority.min(ROUTE_PRIORITIES - 1);
    account_priority
        .saturating_mul(ROUTE_PRIORITIES)
        .saturating_add(route_priority)
        .min(LOWEST_PRIORITY)
}

/// The service of a request, selected by weight from a hash of its id.
pub(crate) fn destination<'a>(route: &'a Route, catalog: &Catalog, id: &str) -> Option<&'a str> {
    let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    let name = route.destination((hash ^ (hash >> 32)) & 0xffff_ffff)?;
    catalog.service(name).map(|_| name)
}
