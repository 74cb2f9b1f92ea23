use crate::executor::{Executor, execute_effects};
use crate::tables::{lock, lock_read, lock_write};
use decision::load::{EndpointInfo, EndpointReport, EndpointState};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use utils::{HttpError, ThreadPool, get_json};

const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Endpoints that are probed at once.
const PROBE_WORKERS: usize = 32;

/// An endpoint of this data centre as the instance list gives it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedEndpoint {
    /// The name of its instance.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Its state in the list.
    pub state: EndpointState,
}

/// What an endpoint says of itself.
#[derive(Debug, Deserialize)]
struct Description {
    serves: BTreeSet<String>,
    slots: u32,
    #[serde(default)]
    pauses: bool,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    incarnation: String,
}

/// The endpoints that are probed, with the incarnation that answered last.
#[derive(Debug, Default)]
pub struct EndpointTable {
    listed: BTreeMap<String, ListedEndpoint>,
    incarnations: BTreeMap<String, String>,
    probed: BTreeSet<String>,
    has_list: bool,
    all_probed: bool,
}

impl EndpointTable {
    /// Returns whether each endpoint of the first instance list has been probed.
    pub fn all_probed(&self) -> bool {
        self.all_probed
    }

    fn mark_probed(&mut self, name: &str) {
        self.probed.insert(name.to_string());
        self.update_all_probed();
    }

    fn update_all_probed(&mut self) {
        let all = self.listed.keys().all(|name| self.probed.contains(name));
        self.all_probed |= self.has_list && all;
    }
}

/// Takes in the endpoints of this data centre from the instance list.
pub fn set_listed(executor: &Executor, listed: BTreeMap<String, ListedEndpoint>) {
    let tables = &executor.tables;
    let mut endpoints = lock(&tables.endpoints);
    let gone: Vec<String> =
        endpoints.listed.keys().filter(|name| !listed.contains_key(*name)).cloned().collect();
    endpoints.listed = listed;
    endpoints.has_list = true;
    endpoints.update_all_probed();
    for name in &gone {
        endpoints.incarnations.remove(name);
        endpoints.probed.remove(name);
    }
    drop(endpoints);
    for name in gone {
        log::info!("endpoint={name} left the instance list");
        lock_write(&tables.addresses).remove(&name);
        let effects = lock(&tables.scheduler).remove_endpoint(&name, tables.now());
        execute_effects(executor, effects);
    }
}

/// Probes the listed endpoints until the daemon stops.
pub fn probe_endpoints(executor: &Executor) {
    let probe_executor = executor.clone();
    let pool =
        ThreadPool::new("probe", PROBE_WORKERS, move |listed| probe(&probe_executor, &listed));
    loop {
        let listed: Vec<ListedEndpoint> =
            lock(&executor.tables.endpoints).listed.values().cloned().collect();
        for endpoint in listed {
            if let Err(endpoint) = pool.run(endpoint) {
                log::debug!("endpoint={} is not probed this time", endpoint.name);
            }
        }
        thread::sleep(PROBE_INTERVAL);
    }
}

fn probe(executor: &Executor, listed: &ListedEndpoint) {
    read_endpoint(executor, listed);
    lock(&executor.tables.endpoints).mark_probed(&listed.name);
}

fn read_endpoint(executor: &Executor, listed: &ListedEndpoint) {
    let base = format!("http://{}", listed.address);
    let description: Description = match get_json(&format!("{base}/v1/description"), PROBE_TIMEOUT)
    {
        Ok(description) => description,
        Err(e) => {
            log::debug!("endpoint={} {e}", listed.name);
            return;
        }
    };
    apply_description(executor, listed, description);
    let report: Result<EndpointReport, HttpError> =
        get_json(&format!("{base}/v1/load"), PROBE_TIMEOUT);
    if let Ok(report) = report {
        let tables = &executor.tables;
        let effects = lock(&tables.scheduler).report(&listed.name, report, tables.now());
        execute_effects(executor, effects);
    }
}

fn apply_description(executor: &Executor, listed: &ListedEndpoint, description: Description) {
    let tables = &executor.tables;
    let mut endpoints = lock(&tables.endpoints);
    if !endpoints.listed.contains_key(&listed.name) {
        return;
    }
    let incarnation = description.incarnation.clone();
    let before = endpoints.incarnations.insert(listed.name.clone(), incarnation);
    let replaced = before.is_some_and(|before| before != description.incarnation);
    drop(endpoints);
    let address = lock_write(&tables.addresses).insert(listed.name.clone(), listed.address);
    let moved = address.is_some_and(|address| address != listed.address);
    let info = EndpointInfo {
        name: listed.name.clone(),
        data_centre: listed.data_centre.clone(),
        serves: description.serves,
        slots: description.slots,
        pauses: description.pauses,
    };
    let state = if description.leaving { EndpointState::Leaving } else { listed.state };
    let mut scheduler = lock(&tables.scheduler);
    let mut effects = Vec::new();
    // Leaving is final for an incarnation, not for the next one of the same name.
    if replaced || moved {
        log::info!("endpoint={} is a new incarnation", listed.name);
        effects.append(&mut scheduler.remove_endpoint(&listed.name, tables.now()));
    }
    effects.append(&mut scheduler.set_endpoint(info, state, tables.now()));
    drop(scheduler);
    execute_effects(executor, effects);
}

/// Returns the address of an endpoint.
pub fn address_of(executor: &Executor, endpoint: &str) -> Option<SocketAddr> {
    lock_read(&executor.tables.addresses).get(endpoint).copied()
}
