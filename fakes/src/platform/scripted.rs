use super::closing::{close, set_reset_on_close};
use super::wire::read_head;
use socket2::{Domain, Socket, Type};
use std::io::{self, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Receive buffer of an endpoint, so that long uploads stay with the gateway until they are read.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
const BACKLOG: i32 = 128;

/// A step that an endpoint takes on a connection.
#[derive(Clone, Debug)]
pub enum Step {
    /// Waits for the head of a request, and leaves its body.
    ReadHead,
    /// Reads bytes of a body.
    ReadBody(usize),
    /// Sends text, in which `{id}` is the id of the last request, `{first}` that of the first one of
    /// the connection, and `{seal}` the id of the endpoint.
    Write(String),
    /// Sends the same text at an interval until the connection ends.
    Repeat(String, Duration),
    /// Waits for a fixed time.
    Pause(Duration),
    /// Resets the connection.
    Reset,
}

/// A stand-in for an endpoint that takes the same steps on each connection, which it then closes;
/// clones share their state.
#[derive(Clone, Debug)]
pub struct ScriptedEndpoint {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The id that its responses name as `{seal}`.
    pub id: String,
    steps: Arc<Mutex<Vec<Step>>>,
    requests: Arc<Mutex<Vec<String>>>,
}

impl ScriptedEndpoint {
    /// Starts an endpoint that closes connections until it gets steps.
    pub fn start(id: &str) -> io::Result<ScriptedEndpoint> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        socket.listen(BACKLOG)?;
        let listener = TcpListener::from(socket);
        let endpoint = ScriptedEndpoint {
            address: listener.local_addr()?,
            id: id.to_owned(),
            steps: Arc::default(),
            requests: Arc::default(),
        };
        let served = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = served.clone();
                // An I/O error ends only the thread of this connection.
                thread::spawn(move || endpoint.serve(stream).unwrap_or_default());
            }
        });
        Ok(endpoint)
    }

    /// Changes the steps on further connections.
    pub fn set(&self, steps: &[Step]) {
        *self.steps.lock().unwrap_or_else(PoisonError::into_inner) = steps.to_vec();
    }

    /// The ids of the requests whose heads it has read.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let (mut first, mut id) = (None, String::new());
        let steps = self.steps.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for step in steps {
            let fill = |text: &str| {
                let first = first.as_deref().unwrap_or_default();
                text.replace("{id}", &id).replace("{first}", first).replace("{seal}", &self.id)
            };
            match step {
                Step::ReadHead => {
                    let Some(head) = read_head(&mut reader)? else { return Ok(()) };
                    id = head.header("x-chervilspur-attempt-id").to_owned();
                    first.get_or_insert_with(|| id.clone());
                    let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
                    requests.push(id.clone());
                }
                Step::ReadBody(bytes) => {
                    io::copy(&mut reader.by_ref().take(bytes as u64), &mut io::sink())?;
                }
                Step::Write(text) => writer.write_all(fill(&text).as_bytes())?,
                Step::Repeat(text, interval) => loop {
                    writer.write_all(fill(&text).as_bytes())?;
                    thread::sleep(interval);
                },
                Step::Pause(time) => thread::sleep(time),
                Step::Reset => return set_reset_on_close(&writer),
            }
        }
        close(&writer)
    }
}
