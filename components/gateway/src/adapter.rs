use decision::Millis;
use decision::routing::{Configuration, DaemonRecord, Prompt, Registration};
use http::{HeaderMap, HeaderName, StatusCode};

/// What the head of a client's request says beside its request line.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// The id of the request.
    pub request_id: Option<String>,
    /// How long the client will wait.
    pub remaining: Option<Millis>,
    /// The key of a client account.
    pub key: Option<String>,
    /// The size of a request to a model engine.
    pub prompt: Option<Prompt>,
    /// The last event that the client has of an answer that broke off.
    pub last_event: Option<String>,
}

/// What an endpoint is told in the head of a request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedHead<'a> {
    /// The endpoint that the request is meant for.
    pub endpoint: &'a str,
    /// How long the endpoint may work.
    pub remaining: Millis,
    /// The client account.
    pub account: Option<&'a str>,
    /// The rank among the requests of the endpoint; 0 is first.
    pub priority: Option<u8>,
    /// The event after which the endpoint continues.
    pub last_event: Option<&'a str>,
    /// The address of another endpoint that has read a part of the prompt.
    pub fetch_from: Option<&'a str>,
}

/// What the head of an endpoint's answer says beside its status.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// The request that is answered.
    pub request_id: Option<String>,
    /// Whether the endpoint vouches for the answer.
    pub signed: bool,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
}

/// The kinds of object that a daemon follows.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ObjectKind {
    /// The operators' configuration.
    Configuration,
    /// The registry of endpoints.
    Endpoints,
    /// The records of the daemons themselves.
    Daemons,
}

impl ObjectKind {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ObjectKind::Configuration => "configuration",
            ObjectKind::Endpoints => "endpoints",
            ObjectKind::Daemons => "daemons",
        }
    }
}

/// An object of the store, or why it cannot be read.
#[derive(Clone, Debug)]
pub struct Item<T> {
    /// The object's name.
    pub name: String,
    /// Its value; nothing when it was deleted.
    pub value: Option<Result<T, String>>,
}

/// Part of the objects of a kind.
#[derive(Clone, Debug)]
pub struct Page<T> {
    /// The objects in the order of their names.
    pub items: Vec<Item<T>>,
    /// Whether more follow.
    pub has_more: bool,
    /// The revision of the store at which they were read.
    pub revision: u64,
}

/// Changes of a kind.
#[derive(Clone, Debug)]
pub struct Changes<T> {
    /// The changed objects in the order of their changes.
    pub items: Vec<Item<T>>,
    /// The revision from which to go on.
    pub revision: u64,
}

/// How one platform's clients, endpoints and store speak.
pub trait Adapter: 'static {
    /// Reads the head of a client's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Returns whether a header of a client's request goes on to the endpoint.
    fn forwards_header(&self, name: &HeaderName) -> bool;

    /// Adds what the endpoint is told to the headers of a request.
    fn write_request(&self, headers: &mut HeaderMap, forwarded: &ForwardedHead<'_>);

    /// Reads the head of an endpoint's answer.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Returns the request target that lists a kind from after a name; with `stale`, the answer may
    /// be seconds old.
    fn list_target(&self, kind: ObjectKind, after: Option<&str>, stale: bool) -> String;

    /// Returns the request target of an object, or of all objects of a kind.
    fn object_target(&self, kind: ObjectKind, name: Option<&str>) -> String;

    /// Writes a daemon's record as an object.
    fn write_daemon(&self, name: &str, record: &DaemonRecord) -> String;

    /// Reads a list of daemons' records.
    fn read_daemons(&self, body: &[u8]) -> Result<Page<DaemonRecord>, String>;

    /// Returns the request target that waits for changes of a kind after a revision.
    fn watch_target(&self, kind: ObjectKind, since: u64, wait: Millis) -> String;

    /// Reads a list of configurations.
    fn read_configurations(&self, body: &[u8]) -> Result<Page<Configuration>, String>;

    /// Reads changes of configurations.
    fn read_configuration_changes(&self, body: &[u8]) -> Result<Changes<Configuration>, String>;

    /// Reads a list of registrations.
    fn read_registrations(&self, body: &[u8]) -> Result<Page<Registration>, String>;

    /// Reads changes of registrations.
    fn read_registration_changes(&self, body: &[u8]) -> Result<Changes<Registration>, String>;

    /// Returns how far a data centre is from this daemon's own.
    fn distance(&self, data_centre: &str) -> decision::routing::Distance;
}
