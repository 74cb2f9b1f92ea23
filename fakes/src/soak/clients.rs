use crate::versions::{BrokenStream, STREAM_TARGET};
use fakes::Client;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The API key of the client account.
pub const KEY: &str = "key";
/// The paths that clients request, and whether a request for each may run more than once.
pub const TARGETS: [(&str, bool); 5] = [
    ("/once/", false),
    ("/safe/", true),
    ("/open/", true),
    ("/fixed/stream/", false),
    ("/stream/", true),
];

/// The prompt part that crashes endpoints, and the share of requests that have it.
pub const CRASHING_PART: &str = "bad0";
const CRASHING_SHARE: f64 = 0.01;

/// The body that crashes endpoints, and how many requests of a client lie between two with it.
pub const CRASHING_BODY: &str = "crash";
const REPETITION_INTERVAL: usize = 40;

/// What is special about the requests of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Load {
    /// Nothing.
    Plain,
    /// They have prompts, a part of which crashes endpoints.
    Prompts,
    /// Endpoints have several software versions, and clients continue streams that broke off.
    Versions,
    /// One of them crashes endpoints and comes again.
    Repetitions,
}

/// What a client observed of a request.
#[derive(Clone, Debug)]
pub struct Observation {
    pub id: String,
    /// The index of the gateway that it was sent to.
    pub gateway: usize,
    /// The index of its path in `TARGETS`.
    pub target: usize,
    /// The status, or none if there was no response.
    pub status: Option<u16>,
    /// Whether the whole body was received.
    pub is_complete: bool,
    pub body: String,
    /// The stream that the request continued.
    pub continues: Option<BrokenStream>,
    /// Whether the response has the signature of an endpoint.
    pub is_signed: bool,
    /// The endpoint that stated in its response that it leaves.
    pub leaving_endpoint: Option<String>,
    pub sent_at: Instant,
    /// When the response was read, else when the request was sent.
    pub received_at: Instant,
}

/// Sends random requests until `stop` is set; a connection is reused until the gateway closes it.
pub fn run_client(
    number: usize,
    seed: u64,
    gateways: &[SocketAddr],
    load: Load,
    stop: &AtomicBool,
) -> Vec<Observation> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64));
    let mut observations = Vec::new();
    let mut connection: Option<(usize, Client)> = None;
    let mut broken_stream: Option<BrokenStream> = None;
    while !stop.load(Ordering::SeqCst) {
        let id = format!("s{seed}-c{number}-{}", observations.len());
        let target = rng.random_range(0..TARGETS.len());
        let target = if broken_stream.is_some() { STREAM_TARGET } else { target };
        let gateway = rng.random_range(0..gateways.len());
        let open = connection.take();
        let gateway = open.as_ref().map_or(gateway, |(gateway, _)| *gateway);
        let client = open.map(|(_, client)| client);
        let client = client.or_else(|| Client::connect(gateways[gateway]).ok());
        let headers = match (&broken_stream, load) {
            (Some(stream), _) => stream.headers(),
            (None, Load::Prompts) => prompt_headers(&mut rng, observations.len()),
            (None, _) => String::new(),
        };
        let is_repetition = observations.len() % REPETITION_INTERVAL == REPETITION_INTERVAL / 2;
        let body = if load == Load::Repetitions && is_repetition { CRASHING_BODY } else { "body" };
        let request = Request { id: &id, gateway, target, headers: &headers, body };
        let (mut observation, client) = send_request(client, &request);
        observation.continues = broken_stream.take();
        if load == Load::Versions {
            broken_stream = BrokenStream::after(&observation, observation.continues.clone());
        }
        connection = client.map(|client| (gateway, client));
        let failed = observation.status != Some(200);
        observations.push(observation);
        let pause_ms = if failed { 20..60 } else { 1..15 };
        thread::sleep(Duration::from_millis(rng.random_range(pause_ms)));
    }
    observations
}

struct Request<'a> {
    id: &'a str,
    gateway: usize,
    target: usize,
    headers: &'a str,
    body: &'a str,
}

/// The headers of a prompt with a first part and a session that other requests share, and a part
/// that crashes endpoints in some.
fn prompt_headers(rng: &mut Pcg64Mcg, number: usize) -> String {
    let first = rng.random_range(0..3);
    let session = rng.random_range(0..10);
    let is_crashing = rng.random::<f64>() < CRASHING_SHARE;
    let middle = if is_crashing { format!("{CRASHING_PART}:100,") } else { String::new() };
    format!(
        "X-Chervilspur-Token-Counts: 400,10\r\n\
         X-Chervilspur-Prompt-Prefix: f{first}:100,{middle}5e{session}:100,{number:x}0000:100\r\n"
    )
}

/// Sends a request and reads its response; returns the connection if it can be used again.
fn send_request(client: Option<Client>, request: &Request<'_>) -> (Observation, Option<Client>) {
    let mut observation = Observation {
        id: request.id.to_owned(),
        gateway: request.gateway,
        target: request.target,
        status: None,
        is_complete: false,
        body: String::new(),
        continues: None,
        is_signed: false,
        leaving_endpoint: None,
        sent_at: Instant::now(),
        received_at: Instant::now(),
    };
    let Some(mut client) = client else { return (observation, None) };
    let target = TARGETS[request.target].0;
    if client.send_request_with(target, request.id, KEY, request.body, request.headers).is_err() {
        return (observation, None);
    }
    let Ok(response) = client.read_response() else { return (observation, None) };
    observation.status = Some(response.message.status());
    observation.is_complete = response.is_complete;
    observation.is_signed = !response.message.header("x-chervilspur-server-seal").is_empty();
    let is_leaving = response.message.header("server-leaving") == "1";
    observation.leaving_endpoint =
        is_leaving.then(|| response.message.header("x-chervilspur-server-seal").to_owned());
    observation.received_at = Instant::now();
    observation.body = String::from_utf8_lossy(&response.message.body).into_owned();
    let is_open = response.is_complete && response.message.header("connection") != "close";
    (observation, is_open.then_some(client))
}
