use crate::adapter::Adapter;
use crate::clock::now;
use crate::connection::set_socket_options;
use crate::gateway::Gateway;
use crate::monitoring::serve_monitoring;
use crate::peer_server;
use crate::relayed_request::RELAYED_HEADER;
use crate::response::ResponseBody;
use crate::serve::serve;
use decision::Millis;
use http::{Request, Response, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::Cell;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Length of the accept queue: a burst of reconnecting clients.
const BACKLOG: i32 = 1_024;
/// Time that data sent to a client may stay unacknowledged before the kernel closes the connection.
const CLIENT_USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// File descriptors reserved for endpoints, the store and the process itself.
const RESERVED_FILES: u32 = 900;
/// Delay after a failed accept, so that file descriptors can become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Role {
    /// Clients with requests for endpoints.
    Clients,
    /// Readiness checks and metrics collectors.
    Monitoring,
    /// Other daemons, which follow this one or exchange loads.
    Peers,
}

pub(crate) fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts connections until the listeners close at a shutdown, also those that the kernel has queued by
/// then. Closes new ones of every role while client connections are at their limit.
pub(crate) async fn accept<A: Adapter>(gateway: Rc<Gateway<A>>, listener: TcpListener, role: Role) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gateway.shutdown.listeners_close() => break,
        };
        match accepted {
            Ok((stream, _)) => start_connection(&gateway, stream, role),
            Err(e) => {
                tracing::warn!(event = "accept_failed", error = %e);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if let Err(e) = accept_queued(&gateway, listener, role) {
        tracing::warn!(event = "accept_failed", error = %e);
    }
}

/// Accepts the connections that the kernel has queued, and closes the listener.
fn accept_queued<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    listener: TcpListener,
    role: Role,
) -> std::io::Result<()> {
    // The event loop may not have seen yet that there are such connections.
    let listener = listener.into_std()?;
    for _ in 0..BACKLOG {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(e) => return Err(e),
        };
        stream.set_nonblocking(true)?;
        start_connection(gateway, TcpStream::from_std(stream)?, role);
    }
    Ok(())
}

/// Serves a connection unless client connections are at their limit. It counts from now on, so that a
/// shutdown does not miss it.
fn start_connection<A: Adapter>(gateway: &Rc<Gateway<A>>, stream: TcpStream, role: Role) {
    let limit = gateway.settings().open_files_limit.saturating_sub(RESERVED_FILES).max(64);
    if gateway.metrics.clients.get() < i64::from(limit) {
        gateway.metrics.clients.inc_by(i64::from(role == Role::Clients));
        spawn_local(serve_connection(gateway.clone(), stream, role));
    } else {
        tracing::warn!(
            event = "connection_refused",
            most = limit,
            "connection closed: the limit of client connections is reached"
        );
    }
}

/// Open requests of a connection, and the time since which it has none.
#[derive(Debug)]
struct Activity {
    requests: Cell<u32>,
    idle_since: Cell<Millis>,
    /// Whether the last request was one of HTTP/1.0, whose responses cannot be chunked.
    is_http_1_0: Cell<bool>,
    /// Whether another daemon passed a request on.
    is_relayed: Cell<bool>,
}

async fn serve_connection<A: Adapter>(gateway: Rc<Gateway<A>>, stream: TcpStream, role: Role) {
    let activity = Activity {
        requests: Cell::new(0),
        idle_since: Cell::new(now()),
        is_http_1_0: Cell::new(false),
        is_relayed: Cell::new(false),
    };
    match set_socket_options(&stream, CLIENT_USER_TIMEOUT) {
        Ok(()) => drive_connection(&gateway, stream, role, &activity).await,
        Err(e) => tracing::debug!(event = "client_lost", error = %e),
    }
    gateway.metrics.clients.dec_by(i64::from(role == Role::Clients));
    let relayed = gateway.relayed_connections.get() - u32::from(activity.is_relayed.get());
    gateway.relayed_connections.set(relayed);
}

async fn drive_connection<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    stream: TcpStream,
    role: Role,
    activity: &Activity,
) {
    let limits = gateway.catalog().map(|c| c.configuration().limits).unwrap_or_default();
    let service = service_fn(|req| respond(gateway, req, role, activity));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis((limits.idle_time + limits.header_time).0))
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    loop {
        let idle_deadline = activity.idle_since.get() + limits.idle_time;
        let wait = match activity.requests.get() {
            0 => idle_deadline.since(now()),
            _ => limits.idle_time,
        };
        tokio::select! {
            result = &mut connection => {
                if let Err(e) = result {
                    tracing::debug!(event = "client_connection_ended", error = %e);
                    if e.is_user() && activity.is_http_1_0.get() {
                        reset(connection.into_parts().io.inner());
                    }
                }
                return;
            }
            () = sleep(Duration::from_millis(wait.0.max(1))) => {}
            () = gateway.shutdown.changed() => {}
        }
        let is_idle = activity.requests.get() == 0;
        let has_timed_out = now() >= activity.idle_since.get() + limits.idle_time;
        if is_idle && (has_timed_out || gateway.shutdown.closes_idle()) {
            Pin::new(&mut connection).graceful_shutdown();
        }
    }
}

/// Makes the kernel reset a connection when it is dropped. A client of HTTP/1.0 would take the
/// ordinary end of the connection for the end of a response that was cut.
fn reset(stream: &TcpStream) {
    if let Err(e) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        tracing::warn!(event = "reset_failed", error = %e);
    }
}

async fn respond<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    req: Request<Incoming>,
    role: Role,
    activity: &Activity,
) -> Result<Response<ResponseBody>, Infallible> {
    activity.requests.set(activity.requests.get() + 1);
    activity.is_http_1_0.set(req.version() == Version::HTTP_10);
    let response = match role {
        Role::Clients => serve(gateway, req, false).await,
        Role::Monitoring => serve_monitoring(gateway, req).await,
        Role::Peers if req.headers().contains_key(RELAYED_HEADER) => {
            let is_first = !activity.is_relayed.replace(true);
            let relayed = gateway.relayed_connections.get() + u32::from(is_first);
            gateway.relayed_connections.set(relayed);
            serve(gateway, req, true).await
        }
        Role::Peers => peer_server::respond(gateway, req).await,
    };
    activity.requests.set(activity.requests.get() - 1);
    activity.idle_since.set(now());
    Ok(response)
}
