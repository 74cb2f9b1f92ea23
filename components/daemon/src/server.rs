use crate::attempt::{Shell, work};
use crate::chat::serve_chat;
use crate::platform::follow;
use crate::reply::respond_refusal;
use crate::service::serve_call;
use crate::tables::Tables;
use config::Settings;
use crossbeam::channel::unbounded;
use errors::{Reason, Refusal};
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tiny_http::{Request, Response, Server};
use utils::{Pool, listen};

const CALLER_READ_TIMEOUT: Duration = Duration::from_secs(10);

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
    /// A thread cannot be started.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// The failure.
        source: io::Error,
    },
}

/// A daemon that listens.
pub struct Daemon {
    server: Server,
    address: SocketAddr,
    shell: Shell,
}

impl Daemon {
    /// Listens and starts the workers.
    pub fn start(cfg: Settings) -> Result<Daemon, StartError> {
        let address = cfg.listen;
        let limit = cfg.callers;
        let server = listen(address, Some(CALLER_READ_TIMEOUT)).context(ListenSnafu { address })?;
        let address = server.server_addr().to_ip().unwrap_or(address);
        let (tx, rx) = unbounded();
        let shell = Shell { tables: Arc::new(Tables::new(cfg)), attempts: tx };
        let attempt_shell = shell.clone();
        let attempts = Pool::new("attempt", limit, move |a| work(&attempt_shell, &a));
        let start_attempts = move || {
            for attempt in rx {
                // A full pool cannot happen: each attempt belongs to a caller that is served.
                if attempts.run(attempt).is_err() {
                    log::error!("no worker for an attempt");
                }
            }
        };
        spawn("attempts", start_attempts)?;
        let follow_shell = shell.clone();
        spawn("platform", move || follow(&follow_shell))?;
        Ok(Daemon { server, address, shell })
    }

    /// Returns the address that the daemon listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until the listener fails.
    pub fn serve(&self) -> io::Result<()> {
        let shell = self.shell.clone();
        let callers =
            Pool::new("caller", shell.tables.cfg.callers, move |req| serve_request(&shell, req));
        loop {
            let req = self.server.recv()?;
            if let Err(req) = callers.run(req) {
                let refusal = Refusal::not_run(Reason::Overloaded, "every worker is busy");
                log_failure(respond_refusal(req, "", &refusal.retry_after(1_000)));
            }
        }
    }
}

fn spawn<F: FnOnce() + Send + 'static>(name: &str, f: F) -> Result<(), StartError> {
    thread::Builder::new().name(name.to_string()).spawn(f).context(ThreadSnafu)?;
    Ok(())
}

fn serve_request(shell: &Shell, req: Request) {
    let path = req.url().split('?').next().unwrap_or_default().to_string();
    let result = match path.as_str() {
        "/v1/chat/completions" => serve_chat(shell, req),
        "/v1/call" => serve_call(shell, req),
        "/healthz" => req.respond(Response::from_string("ok")),
        "/readyz" => {
            let status = if shell.tables.is_ready() { 200 } else { 503 };
            req.respond(Response::from_string("").with_status_code(status))
        }
        _ => {
            let refusal = Refusal::not_run(Reason::UnknownRequest, format!("no path {path}"));
            respond_refusal(req, "", &refusal)
        }
    };
    log_failure(result);
}

fn log_failure(result: io::Result<()>) {
    if let Err(e) = result {
        log::info!("a caller's connection broke: {e}");
    }
}
