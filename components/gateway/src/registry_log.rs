use decision::routing::{Directory, DirectoryChange};

/// Number of registry changes at a time above which only their number is logged.
const MAX_LOGGED_CHANGES: usize = 100;

/// Logs each change, or only their number if there are many, as when a daemon receives its first
/// copy of the registry.
pub(crate) fn log_registry_changes(changes: &[DirectoryChange], directory: &Directory) {
    let is_joined = |change: &&DirectoryChange| matches!(change, DirectoryChange::Joined(_));
    let is_left = |change: &&DirectoryChange| matches!(change, DirectoryChange::Left(_));
    if changes.len() > MAX_LOGGED_CHANGES {
        let joined = changes.iter().filter(is_joined).count();
        tracing::info!(
            event = "registry_changed",
            joined,
            left = changes.iter().filter(is_left).count()
        );
        return;
    }
    for change in changes {
        match change {
            DirectoryChange::Joined(id) => {
                let registration = directory.get(id);
                tracing::info!(
                    event = "endpoint_joined",
                    endpoint = %id,
                    service = registration.map(|r| &*r.service),
                    software_version = registration.map(|r| &*r.software_version),
                );
            }
            DirectoryChange::Returned(id) => {
                tracing::info!(event = "endpoint_returned", endpoint = %id);
            }
            DirectoryChange::Left(id) => tracing::info!(event = "endpoint_left", endpoint = %id),
        }
    }
}
