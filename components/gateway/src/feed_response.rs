//! Builds the responses to followers.

use crate::adapter::Adapter;
use crate::clock::now;
use crate::configuration_updates::{has_accounts, is_large, next_piece};
use crate::gateway::{Change, Gateway};
use crate::load_reports::rank;
use crate::object_feed;
use decision::Millis;
use decision::routing::Peer;
use messages::feed::{FeedPeer, FeedPosition, FeedRequest, FeedResponse};
use messages::load_rows;
use rand::RngExt;
use std::collections::BTreeSet;

/// Minimum time between the loads that a follower gets: almost the wait of a poll, after which it gets
/// them without a change. Hundreds of rows with each change would fill the link of a reader.
const LOADS_INTERVAL: Millis = Millis(350);

/// A response without content, with what is known of the freshness here.
pub(crate) fn empty_response<A: Adapter>(gateway: &Gateway<A>, arrived: Millis) -> FeedResponse {
    let sequence = gateway.change_log.borrow().last();
    FeedResponse {
        position: FeedPosition { incarnation: gateway.incarnation, sequence },
        waited_ms: now().since(arrived).0,
        proof_age_ms: gateway.freshness.borrow().age(now()).map(|age| age.0),
        confirmation_age_ms: gateway.freshness.borrow().age(now()).map(|age| age.0),
        registry_age_ms: gateway.freshness.borrow().registry_age(now()).map(|age| age.0),
        response_age_ms: gateway.freshness.borrow().response_age(now()).map(|age| age.0),
        continuous_ms: gateway.freshness.borrow().continuous_for(now()).map(|time| time.0),
        failing_ms: gateway.source_health.borrow().failing_for(now()).map(|time| time.0),
        is_complete: false,
        is_settled: gateway.is_registry_settled(now()),
        configuration: None,
        configuration_update: None,
        accounts_version: None,
        endpoints: Vec::new(),
        has_endpoint_groups: false,
        endpoint_groups: Vec::new(),
        packed_endpoints: Vec::new(),
        missing_endpoints: Vec::new(),
        daemons: None,
        data_centre: gateway.settings().data_centre.clone(),
        reader: None,
        rank: None,
        relays: Vec::new(),
        standbys: Vec::new(),
        has_loads: true,
        loads: Vec::new(),
        outcomes: Vec::new(),
        has_notice_groups: false,
        notice_groups: Vec::new(),
        notices: Vec::new(),
    }
}

fn count(daemons: usize) -> Option<u32> {
    u32::try_from(daemons).ok()
}

fn feed_peer(peer: &Peer) -> FeedPeer {
    FeedPeer { name: peer.name.clone(), address: peer.address.clone() }
}

/// Some daemons that reach endpoints, this one included if it does, to name to another daemon.
fn relays<A: Adapter>(gateway: &Gateway<A>, to: &str) -> Vec<FeedPeer> {
    let seed = gateway.rng.borrow_mut().random();
    let offered = gateway.relays.borrow().offered(to, seed, now());
    let settings = gateway.settings();
    let own = settings.listen_peers.filter(|_| gateway.takes_relayed_requests());
    let own =
        own.map(|address| FeedPeer { name: settings.name.clone(), address: address.to_string() });
    offered.iter().map(feed_peer).chain(own).collect()
}

