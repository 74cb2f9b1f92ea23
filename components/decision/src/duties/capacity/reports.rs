use super::demand::{DataCentreDemand, Work};
use crate::Millis;
use messages::duties::{DutyReport, ServiceReport};
use std::collections::BTreeMap;

/// Maximum age of a report that orders are based on.
const MAX_AGE: Millis = Millis(3_000);
/// Time after its last report for which a daemon is expected to report.
const EXPECTED_FOR: Millis = Millis(10_000);
/// Shortest time that a report must cover for its counts to be turned into rates.
const MIN_COVERED_MS: u64 = 200;

/// The latest report of a daemon.
#[derive(Clone, Debug)]
struct Report {
    data_centre: String,
    incarnation: u64,
    sequence: u64,
    received_at: Millis,
    work: BTreeMap<String, Work>,
}

/// The demand that daemons have reported to the holder.
#[derive(Clone, Debug, Default)]
pub struct DemandReports {
    reports: BTreeMap<String, Report>,
}

impl DemandReports {
    /// Records a report, unless it is a repetition or older than a known one.
    pub fn record(&mut self, report: &DutyReport, now: Millis) {
        let is_known = self.reports.get(&report.name).is_some_and(|known| {
            known.incarnation == report.incarnation && known.sequence >= report.sequence
        });
        if is_known || report.covered_ms < MIN_COVERED_MS {
            return;
        }
        let seconds = report.covered_ms as f64 / 1_000.0;
        let work = report.services.iter();
        let work = work.map(|service| (service.service.clone(), work_of(service, seconds)));
        let work = work.collect();
        self.reports.insert(
            report.name.clone(),
            Report {
                data_centre: report.data_centre.clone(),
                incarnation: report.incarnation,
                sequence: report.sequence,
                received_at: now,
                work,
            },
        );
    }

    /// Discards the reports of daemons that are no longer expected to report.
    pub fn expire(&mut self, now: Millis) {
        self.reports.retain(|_, report| now.since(report.received_at) < EXPECTED_FOR);
    }

    /// Returns the daemons and the work of a service by data centre. Daemons without a recent report
    /// are assumed to have the average work of the others in their data centre.
    pub fn demand(&self, service: &str, now: Millis) -> BTreeMap<String, DataCentreDemand> {
        let mut demands: BTreeMap<String, DataCentreDemand> = BTreeMap::new();
        for report in self.reports.values() {
            let age = now.since(report.received_at);
            if age >= EXPECTED_FOR {
                continue;
            }
            let demand = demands.entry(report.data_centre.clone()).or_default();
            demand.daemons += 1;
            if age > MAX_AGE {
                continue;
            }
            demand.reporting += 1;
            if let Some(work) = report.work.get(service) {
                demand.work.add(work);
            }
        }
        for demand in demands.values_mut().filter(|demand| demand.reporting > 0) {
            demand.work.scale(f64::from(demand.daemons) / f64::from(demand.reporting));
        }
        demands
    }
}

fn work_of(report: &ServiceReport, seconds: f64) -> Work {
    let rate = |count: u64| count as f64 / seconds;
    Work {
        placed: rate(report.placed),
        prompt_tokens: rate(report.prompt_tokens),
        refused: rate(report.refused),
        begun: rate(report.begun),
        begun_late: rate(report.begun_late),
        in_flight: report.in_flight.iter().map(|row| row.requests as f64).sum(),
        queued: report.queued as f64,
        held_tokens: report.in_flight.iter().map(|row| row.tokens as f64).sum(),
        unread_tokens: report.unread_tokens as f64,
    }
}
