use crate::framing::Framing;
use snafu::Snafu;

/// How forwarding the stream of one endpoint ended.
#[derive(Debug)]
pub(crate) enum StreamEnd {
    Complete,
    Interrupted(Interruption),
    /// The client disconnected.
    ClientLeft,
}

impl StreamEnd {
    /// The name in metrics.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            StreamEnd::Complete => "complete",
            StreamEnd::Interrupted(Interruption::Connection { .. }) => "error",
            StreamEnd::Interrupted(Interruption::Deadline) => "deadline",
            StreamEnd::Interrupted(Interruption::WithinEvent) => "within_event",
            StreamEnd::Interrupted(Interruption::BeforeFirstEvent) => "before_first_event",
            StreamEnd::Interrupted(Interruption::Discontinuous) => "discontinuous",
            StreamEnd::Interrupted(Interruption::EventTooLong { .. }) => "event_too_long",
            StreamEnd::Interrupted(Interruption::OutOfMemory { .. }) => "out_of_memory",
            StreamEnd::ClientLeft => "client_left",
        }
    }
}

/// Why a stream ended before it was complete.
#[derive(Debug, Snafu)]
pub(crate) enum Interruption {
    #[snafu(display("{source}"))]
    Connection { source: hyper::Error },
    #[snafu(display("request deadline passed before the stream ended"))]
    Deadline,
    #[snafu(display("endpoint ended the stream within an event"))]
    WithinEvent,
    #[snafu(display("endpoint closed the connection before the first event"))]
    BeforeFirstEvent,
    #[snafu(display("endpoint did not go on after the last event"))]
    Discontinuous,
    #[snafu(display("event exceeds {max_bytes} bytes"))]
    EventTooLong { max_bytes: usize },
    #[snafu(display(
        "event of over {bytes} bytes does not fit into the {limit} bytes for responses"
    ))]
    OutOfMemory { bytes: usize, limit: usize },
}

impl Interruption {
    /// Whether the endpoint or its connection ended the stream, rather than the gateway.
    pub(crate) fn is_caused_by_endpoint(&self) -> bool {
        use Interruption::{Deadline, Discontinuous, EventTooLong, OutOfMemory};
        !matches!(self, Deadline | Discontinuous | EventTooLong { .. } | OutOfMemory { .. })
    }
}

/// What was received of an endpoint's stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamSummary {
    pub(crate) framing: Framing,
    pub(crate) has_events: bool,
    /// Bytes after the last complete event.
    pub(crate) unfinished_bytes: usize,
}

impl StreamSummary {
    /// The state before the first event.
    pub(crate) fn new(framing: Framing) -> StreamSummary {
        StreamSummary { framing, has_events: false, unfinished_bytes: 0 }
    }

    /// The end of a stream whose body ended without an error, as that of a cut stream may do.
    pub(crate) fn end(&self) -> StreamEnd {
        if self.unfinished_bytes > 0 {
            return StreamEnd::Interrupted(Interruption::WithinEvent);
        }
        if self.framing == Framing::Connection && !self.has_events {
            return StreamEnd::Interrupted(Interruption::BeforeFirstEvent);
        }
        StreamEnd::Complete
    }
}
