use crate::adapter::Adapter;
use crate::attempt::{EndpointResponse, StreamingResponse, attempt};
use crate::broken_response::BrokenResponse;
use crate::busy_connection::BusyConnection;
use crate::clock::now;
use crate::contents::{has_evidence, judge};
use crate::continuation::{known_origin, record_beginning};
use crate::duties::count_request;
use crate::event_order::EventOrder;
use crate::framing::Framing;
use crate::gateway::Gateway;
use crate::metrics::StreamEndLabels;
use crate::notices::record_completion;
use crate::queue::{WaitOutcome, wait_for_endpoint};
use crate::response::ResponseBody;
use crate::response_memory::Reservation;
use crate::routed_request::RoutedRequest;
use crate::serve::{ANSWERED, FinishedRequest, finish};
use crate::software_versions::check_versions_known;
use crate::sse::{EventSplitter, has_event};
use crate::stream_body::{StreamWriter, stream_body};
use crate::stream_end::{Interruption, StreamEnd, StreamSummary};
use decision::routing::{Judgement, Outcome, Repeat};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Chunks buffered for a slow client before the gateway pauses reading from the endpoint.
const MAX_BUFFERED_CHUNKS: usize = 8;
/// Maximum size of an event that is not complete yet; those of models hold a few tokens.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Responds to a client with a stream; a separate task forwards the events.
pub(crate) fn relay<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    request: RoutedRequest,
    streaming: StreamingResponse<A>,
    tried: BTreeSet<String>,
    sends: u32,
) -> Response<ResponseBody> {
    let (writer, body) = stream_body(MAX_BUFFERED_CHUNKS);
    let mut response = Response::new(ResponseBody::Relayed(body));
    *response.status_mut() = streaming.status;
    *response.headers_mut() = streaming.headers;
    let last_event = request.last_event.as_deref();
    let relay = Relay {
        order: EventOrder::after(last_event),
        is_continuation: last_event.is_some(),
        gateway: gateway.clone(),
        request,
        writer,
        summary: StreamSummary::new(streaming.framing),
        splitter: EventSplitter::default(),
        reservation: gateway.endpoint_memory.reservation(),
        has_begun: false,
        tried,
        sends,
    };
    spawn_local(relay.run(streaming.body, streaming.connection));
    response
}

struct Relay<A: Adapter> {
    gateway: Rc<Gateway<A>>,
    request: RoutedRequest,
    writer: StreamWriter,
    /// The stream that is being forwarded, or was forwarded last.
    summary: StreamSummary,
    splitter: EventSplitter,
    /// Covers the incomplete event.
    reservation: Reservation,
    order: EventOrder,
    /// Whether the next event has to go on after those of another endpoint.
    is_continuation: bool,
    /// Whether an event was forwarded.
    has_begun: bool,
    tried: BTreeSet<String>,
    sends: u32,
}

impl<A: Adapter> Relay<A> {
    /// Forwards the stream to its end, or until the daemon exits.
    async fn run(mut self, body: Incoming, connection: BusyConnection<A>) {
        let gateway = self.gateway.clone();
        let is_complete = tokio::select! {
            is_complete = self.forward(body, connection) => is_complete,
            () = gateway.shutdown.final_answers_due() => {
                self.finish("broken", "daemon exits before the stream has ended");
                false
            }
        };
        if is_complete {
            self.writer.close();
        }
    }

    /// Forwards the stream, also that of further endpoints. Returns whether it is complete.
    async fn forward(&mut self, mut body: Incoming, mut connection: BusyConnection<A>) -> bool {
        loop {
            let end = self.forward_events(&mut body, &connection).await;
            self.count_end(&end);
            let interruption = match end {
                StreamEnd::Complete => {
                    self.record_completion(&connection);
                    connection.close(&self.gateway, Outcome::Answered);
                    self.finish(ANSWERED, "");
                    return true;
                }
                StreamEnd::ClientLeft => {
                    connection.in_flight.close(Outcome::Abandoned);
                    self.finish("client_left", "");
                    return false;
                }
                StreamEnd::Interrupted(interruption) => interruption,
            };
            if interruption.is_caused_by_endpoint()
                && let Some(broken) = self.broken_response(&connection)
            {
                self.investigate(broken).await;
            }
            connection.in_flight.close(Outcome::Failed);
            drop(body);
            match self.resume().await {
                Ok(next) => {
                    self.summary = StreamSummary::new(next.framing);
                    (body, connection) = (next.body, next.connection);
                }
                Err(text) => {
                    let text = format!("{interruption}; not resumed: {text}");
                    self.finish("broken", &text);
                    return false;
                }
            }
        }
    }

