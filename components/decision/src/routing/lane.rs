use super::catalog::{Catalog, Route};
use crate::Millis;

/// The group of engines of a service that a request prefers.
///
/// An engine prefills prompts in chunks between decoding steps of the running requests, so
/// consecutive long prompts pause each running stream for several chunks. Streams that allow only
/// short pauses therefore run on separate engines.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Lane {
    /// Requests that tolerate the pauses caused by long prompts.
    #[default]
    Bulk,
    /// Streams that allow only short pauses between events.
    Interactive,
}

/// Time per token on an engine that prefills long prompts without a break, in milliseconds: a
/// prefill chunk and a decoding step.
const TOKEN_TIME_DURING_PREFILL_MS: u64 = 96;
/// A route is interactive only if its pause objective is at most this fraction of the longest one
/// of its service; routes with closer objectives share the bulk lane.
const INTERACTIVE_PAUSE_DIVISOR: u64 = 3;

impl Catalog {
    /// Returns the lane of a route's requests to a service: interactive if continuous prefill would
    /// exceed its pause objective between two events, and other routes of the service tolerate much
    /// longer pauses; bulk otherwise or without an objective.
    pub fn lane(&self, route: &Route, service: &str) -> Lane {
        let event_tokens =
            self.service(service).and_then(|s| s.engine).map_or(0, |engine| engine.event_tokens);
        let bulk_pause = Millis(u64::from(event_tokens.max(1)) * TOKEN_TIME_DURING_PREFILL_MS);
        let routes = self.configuration().routes.iter();
        let of_service = routes.filter(|r| r.destinations.iter().any(|d| d.service == service));
        let longest = of_service.filter_map(|r| r.pause_objective).max();
        match (route.pause_objective, longest) {
            (Some(pause), Some(longest))
                if pause < bulk_pause && pause.0 * INTERACTIVE_PAUSE_DIVISOR <= longest.0 =>
            {
                Lane::Interactive
            }
            _ => Lane::Bulk,
        }
    }
}
