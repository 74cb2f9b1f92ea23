use std::cell::Cell;
use tokio::sync::Notify;

/// The state of a shutdown. Idle connections stay open at first, so that clients can still send
/// requests on them, and are closed later.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    stopping: Cell<bool>,
    closes_idle: Cell<bool>,
    changed: Notify,
}

impl Shutdown {
    /// Begins the shutdown. Requests on open connections are still served, and each connection
    /// closes after its next response.
    pub(crate) fn start(&self) {
        self.stopping.set(true);
        self.changed.notify_waiters();
    }

    /// Closes idle connections from now on.
    pub(crate) fn close_idle(&self) {
        self.closes_idle.set(true);
        self.changed.notify_waiters();
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    pub(crate) fn closes_idle(&self) -> bool {
        self.closes_idle.get()
    }

    /// Waits until the state changes.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }
}
