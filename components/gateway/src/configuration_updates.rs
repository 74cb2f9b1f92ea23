use crate::adapter::Adapter;
use crate::gateway::Gateway;
use messages::Packed;
use messages::feed::{ConfigurationUpdate, FeedRequest};

/// Maximum size of what is sent to any number of followers at the same time.
pub(crate) const MAX_SMALL_BYTES: u64 = 8 << 10;
/// Maximum size of a piece: other traffic on the link, and the rest of the feed, wait for no more.
const MAX_PIECE_BYTES: usize = 16 << 10;

/// The next piece for a follower that understands updates and lacks something of the active
/// configuration.
pub(crate) fn next_piece<A: Adapter>(
    gateway: &Gateway<A>,
    req: &FeedRequest,
) -> Option<ConfigurationUpdate> {
    let held = req.configuration.as_ref()?;
    let update = match gateway.configurations.borrow_mut().update(held) {
        Ok(update) => update?,
        Err(text) => {
            tracing::error!(event = "value_not_encoded", error = text);
            return None;
        }
    };
    let received = req.received.as_ref().filter(|received| received.id == update.id);
    let offset = received.map_or(0, |received| received.bytes as usize);
    let offset = if offset < update.change.len() { offset } else { 0 };
    let end = update.change.len().min(offset + MAX_PIECE_BYTES);
    Some(ConfigurationUpdate {
        id: update.id,
        base: update.has_base.then(|| held.clone()),
        of_accounts: update.of_accounts,
        size: update.change.len() as u64,
        offset: offset as u64,
        piece: Packed(update.change.slice(offset..end)),
    })
}

/// Whether an update may only be sent to a few followers at a time.
pub(crate) fn is_large(piece: &ConfigurationUpdate) -> bool {
    piece.size > MAX_SMALL_BYTES
}

fn is_last(piece: &ConfigurationUpdate) -> bool {
    piece.offset + piece.piece.0.len() as u64 == piece.size
}

/// Whether a follower reports that it lacks anything of the active configuration.
pub(crate) fn lacks_configuration<A: Adapter>(gateway: &Gateway<A>, req: &FeedRequest) -> bool {
    let held = req.configuration.as_ref();
    held.is_some_and(|held| gateway.configurations.borrow().is_newer_than(held))
}

/// Whether a follower has all accounts that are in force here once it has `piece`, so that the
/// freshness of this daemon is also its own.
pub(crate) fn has_accounts<A: Adapter>(
    gateway: &Gateway<A>,
    req: &FeedRequest,
    piece: Option<&ConfigurationUpdate>,
) -> bool {
    let configurations = gateway.configurations.borrow();
    let Some(held) = &req.configuration else {
        // It gets whole configurations only.
        return !configurations.is_behind();
    };
    let brings_accounts =
        piece.is_some_and(|piece| is_last(piece) && (piece.of_accounts || held.version == 0));
    brings_accounts || configurations.has_accounts_of(held)
}
