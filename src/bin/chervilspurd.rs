//! The daemon on each entry instance.

use config::Settings;
use daemon::Daemon;
use simplelog::{ColorChoice, Config, LevelFilter, TermLogger, TerminalMode};
use std::process::ExitCode;

fn main() -> ExitCode {
    let cfg: Settings = argh::from_env();
    let mode = TerminalMode::Stderr;
    let _ = TermLogger::init(LevelFilter::Info, Config::default(), mode, ColorChoice::Never);
    let daemon = match Daemon::start(cfg) {
        Ok(daemon) => daemon,
        Err(e) => {
            eprintln!("chervilspurd: {e}");
            return ExitCode::FAILURE;
        }
    };
    println!("listening {}", daemon.address());
    match daemon.serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("chervilspurd: {e}");
            ExitCode::FAILURE
        }
    }
}
