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

/// Maximum number of endpoints that are probed concurrently.
const PROBE_WORKERS: usize = 32;

/// An endpoint of this data centre, from the instance list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedEndpoint {
    /// The name of its instance.
    pub name: String,
    pub address: SocketAddr,
    pub data_centre: String,
    pub state: EndpointState,
}

/// The fields of `/v1/description` that the scheduler uses.
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

/// The endpoints to probe, with the results of earlier probes.
#[derive(Debug, Default)]
pub struct EndpointTable {
    listed: BTreeMap<String, ListedEndpoint>,
    /// The incarnation that each endpoint reported last.
    incarnations: BTreeMap<String, String>,
    /// Listed endpoints that have been probed at least once, with or without success.
    probed: BTreeSet<String>,
    /// Whether an instance list has been read.
    has_list: bool,
    all_probed: bool,
}

impl EndpointTable {
    /// Whether an instance list has been read and all its endpoints have been probed. Once true, it
    /// stays true when further endpoints are listed.
    pub fn all_probed(&self) -> bool {
        self.all_probed
    }

    fn mark_probed(&mut self, name: &str) {
        self.probed.insert(name.to_string());
        self.update_all_probed();
    }

    fn update_all_probed(&mut self) {
        let all_probed = self.listed.keys().all(|name| self.probed.contains(name));
        self.all_probed |= self.has_list && all_probed;
    }
}

/// Replaces the list of endpoints and removes those that are no longer listed from the scheduler.
pub fn set_listed_endpoints(executor: &Executor, listed: BTreeMap<String, ListedEndpoint>) {
    let tables = &executor.tables;
    let mut endpoints = lock(&tables.endpoints);
    let removed: Vec<String> =
        endpoints.listed.keys().filter(|name| !listed.contains_key(*name)).cloned().collect();
    endpoints.listed = listed;
    endpoints.has_list = true;
    endpoints.update_all_probed();
    for name in &removed {
        endpoints.incarnations.remove(name);
        endpoints.probed.remove(name);
    }
    drop(endpoints);
    for name in removed {
        log::info!("endpoint={name} is no longer in the instance list and gets no requests");
        lock_write(&tables.addresses).remove(&name);
        let effects = lock(&tables.scheduler).remove_endpoint(&name, tables.now());
        execute_effects(executor, effects);
    }
}

/// Probes the listed endpoints until the process ends.
pub fn probe_endpoints(executor: &Executor) {
    let probe_executor = executor.clone();
    let pool = ThreadPool::new("probe", PROBE_WORKERS, move |listed| {
        probe_and_mark(&probe_executor, &listed)
    });
    loop {
        let listed: Vec<ListedEndpoint> =
            lock(&executor.tables.endpoints).listed.values().cloned().collect();
        for endpoint in listed {
            if let Err(endpoint) = pool.run(endpoint) {
                log::debug!(
                    "endpoint={} is skipped in this round: no probe worker is free",
                    endpoint.name
                );
            }
        }
        thread::sleep(PROBE_INTERVAL);
    }
}

fn probe_and_mark(executor: &Executor, listed: &ListedEndpoint) {
    probe_endpoint(executor, listed);
    lock(&executor.tables.endpoints).mark_probed(&listed.name);
}

fn probe_endpoint(executor: &Executor, listed: &ListedEndpoint) {
    let base = format!("http://{}", listed.address);
    let description: Description = match get_json(&format!("{base}/v1/description"), PROBE_TIMEOUT)
    {
        Ok(description) => description,
        Err(e) => {
            log::debug!("endpoint={} cannot read the description: {e}", listed.name);
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
    let previous = endpoints.incarnations.insert(listed.name.clone(), incarnation);
    let replaced = previous.is_some_and(|previous| previous != description.incarnation);
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
    // The state of an endpoint never moves back from `Leaving`, so a new incarnation is removed and
    // added again as a new endpoint.
    if replaced || moved {
        log::info!(
            "endpoint={} has a new incarnation or address; its former state is dropped",
            listed.name
        );
        effects.append(&mut scheduler.remove_endpoint(&listed.name, tables.now()));
    }
    effects.append(&mut scheduler.set_endpoint(info, state, tables.now()));
    drop(scheduler);
    execute_effects(executor, effects);
}

pub fn address_of(executor: &Executor, endpoint: &str) -> Option<SocketAddr> {
    lock_read(&executor.tables.addresses).get(endpoint).copied()
}
