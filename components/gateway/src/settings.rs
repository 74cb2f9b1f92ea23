use decision::Millis;
use decision::routing::RetryBudgetConfig;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of this instance.
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address that answers whether this daemon takes connections.
    pub listen_ready: Option<SocketAddr>,
    /// The address that serves metrics.
    pub listen_metrics: Option<SocketAddr>,
    /// The path under which metrics are served.
    pub metrics_path: String,
    /// The address of the store.
    pub store: SocketAddr,
    /// The time within which a key that was taken away stops working, also when cut off.
    pub revocation_bound: Option<Millis>,
    /// The time from a stop signal to the end of the process.
    pub stop_timeout: Millis,
    /// The retry budget that all daemons share.
    pub retry_budget: RetryBudgetConfig,
    /// The address for other daemons.
    pub listen_peers: Option<SocketAddr>,
    /// The data centre of this instance.
    pub data_centre: String,
    /// The memory of this process, in bytes.
    pub memory_limit_bytes: u64,
    /// The most open files of this process.
    pub open_files_limit: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            name: "gateway".to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            listen_ready: None,
            listen_metrics: None,
            metrics_path: "/metrics".to_owned(),
            store: SocketAddr::from(([127, 0, 0, 1], 0)),
            revocation_bound: None,
            stop_timeout: Millis(8_000),
            retry_budget: RetryBudgetConfig::default(),
            listen_peers: None,
            data_centre: "local".to_owned(),
            memory_limit_bytes: 128 << 20,
            open_files_limit: 1024,
        }
    }
}

/// A settings file that is read again while the daemon runs.
#[derive(Clone, Debug)]
pub struct SettingsFile {
    /// The file.
    pub path: PathBuf,
    /// Reads settings from the text of the file, or says all that is wrong with it.
    pub parse: fn(&str) -> Result<Settings, String>,
}
