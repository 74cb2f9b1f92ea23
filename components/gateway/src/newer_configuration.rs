//! Configurations that the store has lost, from daemons that know them.

use crate::adapter::Adapter;
use crate::connection::{Connection, ResponseLimits};
use crate::gateway::Gateway;
use crate::load_reports::REMOTE_TIMEOUT;
use crate::object_feed::activate;
use crate::peer_feed::{MAX_RESPONSE_BYTES, call, feed_request};
use decision::routing::Peer;
use messages::feed::{ConfigurationUpdate, FeedRequest};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Maximum number of pieces of an update: those of the largest one.
const MAX_PIECES: usize = 512;

/// Puts what is newer of the configuration at the readers of other data centres in force, since the
/// store may have come back as an older copy. Readers that do not respond are passed over.
///
/// Returns an error if one has something newer that was not received.
pub(crate) async fn adopt_newer_configuration<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
) -> Result<(), String> {
    let readers = gateway.readers.borrow().readers_of_other_data_centres();
    let mut asked = JoinSet::new();
    for (data_centre, reader) in readers {
        let gateway = gateway.clone();
        asked.spawn_local(async move {
            match has_newer(&gateway, &reader).await {
                Ok(has_newer) => has_newer.then_some(reader),
                Err(text) => {
                    tracing::info!(event = "configuration_not_compared", data_centre, text);
                    None
                }
            }
        });
    }
    while let Some(found) = asked.join_next().await {
        if let Ok(Some(reader)) = found {
            adopt_from(gateway, &reader).await?;
        }
    }
    Ok(())
}

async fn has_newer<A: Adapter>(gateway: &Gateway<A>, reader: &Peer) -> Result<bool, String> {
    let mut connection = None;
    let piece = ask(gateway, &mut connection, reader);
    match timeout(Duration::from_millis(REMOTE_TIMEOUT.0), piece).await {
        Ok(piece) => Ok(piece?.is_some()),
        Err(_) => Err(format!("{}: no response within {} ms", reader.name, REMOTE_TIMEOUT.0)),
    }
}

async fn adopt_from<A: Adapter>(gateway: &Gateway<A>, reader: &Peer) -> Result<(), String> {
    let mut connection = None;
    for _ in 0..MAX_PIECES {
        let Some(piece) = ask(gateway, &mut connection, reader).await? else { return Ok(()) };
        let received = gateway.configurations.borrow_mut().receive(&piece)?;
        if let Some(configuration) = received {
            tracing::info!(event = "newer_configuration_adopted", reader = %reader.name);
            activate(gateway, configuration);
        }
    }
    Err(format!("{}: update of the configuration has over {MAX_PIECES} pieces", reader.name))
}

/// Asks a reader for the next piece of what it has newer of the configuration.
async fn ask<A: Adapter>(
    gateway: &Gateway<A>,
    connection: &mut Option<Connection>,
    reader: &Peer,
) -> Result<Option<ConfigurationUpdate>, String> {
    let address = reader.address.parse().map_err(|e| format!("{}: {e}", reader.address))?;
    let feed_req = FeedRequest {
        whole_data_centre: true,
        configuration: Some(gateway.configurations.borrow().held()),
        received: gateway.configurations.borrow().received(),
        ..feed_request(gateway)
    };
    let limits = ResponseLimits::within(REMOTE_TIMEOUT, MAX_RESPONSE_BYTES);
    let feed = call(gateway, connection, address, &feed_req, REMOTE_TIMEOUT, limits).await;
    feed.map(|feed| feed.configuration_update).map_err(|(_, text)| text)
}
