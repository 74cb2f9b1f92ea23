use super::store;
use crate::cli::Report;
use crate::failure::Failure;
use crate::fleet::Fleet;
use crate::render;
use argh::FromArgs;
use config::{PublishedLists, ReadError, Reader, ToolSettings};
use messages::status::{ClassStatus, DaemonStatus};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// show daemons, endpoints, revisions, attainment and admitted tiers
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// The status of the object API, the daemons and the request classes.
#[derive(Debug, Serialize)]
pub struct StatusReport {
    /// The object API.
    pub store: StoreReport,
    /// The daemons, in the order of the instance list.
    pub daemons: Vec<DaemonReport>,
    /// The request classes, with counts summed over the daemons that responded.
    pub classes: BTreeMap<String, ClassReport>,
}

/// The lists in the object API.
#[derive(Debug, Serialize)]
pub struct StoreReport {
    /// The revision in the object API; 0 before the first, absent if it cannot be read.
    pub revision: Option<u64>,
    /// The digest of these lists; absent before the first revision.
    pub digest: Option<String>,
    /// Why the lists cannot be read.
    pub error: Option<String>,
}

/// A daemon of the instance list.
#[derive(Debug, Serialize)]
pub struct DaemonReport {
    /// The name of its instance.
    pub name: String,
    /// The data centre of its instance.
    pub data_centre: String,
    /// The address at which it serves HTTP.
    pub address: SocketAddr,
    /// The state of the instance in the instance list.
    #[serde(rename = "listed")]
    pub listed_state: String,
    /// The status that it reports; absent if it was not reached.
    pub status: Option<DaemonStatus>,
    /// Why it was not reached.
    pub error: Option<String>,
}

/// The counts and the attainment of a request class.
#[derive(Debug, Serialize)]
pub struct ClassReport {
    /// Counts summed over the daemons that responded.
    #[serde(flatten)]
    pub counts: ClassStatus,
    /// The ratio of attained requests to all requests, 0 to 1; absent if there are no requests.
    pub attainment: Option<f64>,
}

impl Status {
    /// Queries the object API and every daemon; an error if no daemon responds.
    pub fn run(&self, cfg: &ToolSettings) -> Result<StatusReport, Failure> {
        let store = store_report(Reader::default().read(&store(cfg)?));
        let daemons: Vec<DaemonReport> = daemon_reports(&Fleet::read(cfg)?);
        if daemons.iter().all(|d| d.status.is_none()) {
            let unreached = daemons.into_iter().map(|d| d.name).collect();
            return Err(Failure::NoDaemonReached { unreached });
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
            listed_state: instance.state.clone(),
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
        let ratio = counts.attained as f64 / counts.requests as f64;
        let attainment = (counts.requests > 0).then_some(ratio);
        ClassReport { counts, attainment }
    };
    sums.into_iter().map(|(name, counts)| (name, report(counts))).collect()
}

impl Report for StatusReport {
    fn text(&self) -> String {
        render::status_report(self)
    }
}
