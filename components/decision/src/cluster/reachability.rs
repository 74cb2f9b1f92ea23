//! Reachability of the other data centres.

use super::identity::mix;
use super::state::Cluster;
use super::{Effect, Scope};
use crate::Millis;
use std::collections::BTreeSet;

/// Time between two publications of the data centres that a bridge reaches.
const REACHABILITY_INTERVAL: Millis = Millis(10_000);
const REACHABILITY_TTL: Millis = Millis(25_000);
const REACHABILITY_KEY: &str = "reach";

impl Cluster {
    /// Updates which data centres are reachable, by this daemon or by a bridge of its data centre.
    pub(super) fn update_reachability(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let others = self.members.iter().filter(|m| m.data_centre != self.cfg.data_centre);
        let names: BTreeSet<String> = others.map(|m| m.data_centre.clone()).collect();
        self.reachable.retain(|name, _| names.contains(name));
        let published: BTreeSet<u64> = self
            .table
            .iter(now)
            .filter(|entry| entry.key == REACHABILITY_KEY && entry.origin != self.me.identity)
            .flat_map(|entry| entry.values.iter().copied())
            .collect();
        let mut reached = Vec::new();
        for name in names {
            let at = self.last_contact.get(&name).copied();
            let is_reached = at.is_some_and(|at| now.since(at) < self.cfg.unreachable_after);
            if is_reached {
                reached.push(data_centre_hash(&name));
            }
            let reachable = is_reached || published.contains(&data_centre_hash(&name));
            if self.reachable.insert(name.clone(), reachable) != Some(reachable) {
                effects.push(Effect::DataCentre { name, reachable });
            }
        }
        self.publish_reachability(reached, now);
    }

    fn publish_reachability(&mut self, reached: Vec<u64>, now: Millis) {
        let published =
            self.table.get(self.me.identity, REACHABILITY_KEY).map(|entry| &entry.values);
        let is_new = published.map_or(!reached.is_empty(), |published| *published != reached);
        // A daemon that is no longer a bridge lets its entry expire.
        let has_none = reached.is_empty() && published.is_none();
        if !self.is_bridge || has_none || (!is_new && now < self.due.reachability) {
            return;
        }
        self.due.reachability = now + REACHABILITY_INTERVAL;
        self.publish(
            String::from(REACHABILITY_KEY),
            Scope::DataCentre,
            REACHABILITY_TTL,
            reached,
            now,
        );
    }
}

/// Hash that identifies a data centre among the values of a shared entry.
fn data_centre_hash(name: &str) -> u64 {
    name.bytes().fold(0, |hash, byte| mix(hash, u64::from(byte) + 1))
}
