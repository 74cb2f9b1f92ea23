use super::wire::{Message, read_message};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How the platform responds to the calls of the holder of the duties.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DutyApiMode {
    /// It accepts them.
    #[default]
    Up,
    /// It closes the connection, and has not received the call.
    Down,
    /// It accepts them, and responds after that time.
    Slow(Duration),
    /// It responds with a status, such as 429 or 409.
    Refusing(u16),
}

/// A call that arrived.
#[derive(Clone, Debug)]
pub struct DutyCallRecord {
    /// When its last byte arrived.
    pub arrived: Instant,
    /// The request target.
    pub target: String,
    /// The body; null if it is not JSON.
    pub body: Value,
    /// The instance name in its headers.
    pub holder: String,
    /// The token in its headers; `None` if there is none.
    pub token: Option<u64>,
    /// The status of the response.
    pub status: u16,
}

impl DutyCallRecord {
    /// What the call is about: usage, or the endpoints of a service in a data centre.
    fn subject(&self) -> String {
        match self.target.as_str() {
            "/scale" => format!("/scale {} {}", self.body["service"], self.body["zone"]),
            target => target.to_owned(),
        }
    }
}

#[derive(Debug, Default)]
struct State {
    mode: DutyApiMode,
    calls: Vec<DutyCallRecord>,
}

/// A stand-in for the part of the platform that receives the calls of the holder of the duties;
/// clones share their state.
#[derive(Clone, Debug)]
pub struct DutyApi {
    /// The address that it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl DutyApi {
    /// Starts it.
    pub fn start() -> io::Result<DutyApi> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let api = DutyApi { address: listener.local_addr()?, state: Arc::default() };
        let server = api.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                // An I/O error ends only the thread of this connection.
                thread::spawn(move || server.serve(stream).unwrap_or_default());
            }
        });
        Ok(api)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how it responds.
    pub fn set_mode(&self, mode: DutyApiMode) {
        self.state().mode = mode;
    }

    /// The calls so far, in the order of their arrival.
    pub fn calls(&self) -> Vec<DutyCallRecord> {
        self.state().calls.clone()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_message(&mut reader)? {
            let Some((status, delay)) = self.record(&call) else { return Ok(()) };
            thread::sleep(delay);
            write!(writer, "HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n")?;
        }
        Ok(())
    }

    /// Records a call; returns the status and the delay of the response, `None` if it is down.
    fn record(&self, call: &Message) -> Option<(u16, Duration)> {
        let mut state = self.state();
        let (status, delay) = match state.mode {
            DutyApiMode::Up => (200, Duration::ZERO),
            DutyApiMode::Down => return None,
            DutyApiMode::Slow(delay) => (200, delay),
            DutyApiMode::Refusing(status) => (status, Duration::ZERO),
        };
        state.calls.push(DutyCallRecord {
            arrived: Instant::now(),
            target: call.word(1).to_owned(),
            body: serde_json::from_slice(&call.body).unwrap_or_default(),
            holder: call.header("x-chervilspur-duty-holder").to_owned(),
            token: call.header("x-chervilspur-fencing-token").parse().ok(),
            status,
        });
        Some((status, delay))
    }
}

/// Checks the calls about each subject: a token belongs to one holder, tokens do not fall, and no holder
/// acts again within a lease after another one has.
pub fn check_duty_calls(calls: &[DutyCallRecord], lease: Duration) -> Result<(), String> {
    let mut by_subject: BTreeMap<String, Vec<&DutyCallRecord>> = BTreeMap::new();
    for call in calls {
        by_subject.entry(call.subject()).or_default().push(call);
    }
    by_subject.values().try_for_each(|calls| check_subject(calls, lease))
}

fn check_subject(calls: &[&DutyCallRecord], lease: Duration) -> Result<(), String> {
    let mut last_by_holder: BTreeMap<&str, Instant> = BTreeMap::new();
    for (at, call) in calls.iter().enumerate() {
        let Some(token) = call.token else { return Err(format!("no token: {call:?}")) };
        let Some(before) = at.checked_sub(1).map(|at| calls[at]) else { continue };
        if before.token > Some(token) {
            return Err(format!("token falls: {before:?}, {call:?}"));
        }
        if before.holder == call.holder {
            continue;
        }
        if before.token == Some(token) {
            return Err(format!("token of two holders: {before:?}, {call:?}"));
        }
        last_by_holder.insert(&before.holder, before.arrived);
        let earlier = last_by_holder.get(call.holder.as_str());
        if earlier.is_some_and(|earlier| call.arrived - *earlier < lease) {
            return Err(format!("{} acts again within a lease: {call:?}", call.holder));
        }
    }
    Ok(())
}
