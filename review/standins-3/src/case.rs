//! What all cases have in common: arguments, folders, exit codes and the end of all processes.

use crate::gateway::end_all;
use crate::record::Record;
use std::env;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{ExitCode, exit};
use std::thread;
use std::time::Duration;

/// The longest time of a case; after it, all processes are ended.
const MAX_SECONDS: u64 = 100;
/// The exit code of a case that could not run.
const NOT_RUN: u8 = 2;

/// Runs a case in the folder that the first argument names, without the disruption if the second one
/// is 0. A third one replaces `MAX_SECONDS`. `play` returns whether the rule held.
pub fn run(play: impl FnOnce(&Record, &Path, bool) -> io::Result<bool>) -> ExitCode {
    let mut args = env::args().skip(1);
    let folder = PathBuf::from(args.next().unwrap_or_default());
    let has_trouble = args.next().is_none_or(|trouble| trouble != "0");
    let seconds = args.next().and_then(|text| text.parse().ok()).unwrap_or(MAX_SECONDS);
    let scratch = env::temp_dir().join(format!("review-3-{}", std::process::id()));
    let of_watchdog = scratch.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        eprintln!("the case could not run: not over after {seconds} s");
        end_all();
        remove(&of_watchdog);
        exit(i32::from(NOT_RUN));
    });
    let result = fs::create_dir_all(&scratch)
        .and_then(|()| Record::create(&folder))
        .and_then(|record| play(&record, &scratch, has_trouble));
    end_all();
    remove(&scratch);
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(NOT_RUN)
        }
    }
}

fn remove(scratch: &Path) {
    if let Err(e) = fs::remove_dir_all(scratch) {
        eprintln!("{}: {e}", scratch.display());
    }
}
