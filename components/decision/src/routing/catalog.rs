use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How many times a request may run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// The request may run any number of times.
    #[default]
    Idempotent,
    /// The request runs at most once.
    Once,
    /// The request runs at most once, but an interrupted run may be continued at another endpoint.
    Resumable,
}

impl Repeat {
    /// Returns whether a request that may have run at one endpoint may be sent to another.
    pub fn may_run_again(self) -> bool {
        self != Repeat::Once
    }
}

/// One destination of a route.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Destination {
    /// The name of the service.
    pub service: String,
    /// The share of the requests, relative to the weights of the other destinations.
    pub weight: u32,
}

/// The destinations and limits of requests with one host and path prefix.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Route {
    /// The name, for logs and metrics.
    pub name: String,
    /// The host that requests name, compared without regard to case.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// How many times a request may run.
    pub repeat: Repeat,
    /// Whether responses are event streams.
    pub streamed: bool,
    /// The maximum time to the end of a response.
    pub timeout: Millis,
    /// The objective for the time to the first event, or to the response if it is not streamed.
    pub objective: Millis,
    /// The objective for the longest pause between two events.
    pub pause_objective: Option<Millis>,
    /// The maximum number of endpoints that one request may be sent to.
    pub attempts: u32,
    /// The priority; 0 is served first.
    pub priority: u8,
    /// Whether requests are accepted without a key.
    pub anonymous: bool,
    /// The services among which the requests are divided.
    pub destinations: Vec<Destination>,
}

impl Route {
    /// Selects the service for a request with this hash, by weight; `None` if all weights are 0.
    pub fn destination(&self, hash: u64) -> Option<&str> {
        let total: u64 = self.destinations.iter().map(|d| u64::from(d.weight)).sum();
        let mut remaining = hash.checked_rem(total)?;
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if remaining < weight {
                return Some(&destination.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// The capacity of a model engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineSize {
    /// The maximum number of requests that run concurrently.
    pub slots: u32,
    /// KV cache tokens, for running requests and cached prompts together.
    pub cache_tokens: u64,
    /// Cached prompt tokens that it can fetch from another engine per millisecond; 0 if it cannot.
    pub fetch_rate: u32,
    /// Tokens in one event of a response stream; 0 if unknown.
    pub event_tokens: u32,
}

/// How many endpoints of a service the platform runs on order, and what they cost.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Scaling {
    /// The minimum number of endpoints in each data centre, spot endpoints included.
    pub minimum: u32,
    /// The maximum number of endpoints in each data centre, spot endpoints included.
    pub maximum: u32,
    /// The time from the order of an endpoint until it serves.
    pub boot: Millis,
    /// The price of a spot endpoint as a share of that of an ordinary one; `None` if there are none.
    pub spot_price: Option<f64>,
    /// The price of an endpoint-second by data centre.
    pub data_centre_prices: BTreeMap<String, f64>,
}

/// A group of endpoints that serve the same requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Service {
    /// The name.
    pub name: String,
    /// The maximum number of connections to one endpoint, from all daemons together.
    pub connection_limit: u32,
    /// The capacity of each of its engines; `None` for a plain service.
    pub engine: Option<EngineSize>,
    /// The orders of endpoints; `None` if their number is not ours to choose.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub scaling: Option<Scaling>,
}

/// A client account and its keys.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Account {
    /// The name that is sent to endpoints.
    pub name: String,
    /// The keys that authenticate its requests.
    pub keys: Vec<String>,
    /// Overrides the priority of the route.
    pub priority: Option<u8>,
}

/// Limits on the requests and connections of clients.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ClientLimits {
    /// The maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum time from the first byte of a request head to its last.
    pub header_time: Millis,
    /// The maximum time that a connection stays open without a request.
    pub idle_time: Millis,
}

impl Default for ClientLimits {
    /// Limits of common HTTP servers, used until a configuration is loaded.
    fn default() -> ClientLimits {
        ClientLimits {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_time: Millis(3_000),
            idle_time: Millis(15_000),
        }
    }
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Configuration {
    /// The version; increases with each change.
    pub version: u64,
    /// The routes by host and path prefix.
    pub routes: Vec<Route>,
    /// The services that routes refer to by name.
    pub services: Vec<Service>,
    /// The client accounts; `None` if no request needs a key.
    pub accounts: Option<Vec<Account>>,
    /// The limits that apply to every client.
    pub limits: ClientLimits,
}

/// The client account that a request belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Caller<'a> {
    /// The route or the configuration requires no key.
    Anonymous,
    /// The key belongs to this account.
    Known(&'a Account),
    /// The request has no key, or no account has that key.
    Unknown,
}

/// A configuration with indexes of its routes by host and path and of its accounts by key.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    configuration: Configuration,
    by_host: BTreeMap<String, BTreeMap<String, usize>>,
    by_key: BTreeMap<String, usize>,
}

impl Catalog {
    /// Builds the indexes. Of two routes with the same host and prefix, the later one is used.
    pub fn new(configuration: Configuration) -> Catalog {
        let mut by_host: BTreeMap<String, BTreeMap<String, usize>> = BTreeMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().insert(route.path_prefix.clone(), index);
        }
        let mut by_key = BTreeMap::new();
        for (index, account) in configuration.accounts.iter().flatten().enumerate() {
            by_key.extend(account.keys.iter().map(|key| (key.clone(), index)));
        }
        Catalog { configuration, by_host, by_key }
    }

    /// Returns the configuration that the catalog was built from.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the route of the host with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.by_host.get(&host.to_ascii_lowercase())?;
        path.rmatch_indices('/')
            .find_map(|(end, _)| prefixes.get(&path[..=end]))
            .map(|index| &self.configuration.routes[*index])
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.configuration.services.iter().find(|service| service.name == name)
    }

    /// Returns the client account that a request on `route` belongs to.
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller<'_> {
        let Some(accounts) = &self.configuration.accounts else {
            return Caller::Anonymous;
        };
        if route.anonymous {
            return Caller::Anonymous;
        }
        match key.and_then(|key| self.by_key.get(key)) {
            Some(index) => Caller::Known(&accounts[*index]),
            None => Caller::Unknown,
        }
    }
}
