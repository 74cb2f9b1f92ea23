//! The platform's store: objects by kind and name, conditional writes, lists and watches.

use crate::http::{Message, read_message};
use crate::json::{field, string};
use crate::regions::Regions;
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    kind: String,
    object: String,
    deleted: bool,
}

/// What the store held at a moment.
#[derive(Clone, Debug)]
pub struct Copy {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
}

#[derive(Debug)]
struct State {
    /// Rises each time that the store comes back from a copy.
    era: u64,
    /// Whether calls get no answer.
    is_away: bool,
    /// The oldest revision from which a watch may go on.
    oldest: u64,
    revision: u64,
    /// Specifications with the revisions of their last changes, by kind and name.
    objects: BTreeMap<(String, String), (u64, String)>,
    changes: Vec<Change>,
}

/// The store; clones share their content.
#[derive(Clone, Debug)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    /// The address at which it listens.
    pub address: SocketAddr,
}

fn object(name: &str, revision: u64, specification: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deletion_pending\":false}},\"specification\":{specification},\
         \"status\":null}}"
    )
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let code = text.get(i + 1..i + 3).and_then(|code| u8::from_str_radix(code, 16).ok());
        match code {
            Some(code) if bytes[i] == b'%' => {
                decoded.push(code);
                i += 3;
            }
            _ => {
                decoded.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

impl Store {
    /// Starts a store at a free port of 127.0.0.1.
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            era: 1,
            is_away: false,
            oldest: 100,
            revision: 100,
            objects: BTreeMap::new(),
            changes: Vec::new(),
        };
        let store = Store {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr()?,
        };
        store.accept(listener, None);
        Ok(store)
    }

    /// Opens another address of the store, at which it shows addresses of gateways as a region sees them.
    pub fn open_to(&self, region: &'static str, regions: &Regions) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        self.accept(listener, Some((region, regions.clone())));
        Ok(address)
    }

    fn accept(&self, listener: TcpListener, view: Option<(&'static str, Regions)>) {
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, view) = (store.clone(), view.clone());
                thread::spawn(move || store.serve(stream, view.as_ref()));
            }
        });
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an object, as the operator or a runner does. The time of its return is that of the
    /// acknowledgement.
    pub fn put(&self, kind: &str, name: &str, specification: &str) {
        self.state().write(kind, name, specification);
        self.shared.1.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.state().remove(kind, name);
        self.shared.1.notify_all();
    }

    /// A copy of its content.
    pub fn copy(&self) -> Copy {
        let state = self.state();
        Copy { revision: state.revision, objects: state.objects.clone() }
    }

    /// Goes away: calls get no answer, and their channels are closed.
    pub fn go_away(&self) {
        self.state().is_away = true;
        self.shared.1.notify_all();
    }

    /// Comes back from a copy.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.state();
        state.era += 1;
        state.is_away = false;
        state.oldest = copy.revision;
        state.revision = copy.revision;
        state.objects = copy.objects;
        state.changes.clear();
    }

    /// The specification of an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.state();
        state.objects.get(&(kind.to_owned(), name.to_owned())).map(|(_, text)| text.clone())
    }

    fn serve(&self, stream: TcpStream, view: Option<&(&str, Regions)>) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(mut message) = read_message(&mut reader)? {
            if let Some((_, regions)) = view {
                regions.plain(&mut message.body);
            }
            if self.state().is_away {
                return Ok(());
            }
            let (status, body) = self.respond(&message);
            if self.state().is_away {
                return Ok(());
            }
            let era = self.state().era;
            let mut body = body.into_bytes();
            if let Some((region, regions)) = view {
                regions.seen_from(region, &mut body);
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\nstore-era: {era}\r\n\
                 content-length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all(&[head.as_bytes(), &body].concat())?;
        }
        Ok(())
    }

    fn respond(&self, message: &Message) -> (u16, String) {
        let target = message.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|part| part.split_once('=')).collect();
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(percent_decode);
        let body = String::from_utf8_lossy(&message.body).into_owned();
        match (message.word(0), name) {
            ("GET", None) if query.contains_key("watch") => self.watch(&kind, &query),
            ("GET", None) => self.list(&kind, query.get("after").copied()),
            ("GET", Some(name)) => match self.state().text(&kind, &name) {
                Some(text) => (200, text),
                None => (404, String::from("{}")),
            },
            ("POST", None) => self.create(&kind, &body),
            ("PUT", Some(name)) if name.ends_with("/status") => (200, String::from("{}")),
            ("PUT", Some(name)) => self.replace(&kind, &name, &body),
            ("DELETE", Some(name)) => {
                self.remove(&kind, &name);
                (200, String::from("{}"))
            }
            _ => (400, String::from("{}")),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (u16, String) {
        let after = after.map(percent_decode);
        let state = self.state();
        let listed = state
            .objects
            .iter()
            .filter(|((k, name), _)| k == kind && after.as_ref().is_none_or(|after| name > after));
        let items: Vec<String> =
            listed.map(|((_, name), (revision, text))| object(name, *revision, text)).collect();
        let (items, at) = (items.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{at}}}"))
    }

    fn watch(&self, kind: &str, query: &BTreeMap<&str, &str>) -> (u16, String) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let since = number("watch").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state();
        let era = state.era;
        loop {
            if state.is_away || state.era != era || since > state.revision || since < state.oldest {
                return (410, String::from("{}"));
            }
            let new = state.changes.iter().filter(|c| c.kind == kind && c.revision > since);
            let events: Vec<String> = new
                .map(|c| format!("{{\"object\":{},\"deleted\":{}}}", c.object, c.deleted))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn create(&self, kind: &str, body: &str) -> (u16, String) {
        let name = field(body, "metadata").and_then(|m| field(m, "name")).and_then(string);
        let (Some(name), Some(specification)) = (name, field(body, "specification")) else {
            return (400, String::from("{}"));
        };
        let mut state = self.state();
        if let Some(text) = state.text(kind, &name) {
            return (409, text);
        }
        state.write(kind, &name, specification);
        let text = state.text(kind, &name).unwrap_or_default();
        drop(state);
        self.shared.1.notify_all();
        (200, text)
    }

    fn replace(&self, kind: &str, name: &str, body: &str) -> (u16, String) {
        let revision = field(body, "metadata").and_then(|m| field(m, "revision"));
        let revision = revision.and_then(|text| text.parse::<u64>().ok());
        let specification = field(body, "specification").unwrap_or("null");
        let mut state = self.state();
        let key = (kind.to_owned(), name.to_owned());
        let Some((current, stored)) = state.objects.get(&key).cloned() else {
            return (404, String::from("{}"));
        };
        if revision.is_some_and(|revision| revision != current) {
            return (409, object(name, current, &stored));
        }
        if stored != specification {
            state.write(kind, name, specification);
        }
        let text = state.text(kind, name).unwrap_or_default();
        drop(state);
        self.shared.1.notify_all();
        (200, text)
    }
}

impl State {
    fn text(&self, kind: &str, name: &str) -> Option<String> {
        let (revision, text) = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(object(name, *revision, text))
    }

    fn write(&mut self, kind: &str, name: &str, specification: &str) {
        self.revision += 1;
        let (key, revision) = ((kind.to_owned(), name.to_owned()), self.revision);
        self.objects.insert(key, (revision, specification.to_owned()));
        let object = object(name, revision, specification);
        self.changes.push(Change { revision, kind: kind.to_owned(), object, deleted: false });
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let removed = self.objects.remove(&(kind.to_owned(), name.to_owned()));
        let Some((_, specification)) = removed else { return };
        self.revision += 1;
        let revision = self.revision;
        let object = object(name, revision, &specification);
        self.changes.push(Change { revision, kind: kind.to_owned(), object, deleted: true });
    }
}
