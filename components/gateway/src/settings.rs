use decision::Millis;
use decision::duties::Duty;
use decision::routing::RetryBudgetConfig;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The settings of the calls to the platform that exactly one daemon makes at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct DutySettings {
    /// The address that receives the calls.
    pub address: SocketAddr,
    /// The duties to carry out.
    pub duties: BTreeSet<Duty>,
    /// The calls per second that the platform accepts from all daemons together.
    pub calls_per_second: f64,
    /// Whether the platform checks the fencing token.
    pub checks_token: bool,
    /// The time for which a holder may act after a renewal.
    pub lease: Millis,
    /// The time after a suspension of the sender or of its link in which the platform tolerates the
    /// calls of a former holder.
    pub thaw: Millis,
    /// The length of a window of usage reports.
    pub report_window: Millis,
    /// The tolerated deviation of a reported count, as a share of the true count.
    pub usage_tolerance: f64,
    /// The time after the end of a window at which its report is due.
    pub usage_lateness: Millis,
}

impl Default for DutySettings {
    fn default() -> DutySettings {
        DutySettings {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            duties: BTreeSet::new(),
            calls_per_second: 10.0,
            checks_token: false,
            lease: Millis(3_000),
            thaw: Millis(300),
            report_window: Millis(5_000),
            usage_tolerance: 0.05,
            usage_lateness: Millis(10_000),
        }
    }
}

/// The settings of one gateway daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of this instance, unique among all daemons.
    pub name: String,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address on which readiness checks are served.
    pub listen_ready: Option<SocketAddr>,
    /// The address on which metrics are served.
    pub listen_metrics: Option<SocketAddr>,
    /// The URL path of the metrics.
    pub metrics_path: String,
    /// The address of the object store.
    pub store: SocketAddr,
    /// The writes to the store that all daemons together may make in a second.
    pub store_writes_per_second: f64,
    /// The time within which a revoked key stops working, even if this instance cannot reach the
    /// store. `None` accepts keys however old the configuration is.
    pub revocation_bound: Option<Millis>,
    /// The time within which an acknowledged configuration is in force. An older configuration denies
    /// nothing that it does not hold. `None` lets it deny however old it is.
    pub configuration_bound: Option<Millis>,
    /// The maximum time from a stop signal to the exit of the process.
    pub stop_timeout: Millis,
    /// The retry budget of the whole fleet; each daemon uses its share.
    pub retry_budget: RetryBudgetConfig,
    /// Whether the whole system starts for the first time, so that this process has no predecessor.
    pub is_first_start: bool,
    /// The address on which other daemons connect; without one, this daemon neither follows peers
    /// nor is followed.
    pub listen_peers: Option<SocketAddr>,
    /// The data centre of this instance.
    pub data_centre: String,
    /// The memory limit of this process.
    pub memory_limit_bytes: u64,
    /// The limit on open file descriptors, from which the limit on client connections follows.
    pub open_files_limit: u32,
    /// The calls to the platform that one daemon makes for all; `None` if there are none.
    pub duties: Option<DutySettings>,
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
            store_writes_per_second: 400.0,
            revocation_bound: None,
            configuration_bound: None,
            stop_timeout: Millis(8_000),
            retry_budget: RetryBudgetConfig::default(),
            is_first_start: false,
            listen_peers: None,
            data_centre: "local".to_owned(),
            memory_limit_bytes: 128 << 20,
            open_files_limit: 1024,
            duties: None,
        }
    }
}

/// The settings file, which is reloaded when it changes and on SIGHUP.
#[derive(Clone, Debug)]
pub struct SettingsFile {
    /// The path of the file.
    pub path: PathBuf,
    /// Parses the text of the file. The error text lists all problems.
    pub parse: fn(&str) -> Result<Settings, String>,
}
