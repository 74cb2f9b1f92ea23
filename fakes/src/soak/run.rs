use crate::check::{check_observations, check_refusal_lines};
use crate::clients::{CRASHING_BODY, CRASHING_PART, KEY, Load, TARGETS, run_client};
use crate::contact::AppliedFault;
use crate::cuts::{CUT_GATEWAY, OwnPaths, count_relayed, generate_cuts};
use crate::departures::{check_departures, generate_departures};
use crate::faults::{Fault, ScheduledFault, generate_faults, generate_unframed_responses};
use crate::objects::{configuration, registration};
use crate::odd::{add_routes, generate_odd, odd_entry};
use crate::outages::{
    StorePath, add_version_routes, check_outages, generate_outages, generate_series,
    is_used_with_outages, run_probes, start_paths,
};
use crate::prompts::{check_prompts, check_repetitions, is_used_with_prompts, random_limit};
use crate::versions::{check_versions, generate_losses, set_other_version, set_version};
use fakes::{
    CrashStage, CrashingBody, CrashingPart, GatewayConfig, GatewayProcess, Link, PathState,
    PlatformEndpoint, PlatformStore, Proxy, StoreMode,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ENDPOINTS: usize = 3;
/// The number of events in a stream.
const EVENTS: u32 = 6;
/// The time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(4);
/// The same in runs in which clients continue streams: long enough for these to be recorded.
const LONG_EVENT_INTERVAL: Duration = Duration::from_millis(80);
/// Gateways write their lines in batches, up to 250 ms after the response. Includes a margin.
const LOG_DELAY: Duration = Duration::from_millis(500);
const RESTART_AFTER: Duration = Duration::from_millis(400);
/// The time limit for all gateways to serve every path after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

fn set_crashes(endpoint: &PlatformEndpoint, load: Load) {
    let restart_after = RESTART_AFTER;
    match load {
        Load::Plain | Load::Versions => {}
        Load::Prompts => {
            let id = CRASHING_PART.to_owned();
            let stage = CrashStage::WithinEvent;
            endpoint.set_crashing_parts(&[CrashingPart { id, stage, restart_after }]);
        }
        Load::Repetitions => {
            let body = CRASHING_BODY.to_owned();
            let stage = CrashStage::BeforeHead;
            endpoint.set_crashing_body(Some(CrashingBody { body, stage, restart_after }));
        }
    }
}

struct Site {
    store: PlatformStore,
    store_link: Proxy,
    endpoints: Vec<PlatformEndpoint>,
    /// The addresses at which the endpoints are registered.
    addresses: Vec<SocketAddr>,
    /// The links to the endpoints, in the order of `endpoints`.
    links: Vec<Proxy>,
    gateways: Vec<GatewayProcess>,
    version: Arc<AtomicU64>,
    /// When the store acknowledged each version.
    acked_at: BTreeMap<u64, Instant>,
    /// The paths of the gateways to the store, in runs in which it turns single ones away.
    store_paths: Vec<StorePath>,
    /// The number of starts of each endpoint.
    starts: Vec<u64>,
    /// When gateways were killed with `SIGKILL`, or suspended before that.
    killed_at: Vec<Instant>,
    /// The gateways that are suspended, and since when.
    paused_at: BTreeMap<usize, Instant>,
    applied: Vec<AppliedFault>,
    /// Whether endpoints have several software versions.
    has_versions: bool,
    /// The paths of the gateway that is cut off at times.
    own_paths: Option<OwnPaths>,
}

impl Site {
    /// Starts a site. If requests crash endpoints, gateways connect to these without a proxy, which
    /// would accept connections to a crashed one.
    fn start(gateways: usize, load: Load, has_cuts: bool, has_outages: bool) -> io::Result<Site> {
        let store = PlatformStore::start()?;
        let store_link = Proxy::start(store.address)?;
        store.put("config", "main", configuration(1));
        let mut endpoints = Vec::new();
        let mut links = Vec::new();
        let mut addresses = Vec::new();
        let has_long_streams = load == Load::Versions;
        let interval = if has_long_streams { LONG_EVENT_INTERVAL } else { EVENT_INTERVAL };
        for number in 0..ENDPOINTS {
            let endpoint = PlatformEndpoint::start(&format!("i-{number}"), EVENTS, interval)?;
            let link = Proxy::start(endpoint.address)?;
            let has_link = matches!(load, Load::Plain | Load::Versions);
            let address = if has_link { link.address } else { endpoint.address };
            set_crashes(&endpoint, load);
            if load == Load::Versions {
                set_version(&endpoint, number);
            }
            let mut entry = registration(address, 1, 1);
            entry["version"] = json!(endpoint.software_version());
            store.put("servers", &endpoint.id, entry);
            addresses.push(address);
            endpoints.push(endpoint);
            links.push(link);
        }
        let own_paths = has_cuts.then(|| OwnPaths::start(&store, &addresses)).transpose()?;
        let store_paths = start_paths(&store, if has_outages { gateways } else { 0 })?;
        let start = |number: usize| {
            let cfg = GatewayConfig { name: format!("front-{number}"), ..Default::default() };
            let own_paths = own_paths.as_ref().filter(|_| number == CUT_GATEWAY);
            let path = store_paths.get(number).map_or(store_link.address, |own| own.path.address);
            let store = own_paths.map_or(path, |paths| paths.store);
            GatewayProcess::start(store, &cfg)
        };
        let gateways = (0..gateways).map(start).collect::<io::Result<Vec<_>>>()?;
        for gateway in &gateways {
            gateway.wait_for_log(&["daemons_counted"])?;
        }
        Ok(Site {
            store,
            store_link,
            endpoints,
            addresses,
            links,
            gateways,
            version: Arc::new(AtomicU64::new(1)),
            acked_at: BTreeMap::new(),
            store_paths,
            starts: vec![1; ENDPOINTS],
            killed_at: Vec::new(),
            paused_at: BTreeMap::new(),
            applied: Vec::new(),
            has_versions: load == Load::Versions,
            own_paths,
        })
    }

    fn apply(&mut self, fault: Fault) -> io::Result<()> {
        self.applied.push((Instant::now(), fault));
        match fault {
            Fault::Endpoint(number, behaviour) => self.endpoints[number].set_behaviour(behaviour),
            Fault::Link(number, link) => self.links[number].set(link),
            Fault::Store(mode) => self.store.set_mode(mode),
            Fault::StoreLink(link) => self.store_link.set(link),
            Fault::Pause(number) => {
                self.paused_at.entry(number).or_insert_with(Instant::now);
                self.gateways[number].signal("STOP")?;
            }
            Fault::Continue(number) => {
                self.paused_at.remove(&number);
                self.gateways[number].signal("CONT")?;
            }
            Fault::Kill(number) => {
                self.killed_at.push(Instant::now());
                // What it had not written when it was suspended is lost.
                self.killed_at.extend(self.paused_at.remove(&number));
                self.gateways[number].restart("KILL")?;
            }
            Fault::KillAll => {
                self.killed_at.push(Instant::now());
                self.killed_at.extend(std::mem::take(&mut self.paused_at).into_values());
                self.gateways.iter_mut().try_for_each(|gateway| gateway.restart("KILL"))?;
                self.killed_at.push(Instant::now());
            }
            Fault::Terminate(number) => self.gateways[number].restart("TERM")?,
            Fault::Configure => self.configure(|_| {}),
            Fault::AddRoutes => self.configure(add_routes),
            Fault::TurnAway(number, state) => self.store_paths[number].path.set(state)?,
            Fault::Refuse(number, status) => self.store_paths[number].refused.set_all(status),
            Fault::Remove(number) => self.store.delete("servers", &self.endpoints[number].id),
            Fault::OddEntry(number) => {
                let (kind, name, text) = odd_entry(number);
                self.store.put_raw(kind, &name, &text);
            }
            Fault::Cut(state) => self.cut(state)?,
            Fault::Leave(number) => {
                self.endpoints[number].set_leaving(true);
                self.register(number, 2);
            }
            Fault::Return(number) => {
                self.starts[number] += 1;
                self.endpoints[number].set_leaving(false);
                if self.has_versions {
                    set_other_version(&self.endpoints[number]);
                }
                self.register(number, 1);
            }
        }
        Ok(())
    }

    /// Publishes the next version of the configuration.
    fn configure(&mut self, change: impl Fn(&mut Value)) {
        let version = self.version.load(Ordering::SeqCst) + 1;
        let mut configuration = configuration(version);
        add_version_routes(&mut configuration, version);
        change(&mut configuration);
        self.store.put("config", "main", configuration);
        self.acked_at.insert(version, Instant::now());
        self.version.store(version, Ordering::SeqCst);
    }

    fn cut(&self, state: PathState) -> io::Result<()> {
        self.own_paths.as_ref().map_or(Ok(()), |paths| paths.set(state))
    }

    /// Writes the entry of an endpoint, which says that it is ready.
    fn register(&self, number: usize, heartbeats: u64) {
        let mut entry = registration(self.addresses[number], self.starts[number], heartbeats);
        entry["version"] = json!(self.endpoints[number].software_version());
        self.store.put("servers", &self.endpoints[number].id, entry);
    }

    /// Ends all temporary faults.
    fn end_faults(&mut self) -> io::Result<()> {
        for number in 0..self.endpoints.len() {
            if self.endpoints[number].leaving_since().is_some() {
                self.apply(Fault::Return(number))?;
            }
        }
        self.endpoints.iter().for_each(|endpoint| endpoint.set_behaviour(Default::default()));
        self.links.iter().for_each(|link| link.set(Link::Healthy));
        self.store.set_mode(StoreMode::Up);
        self.store_link.set(Link::Healthy);
        self.cut(PathState::Open)?;
        self.store_paths.iter().for_each(|own| own.refused.set_all(None));
        self.store_paths.iter().try_for_each(|own| own.path.set(PathState::Open))?;
        self.gateways.iter().try_for_each(|gateway| gateway.signal("CONT"))
    }
}

/// A run of the soak test.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    pub seed: u64,
    /// The time in which faults are injected.
    pub seconds: u64,
    pub gateways: usize,
    pub clients: usize,
    pub load: Load,
    /// Whether a gateway is cut off from all endpoints at times.
    pub has_cuts: bool,
    /// Whether other writers and endpoints leave odd bytes.
    pub has_odd: bool,
    /// Whether the store turns single gateways away at times.
    pub has_outages: bool,
    /// Whether the configuration then changes in quick succession at times.
    pub has_series: bool,
}

