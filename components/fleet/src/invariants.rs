use decision::cluster::{Effect, Identity, MemberChange, Revision};
use std::collections::BTreeSet;

/// Invariants of one process over its lifetime: revisions only increase, and a member that has left
/// or died doesn't return under the same identity.
#[derive(Clone, Debug, Default)]
pub struct Invariants {
    active: Revision,
    departed: BTreeSet<Identity>,
}

impl Invariants {
    /// Checks an effect against the earlier ones of the process.
    ///
    /// # Panics
    ///
    /// Panics if a revision does not increase or a departed member returns.
    pub fn check(&mut self, effect: &Effect) {
        match effect {
            Effect::ActivateLists { revision, .. } => {
                assert!(
                    *revision > self.active,
                    "activated revision {revision:?} after {:?}",
                    self.active
                );
                self.active = *revision;
            }
            Effect::Member { member, change } => {
                let is_departed = self.departed.contains(&member.identity);
                assert!(!is_departed, "departed member {} returned: {change:?}", member.identity);
                if matches!(change, MemberChange::Left | MemberChange::Dead) {
                    self.departed.insert(member.identity);
                }
            }
            _ => {}
        }
    }
}
