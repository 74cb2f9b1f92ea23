use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Says how often a request may run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Any number of runs is harmless.
    #[default]
    Idempotent,
    /// The request runs at most once.
    Once,
    /// One run at most, but a run that broke off may be continued at another endpoint.
    Resumable,
}

impl Repeat {
    /// Returns whether a second endpoint may get a request that a first may have run.
    pub fn may_run_again(self) -> bool {
        self != Repeat::Once
    }
}

/// One destination of a route.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Destination {
    /// The service.
    pub service: String,
    /// The share of the requests relative to the other destinations.
    pub weight: u32,
}

/// Where requests of one host and path prefix go, and what they may take.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Route {
    /// The name, for logs and metrics.
    pub name: String,
    /// The host that clients name.
    pub host: String,
    /// The prefix of the path; it begins and ends with a slash.
    pub path_prefix: String,
    /// How often a request may run.
    pub repeat: Repeat,
    /// Whether answers are streams of events.
    pub streamed: bool,
    /// The longest time to a whole answer.
    pub timeout: Millis,
    /// The time to the first event, or to the answer, that the clients count on.
    pub objective: Millis,
    /// The longest pause between two events that the clients count on.
    pub pause_objective: Option<Millis>,
    /// The most endpoints that one request may be sent to.
    pub attempts: u32,
    /// The rank; 0 is served first.
    pub priority: u8,
    /// Whether clients need no key.
    pub anonymous: bool,
    /// The services that share the requests.
    pub destinations: Vec<Destination>,
}

impl Route {
    /// Returns the service for a request whose hash is `hash`, by weight.
    pub fn destination(&self, hash: u64) -> Option<&str> {
        let total: u64 = self.destinations.iter().map(|d| u64::from(d.weight)).sum();
        let mut left = hash.checked_rem(total)?;
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if left < weight {
                return Some(&destination.service);
            }
            left -= weight;
        }
        None
    }
}

/// What a model engine can hold.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineSize {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens of running requests and cached prompts together.
    pub cache_tokens: u64,
    /// Prompt tokens that it can fetch from another engine in a millisecond; 0 if it cannot.
    pub fetch_rate: u32,
}

/// A group of endpoints that serve the same requests.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Service {
    /// The name.
    pub name: String,
    /// The most connections that one endpoint takes from all daemons together.
    pub connection_limit: u32,
    /// The size of each model engine; nothing for a plain service.
    pub engine: Option<EngineSize>,
}

/// A client account and its keys.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Account {
    /// The name that endpoints are told.
    pub name: String,
    /// The keys.
    pub keys: Vec<String>,
    /// A rank that goes before that of the route.
    pub priority: Option<u8>,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ClientLimits {
    /// The largest request head, in bytes.
    pub header_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The longest time from the first byte of a head to its last.
    pub header_time: Millis,
    /// The longest time that a connection stays open without a request.
    pub idle_time: Millis,
}

impl Default for ClientLimits {
    /// Limits until a configuration is known: those of common HTTP servers.
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
    /// The version; it only grows.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The client accounts; nothing when no request needs a key.
    pub accounts: Option<Vec<Account>>,
    /// The limits on clients.
    pub limits: ClientLimits,
}

/// The client account of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Caller<'a> {
    /// The route or the configuration asks for no key.
    Anonymous,
    /// The key belongs to this account.
    Known(&'a Account),
    /// No account has the key, or there is none.
    Unknown,
}

/// A configuration with the indexes that requests are looked up in.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    configuration: Configuration,
    by_host: BTreeMap<String, BTreeMap<String, usize>>,
    by_key: BTreeMap<String, usize>,
}

impl Catalog {
    /// Indexes a configuration.
    pub fn new(configuration: Configuration) -> Catalog {
        let mut by_host: BTreeMap<String, BTreeMap<String, usize>> = BTreeMap::new();
        for (at, route) in configuration.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().insert(route.path_prefix.clone(), at);
        }
        let mut by_key = BTreeMap::new();
        for (at, account) in configuration.accounts.iter().flatten().enumerate() {
            by_key.extend(account.keys.iter().map(|key| (key.clone(), at)));
        }
        Catalog { configuration, by_host, by_key }
    }

    /// Returns the configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the route of the host with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.by_host.get(&host.to_ascii_lowercase())?;
        path.rmatch_indices('/')
            .find_map(|(end, _)| prefixes.get(&path[..=end]))
            .map(|at| &self.configuration.routes[*at])
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
            Some(at) => Caller::Known(&accounts[*at]),
            None => Caller::Unknown,
        }
    }
}
