//! The platform's store in the form `objects`.

use crate::http::{Message, read_message};
use crate::json::{Json, quote};
use crate::lock;
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug, Default)]
struct State {
    revision: u64,
    /// Revision and specification by kind and name.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, name and specification; `None` if the object was deleted.
    changes: Vec<(u64, String, String, Option<String>)>,
}

/// A store; clones share their state.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// The address at which the store serves one machine; clones share their state.
#[derive(Clone, Debug)]
pub struct View {
    pub address: SocketAddr,
    is_silent: Arc<AtomicBool>,
    last_config_watch: Arc<Mutex<Option<Instant>>>,
}

impl View {
    fn new(address: SocketAddr) -> View {
        View { address, is_silent: Arc::default(), last_config_watch: Arc::default() }
    }

    /// Stops to answer this machine, or answers it again.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::Relaxed);
    }

    /// When this machine last began to watch the configuration.
    pub fn last_config_watch(&self) -> Option<Instant> {
        *lock(&self.last_config_watch)
    }

    fn is_silent(&self) -> bool {
        self.is_silent.load(Ordering::Relaxed)
    }

    /// Waits until this machine is answered again.
    fn wait(&self) {
        while self.is_silent() {
            thread::sleep(Duration::from_millis(20));
        }
    }
}

fn object_text(name: &str, revision: u64, specification: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{revision},\"created\":1,\"finalizers\":[],\
         \"deletion_pending\":false}},\"specification\":{specification},\"status\":null}}",
        quote(name)
    )
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State { revision: 1, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let store = Store { address: listener.local_addr()?, shared };
        store.listen(listener, View::new(store.address));
        Ok(store)
    }

    /// Serves a further machine at an address of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start_view(&self) -> io::Result<View> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let view = View::new(listener.local_addr()?);
        self.listen(listener, view.clone());
        Ok(view)
    }

    fn listen(&self, listener: TcpListener, view: View) {
        let served = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, view) = (served.clone(), view.clone());
                thread::spawn(move || store.serve(stream, &view));
            }
        });
    }

    /// Writes an object under the next revision.
    pub fn put(&self, kind: &str, name: &str, specification: &str) {
        let mut state = lock(&self.shared.0);
        put(&mut state, kind, name, specification);
        self.shared.1.notify_all();
    }

    /// The specification of an object.
    pub fn specification(&self, kind: &str, name: &str) -> Option<String> {
        let key = (kind.to_owned(), name.to_owned());
        lock(&self.shared.0).objects.get(&key).map(|(_, text)| text.clone())
    }

    fn serve(&self, stream: TcpStream, view: &View) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_message(&mut reader, false)? {
            if view.is_silent() {
                // Nothing is done, and the channel stays open without an answer.
                view.wait();
                return Ok(());
            }
            if call.word(1).starts_with("/objects/config?watch=") {
                *lock(&view.last_config_watch) = Some(Instant::now());
            }
            let (status, body) = self.handle(&call);
            if view.is_silent() {
                view.wait();
                return Ok(());
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all(format!("{head}{body}").as_bytes())?;
        }
        Ok(())
    }

    fn handle(&self, call: &Message) -> (u16, String) {
        let (path, query) = call.word(1).split_once('?').unwrap_or((call.word(1), ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let parameter = |name: &str| -> Option<u64> {
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        match (call.word(0), name, parameter("watch")) {
            ("GET", None, Some(since)) => {
                self.watch(&kind, since, parameter("wait_ms").unwrap_or(0))
            }
            ("GET", None, None) => self.list(&kind),
            ("GET", Some(name), _) => {
                let state = lock(&self.shared.0);
                match state.objects.get(&(kind, name.clone())) {
                    Some((revision, text)) => (200, object_text(&name, *revision, text)),
                    None => (404, String::from("{}")),
                }
            }
            ("DELETE", Some(name), _) => {
                let mut state = lock(&self.shared.0);
                if state.objects.remove(&(kind.clone(), name.clone())).is_some() {
                    state.revision += 1;
                    let revision = state.revision;
                    state.changes.push((revision, kind, name, None));
                    self.shared.1.notify_all();
                }
                (200, String::from("{}"))
            }
            (method, name, _) => self.write(method, &kind, name, &call.body),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = lock(&self.shared.0);
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> = of_kind
            .map(|((_, name), (revision, text))| object_text(name, *revision, text))
            .collect();
        let (items, at) = (items.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{at}}}"))
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> (u16, String) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = lock(&self.shared.0);
        loop {
            let changes = state.changes.iter().filter(|(at, k, _, _)| *at > since && k == kind);
            let events: Vec<String> = changes
                .map(|(at, _, name, text)| {
                    let object = object_text(name, *at, text.as_deref().unwrap_or("null"));
                    format!("{{\"object\":{object},\"deleted\":{}}}", text.is_none())
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn write(&self, method: &str, kind: &str, name: Option<String>, body: &[u8]) -> (u16, String) {
        let Some(object) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, String::from("{}"));
        };
        let metadata = object.get("metadata");
        let name = name.unwrap_or_else(|| metadata.get("name").as_str().to_owned());
        let text = object.get("specification").to_text();
        let mut state = lock(&self.shared.0);
        let stored = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        match (method, stored) {
            ("POST", Some((revision, old))) => (409, object_text(&name, revision, &old)),
            ("PUT", None) => (404, String::from("{}")),
            ("PUT", Some((revision, old)))
                if metadata.get("revision").as_u64().is_some_and(|r| r != revision) =>
            {
                (409, object_text(&name, revision, &old))
            }
            ("PUT", Some((revision, old))) if old == text => {
                (200, object_text(&name, revision, &old))
            }
            ("POST" | "PUT", _) => {
                let revision = put(&mut state, kind, &name, &text);
                self.shared.1.notify_all();
                (200, object_text(&name, revision, &text))
            }
            _ => (405, String::from("{}")),
        }
    }
}

fn put(state: &mut State, kind: &str, name: &str, text: &str) -> u64 {
    state.revision += 1;
    let revision = state.revision;
    state.objects.insert((kind.to_owned(), name.to_owned()), (revision, text.to_owned()));
    state.changes.push((revision, kind.to_owned(), name.to_owned(), Some(text.to_owned())));
    revision
}
