//! The daemon that carries requests between clients and endpoints on the users' platform.

use argh::FromArgs;
use gateway::{Settings, SettingsFile};
use platform::{Platform, parse_settings};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::SystemTime;
use tracing_subscriber::filter::LevelFilter;

/// The variable that names the settings file.
const SETTINGS_VARIABLE: &str = "CHERVILSPUR_NODE_FILE";
/// The settings file without the variable.
const SETTINGS_PATH: &str = "/etc/chervilspur/local.conf";

/// Carries requests between clients and endpoints.
#[derive(FromArgs)]
struct Flags {
    /// settings file; else the variable CHERVILSPUR_NODE_FILE, else /etc/chervilspur/local.conf
    #[argh(option)]
    settings: Option<PathBuf>,

    /// address that serves /metrics
    #[argh(option)]
    metrics: Option<SocketAddr>,

    /// least severe lines that are logged: error, warn, info, debug or trace
    #[argh(option, default = "LevelFilter::INFO")]
    log_level: LevelFilter,

    /// say what is wrong with the settings and stop
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    let named = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let path = flags.settings.or(named).unwrap_or_else(|| PathBuf::from(SETTINGS_PATH));
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) => return fail(&format!("{}: {e}", path.display())),
    };
    let read = match parse_settings(&text) {
        Ok(read) => read,
        Err(e) => return fail(&format!("{}: {e}", path.display())),
    };
    if flags.check {
        println!("{}: settings are complete", path.display());
        return ExitCode::SUCCESS;
    }
    let settings = Settings { listen_metrics: flags.metrics, ..read.settings };
    let file = SettingsFile { path, parse: |text| parse_settings(text).map(|read| read.settings) };
    let seed = start_seed(&settings.name);
    match gateway::run(Platform::new(read.location), settings, Some(file), seed, flags.log_level) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e.to_string()),
    }
}

fn fail(text: &str) -> ExitCode {
    eprintln!("chervilspur-gateway: {text}");
    ExitCode::FAILURE
}

/// Returns a number that differs between instances and between starts of one.
fn start_seed(name: &str) -> u64 {
    let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let nanos = started.map_or(0, |time| time.as_nanos() as u64);
    let mut hasher = DefaultHasher::new();
    (name, nanos, std::process::id()).hash(&mut hasher);
    hasher.finish()
}
