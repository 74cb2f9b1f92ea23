use crate::binary;
use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The time limit of each wait, for the start of the process included.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);
/// The maximum number of attempts to start a gateway.
const MAX_START_ATTEMPTS: usize = 5;

/// The settings of a gateway process that differ between tests.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// The name of the instance (`node`).
    pub name: String,
    /// Its data centre (`zone`).
    pub data_centre: String,
    /// The region of its data centre (`region`).
    pub region: String,
    /// The regions of other data centres, by data centre (`zones`).
    pub other_data_centres: BTreeMap<String, String>,
    /// The time limit within which a revoked key stops working (`bounds.revocation_ms`), in
    /// milliseconds.
    pub revocation_ms: u64,
    /// The time limit within which a change of the configuration is in force
    /// (`bounds.configuration_ms`), in milliseconds.
    pub configuration_ms: u64,
    /// The grace period from a stop signal to the exit (`bounds.grace_s`), in seconds.
    pub grace_s: u64,
    /// The retries allowed on top of the retry ratio (`bounds.budget_extra_attempts`).
    pub extra_attempts: u64,
    /// The memory limit of the process (`limits.memory_mb`), in MiB.
    pub memory_mb: u64,
    /// Further lines of its settings file, each ended by a line feed.
    pub further_settings: String,
    /// The program; `None` for the one of this build.
    pub program: Option<PathBuf>,
}

impl Default for GatewayConfig {
    fn default() -> GatewayConfig {
        GatewayConfig {
            name: String::from("front-1"),
            data_centre: String::from("a"),
            region: String::from("r"),
            other_data_centres: BTreeMap::new(),
            revocation_ms: 5_000,
            configuration_ms: 3_000,
            grace_s: 8,
            extra_attempts: 54,
            memory_mb: 110,
            further_settings: String::new(),
            program: None,
        }
    }
}

/// A gateway process and its log, killed when this value is dropped.
#[derive(Debug)]
pub struct GatewayProcess {
    child: Child,
    /// The address for clients.
    pub address: SocketAddr,
    /// The address for other daemons.
    pub peers: SocketAddr,
    /// The address of its readiness check.
    pub ready: SocketAddr,
    /// The address of its metrics.
    pub metrics: SocketAddr,
    program: PathBuf,
    settings_path: PathBuf,
    lines: Arc<Mutex<Vec<String>>>,
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Starts the program and a thread that appends its log to `lines`.
fn spawn(
    program: &Path,
    settings_path: &Path,
    metrics: SocketAddr,
    lines: &Arc<Mutex<Vec<String>>>,
) -> io::Result<Child> {
    let mut child = Command::new(program)
        .arg("--settings")
        .arg(settings_path)
        .args(["--metrics", &metrics.to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()?;
    let stdout =
        child.stdout.take().ok_or_else(|| io::Error::other("the gateway process has no stdout"))?;
    let log = lines.clone();
    thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            log.lock().unwrap_or_else(PoisonError::into_inner).push(line);
        }
    });
    Ok(child)
}

impl GatewayProcess {
    /// Starts a gateway that uses the store and waits until it listens.
    pub fn start(store: SocketAddr, cfg: &GatewayConfig) -> io::Result<GatewayProcess> {
        let mut result = Err(io::Error::other("the gateway was not started"));
        // Another process may bind a port between its choice and its use by the gateway.
        for _ in 0..MAX_START_ATTEMPTS {
            result = GatewayProcess::start_once(store, cfg);
            if result.is_ok() {
                break;
            }
        }
        result
    }

    fn start_once(store: SocketAddr, cfg: &GatewayConfig) -> io::Result<GatewayProcess> {
        let (address, ready, metrics) = (free_address()?, free_address()?, free_address()?);
        let peer_address = free_address()?;
        let others: String = cfg
            .other_data_centres
            .iter()
            .map(|(data_centre, region)| format!("zones.{data_centre}={region}\n"))
            .collect();
        let text = format!(
            "node={}\nip_address=127.0.0.1\nzone={}\nregion={}\nzones.{}={}\n\
             listen.front={address}\nlisten.ready={ready}\ninternal_ports={},{}\n\
             bounds.grace_s={}\nbounds.strict_revocation=true\nbounds.revocation_ms={}\n\
             bounds.configuration_ms={}\nbounds.budget_ratio=0.2\n\
             bounds.budget_window_s=10\nbounds.budget_extra_attempts={}\nlimits.memory_mb={}\n\
             first_start=true\nplatform.address={store}\n{others}{}",
            cfg.name,
            cfg.data_centre,
            cfg.region,
            cfg.data_centre,
            cfg.region,
            peer_address.port(),
            peer_address.port(),
            cfg.grace_s,
            cfg.revocation_ms,
            cfg.configuration_ms,
            cfg.extra_attempts,
            cfg.memory_mb,
            cfg.further_settings,
        );
        let settings_path = std::env::temp_dir().join(format!(
            "chervilspur-{}-{}.conf",
            std::process::id(),
            address.port()
        ));
        fs::write(&settings_path, text)?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        let program = match &cfg.program {
            Some(program) => program.clone(),
            None => binary("chervilspur-gateway")?,
        };
        let child = spawn(&program, &settings_path, metrics, &lines)?;
        let mut process = GatewayProcess {
            child,
            address,
            peers: peer_address,
            ready,
            metrics,
            program,
            settings_path,
            lines,
        };
        process.wait_for_start()?;
        Ok(process)
    }

