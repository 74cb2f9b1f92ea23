use crate::Millis;

/// Time from the start of a process in which requests wait for its configuration: a daemon receives
/// it within some hundred milliseconds, unless the store is down.
const START_TIME: Millis = Millis(1_500);
/// The longest wait of a request, a few times the usual time to the configuration.
const MAX_START_WAIT: Millis = Millis(400);

/// Returns how long a request may wait for a daemon that has not received its configuration yet.
///
/// After a loss of power, clients reach daemons that have just started. Refused requests would come
/// back after longer than the start takes, and many clients retry only once. A daemon that is still
/// without a configuration later refuses at once, so that clients try another one.
pub fn start_wait(started: Millis, now: Millis) -> Millis {
    (started + START_TIME - now).min(MAX_START_WAIT)
}
