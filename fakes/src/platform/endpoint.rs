use super::wire::{Message, read_message};
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How an endpoint treats requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// It answers.
    #[default]
    Succeed,
    /// It runs the request and answers 500.
    Fail,
    /// It says that it does not run the request.
    Reject,
    /// It runs the request and closes the connection.
    Close,
    /// It breaks off in the middle of its answer.
    Truncate,
    /// It runs the request and answers nothing.
    Hang,
    /// It answers for another request.
    WrongRequest,
    /// It answers twice.
    DuplicateResponse,
    /// It answers with this status without saying that nothing ran.
    AmbiguousStatus(u16),
    /// It answers without a signature.
    Unsigned,
}

/// A request that an endpoint got.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The request.
    pub message: Message,
    /// Whether the endpoint ran it.
    pub ran: bool,
    /// When the caller closed the connection while it ran.
    pub cancelled: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    arrivals: Vec<ReceivedRequest>,
    connections: usize,
}

/// A stand-in for an endpoint.
#[derive(Clone, Debug)]
pub struct PlatformEndpoint {
    /// Its address.
    pub address: SocketAddr,
    /// Its id in the registry.
    pub id: String,
    state: Arc<Mutex<State>>,
    events: u32,
    pause: Duration,
}

impl PlatformEndpoint {
    /// Starts an endpoint whose streams have `events` events, a `pause` apart.
    pub fn start(id: &str, events: u32, pause: Duration) -> io::Result<PlatformEndpoint> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::default();
        let runner = PlatformEndpoint { address, id: id.to_owned(), state, events, pause };
        let served = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = served.clone();
                runner.state().connections += 1;
                // A broken connection ends its thread and nothing else.
                thread::spawn(move || runner.serve(stream).unwrap_or_default());
            }
        });
        Ok(runner)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how it treats requests from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state().behaviour = behaviour;
    }

    /// Returns the requests that it got.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.state().arrivals.clone()
    }

    /// Returns how many connections it accepted.
    pub fn connections(&self) -> usize {
        self.state().connections
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(message) = read_message(&mut reader)? {
            let behaviour = self.state().behaviour;
            let expected = message.header("x-chervilspur-expected-instance") == self.id;
            let ran = behaviour != Behaviour::Reject && expected;
            let arrival = ReceivedRequest { message: message.clone(), ran, cancelled: None };
            let number = self.state().arrivals.len();
            self.state().arrivals.push(arrival);
            if !expected {
                write!(writer, "HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n")?;
                continue;
            }
            if !self.answer(&message, behaviour, number, &mut writer)? {
                return writer.shutdown(Shutdown::Both);
            }
        }
        Ok(())
    }

    /// Answers a request; returns whether the connection stays.
    fn answer(
        &self,
        message: &Message,
        behaviour: Behaviour,
        number: usize,
        writer: &mut TcpStream,
    ) -> io::Result<bool> {
        let id = message.header("x-chervilspur-attempt-id");
        let echo = format!("x-chervilspur-attempt-id: {id}\r\n");
        let sealed = format!("{echo}x-chervilspur-server-seal: {}\r\n", self.id);
        match behaviour {
            Behaviour::Fail => {
                write!(writer, "HTTP/1.1 500 X\r\n{sealed}content-length: 4\r\n\r\noops")?;
            }
            Behaviour::Reject => write!(
                writer,
                "HTTP/1.1 503 X\r\n{echo}x-chervilspur-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            )?,
            Behaviour::AmbiguousStatus(status) => {
                write!(writer, "HTTP/1.1 {status} X\r\n{echo}content-length: 0\r\n\r\n")?;
            }
            Behaviour::Unsigned => {
                write!(writer, "HTTP/1.1 200 X\r\n{echo}content-length: 2\r\n\r\nok")?;
            }
            Behaviour::Close => return Ok(false),
            Behaviour::Hang => {
                self.wait_for_close(number, writer)?;
                return Ok(false);
            }
            Behaviour::WrongRequest => write!(
                writer,
                "HTTP/1.1 200 X\r\nx-chervilspur-attempt-id: other\r\n\
                 x-chervilspur-server-seal: s\r\ncontent-length: 2\r\n\r\nno"
            )?,
            Behaviour::Succeed | Behaviour::Truncate | Behaviour::DuplicateResponse => {
                if message.word(1).contains("/stream/") {
                    return self.stream(message, behaviour, &sealed, number, writer);
                }
                let body = format!("answer of {} to {id}", self.id);
                let length = body.len();
                write!(writer, "HTTP/1.1 200 X\r\n{sealed}content-length: {length}\r\n\r\n")?;
                if behaviour == Behaviour::Truncate {
                    writer.write_all(&body.as_bytes()[..length / 2])?;
                    return Ok(false);
                }
                writer.write_all(body.as_bytes())?;
                if behaviour == Behaviour::DuplicateResponse {
                    write!(writer, "HTTP/1.1 200 X\r\n{sealed}content-length: 2\r\n\r\nno")?;
                }
            }
        }
        Ok(true)
    }

    fn stream(
        &self,
        message: &Message,
        behaviour: Behaviour,
        sealed: &str,
        number: usize,
        writer: &mut TcpStream,
    ) -> io::Result<bool> {
        write!(
            writer,
            "HTTP/1.1 200 X\r\n{sealed}content-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n"
        )?;
        let first = message.header("last-event-id").parse().map_or(1, |last: u32| last + 1);
        for event in first..=self.events {
            let is_cut = behaviour == Behaviour::Truncate && event == first + 2;
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            let text = if is_cut { &text[..9] } else { &text };
            let written = write!(writer, "{:x}\r\n{text}\r\n", text.len());
            if written.is_err() || self.is_closed(writer) {
                self.note_cancelled(number);
                return Ok(false);
            }
            if is_cut {
                return Ok(false);
            }
            thread::sleep(self.pause);
        }
        write!(writer, "0\r\n\r\n")?;
        Ok(true)
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
        self.note_cancelled(number);
        read.map(|_| ())
    }

    fn note_cancelled(&self, number: usize) {
        self.state().arrivals[number].cancelled = Some(Instant::now());
    }
}
