//! The platform's metadata store: lists, watches, and writes under a condition.

use crate::http::{Message, read_message};
use crate::json;
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    specification: String,
}

impl Object {
    fn text(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":1,\"finalizers\":[],\
             \"deletion_pending\":false}},\"specification\":{},\"status\":null}}",
            self.revision, self.specification
        )
    }
}

#[derive(Debug)]
struct Change {
    revision: u64,
    kind: String,
    event: String,
}

/// An older state of the store, from which it can come back.
#[derive(Clone, Debug, Default)]
pub struct Copy {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
    /// The number that rises each time the store comes back from a copy.
    era: u64,
    /// Whether the store turns calls away.
    is_away: bool,
    /// The open channels.
    channels: Vec<TcpStream>,
}

/// The store; clones share its state.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

type Answer = (u16, String);

impl Store {
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State { revision: 100, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let store = Store { address: listener.local_addr()?, shared };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an object. Returns its revision.
    pub fn put(&self, kind: &str, name: &str, specification: &str) -> u64 {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        let object = Object { revision, specification: specification.to_owned() };
        let event = format!("{{\"deleted\":false,\"object\":{}}}", object.text(name));
        state.changes.push(Change { revision, kind: kind.to_owned(), event });
        state.objects.insert((kind.to_owned(), name.to_owned()), object);
        self.shared.1.notify_all();
        revision
    }

    /// What the writer of an object set.
    pub fn specification(&self, kind: &str, name: &str) -> Option<String> {
        let key = (kind.to_owned(), name.to_owned());
        self.state().objects.get(&key).map(|object| object.specification.clone())
    }

    /// Copies the present state.
    pub fn copy(&self) -> Copy {
        let state = self.state();
        Copy { revision: state.revision, objects: state.objects.clone() }
    }

    /// Goes away: all channels are reset, and new ones are closed.
    pub fn go_away(&self) {
        let mut state = self.state();
        state.is_away = true;
        for channel in state.channels.drain(..) {
            // A channel that has ended already cannot be shut down.
            let _ = channel.shutdown(Shutdown::Both);
        }
        self.shared.1.notify_all();
    }

    /// Comes back from a copy.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.state();
        state.changes.retain(|change| change.revision <= copy.revision);
        state.revision = copy.revision;
        state.objects = copy.objects;
        state.era += 1;
        state.is_away = false;
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state();
        let Some(mut object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.revision += 1;
        object.revision = state.revision;
        let event = format!("{{\"deleted\":true,\"object\":{}}}", object.text(name));
        state.changes.push(Change { revision: object.revision, kind: kind.to_owned(), event });
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut state = self.state();
        if state.is_away {
            return Ok(());
        }
        state.channels.push(stream.try_clone()?);
        drop(state);
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_message(&mut reader)? {
            let (status, body) = self.answer(&call);
            let era = self.state().era;
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all((head + &body).as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, call: &Message) -> Answer {
        let (path, query) = call.word(1).split_once('?').unwrap_or((call.word(1), ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or("");
        let name = parts.next();
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let body = String::from_utf8_lossy(&call.body);
        match (call.word(0), name, parameter("watch")) {
            ("GET", None, Some(since)) => {
                self.watch(kind, since, parameter("wait_ms").unwrap_or(0))
            }
            ("GET", None, None) => self.list(kind),
            ("GET", Some(name), _) => self.read(kind, name),
            ("DELETE", Some(name), _) => {
                self.delete(kind, name);
                (200, String::from("{}"))
            }
            ("POST", None, _) => self.write(kind, None, &body),
            ("PUT", Some(name), _) => self.write(kind, Some(name), &body),
            _ => (400, String::from("{}")),
        }
    }

    fn list(&self, kind: &str) -> Answer {
        let state = self.state();
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> = of_kind.map(|((_, name), object)| object.text(name)).collect();
        let items = items.join(",");
        (200, format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{}}}", state.revision))
    }

    fn read(&self, kind: &str, name: &str) -> Answer {
        let state = self.state();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
        object.map_or((404, String::from("{}")), |object| (200, object.text(name)))
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> Answer {
        let due = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state();
        loop {
            if since > state.revision {
                return (410, String::from("{}"));
            }
            let new = state.changes.iter().filter(|c| c.revision > since && c.kind == kind);
            let events: Vec<&str> = new.map(|change| &*change.event).collect();
            let left = due.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"at\":{}}}", state.revision));
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Creates an object (`name` is `None`) or replaces one, if its revision is the one stated.
    fn write(&self, kind: &str, name: Option<&str>, body: &str) -> Answer {
        let metadata = json::field(body, "metadata").unwrap_or("{}");
        let stated = json::text(metadata, "name").unwrap_or("").to_owned();
        let expected: Option<u64> =
            json::field(metadata, "revision").and_then(|text| text.parse().ok());
        let specification = json::field(body, "specification").unwrap_or("null");
        let is_new = name.is_none();
        let name = name.map_or(stated, str::to_owned);
        let key = (kind.to_owned(), name.clone());
        let before = self.state().objects.get(&key).cloned();
        match before {
            Some(before) if is_new || expected.is_some_and(|e| e != before.revision) => {
                return (409, before.text(&name));
            }
            None if !is_new => return (404, String::from("{}")),
            _ => {}
        }
        self.put(kind, &name, specification);
        self.read(kind, &name)
    }
}
