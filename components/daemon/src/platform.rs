use crate::attempt::Shell;
use crate::endpoints::{ListedEndpoint, set_listed};
use crate::lists::InForce;
use crate::peer::Peer;
use crate::tables::{Tables, lock_write};
use config::{Published, ReadError, Reader};
use decision::load::EndpointState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use store::Store;
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
    let mut reader = Reader::default();
    while !shell.tables.is_stopping() {
        let read = read_lists(&shell.tables, &store, &mut reader);
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

fn read_lists(tables: &Tables, store: &Store, reader: &mut Reader) -> Result<(), ReadError> {
    let Some(published) = reader.read(store)? else { return Ok(()) };
    let mut in_force = lock_write(&tables.in_force);
    if published.revision > in_force.revision {
        log::info!("lists revision={} in force", published.revision);
        let Published { revision, digest, lists, .. } = published;
        *in_force = Arc::new(InForce::new(revision, digest, lists));
    }
    Ok(())
}

fn read_instances(shell: &Shell) -> Result<(), HttpError> {
    let tables = &shell.tables;
    let url = format!("http://{}/instances", tables.cfg.instances);
    let list: InstanceList = get_json(&url, PLATFORM_TIMEOUT)?;
    let mut peers = BTreeMap::new();
    let mut endpoints = BTreeMap::new();
    for instance in list.instances {
        if instance.kind == "daemon" {
            read_daemon(tables, &instance, &mut peers);
        } else if instance.data_centre == tables.cfg.data_centre {
            let endpoint = ListedEndpoint {
                name: instance.name.clone(),
                address: instance.address,
                data_centre: instance.data_centre,
                state: instance.state,
            };
            endpoints.insert(instance.name, endpoint);
        }
    }
    *lock_write(&tables.peers) = peers;
    set_listed(shell, endpoints);
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
