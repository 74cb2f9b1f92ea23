use decision::Millis;
use decision::duties::DutyCall;
use decision::routing::{Configuration, Peer, Prompt, ReaderRecord, Registration};
use http::{HeaderMap, HeaderName, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The headers of a client request that the gateway evaluates.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// The request id, if the client sent one.
    pub request_id: Option<String>,
    /// Time for which the client will still wait for the response.
    pub remaining: Option<Millis>,
    /// The key that identifies a client account.
    pub key: Option<String>,
    /// The prompt of a request to a model engine, and the maximum length of the response.
    pub prompt: Option<Prompt>,
    /// The id of the last event that the client received of an interrupted stream.
    pub last_event: Option<String>,
    /// The id of the request that brought the first event of that stream, if the client states it.
    pub resumes: Option<String>,
}

/// The values that the gateway sends to an endpoint in the headers of a request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedHead<'a> {
    /// The id of the endpoint that may run the request.
    pub endpoint: &'a str,
    /// Time left until the request's deadline.
    pub remaining: Millis,
    /// The name of the client account; `None` for anonymous requests.
    pub account: Option<&'a str>,
    /// The priority at the endpoint; 0 is the highest.
    pub priority: Option<u8>,
    /// The id of the event after which the endpoint resumes the stream.
    pub last_event: Option<&'a str>,
    /// The address of another endpoint from whose cache a part of the prompt can be fetched.
    pub fetch_from: Option<&'a str>,
}

/// The headers of an endpoint response that the gateway evaluates.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// The id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Whether the endpoint signed the response.
    pub signed: bool,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// The requests a second that the endpoint takes from all daemons together, if it states them.
    pub limit_per_second: Option<f64>,
    /// The rejections in a second after which an endpoint of its service falls over, if it states them.
    pub max_rejections_per_second: Option<f64>,
    /// Whether the endpoint states that it is leaving and wants no new requests.
    pub is_leaving: bool,
}

/// The kinds of stored objects that a daemon reads.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ObjectKind {
    /// The operators' configuration.
    Configuration,
    /// The registry of endpoints.
    Endpoints,
    /// The records of the data centres' store readers.
    Readers,
    /// The record of software versions at which streams may have begun.
    SoftwareVersions,
    /// The streams that daemons began while a service had several software versions.
    Streams,
    /// The record of the daemon that carries out the duties.
    Duties,
}

impl ObjectKind {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ObjectKind::Configuration => "configuration",
            ObjectKind::Endpoints => "endpoints",
            ObjectKind::Readers => "readers",
            ObjectKind::SoftwareVersions => "software_versions",
            ObjectKind::Streams => "streams",
            ObjectKind::Duties => "duties",
        }
    }
}

/// A stored object, or the deletion of one.
#[derive(Clone, Debug)]
pub struct Item<T> {
    /// The name, unique within its kind.
    pub name: String,
    /// The decoded value or the decoding error; `None` for a deleted object.
    pub value: Option<Result<T, String>>,
}

/// A decoded object with the revision of its last change.
#[derive(Clone, Debug)]
pub struct Stored<T> {
    /// The value.
    pub value: T,
    /// The revision.
    pub revision: u64,
}

/// One page of a list of objects.
#[derive(Clone, Debug)]
pub struct Page<T> {
    /// The objects, ordered by name.
    pub items: Vec<Item<T>>,
    /// Whether further pages follow.
    pub has_more: bool,
    /// The revision of the store at which they were read.
    pub revision: u64,
}

/// The changes that a watch returned.
#[derive(Clone, Debug)]
pub struct Changes<T> {
    /// The changed objects, in the order of the changes.
    pub items: Vec<Item<T>>,
    /// The revision from which to continue the watch.
    pub revision: u64,
}

/// Translates between the gateway and the wire formats of one platform.
pub trait Adapter: 'static {
    /// Evaluates the headers of a client request.
    fn read_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Whether a header of a client request is forwarded to the endpoint.
    fn forwards_header(&self, name: &HeaderName) -> bool;

    /// Sets the headers for the endpoint on a forwarded request.
    fn write_request(&self, headers: &mut HeaderMap, forwarded: &ForwardedHead<'_>);

    /// Sets the headers of a client on a request that is passed on to another daemon.
    fn write_relayed(&self, headers: &mut HeaderMap, key: Option<&str>, remaining: Millis);

    /// Sets the headers of a call to the platform that only the holder of the duties makes.
    fn write_duty_headers(&self, headers: &mut HeaderMap, holder: &str, token: u64);

    /// The request target of such a call, a POST.
    fn duty_target(&self, call: &DutyCall) -> &'static str;

    /// Encodes the body of such a call.
    fn write_duty_call(&self, call: &DutyCall) -> String;

    /// The number of the store's era that the headers of a response of the store state, if any. It rises each
    /// time that the store comes back as an older copy.
    fn read_store_era(&self, headers: &HeaderMap) -> Option<u64>;

    /// Evaluates the status and headers of an endpoint response.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// The request target that lists the objects of a kind: the page after the object named
    /// `after`, or the first page. With `stale`, the store may return data that is seconds old.
    fn list_target(&self, kind: ObjectKind, after: Option<&str>, stale: bool) -> String;

    /// The request target of one object, or of the collection if `name` is `None`.
    fn object_target(&self, kind: ObjectKind, name: Option<&str>) -> String;

    /// Encodes the record of a data centre's store reader as a stored object, to be written on
    /// condition that it replaces the revision `replaces`.
    fn write_reader(&self, data_centre: &str, reader: &Peer, replaces: Option<u64>) -> String;

    /// Decodes a page of records of store readers, named by data centre.
    fn read_readers(&self, body: &[u8]) -> Result<Page<ReaderRecord>, String>;

    /// Encodes an object of this daemon, to be written on condition that it replaces the revision
    /// `replaces`, or without a condition.
    fn write_object<T: Serialize>(&self, name: &str, value: &T, replaces: Option<u64>) -> String;

    /// Decodes an object that a daemon wrote.
    fn read_object<T: DeserializeOwned>(&self, body: &[u8]) -> Result<Stored<T>, String>;

    /// Decodes a page of objects that daemons wrote.
    fn read_objects<T: DeserializeOwned>(&self, body: &[u8]) -> Result<Page<Stored<T>>, String>;

    /// The request target of a watch for changes after the revision `since`, which the store may
    /// hold open for `wait`.
    fn watch_target(&self, kind: ObjectKind, since: u64, wait: Millis) -> String;

    /// Decodes a page of configurations.
    fn read_configurations(&self, body: &[u8]) -> Result<Page<Configuration>, String>;

    /// Decodes the response to a watch of configurations.
    fn read_configuration_changes(&self, body: &[u8]) -> Result<Changes<Configuration>, String>;

    /// Decodes a page of registrations.
    fn read_registrations(&self, body: &[u8]) -> Result<Page<Registration>, String>;

    /// Decodes the response to a watch of registrations.
    fn read_registration_changes(&self, body: &[u8]) -> Result<Changes<Registration>, String>;

    /// The distance of a data centre from that of this daemon.
    fn distance(&self, data_centre: &str) -> decision::routing::Distance;

    /// The name of the region of a data centre; empty if it is unknown.
    fn region(&self, data_centre: &str) -> &str;
}
