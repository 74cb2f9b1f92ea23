use super::identity::{Identity, mix, mix_identity};

/// Assigns a duty to up to `count` members by rendezvous hashing, highest rank first.
///
/// Daemons that see the same members choose the same owners. When a member joins or leaves, only
/// the duties that it owns are reassigned.
pub fn owners<I: IntoIterator<Item = Identity>>(
    members: I,
    duty: &str,
    count: usize,
) -> Vec<Identity> {
    let subject = duty.bytes().fold(0, |hash, byte| mix(hash, u64::from(byte) + 1));
    let mut ranked: Vec<(u64, Identity)> =
        members.into_iter().map(|id| (mix_identity(id, subject), id)).collect();
    ranked.sort_unstable();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, id)| id).collect()
}
