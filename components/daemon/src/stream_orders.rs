use crate::attempt::Target;
use crate::endpoints::address_of;
use crate::executor::Executor;
use std::time::Duration;
use utils::prepare_request;

const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// What an endpoint is to do with the stream of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Pause the stream.
    Pause,
    /// Continue a paused stream.
    Resume,
    /// End the stream.
    Cancel,
}

impl OrderKind {
    fn as_str(self) -> &'static str {
        match self {
            OrderKind::Pause => "pause",
            OrderKind::Resume => "resume",
            OrderKind::Cancel => "cancel",
        }
    }
}

/// An order about the stream of a running attempt.
#[derive(Clone, Debug)]
pub struct Order {
    /// The request id that the endpoint sees.
    pub id: String,
    pub kind: OrderKind,
    /// Where the attempt runs.
    pub target: Target,
}

/// Sends an order; failures are only logged, since timeouts end an attempt that makes no progress.
pub fn send_order(executor: &Executor, order: &Order) {
    let address = match &order.target {
        Target::Endpoint(name) => address_of(executor, name),
        // The other daemon notices that the connection is closed or no longer read.
        Target::DataCentre(_) => return,
    };
    let Some(address) = address else { return };
    let url = format!("http://{address}/v1/requests/{}/{}", order.id, order.kind.as_str());
    if let Err(e) = prepare_request(attohttpc::post(&url), ORDER_TIMEOUT).send() {
        log::warn!("request={} order to {url} failed: {e}", order.id);
    }
}
