use super::wire::{Message, read_message};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The delay of each response in mode `Silent`.
const SILENCE: Duration = Duration::from_secs(30);

/// How the store responds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMode {
    /// Normally.
    #[default]
    Up,
    /// With status 503.
    Unavailable,
    /// Only after `SILENCE`.
    Silent,
    /// By closing the connection; a write is still applied.
    Closed,
    /// To watches with status 410, to other calls normally.
    HistoryGone,
}

#[derive(Debug, Default)]
struct State {
    mode: StoreMode,
    /// Stated in all responses.
    era: u64,
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
    changes: Vec<(u64, String, String, Option<Value>)>,
    /// The texts of objects that other writers left; a string with their number stands for them.
    raw: Vec<Vec<u8>>,
    calls: u64,
}

/// What the store held at a moment.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
}

impl StoreCopy {
    /// The specification of an object, if it exists.
    pub fn specification(&self, kind: &str, name: &str) -> Option<&Value> {
        let (_, object) = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        object.get("specification")
    }
}

impl State {
    /// Writes an object under the next revision.
    fn put(&mut self, kind: &str, name: &str, specification: Value) {
        self.revision += 1;
        let object = json!({
            "metadata": { "name": name, "revision": self.revision },
            "specification": specification,
        });
        self.objects.insert((kind.to_owned(), name.to_owned()), (self.revision, object.clone()));
        self.changes.push((self.revision, kind.to_owned(), name.to_owned(), Some(object)));
    }
}

/// What the addresses of all processes begin with.
const LOOPBACK: &[u8] = b"127.0.0.1:";

/// Addresses of processes and those of the paths to them, which a gateway gets in their place; clones
/// share their state.
#[derive(Clone, Debug, Default)]
pub struct AddressMap(Arc<Mutex<BTreeMap<SocketAddr, SocketAddr>>>);

impl AddressMap {
    fn paths(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, SocketAddr>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the path to a process.
    pub fn insert(&self, process: SocketAddr, path: SocketAddr) {
        self.paths().insert(process, path);
    }

    /// Replaces the addresses in a message; both have the same number of digits.
    pub(super) fn replace_in(&self, bytes: &mut [u8]) {
        let paths = self.paths();
        let texts = paths.iter().map(|(process, path)| (process.to_string(), path.to_string()));
        let texts: Vec<(String, String)> = texts.filter(|(a, b)| a.len() == b.len()).collect();
        let starts: Vec<usize> =
            (0..bytes.len()).filter(|at| bytes[*at..].starts_with(LOOPBACK)).collect();
        for at in starts {
            let found =
                texts.iter().find(|(process, _)| bytes[at..].starts_with(process.as_bytes()));
            if let Some((_, path)) = found {
                bytes[at..at + path.len()].copy_from_slice(path.as_bytes());
            }
        }
    }

    /// The number of bytes at the end of a message that may be the beginning of an address.
    pub(super) fn possible_prefix(&self, bytes: &[u8]) -> usize {
        let processes: Vec<String> = self.paths().keys().map(SocketAddr::to_string).collect();
        let is_prefix = |len: &usize| {
            processes.iter().any(|p| p.as_bytes().starts_with(&bytes[bytes.len() - len..]))
        };
        let longest = processes.iter().map(|p| p.len() - 1).max().unwrap_or(0).min(bytes.len());
        (1..=longest).rev().find(is_prefix).unwrap_or(0)
    }
}

impl FromIterator<(SocketAddr, SocketAddr)> for AddressMap {
    fn from_iter<I: IntoIterator<Item = (SocketAddr, SocketAddr)>>(paths: I) -> AddressMap {
        AddressMap(Arc::new(Mutex::new(paths.into_iter().collect())))
    }
}

/// Which calls a listener of the store turns away, and with which status.
#[derive(Debug, Default)]
struct Refusals {
    kinds: BTreeSet<String>,
    /// The status of all calls.
    status: Option<u16>,
}

/// The calls that a listener of the store turns away, with status 503 for some kinds of objects or with
/// any status for all; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct RefusedKinds(Arc<Mutex<Refusals>>);

impl RefusedKinds {
    fn refusals(&self) -> MutexGuard<'_, Refusals> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the kinds.
    pub fn set(&self, kinds: &[&str]) {
        self.refusals().kinds = kinds.iter().map(|kind| (*kind).to_owned()).collect();
    }

