//! Daemon that routes the requests of clients to endpoints on the users' platform.

use argh::FromArgs;
use gateway::{Settings, SettingsFile};
use platform::{Platform, parse_settings};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::SystemTime;
use tracing_subscriber::filter::LevelFilter;

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "CHERVILSPUR_NODE_FILE";
/// Path of the settings file if neither the flag nor the variable is set.
const DEFAULT_SETTINGS_PATH: &str = "/etc/chervilspur/local.conf";

/// Routes the requests of clients to endpoints.
#[derive(FromArgs)]
struct Flags {
    /// settings file; defaults to CHERVILSPUR_NODE_FILE, then to /etc/chervilspur/local.conf
    #[argh(option)]
    settings: Option<PathBuf>,

    /// address on which to serve /metrics; if unset, it is not served
    #[argh(option)]
    metrics: Option<SocketAddr>,

    /// least severe log level that is written: error, warn, info, debug or trace
    #[argh(option, default = "LevelFilter::INFO")]
    log_level: LevelFilter,

    /// check the settings file, print an error if it is invalid, and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    let path_variable = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let path =
        flags.settings.or(path_variable).unwrap_or_else(|| PathBuf::from(DEFAULT_SETTINGS_PATH));
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) => return fail(&format!("cannot read the settings file {}: {e}", path.display())),
    };
    let instance = match parse_settings(&text) {
        Ok(instance) => instance,
        Err(e) => return fail(&format!("invalid settings file {}: {e}", path.display())),
    };
    if flags.check {
        println!("{}: the settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    let settings = Settings { listen_metrics: flags.metrics, ..instance.settings };
    let file =
        SettingsFile { path, parse: |text| parse_settings(text).map(|instance| instance.settings) };
    let seed = start_seed(&settings.name);
    match gateway::run(
        Platform::new(instance.location),
        settings,
        Some(file),
        seed,
        flags.log_level,
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e.to_string()),
    }
}

fn fail(text: &str) -> ExitCode {
    eprintln!("chervilspur-gateway: {text}");
    ExitCode::FAILURE
}

/// Creates a seed that differs between instances and between starts of the same instance.
fn start_seed(name: &str) -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let nanos = since_epoch.map_or(0, |time| time.as_nanos() as u64);
    let mut hasher = DefaultHasher::new();
    (name, nanos, std::process::id()).hash(&mut hasher);
    hasher.finish()
}
