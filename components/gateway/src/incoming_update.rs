use crate::packing::digest_of_bytes;
use messages::feed::{ConfigurationUpdate, HeldConfiguration, ReceivedUpdate};

/// Maximum size of an update.
const MAX_UPDATE_BYTES: u64 = 8 << 20;

/// An update of the configuration that has been received completely.
#[derive(Clone, Debug)]
pub(crate) struct CompleteUpdate {
    pub(crate) base: Option<HeldConfiguration>,
    pub(crate) of_accounts: bool,
    pub(crate) change: Vec<u8>,
}

/// The pieces of an update that is being received. It goes on where it was interrupted, also with
/// another daemon that sends the same update.
#[derive(Clone, Debug, Default)]
pub(crate) struct IncomingUpdate {
    id: u64,
    bytes: Vec<u8>,
}

impl IncomingUpdate {
    /// What has been received so far; `None` if there is nothing.
    pub(crate) fn received(&self) -> Option<ReceivedUpdate> {
        let bytes = self.bytes.len() as u64;
        (bytes > 0).then_some(ReceivedUpdate { id: self.id, bytes })
    }

    /// Adds a piece. Returns the update once it is complete.
    pub(crate) fn add(
        &mut self,
        update: &ConfigurationUpdate,
    ) -> Result<Option<CompleteUpdate>, String> {
        let ConfigurationUpdate { id, size, offset, .. } = *update;
        if size > MAX_UPDATE_BYTES {
            return Err(format!("update of {size} bytes, {MAX_UPDATE_BYTES} are allowed"));
        }
        if offset == 0 {
            *self = IncomingUpdate { id, bytes: Vec::new() };
        }
        let received = self.bytes.len() as u64;
        if id != self.id || offset != received {
            return Err(format!("piece of an update at {offset}, {received} bytes are received"));
        }
        self.bytes.extend_from_slice(&update.piece.0);
        if (self.bytes.len() as u64) < size {
            return Ok(None);
        }
        let change = std::mem::take(&mut self.bytes);
        if digest_of_bytes(&change) != id {
            return Err(String::from("update does not have the digest that its id states"));
        }
        let (base, of_accounts) = (update.base.clone(), update.of_accounts);
        Ok(Some(CompleteUpdate { base, of_accounts, change }))
    }
}
