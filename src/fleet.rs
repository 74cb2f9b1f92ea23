//! Queries to the daemons in the platform's instance list.

use crate::failure::{Failure, InstancesSnafu};
use config::ToolSettings;
use messages::status::DaemonStatus;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use utils::{HttpError, get_json};

/// Maximum number of daemons queried concurrently.
const CONCURRENCY: usize = 32;

const DAEMON: &str = "daemon";
const LEAVING: &str = "leaving";

#[derive(Debug, Deserialize)]
struct InstanceList {
    instances: Vec<Instance>,
}

/// An entry of the instance list.
#[derive(Clone, Debug, Deserialize)]
pub struct Instance {
    /// The name of the instance.
    pub name: String,
    /// The program that runs on the instance, such as `daemon`.
    pub kind: String,
    /// The address at which the program serves HTTP.
    pub address: SocketAddr,
    /// The data centre of the instance.
    pub data_centre: String,
    /// The state, such as `live` or `leaving`.
    pub state: String,
}

impl Instance {
    /// Returns whether the instance accepts new requests.
    pub fn is_live(&self) -> bool {
        self.state != LEAVING
    }
}

/// The daemons of the instance list, live and leaving.
#[derive(Clone, Debug)]
pub struct Fleet {
    daemons: Vec<Instance>,
    timeout: Duration,
}

impl Fleet {
    /// Fetches the instance list and selects the daemons.
    pub fn read(cfg: &ToolSettings) -> Result<Fleet, Failure> {
        let timeout = Duration::from_millis(cfg.timeout_ms);
        let url = format!("http://{}/instances", cfg.require_instances()?);
        let list: InstanceList = get_json(&url, timeout).context(InstancesSnafu)?;
        let daemons = list.instances.into_iter().filter(|i| i.kind == DAEMON).collect();
        Ok(Fleet { daemons, timeout })
    }

    /// Fetches the status of every daemon, in the order of the instance list.
    pub fn statuses(&self) -> Vec<(&Instance, Result<DaemonStatus, HttpError>)> {
        self.get_all("/admin/status")
    }

    /// Fetches a JSON value from every daemon, in the order of the instance list.
    pub fn get_all<T: DeserializeOwned + Send>(
        &self,
        path: &str,
    ) -> Vec<(&Instance, Result<T, HttpError>)> {
        let batch_len = self.daemons.len().div_ceil(CONCURRENCY).max(1);
        let get_one =
            |daemon: &Instance| get_json(&format!("http://{}{path}", daemon.address), self.timeout);
        thread::scope(|scope| {
            let batches = self.daemons.chunks(batch_len);
            let get_batch =
                |batch| move || Vec::from_iter(<[Instance]>::iter(batch).map(|d| (d, get_one(d))));
            let workers: Vec<_> = batches.map(|batch| scope.spawn(get_batch(batch))).collect();
            workers.into_iter().flat_map(|worker| worker.join().unwrap_or_default()).collect()
        })
    }
}
