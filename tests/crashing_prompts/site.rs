use crate::platform_objects::{KEY, configuration, registration};
use fakes::{
    Client, CrashStage, CrashingPart, GatewayConfig, GatewayProcess, PlatformEndpoint,
    PlatformStore, ReceivedRequest,
};
use serde_json::json;
use std::iter;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 7;
const ENDPOINTS: usize = 12;
/// The events of a stream; with their interval, a request takes 200 ms.
const EVENTS: u32 = 5;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// The time from a crash to the next incarnation: the shortest on the platform.
const RESTART_AFTER: Duration = Duration::from_secs(3);
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(20);
const KILL_INTERVAL: Duration = Duration::from_secs(3);

/// A data centre with endpoints that crash on prompt parts.
pub struct Site {
    pub gateways: Vec<GatewayProcess>,
    pub registry: Registry,
}

/// The endpoints and their entries in the store.
pub struct Registry {
    store: PlatformStore,
    endpoints: Vec<PlatformEndpoint>,
}

impl Site {
    pub fn start(parts: &[String], stage: CrashStage) -> Site {
        fakes::build_programs().unwrap();
        let store = PlatformStore::start().unwrap();
        store.put("config", "main", configuration(1, &[KEY]));
        let endpoints: Vec<PlatformEndpoint> = (0..ENDPOINTS)
            .map(|n| PlatformEndpoint::start(&format!("i-{n}"), EVENTS, EVENT_INTERVAL).unwrap())
            .collect();
        let crashing =
            |id: &String| CrashingPart { id: id.clone(), stage, restart_after: RESTART_AFTER };
        let parts: Vec<CrashingPart> = parts.iter().map(crashing).collect();
        let registry = Registry { store, endpoints };
        for endpoint in &registry.endpoints {
            endpoint.set_crashing_parts(&parts);
            endpoint.set_gets_new_ids(true);
            registry.register(endpoint);
        }
        let start = |number: usize| {
            let cfg = GatewayConfig { name: format!("front-{number}"), ..GatewayConfig::default() };
            let gateway = GatewayProcess::start(registry.store.address, &cfg).unwrap();
            let event = if number == 0 { "reader_claimed" } else { "peer_followed" };
            gateway.wait_for_log(&[event]).unwrap();
            gateway
        };
        let reader = start(0);
        let gateways: Vec<GatewayProcess> = thread::scope(|scope| {
            let start = &start;
            let threads: Vec<_> =
                (1..GATEWAYS).map(|number| scope.spawn(move || start(number))).collect();
            let followers = threads.into_iter().map(|thread| thread.join().unwrap());
            iter::once(reader).chain(followers).collect()
        });
        for gateway in &gateways {
            let count = format!("\"count\":{GATEWAYS}}}");
            gateway.wait_for_log(&["daemons_counted", &count]).unwrap();
        }
        Site { gateways, registry }
    }

    /// Log lines of all gateways about crashes and refusals, the first and the last `limit` of each kind.
    pub fn log_lines(&self, limit: usize) -> String {
        let mut lines = Vec::new();
        for event in ["crash_reported", "refused"] {
            let word = format!("\"event\":\"{event}\"");
            let mut found: Vec<String> =
                self.gateways.iter().flat_map(|gateway| gateway.log_with(&[&word])).collect();
            // They begin with their time.
            found.sort();
            lines.push(format!("{} lines {event}", found.len()));
            let last = found.split_off(limit.min(found.len()));
            lines.extend(found);
            lines.extend_from_slice(&last[last.len().saturating_sub(limit)..]);
        }
        lines.join("\n")
    }
}

impl Registry {
    fn register(&self, endpoint: &PlatformEndpoint) {
        let mut entry = registration(endpoint, "ready", 1);
        entry["born"] = json!(endpoint.restarts() + 1);
        self.store.put("servers", &endpoint.current_id(), entry);
    }

    /// Registers endpoints that restarted, in place of their former incarnations.
    pub fn follow_restarts(&self, end: Instant) {
        let mut ids: Vec<String> = self.endpoints.iter().map(|e| e.id.clone()).collect();
        while Instant::now() < end {
            for (id, endpoint) in ids.iter_mut().zip(&self.endpoints) {
                let current = endpoint.current_id();
                if *id != current {
                    self.store.delete("servers", id);
                    self.register(endpoint);
                    *id = current;
                }
            }
            sleep(REGISTRATION_INTERVAL);
        }
    }

    /// The requests with a prompt part that endpoints received, in their order of arrival.
    pub fn requests_with(&self, part: &str) -> Vec<ReceivedRequest> {
        let requests = self.endpoints.iter().flat_map(PlatformEndpoint::received_requests);
        let has_part = |request: &ReceivedRequest| {
            let parts = request.message.header("x-chervilspur-prompt-prefix").split(',');
            parts.filter_map(|text| text.split_once(':')).any(|(id, _)| id == part)
        };
        let mut requests: Vec<ReceivedRequest> = requests.filter(has_part).collect();
        requests.sort_by_key(|request| request.arrived);
        requests
    }
}

/// Kills one gateway after the other, and starts it again at once. `set_in_service` takes it out of
/// service until it is ready.
pub fn kill_in_turn(
    gateways: &mut [GatewayProcess],
    end: Instant,
    set_in_service: impl Fn(&GatewayProcess, bool),
) {
    for number in (0..gateways.len()).cycle() {
        sleep(KILL_INTERVAL);
        if Instant::now() > end {
            return;
        }
        let gateway = &mut gateways[number];
        gateway.restart("KILL").unwrap();
        set_in_service(gateway, false);
        gateway.wait_for(|| is_ready(gateway), "the restarted gateway is ready").unwrap();
        set_in_service(gateway, true);
    }
}

fn is_ready(gateway: &GatewayProcess) -> bool {
    let response = Client::connect(gateway.ready).and_then(|mut client| {
        client.send(b"GET /readiness HTTP/1.1\r\nHost: model.example\r\n\r\n")?;
        client.read_response()
    });
    response.is_ok_and(|response| response.message.status() == 200)
}
