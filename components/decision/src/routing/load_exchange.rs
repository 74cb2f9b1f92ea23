use super::readers::Peer;
use crate::Millis;
use messages::feed::EndpointLoad;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Age at which a load report is discarded: several report intervals.
const STALE_AFTER: Millis = Millis(2_500);
/// Maximum number of rows that a daemon reports in one round to all its followers together, about
/// 0.8 MB.
const ROWS_PER_ROUND: usize = 32_000;
/// The maximum and the minimum number of rows in one response. A row takes about 25 bytes.
const ROW_LIMITS: [usize; 2] = [1_024, 64];
/// Unread prompt tokens that count as much as one running request when the most loaded rows are
/// selected.
const TOKENS_PER_REQUEST: u64 = 200;

/// Sums loads by endpoint and priority.
pub fn sum_loads<'a>(rows: impl Iterator<Item = &'a EndpointLoad>) -> Vec<EndpointLoad> {
    let mut sums = Sums::default();
    rows.for_each(|row| sums.add(row));
    sums.0.into_values().collect()
}

/// Load sums by endpoint and priority.
#[derive(Clone, Debug, Default)]
struct Sums(BTreeMap<(String, u8), EndpointLoad>);

fn key(row: &EndpointLoad) -> (String, u8) {
    (row.endpoint.clone(), row.priority)
}

fn empty_row(endpoint: &str, priority: u8) -> EndpointLoad {
    EndpointLoad {
        endpoint: endpoint.to_owned(),
        priority,
        running: 0,
        unread_tokens: 0,
        held_tokens: 0,
        interactive: 0,
    }
}

fn add_row(sum: &mut EndpointLoad, row: &EndpointLoad) {
    sum.running += row.running;
    sum.unread_tokens += row.unread_tokens;
    sum.held_tokens += row.held_tokens;
    sum.interactive += row.interactive;
}

fn subtract_row(sum: &mut EndpointLoad, row: &EndpointLoad) {
    sum.running = sum.running.saturating_sub(row.running);
    sum.unread_tokens = sum.unread_tokens.saturating_sub(row.unread_tokens);
    sum.held_tokens = sum.held_tokens.saturating_sub(row.held_tokens);
    sum.interactive = sum.interactive.saturating_sub(row.interactive);
}

impl Sums {
    fn add(&mut self, row: &EndpointLoad) {
        match self.0.get_mut(&key(row)) {
            Some(sum) => add_row(sum, row),
            None => {
                self.0.insert(key(row), row.clone());
            }
        }
    }

    fn subtract(&mut self, row: &EndpointLoad) {
        let Some(sum) = self.0.get_mut(&key(row)) else { return };
        subtract_row(sum, row);
        if sum.running == 0 {
            self.0.remove(&key(row));
        }
    }

    /// Returns the sums plus `added` and minus `removed`. If there are more than `limit` rows, only
    /// the most loaded ones are returned, followed by one row with an empty endpoint that contains
    /// the total of the others.
    fn top_rows(
        &self,
        added: &[EndpointLoad],
        removed: &[EndpointLoad],
        limit: usize,
    ) -> Vec<EndpointLoad> {
        let changed_keys = added.iter().chain(removed).map(key);
        let mut changed_rows: BTreeMap<(String, u8), EndpointLoad> = changed_keys
            .map(|key| {
                let row = self.0.get(&key).cloned().unwrap_or_else(|| empty_row(&key.0, key.1));
                (key, row)
            })
            .collect();
        for row in added {
            changed_rows.entry(key(row)).and_modify(|sum| add_row(sum, row));
        }
        for row in removed {
            changed_rows.entry(key(row)).and_modify(|sum| subtract_row(sum, row));
        }
        let unchanged =
            self.0.iter().filter(|(key, _)| !changed_rows.contains_key(key)).map(|(_, row)| row);
        let mut rows: Vec<&EndpointLoad> =
            unchanged.chain(changed_rows.values()).filter(|row| row.running > 0).collect();
        if rows.len() <= limit {
            return rows.into_iter().cloned().collect();
        }
        let weight =
            |row: &&EndpointLoad| row.unread_tokens + TOKENS_PER_REQUEST * u64::from(row.running);
        rows.select_nth_unstable_by_key(limit, |row| Reverse(weight(row)));
        let mut remainder = empty_row("", u8::MAX);
        rows[limit..].iter().for_each(|row| add_row(&mut remainder, row));
        rows[..limit].iter().map(|row| (*row).clone()).chain([remainder]).collect()
    }
}