impl Soak {
    /// Runs it; returns a summary, or the first violated guarantee.
    pub fn run(self) -> Result<String, String> {
        soak(self)
    }
}

fn soak(soak: Soak) -> Result<String, String> {
    let Soak { seed, seconds, gateways, clients, load, .. } = soak;
    let Soak { has_cuts, has_odd, has_outages, has_series, .. } = soak;
    let mut site = Site::start(gateways, load, has_cuts, has_outages).map_err(|e| e.to_string())?;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut faults = generate_faults(&mut rng, seconds * 1_000, gateways, ENDPOINTS);
    // Drawn after the others, so that a seed keeps the faults with which it once failed.
    faults.extend(generate_unframed_responses(&mut rng, seconds * 1_000, ENDPOINTS));
    faults.sort_by_key(|(at_ms, _)| *at_ms);
    let limit = random_limit(&mut rng);
    faults.extend(generate_departures(&mut rng, seconds * 1_000, ENDPOINTS));
    faults.sort_by_key(|(at_ms, _)| *at_ms);
    if load == Load::Versions {
        faults.extend(generate_losses(&mut rng, seconds * 1_000));
        faults.sort_by_key(|(at_ms, _)| *at_ms);
    } else if load != Load::Plain {
        faults.retain(|(_, fault)| is_used_with_prompts(fault));
    }
    if has_cuts {
        faults.extend(generate_cuts(&mut rng, seconds * 1_000));
        faults.sort_by_key(|(at_ms, _)| *at_ms);
    }
    if has_odd {
        faults.extend(generate_odd(&mut rng, seconds * 1_000, ENDPOINTS));
        faults.sort_by_key(|(at_ms, _)| *at_ms);
    }
    if has_outages {
        faults.retain(|(_, fault)| is_used_with_outages(fault));
        faults.extend(generate_outages(&mut rng, seconds * 1_000, gateways));
        if has_series {
            faults.extend(generate_series(&mut rng, seconds * 1_000, gateways));
        }
        faults.sort_by_key(|(at_ms, _)| *at_ms);
    }
    if load == Load::Prompts {
        site.endpoints[0].set_stated_limit(Some(&limit.to_string()));
    }
    let addresses: Vec<SocketAddr> = site.gateways.iter().map(|g| g.address).collect();
    let stop = AtomicBool::new(false);
    let version = site.version.clone();
    let (applied, observations, probes) = thread::scope(|scope| {
        let probes = has_outages.then(|| scope.spawn(|| run_probes(&addresses, &version, &stop)));
        let clients: Vec<_> = (0..clients)
            .map(|number| {
                let (addresses, stop) = (&addresses, &stop);
                scope.spawn(move || run_client(number, seed, addresses, load, stop))
            })
            .collect();
        let applied = apply_all(&mut site, &faults);
        stop.store(true, Ordering::SeqCst);
        let observations: Vec<_> =
            clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
        let probes = probes.and_then(|probes| probes.join().ok()).unwrap_or_default();
        (applied, observations, probes)
    });
    applied.map_err(|e| e.to_string())?;
    check_recovery(&mut site, &addresses, seed)?;
    let mut summary = check_observations(&observations, &site.endpoints, EVENTS)?;
    let crashes = match load {
        Load::Plain => String::from("no crashes"),
        Load::Versions => check_versions(&observations)?,
        Load::Prompts => check_prompts(&observations, &site.endpoints, limit, &site.applied)?,
        Load::Repetitions => check_repetitions(&observations, &site.endpoints, &site.applied)?,
    };
    if has_outages {
        let Site { acked_at, endpoints, applied, .. } = &site;
        let late = check_outages(&probes, acked_at, &observations, &endpoints[0], applied)?;
        summary = format!("{summary}, {late}");
    }
    let statements = check_departures(&observations, &site.endpoints, &site.applied)?;
    summary = format!("{summary}, {crashes}, {statements} gateways told of departures");
    thread::sleep(LOG_DELAY);
    let log: Vec<String> = site.gateways.iter().flat_map(GatewayProcess::log).collect();
    let refusals = check_refusal_lines(&observations, &log, &site.killed_at)?;
    let relayed = count_relayed(&log);
    summary = format!("{summary}, {relayed} relayed");
    Ok(format!("{summary}, {refusals} refusals with a log line, {} faults", faults.len()))
}

