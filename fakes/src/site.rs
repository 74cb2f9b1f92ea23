use crate::{Instance, InstanceKind, InstanceList, InstanceState, Process};
use config::{Accepted, Edit, Lists, Reader};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use store::Store;
use utils::{HttpError, get_json, post_json, prepare_request};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const START_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The peer key that the daemons of a site share.
const PEER_KEY: &str = "key-of-the-local-daemons";

/// An instance of a site, with the extra flags of its process.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name in the instance list.
    pub name: String,
    /// The kind of its process.
    pub kind: InstanceKind,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// Extra command-line flags.
    pub args: Vec<String>,
}

impl Member {
    /// Describes an instance; `location` is `region/data-centre`.
    pub fn new(name: &str, kind: InstanceKind, location: &str, args: &[&str]) -> Member {
        let (region, data_centre) = location.split_once('/').unwrap_or((location, location));
        Member {
            name: name.to_string(),
            kind,
            data_centre: data_centre.to_string(),
            region: region.to_string(),
            args: args.iter().map(|arg| arg.to_string()).collect(),
        }
    }
}

/// A local deployment of the router: stand-ins for the platform, daemons and endpoints, each a
/// process on loopback.
#[derive(Debug)]
pub struct Site {
    /// The process of the object API.
    pub store: Process,
    /// The process of the instance list.
    pub instances: Process,
    members: BTreeMap<String, (Member, Process)>,
}

impl Site {
    /// Starts the platform, publishes the lists, starts the members and waits until all daemons are
    /// ready.
    pub fn start(lists: &Value, members: &[Member]) -> io::Result<Site> {
        let mut site = Site::start_platform()?;
        site.put_lists(lists)?;
        site.start_members(members)?;
        for name in site.names(InstanceKind::Daemon) {
            site.wait_until_ready(name)?;
        }
        Ok(site)
    }

    /// Starts the object API and the instance list, both empty.
    pub fn start_platform() -> io::Result<Site> {
        let store = Process::start("chervilspur-fake", &["object-api"])?;
        let instances = Process::start("chervilspur-fake", &["instances"])?;
        Ok(Site { store, instances, members: BTreeMap::new() })
    }

    /// Starts the endpoints, then the daemons, and adds all to the instance list.
    pub fn start_members(&mut self, members: &[Member]) -> io::Result<()> {
        let is_daemon = |member: &&Member| member.kind == InstanceKind::Daemon;
        for member in members.iter().filter(|m| !is_daemon(m)) {
            self.add(member, "127.0.0.1:0")?;
        }
        self.publish().map_err(io::Error::other)?;
        for member in members.iter().filter(is_daemon) {
            self.add(member, "127.0.0.1:0")?;
        }
        self.publish().map_err(io::Error::other)
    }

