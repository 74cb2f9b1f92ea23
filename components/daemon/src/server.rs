use crate::executor::Executor;
use crate::open_files::reserve_open_files;
use crate::peers::{Peers, open_socket};
use crate::refusal::respond_refusal;
use crate::routes::{is_operational, log_failure, serve_request};
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

/// Maximum number of attempts to find a port that is free for both TCP and UDP.
const MAX_BIND_ATTEMPTS: u32 = 16;

/// Maximum number of concurrent requests to the operational paths, which do not compete with
/// callers for workers.
const OPERATIONAL_WORKERS: usize = 16;

/// A running daemon that listens for callers.
pub struct Daemon {
    server: Arc<HttpServer>,
    address: SocketAddr,
    executor: Executor,
    peers: Arc<Peers>,
}

impl Daemon {
    /// Binds the sockets and starts the worker threads.
    pub fn start(cfg: Settings) -> Result<Daemon, StartError> {
        reserve_open_files(cfg.callers)?;
        let address = cfg.listen;
        let (server, socket) = bind(address)?;
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

    /// The address that callers connect to, with the port that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves requests until SIGTERM or SIGINT; returns after the graceful stop.
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
        let (caller_executor, operational_executor) =
            (self.executor.clone(), self.executor.clone());
        let limit = self.executor.tables.cfg.callers;
        let callers = ThreadPool::new("caller", limit, move |req| {
            let _guard = ServingGuard::new(&caller_executor.tables);
            serve_request(&caller_executor, req);
        });
        let operational = ThreadPool::new("control", OPERATIONAL_WORKERS, move |req| {
            serve_request(&operational_executor, req)
        });
        // Ends when the signal thread unblocks the listener.
        for req in self.server.incoming_requests() {
            let rejected =
                if is_operational(req.url()) { operational.run(req) } else { callers.run(req) };
            if let Err(req) = rejected {
                let refusal = Refusal::not_run(Reason::Overloaded, "every worker is busy");
                let refusal = downgrade_unless_first_attempt(&req, refusal.retry_after(1_000));
                log_failure(respond_refusal(req, "", &refusal));
            }
        }
        Ok(())
    }
}

/// Binds the TCP listener for callers and the UDP socket for other daemons to the same port.
fn bind(address: SocketAddr) -> Result<(HttpServer, UdpSocket), StartError> {
    let mut attempts_left = if address.port() == 0 { MAX_BIND_ATTEMPTS } else { 1 };
    loop {
        attempts_left -= 1;
        let server = listen(address, Some(CALLER_READ_TIMEOUT)).context(ListenSnafu { address })?;
        let listening = server.server_addr().to_ip().unwrap_or(address);
        match open_socket(listening).context(PeersSnafu { address: listening }) {
            Ok(socket) => return Ok((server, socket)),
            Err(e) if attempts_left == 0 => return Err(e),
            // The port that TCP got is in use for UDP.
            Err(_) => {}
        }
    }
}

/// Counts a request as being served until dropped, which also happens on a panic.
struct ServingGuard<'a>(&'a Tables);

impl ServingGuard<'_> {
    fn new(tables: &Tables) -> ServingGuard<'_> {
        tables.serving.fetch_add(1, Ordering::Relaxed);
        ServingGuard(tables)
    }
}

impl Drop for ServingGuard<'_> {
    fn drop(&mut self) {
        self.0.serving.fetch_sub(1, Ordering::Relaxed);
    }
}
