use crate::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// What a daemon has seen of a service since its previous report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceCounts {
    /// Requests sent to an endpoint.
    pub placed: u64,
    /// Prompt tokens that the endpoints had to read for them.
    pub prompt_tokens: u64,
    /// Requests refused for lack of capacity.
    pub refused: u64,
    /// Responses that began.
    pub begun: u64,
    /// Responses that began after more than half of the objective of their route had passed.
    pub begun_late: u64,
}

/// Counts the requests of this daemon to the services whose endpoints are ordered.
#[derive(Clone, Debug, Default)]
pub struct DemandCounts {
    services: BTreeMap<String, ServiceCounts>,
    taken_at: Option<Millis>,
}

impl DemandCounts {
    /// Sets the services to count; requests to others are ignored.
    pub fn set_services(&mut self, names: &BTreeSet<&str>) {
        self.services.retain(|name, _| names.contains(name.as_str()));
        for name in names {
            if !self.services.contains_key(*name) {
                self.services.insert((*name).to_owned(), ServiceCounts::default());
            }
        }
    }

    /// Counts a request that is sent to an endpoint, which has to read this many tokens.
    pub fn record_send(&mut self, service: &str, unread_tokens: u32) {
        if let Some(counts) = self.services.get_mut(service) {
            counts.placed += 1;
            counts.prompt_tokens += u64::from(unread_tokens);
        }
    }

    /// Counts the beginning of a response to a request that arrived at `arrived` and whose response is
    /// late after `due`.
    pub fn record_first_byte(&mut self, service: &str, arrived: Millis, due: Millis, now: Millis) {
        if let Some(counts) = self.services.get_mut(service) {
            counts.begun += 1;
            counts.begun_late += u64::from(now.since(arrived).0 * 2 > due.since(arrived).0);
        }
    }

    /// Counts a request that is refused for lack of capacity.
    pub fn record_refusal(&mut self, service: &str) {
        if let Some(counts) = self.services.get_mut(service) {
            counts.refused += 1;
        }
    }

    /// Returns the counts since the previous call and the time that they cover, which is 0 at the
    /// first call.
    pub fn take(&mut self, now: Millis) -> (Millis, BTreeMap<String, ServiceCounts>) {
        let covered = now.since(self.taken_at.replace(now).unwrap_or(now));
        let counts = self.services.iter_mut();
        let counts = counts.map(|(name, counts)| (name.clone(), std::mem::take(counts)));
        (covered, counts.collect())
    }
}
