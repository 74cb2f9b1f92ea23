use crate::adapter::Adapter;
use crate::clock::now;
use crate::connection::ResponseLimits;
use crate::gateway::Gateway;
use crate::load_reports::REMOTE_TIMEOUT;
use crate::peer_feed::{MAX_RESPONSE_BYTES, call, feed_request};
use decision::Millis;
use decision::routing::{Freshness, Peer, REREGISTRATION_TIMEOUT};
use messages::feed::FeedRequest;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Keeps endpoints whose entries are missing until they had time to register again, since this
/// daemon was without the store from `lost_at` to `now`.
///
/// The store may have been available all the time, and only this daemon or the reader that it
/// replaces cut off from it. If a daemon of another region can tell, the endpoints are removed.
pub(crate) fn keep_missing_endpoints<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    lost_at: Millis,
    now: Millis,
) {
    let was_settled = gateway.is_registry_settled(lost_at);
    let unsettled_until = now + REREGISTRATION_TIMEOUT;
    gateway.unsettled_until.set(unsettled_until);
    // Entries that expired in an earlier outage may still be missing.
    if was_settled {
        let gateway = gateway.clone();
        spawn_local(async move { settle_if_available(&gateway, lost_at, unsettled_until).await });
    }
}

/// Removes the endpoints with missing entries if a daemon of another region has reached the store
/// since `lost_at`, unless there was another outage meanwhile.
async fn settle_if_available<A: Adapter>(
    gateway: &Gateway<A>,
    lost_at: Millis,
    unsettled_until: Millis,
) {
    let witnesses = gateway.readers.borrow().readers_of_other_regions();
    for (data_centre, witness) in witnesses {
        let continuous_for = continuous_for(gateway, &data_centre, &witness).await;
        let is_proven =
            continuous_for.is_some_and(|time| Freshness::proves_availability(time, lost_at, now()));
        if is_proven && gateway.unsettled_until.get() == unsettled_until {
            gateway.unsettled_until.set(now());
            let changes = gateway.directory.borrow_mut().remove_missing();
            tracing::info!(event = "registry_settled", witness = %witness.name, data_centre,
                removed = changes.len());
            gateway.publish_registry_changes(&changes);
            return;
        }
    }
}

/// Asks a daemon for how long it has reached the store without a gap.
async fn continuous_for<A: Adapter>(
    gateway: &Gateway<A>,
    data_centre: &str,
    witness: &Peer,
) -> Option<Millis> {
    let Ok(address) = witness.address.parse() else {
        tracing::warn!(event = "reader_unreadable", name = %witness.name, address = witness.address);
        return None;
    };
    let feed_req = FeedRequest { whole_data_centre: true, ..feed_request(gateway) };
    let limits = ResponseLimits::within(REMOTE_TIMEOUT, MAX_RESPONSE_BYTES);
    match call(gateway, &mut None, address, &feed_req, REMOTE_TIMEOUT, limits).await {
        Ok(feed) => feed.continuous_ms.map(Millis),
        Err((_, text)) => {
            tracing::info!(event = "availability_unknown", data_centre, text);
            None
        }
    }
}
