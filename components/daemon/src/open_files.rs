use crate::start_error::{OpenFilesSnafu, StartError};
use snafu::ensure;

/// Open files per caller: two for its connection, one for the connection to an endpoint, one spare.
const FILES_PER_CALLER: u64 = 4;

/// Open files that do not depend on the number of callers.
const BASE_FILES: u64 = 128;

/// Raises the limit of open files to what `callers` concurrent callers need, since the HTTP library
/// stops accepting connections for good once the limit is reached.
pub fn reserve_open_files(callers: usize) -> Result<(), StartError> {
    let needed = callers as u64 * FILES_PER_CALLER + BASE_FILES;
    let limit = rlimit::increase_nofile_limit(needed).unwrap_or(0);
    ensure!(limit >= needed, OpenFilesSnafu { callers, needed, limit });
    Ok(())
}
