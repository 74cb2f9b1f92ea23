//! The daemon on each entry instance.

use config::{BAD_SETTING, LogLevel, Settings, SettingsFlags, process_flags, process_variable};
use daemon::Daemon;
use simplelog::{ColorChoice, Config, LevelFilter, TermLogger, TerminalMode};
use std::process::ExitCode;

fn main() -> ExitCode {
    let flags: SettingsFlags = match process_flags("chervilspurd") {
        Ok(flags) => flags,
        Err(code) => return code,
    };
    let cfg = match Settings::read(&flags, process_variable) {
        Ok(cfg) => cfg,
        Err(e) => {
            eprintln!("chervilspurd: {e}");
            return ExitCode::from(BAD_SETTING);
        }
    };
    let mode = TerminalMode::Stderr;
    let level = level_filter(cfg.log_level);
    let _ = TermLogger::init(level, Config::default(), mode, ColorChoice::Never);
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

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}
