use super::bad_continuation::BadContinuation;
use super::closing::close;
use super::crash::{CrashableSockets, CrashingPart, rebind};
use super::crashing_body::{CrashStage, CrashingBody};
use super::repeated_refusal::{RefusalMemory, RepeatedRefusal};
use super::room::{Arrival, Occupancy, Room};
use super::unframed::{UnframedEnd, UnframedResponse};
use super::wire::{Message, read_message};
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How an endpoint responds to requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// Runs the request and responds with 200.
    #[default]
    Succeed,
    /// Runs the request and responds with a signed 500.
    Fail,
    /// Responds with 503 and the header that the request was not run.
    Reject,
    /// Runs the request and closes the connection without a response.
    Close,
    /// Fails so many of a thousand requests, spread evenly: in turn as with `Close`, `Reject` and
    /// `Fail`.
    FailSome(u32),
    /// Runs the request and closes the connection in the middle of its response.
    Truncate,
    /// Runs the request and sends nothing until the caller closes the connection.
    Hang,
    /// Runs the request and responds with the attempt id of another one.
    WrongRequest,
    /// Runs the request and sends a second response after the first.
    DuplicateResponse,
    /// Runs the request and responds with this status, unsigned and without the header that the
    /// request was not run.
    AmbiguousStatus(u16),
    /// Runs the request and responds with a JSON document, also where a stream is expected.
    Json,
    /// Runs the request and responds with 200 without a signature.
    Unsigned,
    /// Runs the request and responds with neither a length nor chunks, so that the response ends
    /// with its connection.
    Unframed(UnframedEnd),
    /// Runs the request; goes on wrongly with a stream of which the caller has some events.
    GoOnWrongly(BadContinuation),
    /// Refuses the first request of a connection, runs the later ones and writes that refusal again.
    RepeatRefusal(RepeatedRefusal),
}

impl Behaviour {
    /// How it responds to the request with a number.
    fn of_request(self, number: usize) -> Behaviour {
        let Behaviour::FailSome(share) = self else { return self };
        // The numbers of an endpoint are spread evenly over the thousand.
        let drawn = (number as u64).wrapping_mul(617) % 1_000;
        if drawn >= u64::from(share) {
            return Behaviour::Succeed;
        }
        [Behaviour::Close, Behaviour::Reject, Behaviour::Fail][number % 3]
    }
}

/// A request that an endpoint received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The request line, headers and body.
    pub message: Message,
    /// When it arrived.
    pub arrived: Instant,
    /// Whether the endpoint ran it.
    pub ran: bool,
    /// When the endpoint crashed under it.
    pub crashed: Option<Instant>,
    /// When the endpoint noticed that the caller had closed the connection before the end of the
    /// response.
    pub cancelled: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    crashing_parts: Vec<CrashingPart>,
    crashing_body: Option<CrashingBody>,
    stated_limit: Option<String>,
    leaving_since: Option<Instant>,
    gets_new_ids: bool,
    restarts: u64,
    software_version: Option<String>,
    room: Option<Room>,
    occupancy: Occupancy,
    requests: Vec<ReceivedRequest>,
    connections: usize,
}

impl State {
    /// The time from a crash to the restart.
    fn restart_after(&self) -> Duration {
        let part = self.crashing_parts.first().map(|part| part.restart_after);
        let body = self.crashing_body.as_ref().map(|body| body.restart_after);
        let room = self.room.map(|room| room.restart_after);
        part.or(body).or(room).unwrap_or_default()
    }
}

/// A stand-in for an endpoint of the platform; clones share their state.
#[derive(Clone, Debug)]
pub struct PlatformEndpoint {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The id that it starts with, which requests must name.
    pub id: String,
    state: Arc<Mutex<State>>,
    sockets: Arc<CrashableSockets>,
    events: u32,
    event_interval: Duration,
}

