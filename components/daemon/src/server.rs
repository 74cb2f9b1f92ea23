use crate::executor::Executor;
use crate::open_files::reserve_open_files;
use crate::peers::{Peers, open_socket};
use crate::refusal::respond_refusal;
use crate::routes::{is_control, log_failure, serve_request};
use crate::service::downgrade_unless_first_attempt;
use crate::start_error::{ListenSnafu, MetricsSnafu, PeersSnafu, StartError, ThreadSnafu};
use crate::stop::stop_gracefully;
use crate::tables::Tables;
use crate::threads::{spawn, start_attempts, start_background, start_orders, start_spans};
use config::Settings;
use crossbeam::channel::unbounded;
use errors::{Reason, Refusal};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::ResultExt;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use utils::{HttpServer, ThreadPool, listen};

const CALLER_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Free ports that are tried until one is free for TCP and UDP.
const PORT_TRIES: u32 = 16;

/// Requests of operators and probes that are served at once.
const CONTROL_WORKERS: usize = 16;

/// A daemon that listens.
pub struct Daemon {
    server: Arc<HttpServer>,
    address: SocketAddr,
    executor: Executor,
    peers: Arc<Peers>,
}

impl Daemon {
    /// Listens and starts the workers.
    pub fn start(cfg: Settings) -> Result<Daemon, StartError> {
        reserve_open_files(cfg.callers)?;
        let address = cfg.listen;
        let (server, socket) = open(address)?;
        let address = server.server_addr().to_ip().unwrap_or(address);
        let (attempt_tx, attempt_rx) = unbounded();
        let (order_tx, order_rx) = unbounded();
        let tables = Arc::new(Tables::new(cfg).context(MetricsSnafu)?);
        let executor = Executor { tables, attempts: attempt_tx, orders: order_tx };
        start_attempts(&executor, attempt_rx)?;
        start_orders(&executor, order_rx)?;
        let peers =
            Peers::start(&executor.tables, socket, address).context(PeersSnafu { address })?;
        start_background(&executor, &peers)?;
        start_spans(&executor)?;
        Ok(Daemon { server: Arc::new(server), address, executor, peers })
    }

    /// Returns the address that the daemon listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until a signal has stopped the daemon.
    pub fn serve(self) -> Result<(), StartError> {
        let mut signals =
            Signals::new([SIGTERM, SIGINT]).context(ThreadSnafu { name: "signals" })?;
        let (stop_executor, peers) = (self.executor.clone(), Arc::clone(&self.peers));
        let server = Arc::clone(&self.server);
        spawn("signals", move || {
            if signals.forever().next().is_some() {
                stop_gracefully(&stop_executor);
                peers.leave();
                server.unblock();
            }
        })?;
        let (caller_executor, control_executor) = (self.executor.clone(), self.executor.clone());
        let limit = self.executor.tables.cfg.callers;
        let callers = ThreadPool::new("caller", limit, move |req| {
            let _serving = Serving::new(&caller_executor.tables);
            serve_request(&caller_executor, req);
        });
        let control = ThreadPool::new("control", CONTROL_WORKERS, move |req| {
            serve_request(&control_executor, req)
        });
        // The iterator ends when the listener is unblocked.
        for req in self.server.incoming_requests() {
            let refused = if is_control(req.url()) { control.run(req) } else { callers.run(req) };
            if let Err(req) = refused {
                let refusal = Refusal::not_run(Reason::Overloaded, "every worker is busy");
                let refusal = downgrade_unless_first_attempt(&req, refusal.retry_after(1_000));
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
