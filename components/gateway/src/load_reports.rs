use crate::adapter::Adapter;
use crate::clock::now;
use crate::connection::{Connection, ResponseLimits};
use crate::gateway::Gateway;
use crate::notices::receive_notices;
use crate::peer_feed::{MAX_RESPONSE_BYTES, call, feed_request, learn_relays};
use crate::update_source::UpdateSource;
use decision::Millis;
use decision::routing::NoticeSource;
use messages::endpoint_loads;
use messages::feed::{FeedRequest, Rank};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between load exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of calls to another data centre: several round trips between regions.
pub(crate) const REMOTE_TIMEOUT: Millis = Millis(800);
/// Time after which a new store reader knows its followers, so that their number counts.
const FOLLOWERS_KNOWN_AFTER: Millis = Millis(1_500);

/// The store reader of another data centre with which this daemon exchanges loads.
#[derive(Debug, Default)]
struct Partner {
    connection: Option<Connection>,
    /// The incarnation of the daemon that responded last.
    incarnation: Option<u64>,
    /// Whether that daemon may lack old notices.
    lacks_notices: bool,
}

/// Does the duties of a store reader while this daemon is one: names its standbys, counts the
/// daemons and, if it does not follow the reader of another data centre, exchanges loads with those.
/// Never returns.
pub(crate) async fn exchange_loads<A: Adapter>(gateway: Rc<Gateway<A>>) {
    let mut partners: BTreeMap<String, Partner> = BTreeMap::new();
    let mut reading_since = None;
    let mut reader_since = None;
    loop {
        sleep(EXCHANGE_INTERVAL).await;
        update_members(&gateway, &mut reader_since, now());
        if gateway.readers.borrow().is_reader() {
            let load_exchange = gateway.load_exchange.borrow();
            let followers = load_exchange.local_followers().cloned();
            gateway.readers.borrow_mut().choose_standbys(followers);
        }
        if gateway.update_source.get() == UpdateSource::Peer {
            partners.clear();
            reading_since = None;
            continue;
        }
        exchange_with_partners(&gateway, &mut partners).await;
        let rows = gateway.load_exchange.borrow().fleet_loads(&[], "");
        let outcomes = gateway.outcome_exchange.borrow().fleet_outcomes(&[], "");
        let mut loads = gateway.loads.borrow_mut();
        loads.set_peer_loads(&rows, now());
        loads.set_peer_outcomes(&outcomes, now());
        drop(loads);
        let since = *reading_since.get_or_insert(now());
        if now().since(since) >= FOLLOWERS_KNOWN_AFTER {
            let daemons = gateway.load_exchange.borrow().daemons();
            gateway.record_fleet_size(daemons, now());
        }
    }
}

async fn exchange_with_partners<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    partners: &mut BTreeMap<String, Partner>,
) {
    let readers = gateway.readers.borrow().exchange_partners();
    for (data_centre, reader) in readers {
        let Ok(address) = reader.address.parse() else {
            tracing::warn!(event = "reader_unreadable", name = %reader.name,
                address = reader.address);
            continue;
        };
        let partner = partners.entry(data_centre.clone()).or_default();
        let feed_req = FeedRequest {
            whole_data_centre: true,
            all_notices: partner.incarnation.is_none(),
            ..feed_request(gateway)
        };
        let feed_req = if partner.lacks_notices {
            FeedRequest { notices: gateway.notices.borrow().all(now()), ..feed_req }
        } else {
            feed_req
        };
        let connection_slot = &mut partner.connection;
        let limits = ResponseLimits::within(REMOTE_TIMEOUT, MAX_RESPONSE_BYTES);
        match call(gateway, connection_slot, address, &feed_req, REMOTE_TIMEOUT, limits).await {
            Ok(feed) => {
                let incarnation = Some(feed.position.incarnation);
                partner.lacks_notices = partner.incarnation != incarnation;
                partner.incarnation = incarnation;
                receive_notices(gateway, &feed.notices, NoticeSource::Peer);
                learn_relays(gateway, &data_centre, feed.relays);
                let daemons = feed.daemons.unwrap_or(1) as usize;
                let mut exchange = gateway.load_exchange.borrow_mut();
                let loads = endpoint_loads(feed.loads);
                exchange.record_data_centre(&data_centre, daemons, loads, now());
                let mut exchange = gateway.outcome_exchange.borrow_mut();
                exchange.record_data_centre(&data_centre, feed.outcomes, now());
            }
            Err((_, text)) => {
                tracing::debug!(event = "loads_not_exchanged", data_centre, text);
            }
        }
    }
}

/// Updates the list of daemons of this data centre and the own rank in it, once a store reader knows
/// its followers. Until then, all keep the ranks that they had.
fn update_members<A: Adapter>(
    gateway: &Gateway<A>,
    reader_since: &mut Option<Millis>,
    now: Millis,
) {
    if !gateway.readers.borrow().is_reader() {
        *reader_since = None;
        gateway.data_centre_members.replace(None);
        return;
    }
    if now.since(*reader_since.get_or_insert(now)) < FOLLOWERS_KNOWN_AFTER {
        return;
    }
    let own = gateway.settings().name.clone();
    let load_exchange = gateway.load_exchange.borrow();
    let names = load_exchange.local_followers().map(|peer| peer.name.clone());
    let members: BTreeSet<String> = names.chain([own.clone()]).collect();
    gateway.limits.borrow_mut().set_rank(rank(&members, &own));
    gateway.data_centre_members.replace(Some(members));
}

/// The rank of a daemon among the members of its data centre.
pub(crate) fn rank(members: &BTreeSet<String>, name: &str) -> Rank {
    let position = members.iter().take_while(|member| member.as_str() < name).count();
    Rank { position: position as u32, daemons: members.len() as u32 }
}
