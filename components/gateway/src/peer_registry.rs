use crate::adapter::{Adapter, Item};
use crate::gateway::Gateway;
use crate::object_feed::{Endpoints, ObjectFeed, replace_endpoints};
use crate::packing::unpack;
use decision::Millis;
use decision::routing::Registration;
use messages::feed::{EndpointChange, FeedResponse};
use std::collections::BTreeSet;

/// Applies what a response says of the registry: changes, the groups that differ, or all of it.
pub(crate) fn apply_registry<A: Adapter>(
    gateway: &Gateway<A>,
    feed: &FeedResponse,
    now: Millis,
) -> Result<(), String> {
    if !feed.is_complete && !feed.has_endpoint_groups {
        for item in feed.endpoints.iter().cloned().map(registry_item) {
            Endpoints::apply_change(gateway, item, false, now);
        }
        return Ok(());
    }
    let groups = feed.endpoint_groups.iter().copied().collect();
    let copy = RegistryCopy {
        endpoints: unpack(&feed.packed_endpoints)?,
        missing: feed.missing_endpoints.iter().map(String::as_str).collect(),
        groups: feed.has_endpoint_groups.then_some(groups),
    };
    replace_registry(gateway, copy, !feed.is_settled, now);
    Ok(())
}

/// The registry of a peer, or the part of it that differs from the own one.
struct RegistryCopy<'a> {
    endpoints: Vec<EndpointChange>,
    /// The ids of the endpoints that the peer keeps although their entries are missing.
    missing: BTreeSet<&'a str>,
    /// The groups of the digest that the copy holds; `None` for all.
    groups: Option<BTreeSet<u32>>,
}

/// Takes over the registry of a peer. What the peer merely keeps may have left, and this daemon may know
/// that it has.
fn replace_registry<A: Adapter>(
    gateway: &Gateway<A>,
    copy: RegistryCopy<'_>,
    after_outage: bool,
    now: Millis,
) {
    let RegistryCopy { endpoints, missing, groups } = copy;
    let (kept, registered): (Vec<_>, Vec<_>) =
        endpoints.into_iter().partition(|change| missing.contains(change.endpoint.as_str()));
    let has_registry = gateway.registry_known.get();
    let items = registered.into_iter().map(registry_item).collect();
    let after_outage = after_outage || !kept.is_empty();
    replace_endpoints(gateway, items, groups.as_ref(), after_outage, now);
    if has_registry {
        return;
    }
    for item in kept.into_iter().map(registry_item) {
        let id = item.name.clone();
        Endpoints::apply_change(gateway, item, true, now);
        gateway.directory.borrow_mut().mark_missing(&id, now);
    }
}

fn registry_item(change: EndpointChange) -> Item<Registration> {
    let registration = change.registration.and_then(|text| match serde_json::from_str(&text) {
        Ok(registration) => Some(registration),
        Err(e) => {
            tracing::error!(event = "peer_answer_unreadable", error = %e);
            None
        }
    });
    Item { name: change.endpoint, value: registration.map(Ok) }
}
