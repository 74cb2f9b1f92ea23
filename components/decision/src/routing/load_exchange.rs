use crate::Millis;
use messages::feed::EndpointLoad;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Age from which the load that another daemon told is no longer used: several of its reports.
const STALE_AFTER: Millis = Millis(2_500);
/// Rows that a daemon tells all its followers together in one round, about 1.4 MB.
const ROWS_PER_ROUND: usize = 16_000;
/// The most and the fewest rows of one answer. A row takes some 85 bytes.
const ROWS: [usize; 2] = [512, 64];
/// Prompt tokens that weigh as much as a running request when rows are chosen.
const TOKENS_PER_REQUEST: u64 = 200;

/// Adds up loads by endpoint and rank.
pub fn sum_loads<'a>(rows: impl Iterator<Item = &'a EndpointLoad>) -> Vec<EndpointLoad> {
    let mut sums = Sums::default();
    rows.for_each(|row| sums.add(row));
    sums.0.into_values().collect()
}

/// Loads by endpoint and rank.
#[derive(Clone, Debug, Default)]
struct Sums(BTreeMap<(String, u8), EndpointLoad>);

fn key(row: &EndpointLoad) -> (String, u8) {
    (row.endpoint.clone(), row.priority)
}

/// Returns a row without load.
fn no_load(endpoint: &str, priority: u8) -> EndpointLoad {
    EndpointLoad {
        endpoint: endpoint.to_owned(),
        priority,
        running: 0,
        unread_tokens: 0,
        held_tokens: 0,
        interactive: 0,
    }
}

fn plus(sum: &mut EndpointLoad, row: &EndpointLoad) {
    sum.running += row.running;
    sum.unread_tokens += row.unread_tokens;
    sum.held_tokens += row.held_tokens;
    sum.interactive += row.interactive;
}

fn minus(sum: &mut EndpointLoad, row: &EndpointLoad) {
    sum.running = sum.running.saturating_sub(row.running);
    sum.unread_tokens = sum.unread_tokens.saturating_sub(row.unread_tokens);
    sum.held_tokens = sum.held_tokens.saturating_sub(row.held_tokens);
    sum.interactive = sum.interactive.saturating_sub(row.interactive);
}

impl Sums {
    fn add(&mut self, row: &EndpointLoad) {
        match self.0.get_mut(&key(row)) {
            Some(sum) => plus(sum, row),
            None => {
                self.0.insert(key(row), row.clone());
            }
        }
    }

    fn take_away(&mut self, row: &EndpointLoad) {
        let Some(sum) = self.0.get_mut(&key(row)) else { return };
        minus(sum, row);
        if sum.running == 0 {
            self.0.remove(&key(row));
        }
    }

    /// Returns the sums with `more` and without `less`: the rows with the most load, and one
    /// without an endpoint for the rest.
    fn told(&self, more: &[EndpointLoad], less: &[EndpointLoad], most: usize) -> Vec<EndpointLoad> {
        let changed = more.iter().chain(less).map(key);
        let mut changes: BTreeMap<(String, u8), EndpointLoad> = changed
            .map(|key| {
                let row = self.0.get(&key).cloned().unwrap_or_else(|| no_load(&key.0, key.1));
                (key, row)
            })
            .collect();
        for row in more {
            changes.entry(key(row)).and_modify(|sum| plus(sum, row));
        }
        for row in less {
            changes.entry(key(row)).and_modify(|sum| minus(sum, row));
        }
        let same = self.0.iter().filter(|(key, _)| !changes.contains_key(key)).map(|(_, row)| row);
        let mut rows: Vec<&EndpointLoad> =
            same.chain(changes.values()).filter(|row| row.running > 0).collect();
        if rows.len() <= most {
            return rows.into_iter().cloned().collect();
        }
        let weight =
            |row: &&EndpointLoad| row.unread_tokens + TOKENS_PER_REQUEST * u64::from(row.running);
        rows.select_nth_unstable_by_key(most, |row| Reverse(weight(row)));
        let mut rest = no_load("", u8::MAX);
        rows[most..].iter().for_each(|row| plus(&mut rest, row));
        rows[..most].iter().map(|row| (*row).clone()).chain([rest]).collect()
    }
}

#[derive(Clone, Debug, Default)]
struct Report {
    rows: Vec<EndpointLoad>,
    at: Millis,
}

/// The load that other daemons told this one: each daemon of the data centre that follows it, and
/// each other data centre as a sum.
///
/// Sums are kept up to date with each report, so that an answer costs no more with more followers.
#[derive(Clone, Debug, Default)]
pub struct LoadExchange {
    followers: BTreeMap<String, Report>,
    data_centres: BTreeMap<String, Report>,
    /// The sums of the followers.
    near: Sums,
    /// The sums of the followers and the other data centres.
    all: Sums,
}

impl LoadExchange {
    /// Takes the load of a daemon of the data centre.
    pub fn record_follower(&mut self, name: &str, rows: Vec<EndpointLoad>, now: Millis) {
        self.drop_follower(name);
        for row in &rows {
            self.near.add(row);
            self.all.add(row);
        }
        self.followers.insert(name.to_owned(), Report { rows, at: now });
    }

    fn drop_follower(&mut self, name: &str) {
        let Some(report) = self.followers.remove(name) else { return };
        for row in &report.rows {
            self.near.take_away(row);
            self.all.take_away(row);
        }
    }

    /// Takes the load of another data centre.
    pub fn record_data_centre(&mut self, name: &str, rows: Vec<EndpointLoad>, now: Millis) {
        self.drop_data_centre(name);
        rows.iter().for_each(|row| self.all.add(row));
        self.data_centres.insert(name.to_owned(), Report { rows, at: now });
    }

    fn drop_data_centre(&mut self, name: &str) {
        let Some(report) = self.data_centres.remove(name) else { return };
        report.rows.iter().for_each(|row| self.all.take_away(row));
    }

    /// Forgets loads that are no longer true.
    pub fn expire(&mut self, now: Millis) {
        let old = |reports: &BTreeMap<String, Report>| -> Vec<String> {
            let old = reports.iter().filter(|(_, report)| now.since(report.at) >= STALE_AFTER);
            old.map(|(name, _)| name.clone()).collect()
        };
        old(&self.followers).iter().for_each(|name| self.drop_follower(name));
        old(&self.data_centres).iter().for_each(|name| self.drop_data_centre(name));
    }

    /// Returns the load of the daemons of the data centre, the most loaded endpoints first to be
    /// told.
    pub fn data_centre_loads(&self, own: &[EndpointLoad]) -> Vec<EndpointLoad> {
        self.near.told(own, &[], ROWS[0])
    }

    /// Returns the load of all daemons but `except`, as far as its share of a round goes.
    pub fn fleet_loads(&self, own: &[EndpointLoad], except: &str) -> Vec<EndpointLoad> {
        let told = self.followers.get(except).map_or(&[][..], |report| &report.rows);
        let [most, fewest] = ROWS;
        let share = ROWS_PER_ROUND / self.followers.len().max(1);
        self.all.told(own, told, share.clamp(fewest, most))
    }
}
