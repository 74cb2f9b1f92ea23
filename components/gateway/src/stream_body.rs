use bytes::Bytes;
use http_body::{Body, Frame};
use snafu::Snafu;
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc::{Receiver, Sender, channel};

/// Ends a response body early. The connection to the client closes without the end of the body, so
/// that the client detects the truncation.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("endpoint response ended early"))]
pub struct TruncatedResponse;

/// The writing end of a response body that is sent piece by piece.
///
/// The body is complete only after [`StreamWriter::close`]. It is truncated if the writer is dropped
/// before, as by a panic of its task.
#[derive(Debug)]
pub struct StreamWriter {
    tx: Sender<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

/// The body that hyper reads.
#[derive(Debug)]
pub struct StreamBody {
    rx: Receiver<Bytes>,
    is_complete: Rc<Cell<bool>>,
    /// Whether hyper had the opportunity to send all pieces before the error of a truncation.
    is_flushed: bool,
}

/// Creates a body with its writer, which waits while `max_pieces` are unread.
pub fn stream_body(max_pieces: usize) -> (StreamWriter, StreamBody) {
    let (tx, rx) = channel(max_pieces);
    let is_complete = Rc::new(Cell::new(false));
    let writer = StreamWriter { tx, is_complete: is_complete.clone() };
    (writer, StreamBody { rx, is_complete, is_flushed: false })
}

impl StreamWriter {
    /// Sends a piece. Returns false if the client has disconnected.
    pub async fn send(&self, piece: Bytes) -> bool {
        self.tx.send(piece).await.is_ok()
    }

    /// Waits until the client disconnects.
    pub async fn client_left(&self) {
        self.tx.closed().await;
    }

    /// Completes the body.
    pub fn close(self) {
        self.is_complete.set(true);
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        Poll::Ready(match ready!(self.rx.poll_recv(cx)) {
            Some(piece) => Some(Ok(Frame::data(piece))),
            None if self.is_complete.get() => None,
            // An error makes hyper drop what it has not sent, even the head of the response; while
            // the body is pending, it sends that.
            None if !self.is_flushed => {
                self.is_flushed = true;
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            None => Some(Err(TruncatedResponse)),
        })
    }
}