/// Builds the response to a request; a piece of a large update is left out unless `may_be_large`.
pub(crate) fn build_feed_response<A: Adapter>(
    gateway: &Gateway<A>,
    req: &FeedRequest,
    arrived: Millis,
    may_be_large: bool,
) -> FeedResponse {
    let load_exchange = gateway.load_exchange.borrow();
    let change_log = gateway.change_log.borrow();
    let mut feed = empty_response(gateway, arrived);
    feed.relays = relays(gateway, &req.name);
    if req.whole_data_centre {
        let own = gateway.loads.borrow().own_loads();
        let own_outcomes = gateway.loads.borrow().own_outcomes(now());
        let outcome_exchange = gateway.outcome_exchange.borrow();
        feed.daemons = count(load_exchange.followers_and_self());
        feed.loads = load_rows(load_exchange.data_centre_loads(&own));
        feed.outcomes = outcome_exchange.data_centre_outcomes(&own_outcomes);
        let notices = gateway.notices.borrow();
        feed.notices = if req.all_notices { notices.all(now()) } else { notices.forwarded(now()) };
        feed.configuration_update = next_piece(gateway, req);
        return feed;
    }
    feed.daemons = gateway.daemon_count(now()).and_then(count);
    let readers = gateway.readers.borrow();
    feed.reader = readers.reader().map(feed_peer);
    let members = gateway.data_centre_members.borrow();
    let members = members.as_ref().filter(|members| members.contains(&req.name));
    feed.rank = members.map(|members| rank(members, &req.name));
    feed.standbys = readers.standbys().iter().map(feed_peer).collect();
    add_fleet_loads(gateway, req, &mut feed);
    let piece = next_piece(gateway, req).filter(|piece| may_be_large || !is_large(piece));
    feed.proof_age_ms = feed.proof_age_ms.filter(|_| has_accounts(gateway, req, piece.as_ref()));
    feed.configuration_update = piece;
    let held = req.configuration.as_ref();
    feed.accounts_version =
        held.and_then(|held| gateway.configurations.borrow().accounts_version(held));
    let from = req.from.as_ref().filter(|from| from.incarnation == gateway.incarnation);
    match from.and_then(|from| change_log.since(from.sequence)) {
        Some(changes) => {
            for change in changes {
                match change {
                    Change::Configuration => feed.configuration = configuration(gateway, req),
                    Change::Endpoint(change) => feed.endpoints.push(change.clone()),
                    Change::Notice(id) => {
                        feed.notices.extend(gateway.notices.borrow().get(*id, now()));
                    }
                }
            }
        }
        None => {
            add_unknown_notices(gateway, req, &mut feed);
            add_endpoints(gateway, req, &mut feed);
            feed.configuration = configuration(gateway, req);
        }
    }
    feed
}

/// Adds the loads of the fleet, unless the follower got them a moment ago.
fn add_fleet_loads<A: Adapter>(gateway: &Gateway<A>, req: &FeedRequest, feed: &mut FeedResponse) {
    let age = req.loads_age_ms.map(|age| Millis(age) + Millis(feed.waited_ms));
    feed.has_loads = age.is_none_or(|age| age >= LOADS_INTERVAL);
    if feed.has_loads {
        let own = gateway.loads.borrow().own_loads();
        let own_outcomes = gateway.loads.borrow().own_outcomes(now());
        feed.loads = load_rows(gateway.load_exchange.borrow().fleet_loads(&own, &req.name));
        let outcomes = gateway.outcome_exchange.borrow();
        feed.outcomes = outcomes.fleet_outcomes(&own_outcomes, &req.name);
    }
}

/// The groups of the registry in which a follower has other endpoints; `None` if it needs all.
pub(crate) fn endpoint_groups<A: Adapter>(
    gateway: &Gateway<A>,
    req: &FeedRequest,
) -> Option<BTreeSet<u32>> {
    let known = Some(&req.known_endpoints).filter(|known| !known.is_empty())?;
    Some(gateway.registry_digest().differing(known))
}

/// Adds the endpoints of the groups in which a new follower has others, or all.
fn add_endpoints<A: Adapter>(gateway: &Gateway<A>, req: &FeedRequest, feed: &mut FeedResponse) {
    let groups = endpoint_groups(gateway, req);
    match gateway.packed_endpoints(groups.as_ref()) {
        Ok(endpoints) => {
            feed.packed_endpoints = endpoints.packed.to_vec();
            feed.missing_endpoints = endpoints.missing;
        }
        Err(text) => tracing::error!(event = "value_not_encoded", error = text),
    }
    feed.is_complete = groups.is_none();
    feed.has_endpoint_groups = groups.is_some();
    feed.endpoint_groups = groups.into_iter().flatten().collect();
}

/// Adds the notices that a new follower may lack.
fn add_unknown_notices<A: Adapter>(
    gateway: &Gateway<A>,
    req: &FeedRequest,
    feed: &mut FeedResponse,
) {
    let notices = gateway.notices.borrow();
    feed.has_notice_groups = !req.known_notices.is_empty();
    if !feed.has_notice_groups {
        feed.notices = notices.all(now());
        return;
    }
    let groups = notices.digest().differing(&req.known_notices);
    feed.notices = notices.in_groups(&groups, now());
    feed.notice_groups = groups.into_iter().collect();
}

/// The whole configuration for a follower that does not understand changes of it.
fn configuration<A: Adapter>(gateway: &Gateway<A>, req: &FeedRequest) -> Option<String> {
    let catalog = gateway.catalog().filter(|_| req.configuration.is_none())?;
    object_feed::to_json(catalog.configuration())
}
