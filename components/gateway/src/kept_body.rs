use crate::response_memory::{Reservation, ResponseMemory};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::{ResultExt, Snafu};

/// Why the body of a response was not read to its end.
#[derive(Debug, Snafu)]
pub(crate) enum BodyError {
    #[snafu(display("response body exceeds {max_bytes} bytes"))]
    TooLarge { max_bytes: usize },
    #[snafu(display(
        "response body of over {bytes} bytes does not fit into the {limit} bytes for responses"
    ))]
    OutOfMemory { bytes: usize, limit: usize },
    #[snafu(display("response body ended early: {source}"))]
    Broken { source: hyper::Error },
}

/// The body of a response that is kept until it is complete.
#[derive(Debug)]
pub(crate) struct KeptBody {
    received: Vec<u8>,
    /// Covers what is received.
    reservation: Reservation,
    max_bytes: usize,
}

/// A complete body with the memory that it takes.
struct CompleteBody {
    received: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for CompleteBody {
    fn as_ref(&self) -> &[u8] {
        &self.received
    }
}

impl KeptBody {
    /// An empty body that may have up to `max_bytes`.
    pub(crate) fn new(memory: &ResponseMemory, max_bytes: usize) -> KeptBody {
        KeptBody { received: Vec::new(), reservation: memory.reservation(), max_bytes }
    }

    /// The number of bytes received.
    pub(crate) fn len(&self) -> usize {
        self.received.len()
    }

    /// Receives the next bytes. Returns false at the end of the body.
    pub(crate) async fn receive(&mut self, body: &mut Incoming) -> Result<bool, BodyError> {
        let Some(frame) = body.frame().await else { return Ok(false) };
        let piece = frame.context(BrokenSnafu)?.into_data().unwrap_or_default();
        let (bytes, max_bytes) = (self.len() + piece.len(), self.max_bytes);
        if bytes > max_bytes {
            return TooLargeSnafu { max_bytes }.fail();
        }
        if !self.reservation.resize(bytes) {
            return OutOfMemorySnafu { bytes, limit: self.reservation.limit() }.fail();
        }
        self.received.extend_from_slice(&piece);
        Ok(true)
    }

    /// Receives the whole body.
    pub(crate) async fn receive_all(mut self, mut body: Incoming) -> Result<Bytes, BodyError> {
        while self.receive(&mut body).await? {}
        Ok(self.into_bytes())
    }

    /// The received bytes. They take memory until the last reference to them is dropped.
    pub(crate) fn into_bytes(self) -> Bytes {
        let KeptBody { received, reservation, .. } = self;
        Bytes::from_owner(CompleteBody { received, _reservation: reservation })
    }
}
