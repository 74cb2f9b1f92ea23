use std::cell::Cell;
use tokio::sync::Notify;

/// Where this daemon learns of changes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum UpdateSource {
    /// It reads the store itself.
    #[default]
    Store,
    /// It follows another daemon of its data centre.
    Peer,
}

/// The source in force, and word of each change of it.
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