impl PlatformEndpoint {
    /// Starts an endpoint whose streams have `events` events, sent at `event_interval`.
    pub fn start(id: &str, events: u32, event_interval: Duration) -> io::Result<PlatformEndpoint> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let endpoint = PlatformEndpoint {
            address,
            id: id.to_owned(),
            state: Arc::default(),
            sockets: Arc::default(),
            events,
            event_interval,
        };
        let served = endpoint.clone();
        // The endpoint ends with an I/O error of its listener.
        thread::spawn(move || served.run(listener).unwrap_or_default());
        Ok(endpoint)
    }

    /// Accepts connections, again after each crash.
    fn run(&self, mut listener: TcpListener) -> io::Result<()> {
        loop {
            self.sockets.accept(listener, |stream| {
                let endpoint = self.clone();
                endpoint.state().connections += 1;
                // An I/O error ends only the thread of this connection.
                thread::spawn(move || endpoint.serve(stream).unwrap_or_default());
            })?;
            thread::sleep(self.state().restart_after());
            listener = rebind(self.address)?;
            self.state().restarts += 1;
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how it responds to the requests that it receives from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state().behaviour = behaviour;
    }

    /// Sets the prompt parts that crash it.
    pub fn set_crashing_parts(&self, parts: &[CrashingPart]) {
        self.state().crashing_parts = parts.to_vec();
    }

    /// Sets whether each restart is a new instance, with an id of its own.
    pub fn set_gets_new_ids(&self, gets_new_ids: bool) {
        self.state().gets_new_ids = gets_new_ids;
    }

    /// The number of restarts after a crash.
    pub fn restarts(&self) -> u64 {
        self.state().restarts
    }

    /// The id that requests must name now.
    pub fn current_id(&self) -> String {
        let state = self.state();
        if state.gets_new_ids && state.restarts > 0 {
            format!("{}-{}", self.id, state.restarts)
        } else {
            self.id.clone()
        }
    }

    /// Sets the request body that crashes it.
    pub fn set_crashing_body(&self, body: Option<CrashingBody>) {
        self.state().crashing_body = body;
    }

    /// Sets the value of the header in which it states how many requests a second it takes.
    pub fn set_stated_limit(&self, limit: Option<&str>) {
        self.state().stated_limit = limit.map(str::to_owned);
    }

    /// States from now on in each response that it is leaving, or no longer does.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.state().leaving_since = is_leaving.then(Instant::now);
    }

    /// Sets the version of its software, which its events then state, as long as it is set.
    pub fn set_software_version(&self, version: Option<&str>) {
        self.state().software_version = version.map(str::to_owned);
    }

    /// The version of its software, `v1` unless it is set.
    pub fn software_version(&self) -> String {
        self.state().software_version.clone().unwrap_or_else(|| String::from("v1"))
    }

    /// Limits the requests that it runs at a time; `None` if it runs any number at once.
    pub fn set_room(&self, room: Option<Room>) {
        self.state().room = room;
    }

    /// Since when it states that it is leaving.
    pub fn leaving_since(&self) -> Option<Instant> {
        self.state().leaving_since
    }

    /// When it crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        self.sockets.crashes()
    }

    /// The requests that it received, in their order of arrival.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.state().requests.clone()
    }

    /// The number of connections that it accepted.
    pub fn connections(&self) -> usize {
        self.state().connections
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let mut refusals = RefusalMemory::default();
        while let Some(message) = read_message(&mut reader)? {
            let number = self.state().requests.len();
            let behaviour = self.state().behaviour.of_request(number);
            let own_id = self.current_id();
            let is_for_this_instance = message.header("x-chervilspur-expected-instance") == own_id;
            let ran = is_for_this_instance
                && match behaviour {
                    Behaviour::Reject => false,
                    Behaviour::RepeatRefusal(_) => refusals.runs_next(),
                    _ => true,
                };
            let arrived = Instant::now();
            let request = ReceivedRequest {
                message: message.clone(),
                arrived,
                ran,
                crashed: None,
                cancelled: None,
            };
            let number = self.record_request(request);
            if !is_for_this_instance {
                let stated = self.stated_headers();
                write!(writer, "HTTP/1.1 421 X\r\n{stated}content-length: 0\r\n\r\n")?;
                continue;
            }
            if let Behaviour::RepeatRefusal(when) = behaviour {
                let id = message.header("x-chervilspur-attempt-id");
                let signed = format!(
                    "x-chervilspur-attempt-id: {id}\r\nx-chervilspur-server-seal: {own_id}\r\n"
                );
                refusals.respond(when, id, &signed, &mut writer)?;
                continue;
            }
            if let Some(stage) = self.crash_stage(&message) {
                let id = message.header("x-chervilspur-attempt-id");
                let sent = stage.send(id, &own_id, self.event_interval, &mut writer);
                let crashed = self.sockets.crash();
                self.state().requests[number].crashed = crashed;
                return sent;
            }
            let crashing_body = self.state().crashing_body.clone();
            if let Some(crashing) = crashing_body.filter(|crashing| crashing.is_in(&message)) {
                let id = message.header("x-chervilspur-attempt-id");
                let sent = crashing.stage.send(id, &own_id, self.event_interval, &mut writer);
                self.sockets.crash();
                return sent;
            }
            let is_open = match self.arrive() {
                None => self.respond(&message, behaviour, number, &mut writer)?,
                Some((Arrival::Runs, room)) => {
                    thread::sleep(room.work);
                    self.state().occupancy.leave();
                    self.respond(&message, behaviour, number, &mut writer)?
                }
                Some((Arrival::Rejected, _)) => {
                    self.state().requests[number].ran = false;
                    self.respond(&message, Behaviour::Reject, number, &mut writer)?
                }
                Some((Arrival::Falls, _)) => {
                    self.state().requests[number].ran = false;
                    self.sockets.crash();
                    return Ok(());
                }
            };
            if !is_open {
                return close(&writer);
            }
        }
        Ok(())
    }

    /// What becomes of a request if the room of the endpoint is limited.
    fn arrive(&self) -> Option<(Arrival, Room)> {
        let mut state = self.state();
        let room = state.room?;
        Some((state.occupancy.arrive(&room, Instant::now()), room))
    }

    /// When it crashes under a request, if the prompt has a crashing part.
    fn crash_stage(&self, message: &Message) -> Option<CrashStage> {
        let parts = message.header("x-chervilspur-prompt-prefix").split(',');
        let ids: Vec<&str> =
            parts.filter_map(|part| part.split(':').next()).map(str::trim).collect();
        let state = self.state();
        let crashing = state.crashing_parts.iter().find(|part| ids.contains(&part.id.as_str()))?;
        Some(crashing.stage)
    }

    /// Responds to a request; true if the connection is kept open.
    fn respond(
        &self,
        message: &Message,
        behaviour: Behaviour,
        number: usize,
        writer: &mut TcpStream,
    ) -> io::Result<bool> {
        let id = message.header("x-chervilspur-attempt-id");
        let stated = self.stated_headers();
        let id_header = format!("x-chervilspur-attempt-id: {id}\r\n{stated}");
        let signed_headers =
            format!("{id_header}x-chervilspur-server-seal: {}\r\n", self.current_id());
        match behaviour {
            Behaviour::Fail => {
                write!(writer, "HTTP/1.1 500 X\r\n{signed_headers}content-length: 4\r\n\r\noops")?;
            }
            Behaviour::Reject => write!(
                writer,
                "HTTP/1.1 503 X\r\n{id_header}x-chervilspur-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            )?,
            Behaviour::AmbiguousStatus(status) => {
                write!(writer, "HTTP/1.1 {status} X\r\n{id_header}content-length: 0\r\n\r\n")?;
            }
            Behaviour::Json => {
                let body = format!("{{\"request\":\"{id}\"}}");
                let length = body.len();
                write!(
                    writer,
                    "HTTP/1.1 200 X\r\n{signed_headers}content-type: application/json\r\n\
                     content-length: {length}\r\n\r\n{body}"
                )?;
            }
            Behaviour::Unsigned => {
                write!(writer, "HTTP/1.1 200 X\r\n{id_header}content-length: 2\r\n\r\nok")?;
            }
            Behaviour::Unframed(end) => {
                self.unframed_response(message, signed_headers).send(end, writer)?;
                return Ok(false);
            }
            // Answered with what the connection remembers, before.
            Behaviour::RepeatRefusal(_) | Behaviour::Close | Behaviour::FailSome(_) => {
                return Ok(false);
            }
            Behaviour::Hang => {
                self.wait_for_close(number, writer)?;
                return Ok(false);
            }
            Behaviour::WrongRequest => write!(
                writer,
                "HTTP/1.1 200 X\r\nx-chervilspur-attempt-id: other\r\n{stated}\
                 x-chervilspur-server-seal: s\r\ncontent-length: 2\r\n\r\nno"
            )?,
            Behaviour::GoOnWrongly(bad) if !message.header("last-event-id").is_empty() => {
                let last = message.header("last-event-id").parse().unwrap_or(0);
                bad.send(&signed_headers, last, writer)?;
            }
            Behaviour::Succeed
            | Behaviour::GoOnWrongly(_)
            | Behaviour::Truncate
            | Behaviour::DuplicateResponse => {
                if message.word(1).contains("/stream/") {
                    return self.respond_with_stream(
                        message,
                        behaviour,
                        &signed_headers,
                        number,
                        writer,
                    );
                }
                let body = self.body(id);
                let length = body.len();
                write!(
                    writer,
                    "HTTP/1.1 200 X\r\n{signed_headers}content-length: {length}\r\n\r\n"
                )?;
                if behaviour == Behaviour::Truncate {
                    writer.write_all(&body.as_bytes()[..length / 2])?;
                    return Ok(false);
                }
                writer.write_all(body.as_bytes())?;
                if behaviour == Behaviour::DuplicateResponse {
                    write!(
                        writer,
                        "HTTP/1.1 200 X\r\n{signed_headers}content-length: 2\r\n\r\nno"
                    )?;
                }
            }
        }
        Ok(true)
    }

    /// The headers in which it states its limit, the rejections that it bears, and that it is
    /// leaving.
    fn stated_headers(&self) -> String {
        let state = self.state();
        let limit = state.stated_limit.as_ref();
        let limit = limit.map_or_else(String::new, |limit| format!("server-limit: {limit}\r\n"));
        let leaving = state.leaving_since.map_or("", |_| "server-leaving: 1\r\n");
        let brittle = state.room.and_then(|room| room.max_rejections);
        let brittle = brittle.map_or_else(String::new, |max| format!("server-brittle: {max}\r\n"));
        format!("{limit}{brittle}{leaving}")
    }

    fn respond_with_stream(
        &self,
        message: &Message,
        behaviour: Behaviour,
        signed_headers: &str,
        number: usize,
        writer: &mut TcpStream,
    ) -> io::Result<bool> {
        write!(
            writer,
            "HTTP/1.1 200 X\r\n{signed_headers}content-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n"
        )?;
        for (index, text) in self.event_texts(message).enumerate() {
            let is_truncated = behaviour == Behaviour::Truncate && index == 2;
            let text = if is_truncated { &text[..9] } else { &text };
            let written = write!(writer, "{:x}\r\n{text}\r\n", text.len());
            if written.is_err() || self.is_closed(writer) {
                self.record_cancellation(number);
                return Ok(false);
            }
            if is_truncated {
                return Ok(false);
            }
            thread::sleep(self.event_interval);
        }
        write!(writer, "0\r\n\r\n")?;
        Ok(true)
    }

    fn body(&self, id: &str) -> String {
        format!("answer of {} to {id}", self.id)
    }

    /// The events of a stream, from the one after the last that the client has received.
    fn event_texts(&self, message: &Message) -> impl Iterator<Item = String> + use<> {
        let first = message.header("last-event-id").parse().map_or(1, |last: u32| last + 1);
        let version = self.state().software_version.clone();
        let version = version.map_or_else(String::new, |version| format!(" of {version}"));
        (first..=self.events)
            .map(move |event| format!("id: {event}\ndata: piece {event}{version}\n\n"))
    }

    fn unframed_response(&self, message: &Message, headers: String) -> UnframedResponse {
        let is_stream = message.word(1).contains("/stream/");
        let parts = if is_stream {
            self.event_texts(message).collect()
        } else {
            vec![self.body(message.header("x-chervilspur-attempt-id"))]
        };
        UnframedResponse { headers, is_stream, parts, interval: self.event_interval }
    }

    fn is_closed(&self, stream: &TcpStream) -> bool {
        let mut byte = [0];
        let peeked = stream.set_nonblocking(true).and_then(|()| stream.peek(&mut byte));
        let blocking = stream.set_nonblocking(false);
        blocking.is_err() || matches!(peeked, Ok(0))
    }

    fn wait_for_close(&self, number: usize, stream: &mut TcpStream) -> io::Result<()> {
        let mut byte = [0];
        let read = stream.read(&mut byte);
        self.record_cancellation(number);
        read.map(|_| ())
    }

    /// Returns the number of the request.
    fn record_request(&self, request: ReceivedRequest) -> usize {
        let mut state = self.state();
        state.requests.push(request);
        state.requests.len() - 1
    }

    fn record_cancellation(&self, number: usize) {
        self.state().requests[number].cancelled = Some(Instant::now());
    }
}
