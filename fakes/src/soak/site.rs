use crate::check::{check, check_lines};
use crate::clients::{KEY, TARGETS, ask};
use crate::faults::{Fault, draw};
use fakes::{
    GatewayConfig, GatewayProcess, Link, PlatformEndpoint, PlatformStore, Proxy, StoreMode,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ENDPOINTS: usize = 3;
const EVENTS: u32 = 6;
/// Pause between two events of a stream.
const PAUSE: Duration = Duration::from_millis(4);
/// Time after the last fault in which the gateways recover.
const RECOVERY: Duration = Duration::from_secs(12);

fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, resumable: bool| {
        json!({
            "name": name, "host": "model.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": 3000, "objective_ms": 1000, "priority": 1,
            "service": "pool", "attempts": 2, "anonymous": name == "open",
            "resumable": resumable,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("once", "unsafe", false), route("safe", "safe", false),
            route("open", "safe", false), route("fixed", "stream", false),
            route("stream", "stream", true),
        ],
        "services": [{ "name": "pool", "connection_limit": 100 }],
        "limits": {
            "header_bytes": 16384, "body_bytes": 4096, "header_ms": 1000, "idle_ms": 5000,
        },
        "tenants": [{ "name": "north", "api_keys": [KEY] }],
    })
}

struct Site {
    store: PlatformStore,
    store_link: Proxy,
    runners: Vec<PlatformEndpoint>,
    links: Vec<Proxy>,
    gateways: Vec<GatewayProcess>,
    version: u64,
    killed: Vec<Instant>,
}

impl Site {
    fn start(gateways: usize) -> io::Result<Site> {
        let store = PlatformStore::start()?;
        let store_link = Proxy::start(store.address)?;
        store.put("config", "main", configuration(1));
        let mut runners = Vec::new();
        let mut links = Vec::new();
        for number in 0..ENDPOINTS {
            let runner = PlatformEndpoint::start(&format!("i-{number}"), EVENTS, PAUSE)?;
            let link = Proxy::start(runner.address)?;
            let registration = json!({
                "service": "pool", "address": link.address.to_string(), "zone": "a",
                "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                "sequence": 1, "born": 1,
            });
            store.put("servers", &runner.id, registration);
            runners.push(runner);
            links.push(link);
        }
        let start = |number: usize| {
            let terms = GatewayConfig { name: format!("front-{number}"), ..Default::default() };
            GatewayProcess::start(store_link.address, &terms)
        };
        let gateways = (0..gateways).map(start).collect::<io::Result<Vec<_>>>()?;
        for gateway in &gateways {
            gateway.wait_for_log(&["daemons_counted"])?;
        }
        Ok(Site { store, store_link, runners, links, gateways, version: 1, killed: Vec::new() })
    }

    fn strike(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Endpoint(number, behaviour) => self.runners[number].set_behaviour(behaviour),
            Fault::Link(number, link) => self.links[number].set(link),
            Fault::Store(mode) => self.store.set_mode(mode),
            Fault::StoreLink(link) => self.store_link.set(link),
            Fault::Pause(number) => self.gateways[number].signal("STOP")?,
            Fault::Continue(number) => self.gateways[number].signal("CONT")?,
            Fault::Kill(number) => {
                self.killed.push(Instant::now());
                self.gateways[number].restart("KILL")?;
            }
            Fault::Terminate(number) => self.gateways[number].restart("TERM")?,
            Fault::Configure => {
                self.version += 1;
                self.store.put("config", "main", configuration(self.version));
            }
        }
        Ok(())
    }

    fn heal(&mut self) -> io::Result<()> {
        self.runners.iter().for_each(|runner| runner.set_behaviour(Default::default()));
        self.links.iter().for_each(|link| link.set(Link::Healthy));
        self.store.set_mode(StoreMode::Up);
        self.store_link.set(Link::Healthy);
        self.gateways.iter().try_for_each(|gateway| gateway.signal("CONT"))
    }
}

/// Runs one seed; returns a summary, or what broke.
pub fn soak(seed: u64, seconds: u64, gateways: usize, clients: usize) -> Result<String, String> {
    let mut site = Site::start(gateways).map_err(|e| e.to_string())?;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let faults = draw(&mut rng, seconds * 1_000, gateways, ENDPOINTS);
    let addresses: Vec<SocketAddr> = site.gateways.iter().map(|g| g.address).collect();
    let stop = AtomicBool::new(false);
    let (struck, seen) = thread::scope(|scope| {
        let askers: Vec<_> = (0..clients)
            .map(|number| {
                let (addresses, stop) = (&addresses, &stop);
                scope.spawn(move || ask(number, seed, addresses, stop))
            })
            .collect();
        let struck = strike_all(&mut site, &faults);
        stop.store(true, Ordering::SeqCst);
        let seen: Vec<_> =
            askers.into_iter().flat_map(|asker| asker.join().unwrap_or_default()).collect();
        (struck, seen)
    });
    struck.map_err(|e| e.to_string())?;
    recover(&mut site, &addresses, seed)?;
    let summary = check(&seen, &site.runners, EVENTS)?;
    let log: Vec<String> = site.gateways.iter().flat_map(GatewayProcess::log).collect();
    let refusals = check_lines(&seen, &log, &site.killed)?;
    Ok(format!("{summary}, {refusals} refusals explained, {} faults", faults.len()))
}

fn strike_all(site: &mut Site, faults: &[(u64, Fault)]) -> io::Result<()> {
    let started = Instant::now();
    for (at, fault) in faults {
        let at = Duration::from_millis(*at);
        thread::sleep(at.saturating_sub(started.elapsed()));
        site.strike(*fault)?;
    }
    Ok(())
}

/// Checks that every path is served again once all faults are over.
fn recover(site: &mut Site, gateways: &[SocketAddr], seed: u64) -> Result<(), String> {
    site.heal().map_err(|e| e.to_string())?;
    let end = Instant::now() + RECOVERY;
    for (number, address) in gateways.iter().enumerate() {
        for (target, _) in TARGETS {
            while !is_served(*address, target, seed) {
                if Instant::now() > end {
                    let log = site.gateways[number].log();
                    let last = log[log.len().saturating_sub(12)..].join("\n");
                    return Err(format!("{target} at gateway {number} did not recover:\n{last}"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
    }
    Ok(())
}

fn is_served(gateway: SocketAddr, target: &str, seed: u64) -> bool {
    let asked = fakes::Client::connect(gateway).and_then(|mut client| {
        client.send_request(target, &format!("recovery-{seed}"), KEY, "")?;
        client.read_response()
    });
    asked.is_ok_and(|answer| answer.message.status() == 200 && answer.is_complete)
}
