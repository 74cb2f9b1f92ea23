use std::cell::Cell;
use tokio::sync::Notify;

/// Says that the daemon is stopping, and how far it is.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    stopping: Cell<bool>,
    closes_idle: Cell<bool>,
    changed: Notify,
}

impl Shutdown {
    /// Starts to stop: requests on open connections are served, and each connection closes with
    /// its next answer.
    pub(crate) fn start(&self) {
        self.stopping.set(true);
        self.changed.notify_waiters();
    }

    /// Closes connections without a request.
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

    /// Waits for the next step.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }
}
