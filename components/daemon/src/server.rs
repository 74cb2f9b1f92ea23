use crate::admin::{explain, instance_text, status};
use crate::attempt::{Attempt, Shell, carry_out, finish, work};
use crate::chat::serve_chat;
use crate::control::send_order;
use crate::endpoints::probe_endpoints;
use crate::exchange::exchange_loads;
use crate::orders::order_models;
use crate::peer::{FORWARD_PATH, serve_forward};
use crate::peers::{Peers, open_socket};
use crate::platform::{DaemonDescription, follow};
use crate::reply::respond_refusal;
use crate::resume::{expire, serve_request_path};
use crate::service::{serve_call, unserved};
use crate::spans::start_export;
use crate::stop::stop_gracefully;
use crate::sweep::sweep_records;
use crate::tables::{Tables, lock};
use config::Settings;
use crossbeam::channel::{Receiver, unbounded};
use errors::{Reason, Refusal};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use tiny_http::{Request, Response};
use utils::{HttpServer, Pool, listen, respond_json};

const CALLER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Free ports that are tried until one is free for TCP and UDP.
const PORT_TRIES: u32 = 16;
const TICK_INTERVAL: Duration = Duration::from_millis(50);
const EXPIRE_INTERVAL_TICKS: u64 = 4;

/// Requests of operators and probes that are served at once.
const CONTROL_WORKERS: usize = 16;

/// Orders to endpoints that are sent at once.
const ORDER_WORKERS: usize = 16;

/// A daemon that cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The failure.
        source: io::Error,
    },
    /// The socket for the other daemons cannot be opened.
    #[snafu(display("cannot open the socket for other daemons at {address}: {source}"))]
    Peers {
        /// The address.
        address: SocketAddr,
        /// The failure.
        source: io::Error,
    },
    /// The collector of metrics cannot be used.
    #[snafu(display("cannot send metrics: {source}"))]
    Metrics {
        /// The failure.
        source: io::Error,
    },
    /// A thread or a signal handler cannot be started.
    #[snafu(display("cannot start {name}: {source}"))]
    Thread {
        /// The name of the thread.
        name: String,
        /// The failure.
        source: io::Error,
    },
}

/// A daemon that listens.
pub struct Daemon {
    server: Arc<HttpServer>,
    address: SocketAddr,
    shell: Shell,
    peers: Arc<Peers>,
}

impl Daemon {
    /// Listens and starts the workers.
    pub fn start(cfg: Settings) -> Result<Daemon, StartError> {
        let address = cfg.listen;
        let (server, socket) = open(address)?;
        let address = server.server_addr().to_ip().unwrap_or(address);
        let (attempt_tx, attempt_rx) = unbounded();
        let (order_tx, order_rx) = unbounded();
        let tables = Arc::new(Tables::new(cfg).context(MetricsSnafu)?);
        let shell = Shell { tables, attempts: attempt_tx, orders: order_tx };
        start_attempts(&shell, attempt_rx)?;
        let orders_shell = shell.clone();
        let orders = Pool::new("order", ORDER_WORKERS, move |order| {
            send_order(&orders_shell, &order);
        });
        spawn("orders", move || {
            for order in order_rx {
                if let Err(order) = orders.run(order) {
                    log::warn!("request={} {:?} is not sent", order.id, order.kind);
                }
            }
        })?;
        let peers = Peers::start(&shell.tables, socket, address).context(PeersSnafu { address })?;
        let (follow_shell, follow_peers) = (shell.clone(), Arc::clone(&peers));
        spawn("platform", move || follow(&follow_shell, &follow_peers))?;
        let (load_shell, load_peers) = (shell.clone(), Arc::clone(&peers));
        spawn("loads", move || exchange_loads(&load_shell, &load_peers))?;
        let probe_shell = shell.clone();
        spawn("probes", move || probe_endpoints(&probe_shell))?;
        let order_shell = shell.clone();
        spawn("models", move || order_models(&order_shell))?;
        let sweep_shell = shell.clone();
        spawn("sweep", move || sweep_records(&sweep_shell))?;
        let tick_shell = shell.clone();
        spawn("tick", move || tick(&tick_shell))?;
        if let Some(collector) = shell.tables.cfg.spans {
            let queue = shell.tables.spans.queue();
            spawn("spans", move || {
                if let Err(e) = start_export(queue, collector) {
                    log::error!("spans to {collector}: {e}");
                }
            })?;
        }
        Ok(Daemon { server: Arc::new(server), address, shell, peers })
    }

