use decision::Millis;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Followers to which the complete registry or a piece of a large update is sent at the same
/// time. With all at once none would receive it within its time limit, new connections would wait
/// behind them on the link, and memory would not suffice.
const CONCURRENT_RESPONSES: usize = 4;
/// The reason that a follower gets which has to wait for a complete copy of the registry.
pub(crate) const BUSY: &str = "this daemon sends complete copies to other followers";
/// Time after which a follower that does not ask again has been lost.
const MAX_SEND_TIME: Millis = Millis(3_000);

/// Permits for large responses. One is held until the follower asks for the next changes: bytes that
/// the kernel has accepted may still be on their way.
#[derive(Debug)]
pub(crate) struct LargeResponses {
    permits: Arc<Semaphore>,
    /// When the response to a follower was sent, and its permit.
    sent: RefCell<BTreeMap<String, (Millis, OwnedSemaphorePermit)>>,
}

impl Default for LargeResponses {
    fn default() -> LargeResponses {
        let permits = Arc::new(Semaphore::new(CONCURRENT_RESPONSES));
        LargeResponses { permits, sent: RefCell::default() }
    }
}

impl LargeResponses {
    /// Waits for a permit; `None` if there are none any longer.
    pub(crate) async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        self.permits.clone().acquire_owned().await.ok()
    }

    /// Records that a response is being sent to a follower.
    pub(crate) fn begin(&self, follower: &str, permit: OwnedSemaphorePermit, now: Millis) {
        self.sent.borrow_mut().insert(follower.to_owned(), (now, permit));
    }

    /// Records that a follower has received what was sent to it. Returns its permit.
    pub(crate) fn finish(&self, follower: &str) -> Option<OwnedSemaphorePermit> {
        self.sent.borrow_mut().remove(follower).map(|(_, permit)| permit)
    }

    /// Drops followers that were lost while a response was sent to them.
    pub(crate) fn expire(&self, now: Millis) {
        self.sent.borrow_mut().retain(|_, (at, _)| now.since(*at) < MAX_SEND_TIME);
    }
}