    /// Waits until the process logs that it started; fails if it exits first.
    fn wait_for_start(&mut self) -> io::Result<()> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while self.log_with(&["\"event\":\"started\""]).is_empty() {
            if let Some(status) = self.child.try_wait()? {
                return Err(io::Error::other(format!(
                    "the gateway exited before it listened: {status}"
                )));
            }
            if Instant::now() > end {
                return Err(io::Error::other(format!(
                    "the gateway did not log its start within {} s",
                    WAIT_TIMEOUT.as_secs()
                )));
            }
            thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// The lines of its log so far, earlier runs before a restart included.
    pub fn log(&self) -> Vec<String> {
        self.pause_log().clone()
    }

    /// Stops reading its log until the returned guard is dropped, so that the pipe fills.
    pub fn pause_log(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The lines of its log that contain all words.
    pub fn log_with(&self, words: &[&str]) -> Vec<String> {
        let has_all = |line: &String| words.iter().all(|word| line.contains(word));
        self.log().into_iter().filter(has_all).collect()
    }

    /// Waits until the condition holds; the error names `what` and contains the log.
    pub fn wait_for(&self, condition: impl Fn() -> bool, what: &str) -> io::Result<()> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !condition() {
            if Instant::now() > end {
                let log = self.log().join("\n");
                return Err(io::Error::other(format!(
                    "condition not met within {} s: {what}; log:\n{log}",
                    WAIT_TIMEOUT.as_secs()
                )));
            }
            thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Waits until a line of its log contains all words.
    pub fn wait_for_log(&self, words: &[&str]) -> io::Result<()> {
        self.wait_for(|| !self.log_with(words).is_empty(), &format!("the log has {words:?}"))
    }

    /// The most memory that the process has had so far, in bytes.
    pub fn peak_memory(&self) -> io::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|peak| peak.trim().strip_suffix(" kB")?.parse::<u64>().ok());
        kilobytes
            .map(|kilobytes| kilobytes << 10)
            .ok_or_else(|| io::Error::other(format!("process {} states no VmHWM", self.child.id())))
    }

    /// Replaces text in its settings file.
    pub fn change_settings(&self, from: &str, to: &str) -> io::Result<()> {
        let text = fs::read_to_string(&self.settings_path)?;
        fs::write(&self.settings_path, text.replace(from, to))
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status()?;
        if sent.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("kill -s {name} {id} failed: {sent}")))
        }
    }

    /// Ends the process with a signal, resuming it first if it is stopped, and starts it again with
    /// the same settings, but that it is no first start.
    pub fn restart(&mut self, signal: &str) -> io::Result<()> {
        self.change_settings("first_start=true", "first_start=false")?;
        self.signal("CONT")?;
        self.signal(signal)?;
        self.child.wait()?;
        self.child = spawn(&self.program, &self.settings_path, self.metrics, &self.lines)?;
        Ok(())
    }

    /// Starts it again with another program, as when an instance is upgraded, after a signal.
    pub fn replace_program(&mut self, program: Option<PathBuf>, signal: &str) -> io::Result<()> {
        self.program = match program {
            Some(program) => program,
            None => binary("chervilspur-gateway")?,
        };
        self.restart(signal)
    }

    /// Whether the process has ended.
    pub fn has_exited(&mut self) -> io::Result<bool> {
        self.child.try_wait().map(|status| status.is_some())
    }

    /// Waits until the process exits; true if its exit status is 0.
    pub fn wait(&mut self) -> io::Result<bool> {
        self.child.wait().map(|status| status.success())
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // The process may have exited already, and the file may have been removed.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings_path);
    }
}