fn apply_all(site: &mut Site, faults: &[ScheduledFault]) -> io::Result<()> {
    let started = Instant::now();
    for (at_ms, fault) in faults {
        let at = Duration::from_millis(*at_ms);
        thread::sleep(at.saturating_sub(started.elapsed()));
        site.apply(*fault)?;
    }
    Ok(())
}

/// Ends all faults and checks that every gateway serves every path within `RECOVERY_TIMEOUT`.
fn check_recovery(site: &mut Site, gateways: &[SocketAddr], seed: u64) -> Result<(), String> {
    site.end_faults().map_err(|e| e.to_string())?;
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    for (number, address) in gateways.iter().enumerate() {
        for (target, _) in TARGETS {
            while !is_served(*address, target, seed) {
                if Instant::now() > deadline {
                    let log = site.gateways[number].log();
                    let last = log[log.len().saturating_sub(12)..].join("\n");
                    return Err(format!(
                        "gateway {number} does not serve {target} within {} s after the last fault; \
                         last log lines:\n{last}",
                        RECOVERY_TIMEOUT.as_secs()
                    ));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
    }
    Ok(())
}

fn is_served(gateway: SocketAddr, target: &str, seed: u64) -> bool {
    let response = fakes::Client::connect(gateway).and_then(|mut client| {
        client.send_request(target, &format!("recovery-{seed}"), KEY, "")?;
        client.read_response()
    });
    response.is_ok_and(|res| res.message.status() == 200 && res.is_complete)
}
