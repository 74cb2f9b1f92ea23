use super::store;
use crate::cli::Report;
use crate::failure::Failure;
use crate::fleet::Fleet;
use crate::messages;
use ::messages::status::{ClassStatus, DaemonStatus};
use argh::FromArgs;
use config::{PublishedLists, ReadError, Reader, ToolSettings};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// show daemons, endpoints, revisions, attainment and admission level
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// The whole system.
#[derive(Debug, Serialize)]
pub struct StatusReport {
    /// The object API.
    pub store: StoreReport,
    /// The daemons of the instance list.
    pub daemons: Vec<DaemonReport>,
    /// The classes, over all daemons that answered.
    pub classes: BTreeMap<String, ClassReport>,
}

/// The lists in the object API.
#[derive(Debug, Serialize)]
pub struct StoreReport {
    /// The revision in the object API; 0 before the first, absent when it was not reached.
    pub revision: Option<u64>,
    /// The digest of the lists there; absent before the first.
    pub digest: Option<String>,
    /// Why it was not read.
    pub error: Option<String>,
}

/// One daemon.
#[derive(Debug, Serialize)]
pub struct DaemonReport {
    /// The name.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// The address.
    pub address: SocketAddr,
    /// The state in the instance list.
    pub listed: String,
    /// What it says of itself; absent when it was not reached.
    pub status: Option<DaemonStatus>,
    /// Why it was not reached.
    pub error: Option<String>,
}

/// One request class.
#[derive(Debug, Serialize)]
pub struct ClassReport {
    /// The counts.
    #[serde(flatten)]
    pub counts: ClassStatus,
    /// Attained / requests; absent without requests.
    pub attainment: Option<f64>,
}

impl Status {
    /// Asks the object API and every daemon.
    pub fn run(&self, cfg: &ToolSettings) -> Result<StatusReport, Failure> {
        let store = store_report(Reader::default().read(&store(cfg)?));
        let daemons: Vec<DaemonReport> = daemon_reports(&Fleet::read(cfg)?);
        if daemons.iter().all(|d| d.status.is_none()) {
            let unreached = daemons.into_iter().map(|d| d.name).collect();
            return Err(Failure::NoDaemon { unreached });
        }
        let classes = class_reports(&daemons);
        Ok(StatusReport { store, daemons, classes })
    }
}

fn store_report(read: Result<Option<PublishedLists>, ReadError>) -> StoreReport {
    match read {
        Ok(Some(c)) => {
            StoreReport { revision: Some(c.revision), digest: Some(c.digest), error: None }
        }
        Ok(None) => StoreReport { revision: Some(0), digest: None, error: None },
        Err(e) => StoreReport { revision: None, digest: None, error: Some(e.to_string()) },
    }
}

fn daemon_reports(fleet: &Fleet) -> Vec<DaemonReport> {
    let statuses = fleet.statuses().into_iter();
    let report = statuses.map(|(instance, status)| {
        let (status, error) = match status {
            Ok(status) => (Some(status), None),
            Err(e) => (None, Some(e.to_string())),
        };
        DaemonReport {
            name: instance.name.clone(),
            data_centre: instance.data_centre.clone(),
            address: instance.address,
            listed: instance.state.clone(),
            status,
            error,
        }
    });
    report.collect()
}

fn class_reports(daemons: &[DaemonReport]) -> BTreeMap<String, ClassReport> {
    let mut sums: BTreeMap<String, ClassStatus> = BTreeMap::new();
    let statuses = daemons.iter().filter_map(|d| d.status.as_ref());
    for (name, counts) in statuses.flat_map(|s| &s.classes) {
        let zero = ClassStatus { attained: 0, failed: 0, refused: 0, requests: 0 };
        let sum = sums.entry(name.clone()).or_insert(zero);
        sum.attained += counts.attained;
        sum.failed += counts.failed;
        sum.refused += counts.refused;
        sum.requests += counts.requests;
    }
    let report = |counts: ClassStatus| {
        let share = counts.attained as f64 / counts.requests as f64;
        let attainment = (counts.requests > 0).then_some(share);
        ClassReport { counts, attainment }
    };
    sums.into_iter().map(|(name, counts)| (name, report(counts))).collect()
}

impl Report for StatusReport {
    fn text(&self) -> String {
        messages::status(self)
    }
}
