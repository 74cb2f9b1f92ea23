use crate::attempt::{Shell, carry_out};
use crate::tables::{InForce, Tables, lock, lock_write};
use config::Lists;
use decision::load::{EndpointInfo, EndpointState};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use utils::{HttpError, get_json};

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// An object as the store gives it.
#[derive(Debug, Deserialize)]
struct Object<T> {
    version: u64,
    value: T,
}

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
    state: EndpointState,
}

/// What an endpoint says of itself.
#[derive(Debug, Deserialize)]
struct Description {
    serves: BTreeSet<String>,
    slots: u32,
    #[serde(default)]
    pauses: bool,
}

/// Reads the lists and the instances until the daemon stops.
pub fn follow(shell: &Shell) {
    while !shell.tables.stopping.load(Ordering::Relaxed) {
        if let Err(e) = read_lists(&shell.tables) {
            log::warn!("lists: {e}");
        }
        if let Err(e) = read_instances(shell) {
            log::warn!("instances: {e}");
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn read_lists(tables: &Tables) -> Result<(), HttpError> {
    let url = format!("http://{}/objects/lists/current", tables.cfg.store);
    let object: Object<Lists> = get_json(&url, PLATFORM_TIMEOUT)?;
    let mut in_force = lock_write(&tables.in_force);
    if object.version > in_force.version {
        log::info!("lists version={} in force", object.version);
        *in_force = Arc::new(InForce::new(object.version, object.value));
    }
    Ok(())
}

fn read_instances(shell: &Shell) -> Result<(), HttpError> {
    let tables = &shell.tables;
    let url = format!("http://{}/instances", tables.cfg.instances);
    let list: InstanceList = get_json(&url, PLATFORM_TIMEOUT)?;
    for instance in list.instances {
        if instance.kind == "daemon" || instance.data_centre != tables.cfg.data_centre {
            continue;
        }
        let url = format!("http://{}/v1/description", instance.address);
        let description: Description = match get_json(&url, PLATFORM_TIMEOUT) {
            Ok(description) => description,
            Err(e) => {
                log::warn!("endpoint={} {e}", instance.name);
                continue;
            }
        };
        lock_write(&tables.addresses).insert(instance.name.clone(), instance.address);
        let info = EndpointInfo {
            name: instance.name,
            data_centre: instance.data_centre,
            serves: description.serves,
            slots: description.slots,
            pauses: description.pauses,
        };
        let effects = lock(&tables.scheduler).set_endpoint(info, instance.state, tables.now());
        carry_out(shell, effects);
    }
    Ok(())
}