    /// Turns all calls away with a status, `None` to serve them again.
    pub fn set_all(&self, status: Option<u16>) {
        self.refusals().status = status;
    }

    /// The status with which a call is turned away.
    fn status(&self, call: &Message) -> Option<u16> {
        let path = call.word(1).trim_start_matches("/objects/");
        let kind = path.split(['/', '?']).next().unwrap_or("");
        let refusals = self.refusals();
        refusals.status.or(refusals.kinds.contains(kind).then_some(503))
    }
}

/// A stand-in for the platform's store; clones share their state.
#[derive(Clone, Debug)]
pub struct PlatformStore {
    /// The address that it listens on.
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl PlatformStore {
    /// Starts an empty store.
    pub fn start() -> io::Result<PlatformStore> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State { era: 1, revision: 1, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let store = PlatformStore { address: listener.local_addr()?, shared };
        store.clone().listen(listener, AddressMap::default(), RefusedKinds::default());
        Ok(store)
    }

    /// Starts another listener of this store, in whose responses the addresses of processes are
    /// replaced by `paths`. Returns its address.
    pub fn start_view(&self, paths: AddressMap) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        self.clone().listen(listener, paths, RefusedKinds::default());
        Ok(address)
    }

    /// Starts another listener of this store, which turns calls away. Returns its address.
    pub fn start_refusing(&self, refused: RefusedKinds) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        self.clone().listen(listener, AddressMap::default(), refused);
        Ok(address)
    }

