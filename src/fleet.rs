//! The daemons, as the platform's instance list names them.

use crate::failure::{Failure, InstancesSnafu};
use ::messages::status::DaemonStatus;
use config::ToolSettings;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use utils::{HttpError, get_json};

/// Daemons that are asked at once.
const CONCURRENCY: usize = 32;

const DAEMON: &str = "daemon";
const LEAVING: &str = "leaving";

#[derive(Debug, Deserialize)]
struct InstanceList {
    instances: Vec<Instance>,
}

/// One instance of the list.
#[derive(Clone, Debug, Deserialize)]
pub struct Instance {
    /// The name.
    pub name: String,
    /// What runs on it.
    pub kind: String,
    /// The address.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: String,
    /// The state.
    pub state: String,
}

impl Instance {
    /// Returns whether the instance takes new work.
    pub fn is_live(&self) -> bool {
        self.state != LEAVING
    }
}

/// The daemons.
#[derive(Clone, Debug)]
pub struct Fleet {
    daemons: Vec<Instance>,
    timeout: Duration,
}

impl Fleet {
    /// Reads the daemons from the instance list.
    pub fn read(cfg: &ToolSettings) -> Result<Fleet, Failure> {
        let timeout = Duration::from_millis(cfg.timeout_ms);
        let url = format!("http://{}/instances", cfg.require_instances()?);
        let list: InstanceList = get_json(&url, timeout).context(InstancesSnafu)?;
        let daemons = list.instances.into_iter().filter(|i| i.kind == DAEMON).collect();
        Ok(Fleet { daemons, timeout })
    }

    /// Asks every daemon for its status.
    pub fn statuses(&self) -> Vec<(&Instance, Result<DaemonStatus, HttpError>)> {
        self.ask("/admin/status")
    }

    /// Asks every daemon for a JSON value; the answers are in the order of the list.
    pub fn ask<T: DeserializeOwned + Send>(
        &self,
        path: &str,
    ) -> Vec<(&Instance, Result<T, HttpError>)> {
        let share = self.daemons.len().div_ceil(CONCURRENCY).max(1);
        let ask_one =
            |daemon: &Instance| get_json(&format!("http://{}{path}", daemon.address), self.timeout);
        thread::scope(|scope| {
            let shares = self.daemons.chunks(share);
            let ask_share =
                |share| move || Vec::from_iter(<[Instance]>::iter(share).map(|d| (d, ask_one(d))));
            let workers: Vec<_> = shares.map(|share| scope.spawn(ask_share(share))).collect();
            workers.into_iter().flat_map(|worker| worker.join().unwrap_or_default()).collect()
        })
    }
}
