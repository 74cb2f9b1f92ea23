use crate::kept_body::{BodyError, KeptBody};
use crate::response_memory::ResponseMemory;
use bytes::Bytes;
use decision::Millis;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Time that sent data may stay unacknowledged before the kernel closes a connection. A shorter one
/// ends before the retransmission that follows a silence of one and a half seconds.
const USER_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Idle time before the first TCP keep-alive probe.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(1);
/// Maximum size of a response head, and of the bytes that are read ahead of their use.
const MAX_BUFFER_BYTES: usize = 32 << 10;
/// Time between TCP keep-alive probes; the kernel counts it in whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 3;

// The kernel closes a connection with an unanswered probe at the first timer after the user timeout,
// whatever the number of probes.
const _: () = assert!(
    USER_TIMEOUT.as_millis()
        > KEEPALIVE_IDLE_TIME.as_millis()
            + KEEPALIVE_INTERVAL.as_millis() * (KEEPALIVE_PROBES as u128 - 1)
);

/// A failed request or connection attempt.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum ConnectionError {
    #[snafu(display("{address}: cannot connect: {source}"))]
    Connect { address: SocketAddr, source: std::io::Error },
    #[snafu(display("{address}: connection not established within {} ms", limit.0))]
    ConnectTimeout { address: SocketAddr, limit: Millis },
    #[snafu(display("{address}: connection closed before the request was sent"))]
    Unsent { address: SocketAddr },
    #[snafu(display("{endpoint} has left before the request was sent"))]
    Left { endpoint: String },
    #[snafu(display("{address}: {source}{}", root_cause(source)))]
    Broken { address: SocketAddr, source: hyper::Error },
    #[snafu(display("{address}: no response within {} ms, {received} bytes received", limit.0))]
    ResponseTimeout { address: SocketAddr, limit: Millis, received: usize },
    #[snafu(display("{address}: {source}"))]
    Body { address: SocketAddr, source: BodyError },
    #[snafu(display("{address}: invalid request target: {text}"))]
    Target { address: SocketAddr, text: String },
}

/// Formats the innermost cause of an error; empty if it has none.
fn root_cause(e: &hyper::Error) -> String {
    let causes = std::iter::successors(e.source(), |cause| (*cause).source());
    causes.last().map_or_else(String::new, |cause| format!(": {cause}"))
}

impl ConnectionError {
    /// Whether no byte of the request was sent, so that it cannot have run.
    pub(crate) fn is_unsent(&self) -> bool {
        use ConnectionError::{Connect, ConnectTimeout, Left, Unsent};
        matches!(self, Connect { .. } | ConnectTimeout { .. } | Unsent { .. } | Left { .. })
    }
}

/// Limits of a response that is read completely. While bytes arrive, its sender is not lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseLimits {
    /// Maximum time to the head.
    pub(crate) head: Millis,
    /// Maximum time without a further byte of the body.
    pub(crate) pause: Millis,
    /// Maximum time from the head to the end of the body.
    pub(crate) body: Millis,
    /// Maximum size of the body.
    pub(crate) max_bytes: usize,
}

impl ResponseLimits {
    /// The same limit for the head and for the body.
    pub(crate) fn within(limit: Millis, max_bytes: usize) -> ResponseLimits {
        ResponseLimits { head: limit, pause: limit, body: limit, max_bytes }
    }
}

/// A persistent HTTP/1.1 connection that carries one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Whether no request has been sent on it yet.
    pub(crate) is_new: bool,
}

impl Connection {
    pub(crate) async fn open(
        address: SocketAddr,
        limit: Millis,
    ) -> Result<Connection, ConnectionError> {
        let stream = connect(address, limit).await?;
        set_socket_options(&stream, USER_TIMEOUT).context(ConnectSnafu { address })?;
        Connection::start(address, stream).await
    }

