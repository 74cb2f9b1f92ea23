use fakes::Client;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The key of the client account.
pub const KEY: &str = "key";
/// The paths that clients ask, and whether a run of each may be repeated.
pub const TARGETS: [(&str, bool); 5] = [
    ("/once/", false),
    ("/safe/", true),
    ("/open/", true),
    ("/fixed/stream/", false),
    ("/stream/", true),
];

/// What a client saw of one request.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub target: usize,
    /// The status, or nothing when no answer came.
    pub status: Option<u16>,
    pub is_complete: bool,
    pub body: String,
    /// Whether the answer bears an endpoint's seal.
    pub is_sealed: bool,
    /// When the answer came.
    pub at: Instant,
}

/// Asks until told to stop; an open connection is used until the gateway closes it.
pub fn ask(number: usize, seed: u64, gateways: &[SocketAddr], stop: &AtomicBool) -> Vec<Seen> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64));
    let mut seen = Vec::new();
    let mut kept: Option<Client> = None;
    while !stop.load(Ordering::SeqCst) {
        let id = format!("s{seed}-c{number}-{}", seen.len());
        let target = rng.random_range(0..TARGETS.len());
        let gateway = gateways[rng.random_range(0..gateways.len())];
        let one = once(&mut kept, gateway, target, &id);
        let failed = one.status != Some(200);
        seen.push(one);
        let pause = if failed { 20..60 } else { 1..15 };
        thread::sleep(Duration::from_millis(rng.random_range(pause)));
    }
    seen
}

fn once(kept: &mut Option<Client>, gateway: SocketAddr, target: usize, id: &str) -> Seen {
    let mut seen = Seen {
        id: id.to_owned(),
        target,
        status: None,
        is_complete: false,
        body: String::new(),
        is_sealed: false,
        at: Instant::now(),
    };
    let Some(mut client) = kept.take().or_else(|| Client::connect(gateway).ok()) else {
        return seen;
    };
    if client.send_request(TARGETS[target].0, id, KEY, "body").is_err() {
        return seen;
    }
    if let Ok(answer) = client.read_response() {
        seen.status = Some(answer.message.status());
        seen.is_complete = answer.is_complete;
        seen.is_sealed = !answer.message.header("x-chervilspur-server-seal").is_empty();
        seen.at = Instant::now();
        seen.body = String::from_utf8_lossy(&answer.message.body).into_owned();
        if answer.is_complete && answer.message.header("connection") != "close" {
            *kept = Some(client);
        }
    }
    seen
}
