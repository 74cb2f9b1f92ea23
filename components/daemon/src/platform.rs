use crate::attempt::{Shell, carry_out};
use crate::lists::InForce;
use crate::peer::Peer;
use crate::tables::{Tables, lock, lock_read, lock_write};
use config::Lists;
use decision::load::{EndpointInfo, EndpointState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use store::{Store, StoreError};
use utils::{HttpError, get_json};

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The platform's list of instances.
#[derive(Debug, Deserialize)]
struct InstanceList {
    instances: Vec<Instance>,
}

/// One instance of the list.
#[derive(Debug, Deserialize)]
struct Instance {
    name: String,
    kind: String,
    address: SocketAddr,
    data_centre: String,
    #[serde(default)]
    region: String,
    state: EndpointState,
}

/// What an endpoint says of itself.
#[derive(Debug, Deserialize)]
struct EndpointDescription {
    serves: BTreeSet<String>,
    slots: u32,
    #[serde(default)]
    pauses: bool,
    #[serde(default)]
    leaving: bool,
}

/// What a daemon says of itself to another.
#[derive(Debug, Deserialize, Serialize)]
pub struct DaemonDescription {
    /// The identity of the process, 32 hexadecimal digits.
    pub instance: String,
    /// Whether it takes new work.
    pub ready: bool,
}

/// Reads the lists and the instances until the daemon stops.
pub fn follow(shell: &Shell) {
    let store = Store::new(shell.tables.cfg.store, PLATFORM_TIMEOUT);
    while !shell.tables.is_stopping() {
        let read = read_lists(&shell.tables, &store);
        shell.tables.store_reachable.store(read.is_ok(), Ordering::Relaxed);
        if let Err(e) = read {
            log::warn!("lists: {e}");
        }
        if let Err(e) = read_instances(shell) {
            log::warn!("instances: {e}");
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn read_lists(tables: &Tables, store: &Store) -> Result<(), StoreError> {
    let Some(object) = store.get::<Lists>("lists", "current")? else { return Ok(()) };
    let mut in_force = lock_write(&tables.in_force);
    if object.version > in_force.revision {
        log::info!("lists revision={} in force", object.version);
        *in_force = Arc::new(InForce::new(object.version, String::new(), object.value));
    }
    Ok(())
}

fn read_instances(shell: &Shell) -> Result<(), HttpError> {
    let tables = &shell.tables;
    let url = format!("http://{}/instances", tables.cfg.instances);
    let list: InstanceList = get_json(&url, PLATFORM_TIMEOUT)?;
    let mut peers = BTreeMap::new();
    let mut endpoints = BTreeSet::new();
    for instance in list.instances {
        if instance.kind == "daemon" {
            read_daemon(tables, &instance, &mut peers);
        } else if instance.data_centre == tables.cfg.data_centre {
            endpoints.insert(instance.name.clone());
            read_endpoint(shell, &instance);
        }
    }
    *lock_write(&tables.peers) = peers;
    forget_endpoints(shell, &endpoints);
    Ok(())
}

fn read_daemon(tables: &Tables, instance: &Instance, peers: &mut BTreeMap<u128, Peer>) {
    let url = format!("http://{}/peer/description", instance.address);
    let description: DaemonDescription = match get_json(&url, PLATFORM_TIMEOUT) {
        Ok(description) => description,
        Err(e) => {
            log::debug!("daemon={} {e}", instance.name);
            return;
        }
    };
    let Ok(id) = u128::from_str_radix(&description.instance, 16) else { return };
    if id == tables.instance || !description.ready {
        return;
    }
    let peer = Peer {
        name: instance.name.clone(),
        address: instance.address,
        data_centre: instance.data_centre.clone(),
        region: instance.region.clone(),
    };
    peers.insert(id, peer);
}

fn read_endpoint(shell: &Shell, instance: &Instance) {
    let tables = &shell.tables;
    let url = format!("http://{}/v1/description", instance.address);
    let description: EndpointDescription = match get_json(&url, PLATFORM_TIMEOUT) {
        Ok(description) => description,
        Err(e) => {
            log::warn!("endpoint={} {e}", instance.name);
            return;
        }
    };
    lock_write(&tables.addresses).insert(instance.name.clone(), instance.address);
    let info = EndpointInfo {
        name: instance.name.clone(),
        data_centre: instance.data_centre.clone(),
        serves: description.serves,
        slots: description.slots,
        pauses: description.pauses,
    };
    let state = if description.leaving { EndpointState::Leaving } else { instance.state };
    let effects = lock(&tables.scheduler).set_endpoint(info, state, tables.now());
    carry_out(shell, effects);
}

fn forget_endpoints(shell: &Shell, listed: &BTreeSet<String>) {
    let tables = &shell.tables;
    let known: Vec<String> = lock_read(&tables.addresses).keys().cloned().collect();
    for name in known.iter().filter(|name| !listed.contains(*name)) {
        let effects = lock(&tables.scheduler).remove_endpoint(name, tables.now());
        carry_out(shell, effects);
        lock_write(&tables.addresses).remove(name);
    }
}
