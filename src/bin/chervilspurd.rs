//! Daemon that runs on each entry instance and routes the requests of callers to endpoints.

use config::{
    BAD_SETTING_EXIT_CODE, LogLevel, Settings, SettingsFlags, process_flags, process_variable,
};
use daemon::Daemon;
use simplelog::{ColorChoice, ConfigBuilder, LevelFilter, TermLogger, TerminalMode};
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
            return ExitCode::from(BAD_SETTING_EXIT_CODE);
        }
    };
    let mode = TerminalMode::Stderr;
    let level = level_filter(cfg.log_level);
    // tiny_http logs an error each time that it finds no connection.
    let log_cfg = ConfigBuilder::new().add_filter_ignore_str("tiny_http").build();
    let _ = TermLogger::init(level, log_cfg, mode, ColorChoice::Never);
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