    fn listen(self, listener: TcpListener, paths: AddressMap, refused: RefusedKinds) {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, paths, refused) = (self.clone(), paths.clone(), refused.clone());
                // An I/O error ends only the thread of this connection.
                thread::spawn(move || store.serve(stream, &paths, &refused).unwrap_or_default());
            }
        });
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how it responds and wakes waiting watches.
    pub fn set_mode(&self, mode: StoreMode) {
        self.state().mode = mode;
        self.shared.1.notify_all();
    }

    /// A copy of its content.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state();
        StoreCopy { revision: state.revision, objects: state.objects.clone() }
    }

    /// Comes back as an older copy, in a new era: later revisions are given out again, first to these objects
    /// (kind, name and specification).
    pub fn restore(&self, copy: StoreCopy, written: &[(&str, &str, Value)]) {
        let mut state = self.state();
        state.era += 1;
        state.revision = copy.revision;
        state.objects = copy.objects;
        state.changes.retain(|(revision, ..)| *revision <= copy.revision);
        for (kind, name, specification) in written {
            state.put(kind, name, specification.clone());
        }
        self.shared.1.notify_all();
    }

    /// The number of calls that it received.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Writes an object under the next revision.
    pub fn put(&self, kind: &str, name: &str, specification: Value) {
        self.state().put(kind, name, specification);
        self.shared.1.notify_all();
    }

    /// Writes the text of a whole object, which need not be one or even JSON, under the next revision.
    pub fn put_raw(&self, kind: &str, name: &str, text: &[u8]) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        let object = Value::String(raw_marker(state.raw.len()));
        state.raw.push(text.to_owned());
        state.objects.insert((kind.to_owned(), name.to_owned()), (revision, object.clone()));
        state.changes.push((revision, kind.to_owned(), name.to_owned(), Some(object)));
        self.shared.1.notify_all();
    }

    /// An object with its metadata, if it exists.
    pub fn object(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        self.state().objects.get(&key).map(|(_, object)| object.clone())
    }

    /// The number of objects of a kind.
    pub fn count(&self, kind: &str) -> usize {
        self.state().objects.keys().filter(|(k, _)| k == kind).count()
    }

    /// Deletes an object, if it exists, under the next revision.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state();
        if state.objects.remove(&(kind.to_owned(), name.to_owned())).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.changes.push((revision, kind.to_owned(), name.to_owned(), None));
            self.shared.1.notify_all();
        }
    }

    fn serve(
        &self,
        stream: TcpStream,
        paths: &AddressMap,
        refused: &RefusedKinds,
    ) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_message(&mut reader)? {
            self.state().calls += 1;
            let refusal = || refused.status(&call).map(|status| (status, json!({})));
            let (status, body) = refusal().unwrap_or_else(|| self.handle(&call));
            // A watch that waited may be turned away by now.
            let (status, body) = refusal().unwrap_or((status, body));
            let (mode, era) = {
                let state = self.state();
                (state.mode, state.era)
            };
            match mode {
                StoreMode::Silent => thread::sleep(SILENCE),
                StoreMode::Closed => return Ok(()),
                StoreMode::Up | StoreMode::Unavailable | StoreMode::HistoryGone => {}
            }
            let mut body = body.to_string();
            for (address, path) in paths.paths().iter() {
                body = body.replace(&format!("{address}\""), &format!("{path}\""));
            }
            let body = self.insert_raw(body.into_bytes());
            write!(
                writer,
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\nstore-era: {era}\r\n\
                 content-length: {}\r\n\r\n",
                body.len()
            )?;
            writer.write_all(&body)?;
        }
        Ok(())
    }

    /// Replaces the markers of raw objects by their texts.
    fn insert_raw(&self, mut body: Vec<u8>) -> Vec<u8> {
        for (number, text) in self.state().raw.iter().enumerate() {
            let marker = format!("{:?}", raw_marker(number));
            let at = body.windows(marker.len()).position(|window| window == marker.as_bytes());
            if let Some(at) = at {
                body.splice(at..at + marker.len(), text.iter().copied());
            }
        }
        body
    }

    fn handle(&self, call: &Message) -> (u16, Value) {
        let (path, query) = call.word(1).split_once('?').unwrap_or((call.word(1), ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let parameter = |name: &str| {
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let mode = self.state().mode;
        if mode == StoreMode::Unavailable {
            return (503, json!({}));
        }
        match (call.word(0), parameter("watch")) {
            ("GET", Some(since)) if mode == StoreMode::HistoryGone => {
                (410, json!({ "since": since }))
            }
            ("GET", Some(since)) => self.watch(&kind, since, parameter("wait_ms").unwrap_or(0)),
            ("GET", None) => match parts.next() {
                Some(name) => self.read(&kind, name),
                None => self.list(&kind),
            },
            ("DELETE", _) => {
                let name = parts.next().unwrap_or("");
                self.delete(&kind, name);
                (200, json!({}))
            }
            (method, _) => self.write(method, &kind, parts.next(), &call.body),
        }
    }

    fn read(&self, kind: &str, name: &str) -> (u16, Value) {
        let object = self.object(kind, name);
        object.map_or((404, json!({})), |object| (200, object))
    }

    fn list(&self, kind: &str) -> (u16, Value) {
        let state = self.state();
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<&Value> = of_kind.map(|(_, (_, object))| object).collect();
        (200, json!({ "items": items, "has_more": false, "at": state.revision }))
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> (u16, Value) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state();
        loop {
            if since > state.revision {
                return (410, json!({ "since": since }));
            }
            let changes = state.changes.iter().filter(|(at, k, _, _)| *at > since && k == kind);
            let events: Vec<Value> = changes
                .map(|(_, _, name, object)| match object {
                    Some(object) => json!({ "deleted": false, "object": object }),
                    None => json!({ "deleted": true, "object": { "metadata": { "name": name } } }),
                })
                .collect();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() || state.mode != StoreMode::Up {
                return (200, json!({ "events": events, "at": state.revision }));
            }
            let waited = self.shared.1.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn write(&self, method: &str, kind: &str, name: Option<&str>, body: &[u8]) -> (u16, Value) {
        let Ok(object) = serde_json::from_slice::<Value>(body) else {
            return (400, json!({}));
        };
        let named = object["metadata"]["name"].as_str().unwrap_or("").to_owned();
        let name = name.map_or(named, str::to_owned);
        // The condition is checked and the object written under one lock: of two writes on the same
        // condition, one succeeds.
        let mut state = self.state();
        let stored = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let expected = object["metadata"]["revision"].as_u64();
        match (method, stored) {
            ("POST", Some((_, stored))) => (409, stored),
            ("PUT", None) => (404, json!({})),
            ("PUT", Some((revision, stored)))
                if expected.is_some_and(|expected| expected != revision) =>
            {
                (409, stored)
            }
            _ => {
                state.put(kind, &name, object["specification"].clone());
                self.shared.1.notify_all();
                (200, object)
            }
        }
    }
}

fn raw_marker(number: usize) -> String {
    format!("raw object {number}")
}
