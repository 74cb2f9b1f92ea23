//! The platform's entry, which forwards new channels to gateways, and its calls of duties.

use crate::http::read_message;
use crate::record::Record;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// A gateway as the entry knows it.
#[derive(Clone, Debug)]
struct Member {
    front: SocketAddr,
    ready: SocketAddr,
    misses: u32,
}

impl Member {
    fn is_in_rotation(&self) -> bool {
        self.misses < 2
    }
}

/// The entry of a zone: it asks each gateway once a second whether it is ready, and takes one out after two
/// misses. While fewer than half are in rotation, it uses all.
#[derive(Clone, Debug)]
pub struct Entry {
    members: Arc<Mutex<Vec<Member>>>,
}

fn is_ready(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    write!(stream, "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
    let mut head = [0; 12];
    stream.read_exact(&mut head)?;
    Ok(head.ends_with(b" 200"))
}

impl Entry {
    /// Starts to ask gateways, by the addresses for clients and for that question.
    pub fn start(gateways: &[(SocketAddr, SocketAddr)], record: &Record) -> Entry {
        let members = gateways.iter().map(|(front, ready)| Member {
            front: *front,
            ready: *ready,
            misses: 0,
        });
        let entry = Entry { members: Arc::new(Mutex::new(members.collect())) };
        for number in 0..gateways.len() {
            let (entry, record) = (entry.clone(), record.clone());
            thread::spawn(move || {
                loop {
                    entry.ask(number, &record);
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
        entry
    }

    fn members(&self) -> MutexGuard<'_, Vec<Member>> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ask(&self, number: usize, record: &Record) {
        let address = self.members()[number].ready;
        let is_ready = is_ready(address).unwrap_or(false);
        let mut members = self.members();
        let member = &mut members[number];
        let before = member.is_in_rotation();
        member.misses = if is_ready { 0 } else { member.misses + 1 };
        if member.is_in_rotation() != before {
            let state = if before { "out of" } else { "in" };
            record.line(&format!("entry: gateway {} is {state} rotation", number + 1));
        }
    }

    /// The gateway to which a new channel goes, by a hash of its client.
    pub fn choose(&self, hash: usize) -> (usize, SocketAddr) {
        let members = self.members();
        let all = 0..members.len();
        let in_rotation: Vec<usize> =
            all.clone().filter(|number| members[*number].is_in_rotation()).collect();
        let used = if in_rotation.len() * 2 < members.len() { all.collect() } else { in_rotation };
        let number = used[hash % used.len()];
        (number, members[number].front)
    }
}

/// A call of a duty that was accepted.
#[derive(Clone, Debug)]
pub struct DutyCall {
    pub path: String,
    pub body: String,
}

/// The platform's address for calls of duties, which accepts all.
#[derive(Clone, Debug)]
pub struct Duties {
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<DutyCall>>>,
}

impl Duties {
    /// The calls so far.
    pub fn calls(&self) -> Vec<DutyCall> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Starts the platform's address for calls of duties.
pub fn start_duties(record: &Record) -> io::Result<Duties> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let record = record.clone();
    let duties = Duties { address, calls: Arc::default() };
    let accepting = duties.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, calls) = (record.clone(), accepting.calls.clone());
            thread::spawn(move || -> io::Result<()> {
                let mut writer = stream.try_clone()?;
                let mut reader = BufReader::new(stream);
                while let Some(message) = read_message(&mut reader)? {
                    record.line(&format!(
                        "duty: {} by {}, token {}: {}",
                        message.word(1),
                        message.header("x-chervilspur-duty-holder"),
                        message.header("x-chervilspur-fencing-token"),
                        String::from_utf8_lossy(&message.body)
                    ));
                    let call = DutyCall {
                        path: message.word(1).to_owned(),
                        body: String::from_utf8_lossy(&message.body).into_owned(),
                    };
                    calls.lock().unwrap_or_else(PoisonError::into_inner).push(call);
                    write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
                }
                Ok(())
            });
        }
    });
    Ok(duties)
}