/// The daemon that sends a report, and the number of daemons that the report covers.
#[derive(Clone, Debug, Default)]
pub struct Reporter {
    /// The sender.
    pub peer: Peer,
    /// The number of daemons, the sender included.
    pub daemons: usize,
    /// Whether the sender is in the same data centre.
    pub is_local: bool,
}

#[derive(Clone, Debug, Default)]
struct Report {
    reporter: Reporter,
    rows: Vec<EndpointLoad>,
    received_at: Millis,
}

/// The loads reported to this daemon: by each of its followers, the daemons that read the store
/// through it, and by each other data centre that does not follow it as a sum. A follower that has
/// followers of its own reports their sum.
///
/// The sums are updated with each report, so that the cost of a response does not grow with the
/// number of followers.
#[derive(Clone, Debug, Default)]
pub struct LoadExchange {
    followers: BTreeMap<String, Report>,
    data_centres: BTreeMap<String, Report>,
    followers_sum: Sums,
    /// Loads of the followers and of the other data centres together.
    fleet_sum: Sums,
}

impl LoadExchange {
    /// Records the load of a daemon that follows this one; replaces its previous report.
    pub fn record_follower(&mut self, reporter: Reporter, rows: Vec<EndpointLoad>, now: Millis) {
        let name = reporter.peer.name.clone();
        self.remove_follower(&name);
        for row in &rows {
            self.followers_sum.add(row);
            self.fleet_sum.add(row);
        }
        self.followers.insert(name, Report { reporter, rows, received_at: now });
    }

    fn remove_follower(&mut self, name: &str) {
        let Some(report) = self.followers.remove(name) else { return };
        for row in &report.rows {
            self.followers_sum.subtract(row);
            self.fleet_sum.subtract(row);
        }
    }

    /// Records the load of another data centre; replaces its previous report.
    pub fn record_data_centre(
        &mut self,
        name: &str,
        daemons: usize,
        rows: Vec<EndpointLoad>,
        now: Millis,
    ) {
        self.remove_data_centre(name);
        rows.iter().for_each(|row| self.fleet_sum.add(row));
        let reporter = Reporter { daemons, ..Reporter::default() };
        self.data_centres.insert(name.to_owned(), Report { reporter, rows, received_at: now });
    }

    fn remove_data_centre(&mut self, name: &str) {
        let Some(report) = self.data_centres.remove(name) else { return };
        report.rows.iter().for_each(|row| self.fleet_sum.subtract(row));
    }

    /// Returns the number of daemons whose load [`LoadExchange::data_centre_loads`] contains.
    pub fn followers_and_self(&self) -> usize {
        1 + self.followers.values().map(|report| report.reporter.daemons).sum::<usize>()
    }

    /// Returns the number of daemons that are known to this one, itself included.
    pub fn daemons(&self) -> usize {
        let others = self.data_centres.values().map(|report| report.reporter.daemons);
        self.followers_and_self() + others.sum::<usize>()
    }

    /// Returns the followers in the data centre of this daemon.
    pub fn local_followers(&self) -> impl Iterator<Item = &Peer> {
        let reporters = self.followers.values().map(|report| &report.reporter);
        reporters.filter(|reporter| reporter.is_local).map(|reporter| &reporter.peer)
    }

    /// Discards reports that have not been replaced for several report intervals.
    pub fn expire(&mut self, now: Millis) {
        let stale = |reports: &BTreeMap<String, Report>| -> Vec<String> {
            let stale =
                reports.iter().filter(|(_, report)| now.since(report.received_at) >= STALE_AFTER);
            stale.map(|(name, _)| name.clone()).collect()
        };
        stale(&self.followers).iter().for_each(|name| self.remove_follower(name));
        stale(&self.data_centres).iter().for_each(|name| self.remove_data_centre(name));
    }

    /// Returns the load of this daemon (`own`) and its followers, with all but the most loaded
    /// endpoints combined in one row.
    pub fn data_centre_loads(&self, own: &[EndpointLoad]) -> Vec<EndpointLoad> {
        self.followers_sum.top_rows(own, &[], ROW_LIMITS[0])
    }

    /// Returns the load of all daemons except the follower `except`, whose own report is
    /// subtracted. The followers share the maximum number of rows per round equally, within the
    /// limits of one response; the less loaded endpoints beyond one follower's part are combined in
    /// one further row.
    pub fn fleet_loads(&self, own: &[EndpointLoad], except: &str) -> Vec<EndpointLoad> {
        let subtracted = self.followers.get(except).map_or(&[][..], |report| &report.rows);
        let [limit, minimum] = ROW_LIMITS;
        let share = ROWS_PER_ROUND / self.followers.len().max(1);
        self.fleet_sum.top_rows(own, subtracted, share.clamp(minimum, limit))
    }
}