    /// Returns the address that the daemon listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until a signal has stopped the daemon.
    pub fn serve(self) -> Result<(), StartError> {
        let mut signals =
            Signals::new([SIGTERM, SIGINT]).context(ThreadSnafu { name: "signals" })?;
        let (stop_shell, peers) = (self.shell.clone(), Arc::clone(&self.peers));
        let server = Arc::clone(&self.server);
        spawn("signals", move || {
            if signals.forever().next().is_some() {
                stop_gracefully(&stop_shell);
                peers.leave();
                server.unblock();
            }
        })?;
        let (caller_shell, control_shell) = (self.shell.clone(), self.shell.clone());
        let limit = self.shell.tables.cfg.callers;
        let callers = Pool::new("caller", limit, move |req| {
            let _serving = Serving::new(&caller_shell.tables);
            serve_request(&caller_shell, req);
        });
        let control =
            Pool::new("control", CONTROL_WORKERS, move |req| serve_request(&control_shell, req));
        // The iterator ends when the listener is unblocked.
        for req in self.server.incoming_requests() {
            let refused = if is_control(req.url()) { control.run(req) } else { callers.run(req) };
            if let Err(req) = refused {
                let refusal = Refusal::not_run(Reason::Overloaded, "every worker is busy");
                let refusal = unserved(&req, refusal.retry_after(1_000));
                log_failure(respond_refusal(req, "", &refusal));
            }
        }
        Ok(())
    }
}

/// Listens for callers and opens the socket for other daemons at the same port.
fn open(address: SocketAddr) -> Result<(HttpServer, UdpSocket), StartError> {
    let mut tries = if address.port() == 0 { PORT_TRIES } else { 1 };
    loop {
        tries -= 1;
        let server = listen(address, Some(CALLER_READ_TIMEOUT)).context(ListenSnafu { address })?;
        let listening = server.server_addr().to_ip().unwrap_or(address);
        match open_socket(listening).context(PeersSnafu { address: listening }) {
            Ok(socket) => return Ok((server, socket)),
            Err(e) if tries == 0 => return Err(e),
            // The free port that the listener got is taken for UDP.
            Err(_) => {}
        }
    }
}

/// Counts a request that is served until it is dropped, also by a panic.
struct Serving<'a>(&'a Tables);

impl Serving<'_> {
    fn new(tables: &Tables) -> Serving<'_> {
        tables.serving.fetch_add(1, Ordering::Relaxed);
        Serving(tables)
    }
}

impl Drop for Serving<'_> {
    fn drop(&mut self) {
        self.0.serving.fetch_sub(1, Ordering::Relaxed);
    }
}

fn start_attempts(shell: &Shell, rx: Receiver<Attempt>) -> Result<(), StartError> {
    let (work_shell, shell) = (shell.clone(), shell.clone());
    // Abandoned requests may still hold a worker while new ones start.
    let limit = 2 * shell.tables.cfg.callers;
    let pool = Pool::new("attempt", limit, move |a: Attempt| work(&work_shell, &a));
    spawn("attempts", move || {
        for attempt in rx {
            if let Err(attempt) = pool.run(attempt) {
                let Some(job) = shell.tables.job(attempt.request) else { continue };
                let refusal = Refusal::not_run(Reason::Overloaded, "every worker is busy");
                finish(&shell, &job, &attempt, Err(refusal.retry_after(1_000)));
            }
        }
    })
}

fn tick(shell: &Shell) {
    let mut ticks = 0u64;
    loop {
        thread::sleep(TICK_INTERVAL);
        let effects = lock(&shell.tables.scheduler).tick(shell.tables.now());
        carry_out(shell, effects);
        ticks += 1;
        if ticks.is_multiple_of(EXPIRE_INTERVAL_TICKS) {
            expire(shell);
        }
    }
}

fn spawn<F: FnOnce() + Send + 'static>(name: &str, f: F) -> Result<(), StartError> {
    thread::Builder::new().name(name.to_string()).spawn(f).context(ThreadSnafu { name })?;
    Ok(())
}

fn is_control(url: &str) -> bool {
    ["/healthz", "/readyz", "/admin/", "/peer/description"].iter().any(|p| url.starts_with(p))
}

fn serve_request(shell: &Shell, req: Request) {
    let path = req.url().split('?').next().unwrap_or_default().to_string();
    let tables = &shell.tables;
    let result = match path.as_str() {
        "/v1/chat/completions" => serve_chat(shell, req),
        "/v1/call" => serve_call(shell, req),
        FORWARD_PATH => serve_forward(shell, req),
        "/peer/description" => {
            let instance = instance_text(tables.instance);
            respond_json(req, 200, &DaemonDescription { instance, ready: tables.is_ready() })
        }
        "/admin/status" => respond_json(req, 200, &status(tables)),
        "/healthz" => req.respond(Response::from_string("ok")),
        "/readyz" => {
            let status = if tables.is_ready() { 200 } else { 503 };
            req.respond(Response::from_string("").with_status_code(status))
        }
        _ => serve_by_id(shell, req, &path),
    };
    log_failure(result);
}

fn serve_by_id(shell: &Shell, req: Request, path: &str) -> io::Result<()> {
    if path.starts_with("/v1/requests/") {
        return serve_request_path(shell, req, path);
    }
    let id = path.strip_prefix("/admin/explain/").unwrap_or_default();
    if let Some(explanation) = explain(&shell.tables, id) {
        return respond_json(req, 200, &explanation);
    }
    let refusal = Refusal::not_run(Reason::UnknownRequest, format!("nothing is known at {path}"));
    respond_refusal(req, id, &refusal)
}

fn log_failure(result: io::Result<()>) {
    if let Err(e) = result {
        log::info!("a caller's connection broke: {e}");
    }
}
