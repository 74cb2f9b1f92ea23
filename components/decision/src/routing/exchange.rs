use crate::Millis;
use messages::feed::EndpointLoad;
use std::collections::BTreeMap;

/// Age from which the load that another daemon told is no longer used: several of its reports.
const STALE_AFTER: Millis = Millis(2_500);

/// Adds up loads by endpoint and rank.
pub fn add_up<'a>(rows: impl Iterator<Item = &'a EndpointLoad>) -> Vec<EndpointLoad> {
    let mut sums: BTreeMap<(&str, u8), EndpointLoad> = BTreeMap::new();
    for row in rows {
        match sums.get_mut(&(row.endpoint.as_str(), row.priority)) {
            Some(sum) => {
                sum.running += row.running;
                sum.unread_tokens += row.unread_tokens;
                sum.held_tokens += row.held_tokens;
                sum.interactive += row.interactive;
            }
            None => {
                sums.insert((&row.endpoint, row.priority), row.clone());
            }
        }
    }
    sums.into_values().collect()
}

#[derive(Clone, Debug, Default)]
struct Report {
    rows: Vec<EndpointLoad>,
    at: Millis,
}

/// The load that other daemons told this one: each daemon of the data centre that follows it, and
/// each other data centre as a sum.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    followers: BTreeMap<String, Report>,
    data_centres: BTreeMap<String, Report>,
}

impl Exchange {
    /// Takes the load of a daemon of the data centre.
    pub fn put_follower(&mut self, name: &str, rows: Vec<EndpointLoad>, now: Millis) {
        self.followers.insert(name.to_owned(), Report { rows, at: now });
    }

    /// Takes the load of another data centre.
    pub fn put_data_centre(&mut self, name: &str, rows: Vec<EndpointLoad>, now: Millis) {
        self.data_centres.insert(name.to_owned(), Report { rows, at: now });
    }

    /// Forgets loads that are no longer true.
    pub fn expire(&mut self, now: Millis) {
        let is_fresh = |report: &Report| now.since(report.at) < STALE_AFTER;
        self.followers.retain(|_, report| is_fresh(report));
        self.data_centres.retain(|_, report| is_fresh(report));
    }

    /// Returns the load of the daemons of the data centre but `except`.
    pub fn data_centre(&self, own: &[EndpointLoad], except: &str) -> Vec<EndpointLoad> {
        let others = self.followers.iter().filter(|(name, _)| *name != except);
        add_up(own.iter().chain(others.flat_map(|(_, report)| &report.rows)))
    }

    /// Returns the load of all daemons but `except`.
    pub fn all(&self, own: &[EndpointLoad], except: &str) -> Vec<EndpointLoad> {
        let data_centre = self.data_centre(own, except);
        let others = self.data_centres.values().flat_map(|report| &report.rows);
        add_up(data_centre.iter().chain(others))
    }
}
