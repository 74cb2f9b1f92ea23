use std::io::{self, Write};

/// How an endpoint responds wrongly to a request that goes on after an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BadContinuation {
    /// With a signed error response that looks like events.
    Status(u16),
    /// With a signed event stream that holds an error event without an id.
    ErrorEvent,
    /// With the stream from its first event.
    FromStart,
    /// With a stream that leaves out an event.
    Gap,
    /// With a signed success of another content type.
    OtherType,
    /// With a signed success without a content type, whose body is the text of an error response.
    Untyped,
}

impl BadContinuation {
    /// Sends the response; `last` is the id of the event after which the request goes on.
    pub(super) fn send(
        self,
        signed_headers: &str,
        last: u32,
        to: &mut impl Write,
    ) -> io::Result<()> {
        let events = |first: u32| -> String {
            (first..first + 3).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
        };
        let error = "event: error\ndata: overloaded\n\n";
        let stream = "content-type: text/event-stream\r\n";
        let (status, content_type, body) = match self {
            BadContinuation::Status(status) => (status, stream, events(last + 1)),
            BadContinuation::ErrorEvent => (200, stream, String::from(error)),
            BadContinuation::FromStart => (200, stream, events(1)),
            BadContinuation::Gap => (200, stream, events(last + 2)),
            BadContinuation::OtherType => {
                (200, "content-type: text/plain\r\n", String::from(error))
            }
            BadContinuation::Untyped => {
                let head = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
                (200, "", format!("{head}{error}"))
            }
        };
        let length = body.len();
        write!(
            to,
            "HTTP/1.1 {status} X\r\n{signed_headers}{content_type}content-length: {length}\r\n\r\n{body}"
        )
    }
}