    /// Opens a connection that delivers nothing late: it is reset when it is closed, and when what was
    /// sent stays unacknowledged for `max_delivery`, also while this process is stopped.
    pub(crate) async fn open_aborting(
        address: SocketAddr,
        limit: Millis,
        max_delivery: Millis,
    ) -> Result<Connection, ConnectionError> {
        let stream = connect(address, limit).await?;
        let user_timeout = Duration::from_millis(max_delivery.0);
        set_socket_options(&stream, user_timeout).context(ConnectSnafu { address })?;
        let socket = SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).context(ConnectSnafu { address })?;
        Connection::start(address, stream).await
    }

    async fn start(address: SocketAddr, stream: TcpStream) -> Result<Connection, ConnectionError> {
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .context(BrokenSnafu { address })?;
        spawn_local(async move {
            if let Err(e) = driver.await {
                tracing::debug!(event = "connection_ended", %address, error = %e);
            }
        });
        Ok(Connection { address, sender, is_new: true })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the response head. Dropping the future closes the connection.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        limit: Millis,
    ) -> Result<Response<Incoming>, ConnectionError> {
        let address = self.address;
        self.is_new = false;
        let sent = self.sender.try_send_request(req);
        match timeout(Duration::from_millis(limit.0), sent).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(mut e)) => match e.take_message() {
                Some(_) => UnsentSnafu { address }.fail(),
                None => Err(e.into_error()).context(BrokenSnafu { address }),
            },
            Err(_) => ResponseTimeoutSnafu { address, limit, received: 0_usize }.fail(),
        }
    }

    /// Sends a GET request and waits for the response head.
    pub(crate) async fn send_get(
        &mut self,
        host: &str,
        target: &str,
        limit: Millis,
    ) -> Result<Response<Incoming>, ConnectionError> {
        let address = self.address;
        let req = Request::get(target)
            .header(http::header::HOST, host)
            .body(Full::new(Bytes::new()))
            .map_err(|e| ConnectionError::Target { address, text: e.to_string() })?;
        self.send(req, limit).await
    }

    /// Sends a request and reads the complete response.
    pub(crate) async fn send_and_read(
        &mut self,
        req: Request<Full<Bytes>>,
        limits: ResponseLimits,
        memory: &ResponseMemory,
    ) -> Result<(StatusCode, Bytes), ConnectionError> {
        let response = self.send(req, limits.head).await?;
        self.read(response, limits, memory).await
    }

    /// Reads the complete body of a response.
    pub(crate) async fn read(
        &self,
        response: Response<Incoming>,
        limits: ResponseLimits,
        memory: &ResponseMemory,
    ) -> Result<(StatusCode, Bytes), ConnectionError> {
        let address = self.address;
        let status = response.status();
        let mut kept = KeptBody::new(memory, limits.max_bytes);
        let complete = collect(address, response.into_body(), &mut kept, limits.pause);
        match timeout(Duration::from_millis(limits.body.0), complete).await {
            Ok(result) => result?,
            Err(_) => {
                let (limit, received) = (limits.body, kept.len());
                return ResponseTimeoutSnafu { address, limit, received }.fail();
            }
        }
        Ok((status, kept.into_bytes()))
    }
}

async fn connect(address: SocketAddr, limit: Millis) -> Result<TcpStream, ConnectionError> {
    match timeout(Duration::from_millis(limit.0), TcpStream::connect(address)).await {
        Ok(connected) => connected.context(ConnectSnafu { address }),
        Err(_) => ConnectTimeoutSnafu { address, limit }.fail(),
    }
}

/// Receives a body to its end, unless there is a pause of `pause` without further bytes.
async fn collect(
    address: SocketAddr,
    mut body: Incoming,
    kept: &mut KeptBody,
    pause: Millis,
) -> Result<(), ConnectionError> {
    loop {
        match timeout(Duration::from_millis(pause.0), kept.receive(&mut body)).await {
            Ok(received) => {
                if !received.context(BodySnafu { address })? {
                    return Ok(());
                }
            }
            Err(_) => {
                let (limit, received) = (pause, kept.len());
                return ResponseTimeoutSnafu { address, limit, received }.fail();
            }
        }
    }
}

/// Sets socket options that detect a silently lost connection within seconds.
pub(crate) fn set_socket_options(
    stream: &TcpStream,
    user_timeout: Duration,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}
