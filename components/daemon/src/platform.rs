use crate::endpoints::{ListedEndpoint, set_listed_endpoints};
use crate::executor::Executor;
use crate::peer::Peer;
use crate::peers::Peers;
use decision::load::EndpointState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use utils::{HttpError, get_json};

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The response of the platform to `/instances`.
#[derive(Debug, Deserialize)]
struct InstanceList {
    instances: Vec<Instance>,
}

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

impl Instance {
    fn into_peer(self) -> Peer {
        Peer {
            name: self.name,
            address: self.address,
            data_centre: self.data_centre,
            region: self.region,
        }
    }
}

/// The response to `/peer/description`.
#[derive(Debug, Deserialize, Serialize)]
pub struct DaemonDescription {
    /// The identity of the process, 32 hexadecimal digits.
    pub instance: String,
    /// Whether the daemon accepts new requests.
    pub ready: bool,
}

/// Polls the list of instances until the daemon stops.
pub fn poll_instances(executor: &Executor, peers: &Peers) {
    while !executor.tables.is_stopping() {
        if let Err(e) = read_instances(executor, peers) {
            log::warn!("cannot read the instance list; the last one stays in use: {e}");
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn read_instances(executor: &Executor, peers: &Peers) -> Result<(), HttpError> {
    let tables = &executor.tables;
    let url = format!("http://{}/instances", tables.cfg.instances);
    let list: InstanceList = get_json(&url, PLATFORM_TIMEOUT)?;
    let mut daemons = Vec::new();
    let mut endpoints = BTreeMap::new();
    for instance in list.instances {
        if instance.kind == "daemon" {
            daemons.push(instance.into_peer());
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
    peers.set_listed_daemons(daemons);
    set_listed_endpoints(executor, endpoints);
    Ok(())
}