    /// The address of an instance.
    ///
    /// # Panics
    ///
    /// Panics when no instance has this name.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.process(name).address
    }

    /// The process of an instance.
    ///
    /// # Panics
    ///
    /// Panics when no instance has this name.
    pub fn process(&self, name: &str) -> &Process {
        &self.members.get(name).unwrap_or_else(|| panic!("no instance {name}")).1
    }

    /// Removes an instance from the site and returns its process, still running. The instance stays
    /// in the instance list.
    pub fn remove(&mut self, name: &str) -> Option<Process> {
        self.members.remove(name).map(|(_, process)| process)
    }

    /// Returns the names of all instances of a kind.
    pub fn names(&self, kind: InstanceKind) -> Vec<&str> {
        let members = self.members.values().filter(|(member, _)| member.kind == kind);
        members.map(|(member, _)| member.name.as_str()).collect()
    }

    /// Reads JSON from an instance.
    pub fn get(&self, name: &str, path: &str) -> Result<Value, HttpError> {
        get_json(&format!("http://{}{path}", self.address(name)), REQUEST_TIMEOUT)
    }

    /// Posts JSON to an instance.
    pub fn post(&self, name: &str, path: &str, body: &Value) -> Result<Value, HttpError> {
        post_json(&format!("http://{}{path}", self.address(name)), body, REQUEST_TIMEOUT)
    }

    /// Kills an instance with `SIGKILL`; it stays in the instance list.
    pub fn kill(&mut self, name: &str) -> io::Result<()> {
        match self.members.get_mut(name) {
            Some((_, process)) => process.kill(),
            None => Ok(()),
        }
    }

    /// Restarts an instance at its address; the new process has a new incarnation.
    pub fn restart(&mut self, name: &str) -> io::Result<()> {
        let Some((member, process)) = self.members.remove(name) else { return Ok(()) };
        let address = process.address.to_string();
        drop(process);
        self.add(&member, &address)
    }

    /// Publishes the lists in the object API as the next revision.
    pub fn put_lists(&self, lists: &Value) -> io::Result<Accepted> {
        let lists: Lists = serde_json::from_value(lists.clone())?;
        let store = Store::new(self.store.address, REQUEST_TIMEOUT);
        let current = Reader::default().read(&store).map_err(io::Error::other)?;
        let edit = Edit::new(&lists, current.map_or(0, |published| published.revision));
        edit.publish(&store).map_err(io::Error::other)
    }

    /// Replaces the instance list by the members of the site, all live.
    pub fn publish(&self) -> Result<(), HttpError> {
        let instance = |(member, process): &(Member, Process)| Instance {
            name: member.name.clone(),
            kind: member.kind,
            address: process.address,
            data_centre: member.data_centre.clone(),
            region: member.region.clone(),
            state: InstanceState::Live,
        };
        let list = InstanceList { instances: self.members.values().map(instance).collect() };
        let url = format!("http://{}/instances", self.instances.address);
        post_json::<_, InstanceList>(&url, &list, REQUEST_TIMEOUT).map(|_| ())
    }

    /// Waits until `/readyz` of a daemon succeeds, at most `START_TIMEOUT`.
    pub fn wait_until_ready(&self, name: &str) -> io::Result<()> {
        let url = format!("http://{}/readyz", self.address(name));
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            let res = prepare_request(attohttpc::get(&url), REQUEST_TIMEOUT).send();
            if res.is_ok_and(|res| res.is_success()) {
                return Ok(());
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(io::Error::other(format!(
            "{name} was not ready within {} s: /readyz did not succeed",
            START_TIMEOUT.as_secs()
        )))
    }

    fn add(&mut self, member: &Member, listen: &str) -> io::Result<()> {
        let platform = (self.store.address.to_string(), self.instances.address.to_string());
        let (program, mut args) = match member.kind {
            InstanceKind::Daemon => ("chervilspurd", daemon_args(member, &platform)),
            InstanceKind::Engine => ("chervilspur-fake", vec!["engine"]),
            InstanceKind::Service => ("chervilspur-fake", vec!["service"]),
        };
        args.extend(["--listen", listen]);
        args.extend(member.args.iter().map(String::as_str));
        let process = Process::start(program, &args)?;
        self.members.insert(member.name.clone(), (member.clone(), process));
        Ok(())
    }
}

fn daemon_args<'a>(member: &'a Member, (store, instances): &'a (String, String)) -> Vec<&'a str> {
    let pairs = [
        ["--name", &member.name],
        ["--data-centre", &member.data_centre],
        ["--region", &member.region],
        ["--store", store],
        ["--instances", instances],
        ["--peer-key", PEER_KEY],
    ];
    pairs.as_flattened().to_vec()
}

/// Lists with one client account, `campo`, whose plan grants all classes except `audit`.
pub fn simple_lists(key_sha256: &str) -> Value {
    let target = json!({"first_token_ms": 580, "between_tokens_ms": 64, "finish_ms": 20_000});
    let grant = json!({
        "tier": 1, "requests_per_minute": 60_000, "tokens_per_minute": 100_000_000,
        "streams": 2_000,
    });
    json!({
        "plans": {"accounts": {"campo": {"plan": "gold", "key_sha256": key_sha256}}},
        "grants": {
            "classes": {
                "plan": {"model": "campo-8b", "repeatable": true, "target": target},
                "digest": {"model": "logbook-4b", "repeatable": true, "target": target},
                "closure": {"model": "campo-8b", "repeatable": false, "target": target},
                "audit": {"model": "campo-8b", "repeatable": true, "target": target},
                "booking": {"service": "booking", "repeatable": false, "target": target},
            },
            "plans": {"gold": {"classes": {
                "plan": grant, "digest": grant, "closure": grant, "booking": grant,
            }}},
        },
    })
}
