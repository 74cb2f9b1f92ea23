use decision::Millis;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Followers to which a large response of one kind is sent at the same time. With all at once none
/// would receive it within its time limit, new connections would wait behind them on the link, and
/// memory would not suffice.
const CONCURRENT_RESPONSES: usize = 4;
/// The reason that a follower gets which has to wait for a complete copy of the registry.
pub(crate) const BUSY: &str = "this daemon sends complete copies to other followers";
/// Time after which a follower that does not ask again has been lost, besides the time that its response
/// takes on the link.
const REPLY_TIME: Millis = Millis(600);
/// The slowest link that is expected, in bytes per millisecond. All large responses of a kind share it.
const MIN_LINK_BYTES_PER_MS: u64 = 100;
/// Time after which a follower that does not ask again has been lost, whatever was sent to it.
const MAX_SEND_TIME: Millis = Millis(3_000);

/// The large part of a response. Each kind has permits of its own, so that lost followers which got
/// copies of the registry do not hold up a configuration.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum LargeContent {
    /// The complete registry, or much of it.
    Copy,
    /// A piece of an update of the configuration.
    Piece,
}

/// A permit to send a large response.
#[derive(Debug)]
pub(crate) struct LargePermit {
    content: LargeContent,
    _permit: OwnedSemaphorePermit,
}

impl LargePermit {
    /// Whether it is one for responses of this kind.
    pub(crate) fn is_for(&self, content: LargeContent) -> bool {
        self.content == content
    }
}

/// A large response that was sent.
#[derive(Debug)]
struct SentResponse {
    /// When the follower is taken for lost.
    due: Millis,
    permit: LargePermit,
}

/// Permits for large responses. One is held until the follower asks for the next changes: bytes that
/// the kernel has accepted may still be on their way.
#[derive(Debug)]
pub(crate) struct LargeResponses {
    copies: Arc<Semaphore>,
    pieces: Arc<Semaphore>,
    /// The last large response to each follower.
    sent: RefCell<BTreeMap<String, SentResponse>>,
}

impl Default for LargeResponses {
    fn default() -> LargeResponses {
        LargeResponses {
            copies: Arc::new(Semaphore::new(CONCURRENT_RESPONSES)),
            pieces: Arc::new(Semaphore::new(CONCURRENT_RESPONSES)),
            sent: RefCell::default(),
        }
    }
}

impl LargeResponses {
    /// Waits for a permit; `None` if there are none any longer.
    pub(crate) async fn permit(&self, content: LargeContent, now: Millis) -> Option<LargePermit> {
        self.expire(now);
        let permits = match content {
            LargeContent::Copy => &self.copies,
            LargeContent::Piece => &self.pieces,
        };
        let permit = permits.clone().acquire_owned().await.ok()?;
        Some(LargePermit { content, _permit: permit })
    }

    /// Records that a response of `bytes` is being sent to a follower.
    pub(crate) fn begin(&self, follower: &str, permit: LargePermit, bytes: usize, now: Millis) {
        let due = now + send_time(bytes);
        self.sent.borrow_mut().insert(follower.to_owned(), SentResponse { due, permit });
    }

    /// Records that a follower has received what was sent to it. Returns its permit.
    pub(crate) fn finish(&self, follower: &str) -> Option<LargePermit> {
        self.sent.borrow_mut().remove(follower).map(|sent| sent.permit)
    }

    /// Drops followers that were lost while a response was sent to them.
    pub(crate) fn expire(&self, now: Millis) {
        self.sent.borrow_mut().retain(|follower, sent| {
            let is_lost = now >= sent.due;
            if is_lost {
                tracing::info!(event = "large_response_lost", follower,
                    content = ?sent.permit.content);
            }
            !is_lost
        });
    }
}

/// The time in which a follower that is in touch has received a response of `bytes` and asked again.
fn send_time(bytes: usize) -> Millis {
    let shared_bytes = bytes as u64 * CONCURRENT_RESPONSES as u64;
    (REPLY_TIME + Millis(shared_bytes / MIN_LINK_BYTES_PER_MS)).min(MAX_SEND_TIME)
}
