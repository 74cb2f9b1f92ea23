use decision::cluster::{Effect, Identity, MemberChange, Revision};
use std::collections::BTreeSet;

/// What must hold for one process from its start to its end.
#[derive(Clone, Debug, Default)]
pub struct Invariants {
    in_force: Revision,
    ended: BTreeSet<Identity>,
}

impl Invariants {
    /// Checks an effect.
    ///
    /// # Panics
    ///
    /// Panics when a revision goes back or an ended identity comes back.
    pub fn check(&mut self, effect: &Effect) {
        match effect {
            Effect::ActivateLists { revision, .. } => {
                assert!(
                    *revision > self.in_force,
                    "revision {revision:?} after {:?}",
                    self.in_force
                );
                self.in_force = *revision;
            }
            Effect::Member { member, change } => {
                let ended = self.ended.contains(&member.identity);
                assert!(!ended, "member {} came back: {change:?}", member.identity);
                if matches!(change, MemberChange::Left | MemberChange::Dead) {
                    self.ended.insert(member.identity);
                }
            }
            _ => {}
        }
    }
}
