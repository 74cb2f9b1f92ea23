use super::check;
use super::{Secret, SettingError};
use super::setting::{Problems, Setting};
use argh::FromArgs;
use std::net::SocketAddr;
const BODY_LIMIT_BYTES: Setting = Setting {
    flag: "body-limit-bytes",
    variable: "CHERVILSPUR_BODY_LIMIT_BYTES",
    allowed: "1024 to 16777216",
    secret: false,
};
const CALLERS: Setting = Setting {
    flag: "callers",
    variable: "CHERVILSPUR_CALLERS",
    allowed: "1 to 4096",
    secret: false,
};
const CHECK_INVARIANTS: Setting = Setting {
    flag: "check-invariants",
    variable: "CHERVILSPUR_CHECK_INVARIANTS",
    allowed: "true, false",
    secret: false,
};
const DATA_CENTRE: Setting = Setting {
    flag: "data-centre",
    variable: "CHERVILSPUR_DATA_CENTRE",
    allowed: "1 to 63 lower-case letters, digits and inner hyphens",
    secret: false,
};
const INSTANCES: Setting = Setting {
    flag: "instances",
    variable: "CHERVILSPUR_INSTANCES",
    allowed: "an IP address and a port",
    secret: false,
};
const LINK_BYTES_PER_SECOND: Setting = Setting {
    flag: "link-bytes-per-second",
    variable: "CHERVILSPUR_LINK_BYTES_PER_SECOND",
    allowed: "0 to 1000000000",
    secret: false,
};
const LISTEN: Setting = Setting {
    flag: "listen",
    variable: "CHERVILSPUR_LISTEN",
    allowed: "an IP address and a port",
    secret: false,
};
/// Least severe log level that is written.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LogLevel {
    /// The value `error`.
    Error,
    /// The value `warn`.
    Warn,
    /// The value `info`.
    Info,
    /// The value `debug`.
    Debug,
    /// The value `trace`.
    Trace,
}
impl LogLevel {
    /// Parses the name of a value; `None` if there is no such value.
    pub fn parse(text: &str) -> Option<LogLevel> {
        match text {
            "error" => Some(LogLevel::Error),
            "warn" => Some(LogLevel::Warn),
            "info" => Some(LogLevel::Info),
            "debug" => Some(LogLevel::Debug),
            "trace" => Some(LogLevel::Trace),
            _ => None,
        }
    }
}
const LOG_LEVEL: Setting = Setting {
    flag: "log-level",
    variable: "CHERVILSPUR_LOG_LEVEL",
    allowed: "error, warn, info, debug, trace",
    secret: false,
};
const METRICS: Setting = Setting {
    flag: "metrics",
    variable: "CHERVILSPUR_METRICS",
    allowed: "an IP address and a port",
    secret: false,
};
const NAME: Setting = Setting {
    flag: "name",
    variable: "CHERVILSPUR_NAME",
    allowed: "1 to 63 lower-case letters, digits and inner hyphens",
    secret: false,
};
/// Output format.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Output {
    /// The value `text`.
    Text,
    /// The value `json`.
    Json,
}
impl Output {
    /// Parses the name of a value; `None` if there is no such value.
    pub fn parse(text: &str) -> Option<Output> {
        match text {
            "text" => Some(Output::Text),
            "json" => Some(Output::Json),
            _ => None,
        }
    }
}
const OUTPUT: Setting = Setting {
    flag: "output",
    variable: "CHERVILSPUR_OUTPUT",
    allowed: "text, json",
    secret: false,
};
const PEER_ADDRESS: Setting = Setting {
    flag: "peer-address",
    variable: "CHERVILSPUR_PEER_ADDRESS",
    allowed: "an IP address and a port",
    secret: false,
};
const PEER_KEY: Setting = Setting {
    flag: "peer-key",
    variable: "CHERVILSPUR_PEER_KEY",
    allowed: "16 to 256 characters",
    secret: true,
};
const QUEUE_LIMIT: Setting = Setting {
    flag: "queue-limit",
    variable: "CHERVILSPUR_QUEUE_LIMIT",
    allowed: "1 to 65536",
    secret: false,
};
const REGION: Setting = Setting {
    flag: "region",
    variable: "CHERVILSPUR_REGION",
    allowed: "1 to 63 lower-case letters, digits and inner hyphens",
    secret: false,
};
const SILENCE_LIMIT_MS: Setting = Setting {
    flag: "silence-limit-ms",
    variable: "CHERVILSPUR_SILENCE_LIMIT_MS",
    allowed: "500 to 600000",
    secret: false,
};
const SPANS: Setting = Setting {
    flag: "spans",
    variable: "CHERVILSPUR_SPANS",
    allowed: "an IP address and a port",
    secret: false,
};
const STOP_TIMEOUT_MS: Setting = Setting {
    flag: "stop-timeout-ms",
    variable: "CHERVILSPUR_STOP_TIMEOUT_MS",
    allowed: "0 to 3600000",
    secret: false,
};
const STORE: Setting = Setting {
    flag: "store",
    variable: "CHERVILSPUR_STORE",
    allowed: "an IP address and a port",
    secret: false,
};
const STORE_CALLS_PER_MINUTE: Setting = Setting {
    flag: "store-calls-per-minute",
    variable: "CHERVILSPUR_STORE_CALLS_PER_MINUTE",
    allowed: "6 to 60000",
    secret: false,
};
const STREAM_BUFFER_TOKENS: Setting = Setting {
    flag: "stream-buffer-tokens",
    variable: "CHERVILSPUR_STREAM_BUFFER_TOKENS",
    allowed: "16 to 65536",
    secret: false,
};
const STREAM_WINDOW_MS: Setting = Setting {
    flag: "stream-window-ms",
    variable: "CHERVILSPUR_STREAM_WINDOW_MS",
    allowed: "0 to 600000",
    secret: false,
};
const TIMEOUT_MS: Setting = Setting {
    flag: "timeout-ms",
    variable: "CHERVILSPUR_TIMEOUT_MS",
    allowed: "100 to 60000",
    secret: false,
};
/// Daemon that routes the requests of callers to endpoints.
#[derive(Clone, Debug, FromArgs)]
pub struct SettingsFlags {
    /// maximum size of a request body, in bytes (1024 to 16777216)
    #[argh(option)]
    pub body_limit_bytes: Option<String>,
    /// maximum number of callers served concurrently (1 to 4096)
    #[argh(option)]
    pub callers: Option<String>,
    /// whether to check internal invariants while the daemon runs (true, false)
    #[argh(option)]
    pub check_invariants: Option<String>,
    /// data centre of this instance (1 to 63 lower-case letters, digits and inner hyphens)
    #[argh(option)]
    pub data_centre: Option<String>,
    /// address of the platform's instance list (an IP address and a port)
    #[argh(option)]
    pub instances: Option<String>,
    /// bandwidth between the regions in each direction, shared by all daemons, in bytes per second (0 to 1000000000)
    #[argh(option)]
    pub link_bytes_per_second: Option<String>,
    /// address to listen on; port 0 selects a free port (an IP address and a port)
    #[argh(option)]
    pub listen: Option<String>,
    /// least severe log level that is written (error, warn, info, debug, trace)
    #[argh(option)]
    pub log_level: Option<String>,
    /// UDP address of a statsd server; if unset, no metrics are sent (an IP address and a port)
    #[argh(option)]
    pub metrics: Option<String>,
    /// name of this instance (1 to 63 lower-case letters, digits and inner hyphens)
    #[argh(option)]
    pub name: Option<String>,
    /// address at which other daemons reach this one; defaults to the listen address (an IP address and a port)
    #[argh(option)]
    pub peer_address: Option<String>,
    /// secret shared by all daemons; prefer the variable, since process lists show flags (16 to 256 characters)
    #[argh(option)]
    pub peer_key: Option<String>,
    /// maximum number of requests waiting for an endpoint (1 to 65536)
    #[argh(option)]
    pub queue_limit: Option<String>,
    /// region of this instance (1 to 63 lower-case letters, digits and inner hyphens)
    #[argh(option)]
    pub region: Option<String>,
    /// time without a byte after which a connection is considered dead, in milliseconds (500 to 600000)
    #[argh(option)]
    pub silence_limit_ms: Option<String>,
    /// address of an OTLP/HTTP collector; if unset, no spans are exported (an IP address and a port)
    #[argh(option)]
    pub spans: Option<String>,
    /// time that a graceful stop waits for open streams, in milliseconds (0 to 3600000)
    #[argh(option)]
    pub stop_timeout_ms: Option<String>,
    /// address of the platform's object API (an IP address and a port)
    #[argh(option)]
    pub store: Option<String>,
    /// maximum number of calls to the object API by this daemon per minute (6 to 60000)
    #[argh(option)]
    pub store_calls_per_minute: Option<String>,
    /// tokens buffered for a slow caller before its endpoint is paused (16 to 65536)
    #[argh(option)]
    pub stream_buffer_tokens: Option<String>,
    /// time within which a disconnected caller can resume its stream, in milliseconds (0 to 600000)
    #[argh(option)]
    pub stream_window_ms: Option<String>,
}
/// Settings of `chervilspurd`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Maximum size of a request body, in bytes.
    pub body_limit_bytes: u64,
    /// Maximum number of callers served concurrently.
    pub callers: usize,
    /// Whether to check internal invariants while the daemon runs.
    pub check_invariants: bool,
    /// Data centre of this instance.
    pub data_centre: String,
    /// Address of the platform's instance list.
    pub instances: SocketAddr,
    /// Bandwidth between the regions in each direction, shared by all daemons, in bytes per second.
    pub link_bytes_per_second: u64,
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Least severe log level that is written.
    pub log_level: LogLevel,
    /// UDP address of a statsd server; if unset, no metrics are sent.
    pub metrics: Option<SocketAddr>,
    /// Name of this instance.
    pub name: String,
    /// Address at which other daemons reach this one; defaults to the listen address.
    pub peer_address: Option<SocketAddr>,
    /// Secret shared by all daemons; prefer the variable, since process lists show flags.
    pub peer_key: Secret,
    /// Maximum number of requests waiting for an endpoint.
    pub queue_limit: usize,
    /// Region of this instance.
    pub region: String,
    /// Time without a byte after which a connection is considered dead, in milliseconds.
    pub silence_limit_ms: u64,
    /// Address of an OTLP/HTTP collector; if unset, no spans are exported.
    pub spans: Option<SocketAddr>,
    /// Time that a graceful stop waits for open streams, in milliseconds.
    pub stop_timeout_ms: u64,
    /// Address of the platform's object API.
    pub store: SocketAddr,
    /// Maximum number of calls to the object API by this daemon per minute.
    pub store_calls_per_minute: u32,
    /// Tokens buffered for a slow caller before its endpoint is paused.
    pub stream_buffer_tokens: usize,
    /// Time within which a disconnected caller can resume its stream, in milliseconds.
    pub stream_window_ms: u64,
}
impl Default for Settings {
    fn default() -> Settings {
        Settings {
            body_limit_bytes: 1048576,
            callers: 512,
            check_invariants: false,
            data_centre: String::from("local"),
            instances: SocketAddr::from(([0, 0, 0, 0], 0)),
            link_bytes_per_second: 3750000,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            log_level: LogLevel::Info,
            metrics: None,
            name: String::from("daemon"),
            peer_address: None,
            peer_key: Default::default(),
            queue_limit: 1024,
            region: String::from("local"),
            silence_limit_ms: 10000,
            spans: None,
            stop_timeout_ms: 60000,
            store: SocketAddr::from(([0, 0, 0, 0], 0)),
            store_calls_per_minute: 120,
            stream_buffer_tokens: 256,
            stream_window_ms: 30000,
        }
    }
}
impl Settings {
    /// Reads the settings; a flag overrides its variable, a variable overrides the default.
    pub fn read(
        flags: &SettingsFlags,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Settings, SettingError> {
        let default = Settings::default();
        let mut problems = Problems::default();
        let settings = Settings {
            body_limit_bytes: problems
                .record(
                    BODY_LIMIT_BYTES
                        .optional(
                            flags.body_limit_bytes.as_deref(),
                            &variable,
                            |text| check::integer(text, 1024, 16777216),
                        ),
                )
                .flatten()
                .unwrap_or(default.body_limit_bytes),
            callers: problems
                .record(
                    CALLERS
                        .optional(
                            flags.callers.as_deref(),
                            &variable,
                            |text| check::integer(text, 1, 4096),
                        ),
                )
                .flatten()
                .unwrap_or(default.callers),
            check_invariants: problems
                .record(
                    CHECK_INVARIANTS
                        .optional(
                            flags.check_invariants.as_deref(),
                            &variable,
                            check::boolean,
                        ),
                )
                .flatten()
                .unwrap_or(default.check_invariants),
            data_centre: problems
                .record(
                    DATA_CENTRE
                        .optional(
                            flags.data_centre.as_deref(),
                            &variable,
                            |text| check::label(text, 63),
                        ),
                )
                .flatten()
                .unwrap_or(default.data_centre),
            instances: problems
                .record(
                    INSTANCES
                        .required(
                            flags.instances.as_deref(),
                            &variable,
                            check::socket_address,
                        ),
                )
                .unwrap_or(default.instances),
            link_bytes_per_second: problems
                .record(
                    LINK_BYTES_PER_SECOND
                        .optional(
                            flags.link_bytes_per_second.as_deref(),
                            &variable,
                            |text| check::integer(text, 0, 1000000000),
                        ),
                )
                .flatten()
                .unwrap_or(default.link_bytes_per_second),
            listen: problems
                .record(
                    LISTEN
                        .optional(
                            flags.listen.as_deref(),
                            &variable,
                            check::socket_address,
                        ),
                )
                .flatten()
                .unwrap_or(default.listen),
            log_level: problems
                .record(
                    LOG_LEVEL
                        .optional(flags.log_level.as_deref(), &variable, LogLevel::parse),
                )
                .flatten()
                .unwrap_or(default.log_level),
            metrics: problems
                .record(
                    METRICS
                        .optional(
                            flags.metrics.as_deref(),
                            &variable,
                            check::socket_address,
                        ),
                )
                .flatten(),
            name: problems
                .record(
                    NAME
                        .optional(
                            flags.name.as_deref(),
                            &variable,
                            |text| check::label(text, 63),
                        ),
                )
                .flatten()
                .unwrap_or(default.name),
            peer_address: problems
                .record(
                    PEER_ADDRESS
                        .optional(
                            flags.peer_address.as_deref(),
                            &variable,
                            check::socket_address,
                        ),
                )
                .flatten(),
            peer_key: problems
                .record(
                    PEER_KEY
                        .required(
                            flags.peer_key.as_deref(),
                            &variable,
                            |text| check::secret(text, 16, 256),
                        ),
                )
                .unwrap_or(default.peer_key),
            queue_limit: problems
                .record(
                    QUEUE_LIMIT
                        .optional(
                            flags.queue_limit.as_deref(),
                            &variable,
                            |text| check::integer(text, 1, 65536),
                        ),
                )
                .flatten()
                .unwrap_or(default.queue_limit),
            region: problems
                .record(
                    REGION
                        .optional(
                            flags.region.as_deref(),
                            &variable,
                            |text| check::label(text, 63),
                        ),
                )
                .flatten()
                .unwrap_or(default.region),
            silence_limit_ms: problems
                .record(
                    SILENCE_LIMIT_MS
                        .optional(
                            flags.silence_limit_ms.as_deref(),
                            &variable,
                            |text| check::integer(text, 500, 600000),
                        ),
                )
                .flatten()
                .unwrap_or(default.silence_limit_ms),
            spans: problems
                .record(
                    SPANS
                        .optional(
                            flags.spans.as_deref(),
                            &variable,
                            check::socket_address,
                        ),
                )
                .flatten(),
            stop_timeout_ms: problems
                .record(
                    STOP_TIMEOUT_MS
                        .optional(
                            flags.stop_timeout_ms.as_deref(),
                            &variable,
                            |text| check::integer(text, 0, 3600000),
                        ),
                )
                .flatten()
                .unwrap_or(default.stop_timeout_ms),
            store: problems
                .record(
                    STORE
                        .required(
                            flags.store.as_deref(),
                            &variable,
                            check::socket_address,
                        ),
                )
                .unwrap_or(default.store),
            store_calls_per_minute: problems
                .record(
                    STORE_CALLS_PER_MINUTE
                        .optional(
                            flags.store_calls_per_minute.as_deref(),
                            &variable,
                            |text| check::integer(text, 6, 60000),
                        ),
                )
                .flatten()
                .unwrap_or(default.store_calls_per_minute),
            stream_buffer_tokens: problems
                .record(
                    STREAM_BUFFER_TOKENS
                        .optional(
                            flags.stream_buffer_tokens.as_deref(),
                            &variable,
                            |text| check::integer(text, 16, 65536),
                        ),
                )
                .flatten()
                .unwrap_or(default.stream_buffer_tokens),
            stream_window_ms: problems
                .record(
                    STREAM_WINDOW_MS
                        .optional(
                            flags.stream_window_ms.as_deref(),
                            &variable,
                            |text| check::integer(text, 0, 600000),
                        ),
                )
                .flatten()
                .unwrap_or(default.stream_window_ms),
        };
        problems.finish(settings)
    }
}
/// Command-line tool for operators of chervilspur.
#[derive(Clone, Debug, FromArgs)]
pub struct ToolFlags<C: argh::SubCommands> {
    /// address of the platform's instance list (an IP address and a port)
    #[argh(option)]
    pub instances: Option<String>,
    /// output format (text, json)
    #[argh(option)]
    pub output: Option<String>,
    /// address of the platform's object API (an IP address and a port)
    #[argh(option)]
    pub store: Option<String>,
    /// timeout of one call to the platform or to a daemon, in milliseconds (100 to 60000)
    #[argh(option)]
    pub timeout_ms: Option<String>,
    /// command to run
    #[argh(subcommand)]
    pub command: C,
}
/// Settings of `chervilspur`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ToolSettings {
    /// Address of the platform's instance list.
    pub instances: Option<SocketAddr>,
    /// Output format.
    pub output: Output,
    /// Address of the platform's object API.
    pub store: Option<SocketAddr>,
    /// Timeout of one call to the platform or to a daemon, in milliseconds.
    pub timeout_ms: u64,
}
impl Default for ToolSettings {
    fn default() -> ToolSettings {
        ToolSettings {
            instances: None,
            output: Output::Text,
            store: None,
            timeout_ms: 5000,
        }
    }
}
impl ToolSettings {
    /// Reads the settings; a flag overrides its variable, a variable overrides the default.
    pub fn read<C: argh::SubCommands>(
        flags: &ToolFlags<C>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<ToolSettings, SettingError> {
        let default = ToolSettings::default();
        let mut problems = Problems::default();
        let settings = ToolSettings {
            instances: problems
                .record(
                    INSTANCES
                        .optional(
                            flags.instances.as_deref(),
                            &variable,
                            check::socket_address,
                        ),
                )
                .flatten(),
            output: problems
                .record(
                    OUTPUT.optional(flags.output.as_deref(), &variable, Output::parse),
                )
                .flatten()
                .unwrap_or(default.output),
            store: problems
                .record(
                    STORE
                        .optional(
                            flags.store.as_deref(),
                            &variable,
                            check::socket_address,
                        ),
                )
                .flatten(),
            timeout_ms: problems
                .record(
                    TIMEOUT_MS
                        .optional(
                            flags.timeout_ms.as_deref(),
                            &variable,
                            |text| check::integer(text, 100, 60000),
                        ),
                )
                .flatten()
                .unwrap_or(default.timeout_ms),
        };
        problems.finish(settings)
    }
    /// Returns the address of the platform's instance list; an error if it is not set.
    pub fn require_instances(&self) -> Result<SocketAddr, SettingError> {
        self.instances.ok_or(INSTANCES.missing())
    }
    /// Returns the address of the platform's object API; an error if it is not set.
    pub fn require_store(&self) -> Result<SocketAddr, SettingError> {
        self.store.ok_or(STORE.missing())
    }
}
