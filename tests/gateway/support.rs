use fakes::{
    Client, ClientResponse, GatewayConfig, GatewayProcess, PlatformEndpoint, PlatformStore,
};
use serde_json::{Value, json};
use std::sync::Once;
use std::time::Duration;

/// The key of the client account that the tests use.
pub const KEY: &str = "key-of-north";

/// A store, two endpoints and a gateway.
pub struct Site {
    pub store: PlatformStore,
    pub runners: Vec<PlatformEndpoint>,
    pub gateway: GatewayProcess,
}

/// A route to the service `pool` in the platform's format.
pub fn route(name: &str, kind: &str, attempts: u32, resumable: bool) -> Value {
    json!({
        "name": name, "host": "model.example", "path_prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": 4000, "objective_ms": 1000, "priority": 1, "service": "pool",
        "attempts": attempts, "anonymous": false, "resumable": resumable,
    })
}

/// A configuration with each kind of route, in the platform's format.
pub fn configuration(version: u64, keys: &[&str]) -> Value {
    let open = {
        let mut open = route("open", "safe", 2, false);
        open["anonymous"] = json!(true);
        open
    };
    json!({
        "version": version,
        "routes": [
            route("safe", "safe", 2, false), route("once", "unsafe", 2, false), open,
            route("stream", "stream", 2, true), route("fixed", "stream", 2, false),
        ],
        "services": [{ "name": "pool", "connection_limit": 100 }],
        "limits": {
            "header_bytes": 16384, "body_bytes": 1000, "header_ms": 1000, "idle_ms": 3000,
        },
        "tenants": [{ "name": "north", "api_keys": keys }],
    })
}

/// The registration of an endpoint, in the platform's format.
pub fn registration(runner: &PlatformEndpoint, state: &str, heartbeats: u64) -> Value {
    json!({
        "service": "pool", "address": runner.address.to_string(), "zone": "a",
        "version": runner.software_version(), "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": heartbeats, "born": 1,
    })
}

fn build_once() {
    static BUILT: Once = Once::new();
    BUILT.call_once(|| fakes::build_programs().unwrap());
}

impl Site {
    pub fn start() -> Site {
        Site::with(&GatewayConfig::default(), 5, Duration::from_millis(5))
    }

    /// Starts a site whose endpoints stream `events` events, `pause` apart.
    pub fn with(terms: &GatewayConfig, events: u32, pause: Duration) -> Site {
        build_once();
        let store = PlatformStore::start().unwrap();
        store.put("config", "main", configuration(1, &[KEY]));
        let start = |id: &str| PlatformEndpoint::start(id, events, pause).unwrap();
        let runners = vec![start("i-1"), start("i-2")];
        for runner in &runners {
            store.put("servers", &runner.id, registration(runner, "ready", 1));
        }
        let gateway = GatewayProcess::start(store.address, terms).unwrap();
        gateway.wait_for_log(&["configuration_in_force"]).unwrap();
        gateway.wait_for_log(&["endpoint_joined", "i-2"]).unwrap();
        // The retry budget is divided by the number of daemons, so it is small until that is known.
        gateway.wait_for_log(&["daemons_counted"]).unwrap();
        Site { store, runners, gateway }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.gateway.address).unwrap()
    }

    /// Sends a request on a new connection.
    pub fn send_request(&self, target: &str, id: &str) -> ClientResponse {
        let mut client = self.client();
        client.send_request(target, id, KEY, "body").unwrap();
        client.read_response().unwrap()
    }

    /// How often the endpoints ran a request.
    pub fn runs(&self, id: &str) -> usize {
        let received_requests = self.runners.iter().flat_map(PlatformEndpoint::received_requests);
        received_requests
            .filter(|a| a.ran && a.message.header("x-chervilspur-attempt-id") == id)
            .count()
    }
}

/// The response body as text.
pub fn text(response: &ClientResponse) -> String {
    String::from_utf8_lossy(&response.message.body).into_owned()
}
