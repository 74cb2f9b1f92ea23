use crate::faults::Fault;
use fakes::PathState;
use std::time::{Duration, Instant};

/// Time for which a gateway is not in touch after a disturbance, and that it has to act
/// (`contact_ms`).
pub const CONTACT_TIME: Duration = Duration::from_secs(4);

/// A fault that was applied, and when.
pub type AppliedFault = (Instant, Fault);

/// Whether a gateway was undisturbed for the contact time before a moment.
pub fn is_in_touch(gateway: usize, at: Instant, applied: &[AppliedFault]) -> bool {
    let (mut paused, mut turned_away, mut refused) = (false, false, false);
    for (since, fault) in applied.iter().filter(|(since, _)| *since <= at) {
        let is_recent = *since + CONTACT_TIME > at;
        match fault {
            Fault::Pause(number) if *number == gateway => paused = true,
            Fault::Continue(number) if *number == gateway => {
                paused = false;
                if is_recent {
                    return false;
                }
            }
            Fault::Kill(number) | Fault::Terminate(number) if *number == gateway && is_recent => {
                return false;
            }
            Fault::TurnAway(number, state) if *number == gateway => {
                turned_away = *state != PathState::Open;
                if is_recent {
                    return false;
                }
            }
            Fault::Refuse(number, status) if *number == gateway => {
                refused = status.is_some();
                if is_recent {
                    return false;
                }
            }
            Fault::Store(_) | Fault::StoreLink(_) if is_recent => return false,
            _ => {}
        }
    }
    !paused && !turned_away && !refused
}
