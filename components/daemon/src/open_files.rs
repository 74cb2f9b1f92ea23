use crate::start_error::{OpenFilesSnafu, StartError};
use snafu::ensure;

/// Open files for one caller: two for its connection, one to an endpoint and one to spare.
const FILES_PER_CALLER: u64 = 4;

/// Open files for everything else.
const FILES_BESIDES: u64 = 128;

/// Raises the limit of open files as far as the callers need, since the HTTP library accepts no
/// connection any more once none is left.
pub fn reserve_open_files(callers: usize) -> Result<(), StartError> {
    let needed = callers as u64 * FILES_PER_CALLER + FILES_BESIDES;
    let limit = rlimit::increase_nofile_limit(needed).unwrap_or(0);
    ensure!(limit >= needed, OpenFilesSnafu { callers, needed, limit });
    Ok(())
}
