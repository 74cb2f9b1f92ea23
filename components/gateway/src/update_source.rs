use std::cell::Cell;
use tokio::sync::Notify;

/// Where this daemon gets configuration and registry changes from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum UpdateSource {
    /// It reads the store.
    #[default]
    Store,
    /// It follows another daemon, or looks for one to follow.
    Peer,
}

/// The current update source, with notification of changes.
#[derive(Debug, Default)]
pub(crate) struct CurrentSource {
    source: Cell<UpdateSource>,
    changed: Notify,
}

impl CurrentSource {
    pub(crate) fn get(&self) -> UpdateSource {
        self.source.get()
    }

    pub(crate) fn set(&self, source: UpdateSource) {
        if self.source.replace(source) != source {
            self.changed.notify_waiters();
        }
    }

    /// Waits until the source is `source`.
    pub(crate) async fn until(&self, source: UpdateSource) {
        loop {
            let changed = self.changed.notified();
            if self.source.get() == source {
                return;
            }
            changed.await;
        }
    }
}
