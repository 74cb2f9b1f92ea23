pub use crate::platform_objects::{KEY, configuration, registration};
use fakes::{
    Client, ClientResponse, GatewayConfig, GatewayProcess, PlatformEndpoint, PlatformStore,
};
use std::sync::Once;
use std::time::Duration;

/// A store, two endpoints and a gateway.
pub struct Site {
    pub store: PlatformStore,
    pub runners: Vec<PlatformEndpoint>,
    pub gateway: GatewayProcess,
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
        Site::with_store(terms, events, pause, |_| {})
    }

    /// Starts a site in whose store there are further objects before the gateway starts.
    pub fn with_store(
        terms: &GatewayConfig,
        events: u32,
        pause: Duration,
        fill: impl FnOnce(&PlatformStore),
    ) -> Site {
        build_once();
        let store = PlatformStore::start().unwrap();
        fill(&store);
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