    /// Forwards complete events as they arrive, until the stream ends.
    async fn forward_events(
        &mut self,
        body: &mut Incoming,
        connection: &BusyConnection<A>,
    ) -> StreamEnd {
        loop {
            let left = Duration::from_millis(self.request.time_left(now()).0);
            let frame = tokio::select! {
                frame = timeout(left, body.frame()) => frame,
                () = self.writer.client_left() => return StreamEnd::ClientLeft,
            };
            let chunk = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(source))) => {
                    return StreamEnd::Interrupted(Interruption::Connection { source });
                }
                Ok(None) => return self.summary.end(),
                Err(_) => return StreamEnd::Interrupted(Interruption::Deadline),
            };
            let last_id = self.splitter.last_id().map(str::to_owned);
            let events = self.splitter.push(&chunk);
            if self.is_continuation
                && let Some(continues) =
                    events.as_deref().and_then(|e| self.order.is_continued_by(e))
            {
                if !continues {
                    self.splitter.go_back_to(last_id);
                    return StreamEnd::Interrupted(Interruption::Discontinuous);
                }
                self.is_continuation = false;
            }
            self.order.record(events.as_deref().unwrap_or_default());
            if !self.summary.has_events && events.as_deref().is_some_and(has_event) {
                self.summary.has_events = true;
                self.record_beginning(connection);
            }
            self.summary.unfinished_bytes = self.splitter.partial_bytes();
            if let Some(events) = events
                && !self.writer.send(events).await
            {
                return StreamEnd::ClientLeft;
            }
            if let Err(interruption) = self.reserve_partial_event() {
                return StreamEnd::Interrupted(interruption);
            }
        }
    }

    /// Reserves memory for the bytes of an incomplete event.
    fn reserve_partial_event(&mut self) -> Result<(), Interruption> {
        let bytes = self.summary.unfinished_bytes;
        if bytes > MAX_EVENT_BYTES {
            return Err(Interruption::EventTooLong { max_bytes: MAX_EVENT_BYTES });
        }
        if !self.reservation.resize(bytes) {
            return Err(Interruption::OutOfMemory { bytes, limit: self.reservation.limit() });
        }
        Ok(())
    }

    /// Records the software version of the stream with the first event that is forwarded.
    fn record_beginning(&mut self, connection: &BusyConnection<A>) {
        if self.has_begun {
            return;
        }
        self.has_begun = true;
        count_request(&self.gateway, &self.request);
        let in_flight = &connection.in_flight;
        if in_flight.has_other_version() {
            return;
        }
        let version = in_flight.software_version().unwrap_or_default();
        record_beginning(&self.gateway, &self.request, in_flight.endpoint(), version);
    }

    /// Records that the stream was complete. One that ends with its connection also looks complete
    /// if the endpoint crashed between two events, so a suspected one is checked.
    fn record_completion(&self, connection: &BusyConnection<A>) {
        if self.summary.framing == Framing::Connection
            && has_evidence(&self.gateway, &self.request)
            && let Some(ended) = self.broken_response(connection)
        {
            return ended.spawn_completion_check(&self.gateway, self.request.clone());
        }
        record_completion(&self.gateway, &self.request);
    }

    fn broken_response(&self, connection: &BusyConnection<A>) -> Option<BrokenResponse> {
        BrokenResponse::new(&self.request, &connection.in_flight, connection.address, now())
    }

    /// Finds out whether the endpoint has crashed; before the stream is resumed, so that it is not if
    /// its prompt is to blame.
    async fn investigate(&self, broken: BrokenResponse) {
        if self.request.repeat == Repeat::Resumable {
            broken.investigate(&self.gateway).await;
        } else {
            broken.spawn_investigation(&self.gateway);
        }
    }

    /// Resumes the stream at another endpoint after the last complete event. The error states why
    /// it is not.
    async fn resume(&mut self) -> Result<StreamingResponse<A>, String> {
        self.splitter.take_partial();
        // Less always fits.
        self.reservation.resize(0);
        self.is_continuation = self.has_begun || self.request.last_event.is_some();
        if self.has_begun {
            check_versions_known(&self.gateway, now())?;
            let origin = known_origin(&self.gateway, self.request.stream_key());
            self.request.origin =
                Some(origin.ok_or("the software version of the stream is unknown")?);
        }
        let request = &self.request;
        if judge(&self.gateway, request, now()) != Judgement::Admitted {
            return Err(String::from("endpoints crashed under such requests before"));
        }
        while request.repeat == Repeat::Resumable
            && self.sends < request.max_attempts
            && now() < request.deadline
        {
            let limits = request.wait_limits(&self.tried, now());
            let placed = tokio::select! {
                placed = wait_for_endpoint(&self.gateway, request, limits, &self.tried) => placed,
                () = self.writer.client_left() => return Err(String::from("the client left")),
            };
            let choice = match placed {
                WaitOutcome::Placed(choice) => choice,
                WaitOutcome::TimedOut(_) => {
                    return Err(String::from("no endpoint could start it in time"));
                }
                WaitOutcome::NoEndpoint => {
                    return Err(String::from("no further endpoint is registered"));
                }
                WaitOutcome::Condemned(_) => {
                    return Err(String::from("such requests crash endpoints"));
                }
            };
            let daemons = self.gateway.daemon_count(now());
            if !self.gateway.retry_budget.borrow_mut().try_spend(&request.service, daemons, now()) {
                return Err(String::from("retry budget exhausted"));
            }
            self.sends += 1;
            self.tried.insert(choice.id.clone());
            let last_event = self.splitter.last_id().or(request.last_event.as_deref());
            if let Ok(EndpointResponse::Streaming(next)) =
                attempt(&self.gateway, request, &choice, last_event).await
            {
                return Ok(*next);
            }
        }
        Err(String::from("the route allows no further attempt, or the deadline has passed"))
    }

    /// Counts the end of one endpoint's stream.
    fn count_end(&self, end: &StreamEnd) {
        let labels = StreamEndLabels { framing: self.summary.framing.as_str(), end: end.as_str() };
        self.gateway.metrics.stream_ends.get_or_create(&labels).inc();
    }

    fn finish(&self, result: &str, text: &str) {
        let finished =
            FinishedRequest { result, text, sends: self.sends, stream: Some(self.summary) };
        finish(&self.gateway, &self.request, &finished);
    }
}
