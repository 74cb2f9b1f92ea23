use crate::adapter::{Adapter, ObjectKind};
use crate::connection::{Connection, ConnectionError, ResponseLimits};
use crate::gateway::Gateway;
use crate::metrics::StoreLabels;
use bytes::Bytes;
use decision::Millis;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;

/// Maximum response size: a page of 1 MB with its encoding.
const MAX_RESPONSE_BYTES: usize = 2 << 20;

/// A connection to the store for calls about objects of one kind.
#[derive(Debug)]
pub(crate) struct StoreConnection {
    kind: ObjectKind,
    /// Time limit of a call.
    limit: Millis,
    connection: Option<Connection>,
}

impl StoreConnection {
    pub(crate) fn new(kind: ObjectKind, limit: Millis) -> StoreConnection {
        StoreConnection { kind, limit, connection: None }
    }

    /// Reads a target; any status but 200 is an error.
    pub(crate) async fn get<A: Adapter>(
        &mut self,
        gateway: &Gateway<A>,
        target: &str,
    ) -> Result<Bytes, String> {
        let result = self.call(gateway, Method::GET, target, Bytes::new()).await;
        let (status, body) = result.map_err(|e| e.to_string())?;
        if status != StatusCode::OK {
            return Err(format!("{target}: store responded with status {status}"));
        }
        Ok(body)
    }

    /// Makes a call and counts it.
    pub(crate) async fn call<A: Adapter>(
        &mut self,
        gateway: &Gateway<A>,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), ConnectionError> {
        let result = self.send(gateway, method, target, body).await;
        let label = match &result {
            Ok((status, _)) if status.is_success() => "ok",
            Ok(_) => "refused",
            Err(_) => "unreachable",
        };
        let labels = StoreLabels { kind: self.kind.as_str(), result: label };
        gateway.metrics.store_calls.get_or_create(&labels).inc();
        result
    }

    async fn send<A: Adapter>(
        &mut self,
        gateway: &Gateway<A>,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), ConnectionError> {
        let address = gateway.settings().store;
        let mut connection = match self.connection.take().filter(Connection::is_ready) {
            Some(connection) => connection,
            None => Connection::open(address, self.limit).await?,
        };
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = method;
        *req.uri_mut() = target.parse().map_err(|e: http::uri::InvalidUri| {
            ConnectionError::Target { address, text: e.to_string() }
        })?;
        let host = address.to_string();
        req.headers_mut().extend(host.parse().ok().map(|host| (HOST, host)));
        req.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let limits = ResponseLimits::within(self.limit, MAX_RESPONSE_BYTES);
        let response = connection.send(req, limits.head).await?;
        gateway.observe_store_response(response.headers());
        let response = connection.read(response, limits, &gateway.control_memory).await?;
        self.connection = Some(connection);
        Ok(response)
    }
}
