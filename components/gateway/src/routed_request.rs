use bytes::Bytes;
use decision::Millis;
use decision::routing::{Caller, Catalog, Demand, Lane, Prompt, Repeat, Route};
use http::{HeaderMap, Method, Uri};

/// A request of a client, read whole and allowed.
#[derive(Clone, Debug)]
pub(crate) struct RoutedRequest {
    /// The id, for logs and to match answers.
    pub(crate) request_id: Option<String>,
    pub(crate) method: Method,
    /// The path and query.
    pub(crate) target: Uri,
    /// The headers that go on to the endpoint.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: String,
    /// The version of the configuration that allowed the request.
    pub(crate) version: u64,
    pub(crate) service: String,
    pub(crate) account: Option<String>,
    pub(crate) repeat: Repeat,
    pub(crate) streamed: bool,
    pub(crate) attempts: u32,
    pub(crate) priority: u8,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) lane: Lane,
    pub(crate) last_event: Option<String>,
    pub(crate) arrived: Millis,
    /// The time by which the client has its whole answer.
    pub(crate) deadline: Millis,
    /// The time by which the first byte is on time.
    pub(crate) first_byte_due: Millis,
}

impl RoutedRequest {
    /// Returns the id for logs.
    pub(crate) fn id(&self) -> &str {
        self.request_id.as_deref().unwrap_or("-")
    }

    /// Returns what the request asks of an endpoint.
    pub(crate) fn demand(&self, tie_breaker: u64, now: Millis) -> Demand<'_> {
        let prompt = self.prompt.as_ref();
        let wait_budget = self.first_byte_due - now;
        Demand { prompt, lane: self.lane, priority: self.priority, wait_budget, tie_breaker }
    }

    /// Returns the time that is left.
    pub(crate) fn time_left(&self, now: Millis) -> Millis {
        self.deadline - now
    }
}

/// Pause between events that a stream bears on an engine that reads long prompts: an event of five
/// tokens, with a chunk of some 90 ms read between any two.
const BULK_PAUSE_OBJECTIVE: Millis = Millis(400);

/// Returns the lane of requests on a route.
pub(crate) fn lane(route: &Route) -> Lane {
    match route.pause_objective {
        Some(pause) if pause < BULK_PAUSE_OBJECTIVE => Lane::Interactive,
        _ => Lane::Bulk,
    }
}

/// Ranks of routes that a rank of client accounts leaves room for.
const ROUTE_PRIORITIES: u8 = 3;
/// The last rank that endpoints know.
const MAX_PRIORITY: u8 = 9;

/// Returns the rank of a request: that of its client account before that of its route, which
/// still decides among requests of one rank.
pub(crate) fn priority(route: &Route, caller: Caller<'_>) -> u8 {
    let account_priority = match caller {
        Caller::Known(account) => account.priority.unwrap_or(route.priority),
        Caller::Anonymous | Caller::Unknown => route.priority,
    };
    let route_priority = route.priority.min(ROUTE_PRIORITIES - 1);
    account_priority
        .saturating_mul(ROUTE_PRIORITIES)
        .saturating_add(route_priority)
        .min(MAX_PRIORITY)
}

/// Returns the service of a request, chosen by weight from its id.
pub(crate) fn destination<'a>(route: &'a Route, catalog: &Catalog, id: &str) -> Option<&'a str> {
    let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    let name = route.destination((hash ^ (hash >> 32)) & 0xffff_ffff)?;
    catalog.service(name).map(|_| name)
}
