use super::recent_outcomes::OutcomeCounts;
use crate::Millis;
use messages::feed::EndpointOutcomes;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Age at which a report is discarded: several report intervals.
const STALE_AFTER: Millis = Millis(2_500);
/// Maximum number of endpoints in a report. Beyond it, those with the most failures are reported.
const MAX_ROWS: usize = 64;

#[derive(Clone, Debug, Default)]
struct Report {
    rows: Vec<EndpointOutcomes>,
    received_at: Millis,
}

/// The outcomes of recent attempts reported to this daemon: by each of its followers and by each
/// other data centre that does not follow it, in the same way as loads.
///
/// In a fleet where a daemon seldom uses the same endpoint twice, no daemon notices by itself that
/// an endpoint fails part of its requests. Reports contain only endpoints with failures at any
/// daemon.
#[derive(Clone, Debug, Default)]
pub struct OutcomeExchange {
    followers: BTreeMap<String, Report>,
    data_centres: BTreeMap<String, Report>,
}

impl OutcomeExchange {
    /// Records the outcomes at a daemon that follows this one; replaces its previous report.
    pub fn record_follower(&mut self, name: &str, rows: Vec<EndpointOutcomes>, now: Millis) {
        self.followers.insert(name.to_owned(), Report { rows, received_at: now });
    }

    /// Records the outcomes at another data centre; replaces its previous report.
    pub fn record_data_centre(&mut self, name: &str, rows: Vec<EndpointOutcomes>, now: Millis) {
        self.data_centres.insert(name.to_owned(), Report { rows, received_at: now });
    }

    /// Discards reports that have not been replaced for several report intervals.
    pub fn expire(&mut self, now: Millis) {
        let is_recent = |report: &Report| now.since(report.received_at) < STALE_AFTER;
        self.followers.retain(|_, report| is_recent(report));
        self.data_centres.retain(|_, report| is_recent(report));
    }

    /// Returns the outcomes at this daemon (`own`) and its followers.
    pub fn data_centre_outcomes(&self, own: &[EndpointOutcomes]) -> Vec<EndpointOutcomes> {
        sum_outcomes(self.followers.values().flat_map(|report| &report.rows).chain(own))
    }

    /// Returns the outcomes at all daemons except the follower `except`.
    pub fn fleet_outcomes(&self, own: &[EndpointOutcomes], except: &str) -> Vec<EndpointOutcomes> {
        let followers = self.followers.iter().filter(|(name, _)| *name != except);
        let reports = followers.map(|(_, report)| report).chain(self.data_centres.values());
        let mut rows = sum_outcomes(reports.flat_map(|report| &report.rows).chain(own));
        rows.retain(|row| row.failures > 0);
        rows
    }
}

fn sum_outcomes<'a>(rows: impl Iterator<Item = &'a EndpointOutcomes>) -> Vec<EndpointOutcomes> {
    let mut sums: BTreeMap<&str, OutcomeCounts> = BTreeMap::new();
    for row in rows {
        let counts = OutcomeCounts { attempts: row.attempts, failures: row.failures };
        *sums.entry(&row.endpoint).or_default() += counts;
    }
    let mut rows: Vec<EndpointOutcomes> = sums
        .into_iter()
        .map(|(endpoint, counts)| EndpointOutcomes {
            endpoint: endpoint.to_owned(),
            attempts: counts.attempts,
            failures: counts.failures,
        })
        .collect();
    if rows.len() > MAX_ROWS {
        rows.sort_by_key(|row| Reverse(row.failures));
        rows.truncate(MAX_ROWS);
    }
    rows
}
