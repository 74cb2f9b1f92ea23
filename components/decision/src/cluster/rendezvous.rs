use super::identity::{Identity, mix, mix_identity};

/// Returns the `count` members that hold a duty, the first in rank first.
///
/// Two daemons that see the same members choose the same owners; a member that comes or goes
/// moves only its own duties.
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
