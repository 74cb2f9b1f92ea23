//! Runs a case of the second review: stand-ins for clients, runners and the platform in this process, the
//! project's gateways as processes of their own.

mod client;
mod config;
mod crowd;
mod gateway;
mod http;
mod json;
mod platform;
mod record;
mod regions;
mod roll;
mod runner;
mod store;
mod windows;

use record::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use std::{env, fs, io, thread};

/// The longest time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(115);
/// The exit code of a case that could not run.
const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, record] = args.as_slice() else {
        eprintln!("usage: review-case-2 CASE RECORD");
        return ExitCode::from(COULD_NOT_RUN);
    };
    let with_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        gateway::kill_all();
        std::process::exit(i32::from(COULD_NOT_RUN));
    });
    match run(case, Path::new(record), with_trouble) {
        Ok(true) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("the rule was broken");
            ExitCode::FAILURE
        }
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}

fn run(case: &str, path: &Path, with_trouble: bool) -> io::Result<bool> {
    let record = Record::create(path)?;
    record.say(&format!("case {case}, {} trouble", if with_trouble { "with" } else { "without" }));
    let folder = temporary_folder()?;
    let result = match case {
        "crowd" => crowd::run(with_trouble, &folder, &record),
        "windows" => windows::run(with_trouble, &folder, &record),
        "roll" => roll::run(with_trouble, &folder, &record),
        _ => Err(io::Error::other(format!("there is no case {case}"))),
    };
    if env::var_os("KEEP").is_none() {
        fs::remove_dir_all(&folder)?;
    }
    record.line(&format!("the rule held: {result:?}"));
    result
}

/// A new folder for settings and logs.
fn temporary_folder() -> io::Result<PathBuf> {
    let folder = env::temp_dir().join(format!("review-case-2-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}
