//! Which other data centres can be reached.

use super::identity::mix;
use super::state::Cluster;
use super::{Effect, Scope};
use crate::Millis;
use std::collections::BTreeSet;

/// The time between two notes of the data centres that a bridge reaches.
const REACH_INTERVAL: Millis = Millis(10_000);
/// The time for which such a note holds.
const REACH_TTL: Millis = Millis(25_000);
/// The key of such a note.
const REACH_KEY: &str = "reach";

impl Cluster {
    /// Notes which data centres can be reached, by this daemon or by the bridges of its own.
    pub(super) fn update_reach(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let others = self.members.iter().filter(|m| m.data_centre != self.cfg.data_centre);
        let names: BTreeSet<String> = others.map(|m| m.data_centre.clone()).collect();
        self.reachable.retain(|name, _| names.contains(name));
        let noted: BTreeSet<u64> = self
            .table
            .iter(now)
            .filter(|entry| entry.key == REACH_KEY && entry.origin != self.me.identity)
            .flat_map(|entry| entry.values.iter().copied())
            .collect();
        let mut heard = Vec::new();
        for name in names {
            let at = self.heard.get(&name).copied();
            let hears = at.is_some_and(|at| now.since(at) < self.cfg.unreachable_after);
            if hears {
                heard.push(data_centre_number(&name));
            }
            let reachable = hears || noted.contains(&data_centre_number(&name));
            if self.reachable.insert(name.clone(), reachable) != Some(reachable) {
                effects.push(Effect::DataCentre { name, reachable });
            }
        }
        self.note_reach(heard, now);
    }

    fn note_reach(&mut self, heard: Vec<u64>, now: Millis) {
        let noted = self.table.get(self.me.identity, REACH_KEY).map(|entry| &entry.values);
        let is_new = noted.map_or(!heard.is_empty(), |noted| *noted != heard);
        // A member that stops being a bridge lets its note lapse unless it changes.
        let has_none = heard.is_empty() && noted.is_none();
        if !self.is_bridge || has_none || (!is_new && now < self.due.reach) {
            return;
        }
        self.due.reach = now + REACH_INTERVAL;
        self.publish(String::from(REACH_KEY), Scope::DataCentre, REACH_TTL, heard, now);
    }
}

/// Returns the number that stands for a data centre in a note.
fn data_centre_number(name: &str) -> u64 {
    name.bytes().fold(0, |hash, byte| mix(hash, u64::from(byte) + 1))
}
