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

/// What a client observed of a request.
#[derive(Clone, Debug)]
pub struct Observation {
    pub id: String,
    /// The index of its path in `TARGETS`.
    pub target: usize,
    /// The status, or none if there was no response.
    pub status: Option<u16>,
    /// Whether the whole body was received.
    pub is_complete: bool,
    pub body: String,
    /// Whether the response has the signature of an endpoint.
    pub is_signed: bool,
    /// When the response was read, else when the request was sent.
    pub received_at: Instant,
}

/// Sends random requests until `stop` is set; a connection is reused until the gateway closes it.
pub fn run_client(
    number: usize,
    seed: u64,
    gateways: &[SocketAddr],
    stop: &AtomicBool,
) -> Vec<Observation> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64));
    let mut observations = Vec::new();
    let mut connection: Option<Client> = None;
    while !stop.load(Ordering::SeqCst) {
        let id = format!("s{seed}-c{number}-{}", observations.len());
        let target = rng.random_range(0..TARGETS.len());
        let gateway = gateways[rng.random_range(0..gateways.len())];
        let observation = send_request(&mut connection, gateway, target, &id);
        let failed = observation.status != Some(200);
        observations.push(observation);
        let pause_ms = if failed { 20..60 } else { 1..15 };
        thread::sleep(Duration::from_millis(rng.random_range(pause_ms)));
    }
    observations
}

fn send_request(
    connection: &mut Option<Client>,
    gateway: SocketAddr,
    target: usize,
    id: &str,
) -> Observation {
    let mut observation = Observation {
        id: id.to_owned(),
        target,
        status: None,
        is_complete: false,
        body: String::new(),
        is_signed: false,
        received_at: Instant::now(),
    };
    let Some(mut client) = connection.take().or_else(|| Client::connect(gateway).ok()) else {
        return observation;
    };
    if client.send_request(TARGETS[target].0, id, KEY, "body").is_err() {
        return observation;
    }
    if let Ok(response) = client.read_response() {
        observation.status = Some(response.message.status());
        observation.is_complete = response.is_complete;
        observation.is_signed = !response.message.header("x-chervilspur-server-seal").is_empty();
        observation.received_at = Instant::now();
        observation.body = String::from_utf8_lossy(&response.message.body).into_owned();
        if response.is_complete && response.message.header("connection") != "close" {
            *connection = Some(client);
        }
    }
    observation
}
