use crate::binary;
use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The longest time to a start or to an event that is waited for.
const PATIENCE: Duration = Duration::from_secs(15);
/// Starts that are tried.
const STARTS: usize = 5;

/// The settings of a gateway process that tests vary.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// The name of the instance.
    pub name: String,
    /// The bound on keys that were taken away, in milliseconds.
    pub revocation_ms: u64,
    /// The time from a stop signal to the end, in seconds.
    pub grace_s: u64,
    /// Second sends beyond the share.
    pub extra_attempts: u64,
}

impl Default for GatewayConfig {
    fn default() -> GatewayConfig {
        GatewayConfig {
            name: String::from("front-1"),
            revocation_ms: 5_000,
            grace_s: 8,
            extra_attempts: 54,
        }
    }
}

/// A gateway process and its log.
#[derive(Debug)]
pub struct GatewayProcess {
    child: Child,
    /// The address for clients.
    pub address: SocketAddr,
    /// The address that says whether it takes connections.
    pub ready: SocketAddr,
    /// The address of its metrics.
    pub metrics: SocketAddr,
    settings: PathBuf,
    lines: Arc<Mutex<Vec<String>>>,
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Starts the program, whose log is added to the lines.
fn spawn(
    settings: &Path,
    metrics: SocketAddr,
    lines: &Arc<Mutex<Vec<String>>>,
) -> io::Result<Child> {
    let mut child = Command::new(binary("chervilspur-gateway")?)
        .arg("--settings")
        .arg(settings)
        .args(["--metrics", &metrics.to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()?;
    let stdout = child.stdout.take().ok_or_else(|| io::Error::other("no stdout"))?;
    let kept = lines.clone();
    thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            kept.lock().unwrap_or_else(PoisonError::into_inner).push(line);
        }
    });
    Ok(child)
}

impl GatewayProcess {
    /// Starts a gateway at a store and waits until it listens.
    pub fn start(store: SocketAddr, terms: &GatewayConfig) -> io::Result<GatewayProcess> {
        let mut last = Err(io::Error::other("no port was free"));
        // Another process may take a free port before the gateway does.
        for _ in 0..STARTS {
            last = GatewayProcess::start_once(store, terms);
            if last.is_ok() {
                break;
            }
        }
        last
    }

    fn start_once(store: SocketAddr, terms: &GatewayConfig) -> io::Result<GatewayProcess> {
        let (address, ready, metrics) = (free_address()?, free_address()?, free_address()?);
        let peers = free_address()?;
        let text = format!(
            "node={}\nip_address=127.0.0.1\nzone=a\nregion=r\nzones.a=r\nlisten.front={address}\n\
             listen.ready={ready}\ninternal_ports={},{}\nbounds.grace_s={}\n\
             bounds.strict_revocation=true\nbounds.revocation_ms={}\nbounds.budget_ratio=0.2\n\
             bounds.budget_window_s=10\nbounds.budget_extra_attempts={}\nplatform.address={store}\n",
            terms.name,
            peers.port(),
            peers.port(),
            terms.grace_s,
            terms.revocation_ms,
            terms.extra_attempts,
        );
        let settings = std::env::temp_dir().join(format!(
            "chervilspur-{}-{}.conf",
            std::process::id(),
            address.port()
        ));
        fs::write(&settings, text)?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        let child = spawn(&settings, metrics, &lines)?;
        let mut process = GatewayProcess { child, address, ready, metrics, settings, lines };
        process.wait_for_start()?;
        Ok(process)
    }

    /// Waits until the process listens or ends.
    fn wait_for_start(&mut self) -> io::Result<()> {
        let end = Instant::now() + PATIENCE;
        while self.log_with(&["\"event\":\"started\""]).is_empty() {
            if let Some(status) = self.child.try_wait()? {
                return Err(io::Error::other(format!("the gateway ended with {status}")));
            }
            if Instant::now() > end {
                return Err(io::Error::other("the gateway did not start in time"));
            }
            thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Returns the lines of its log.
    pub fn log(&self) -> Vec<String> {
        self.pause_log().clone()
    }

    /// Stops reading its log until the returned guard is dropped.
    pub fn pause_log(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the lines of its log that hold all words.
    pub fn log_with(&self, words: &[&str]) -> Vec<String> {
        let has_all = |line: &String| words.iter().all(|word| line.contains(word));
        self.log().into_iter().filter(has_all).collect()
    }

    /// Waits until something is true.
    pub fn wait_for(&self, is_true: impl Fn() -> bool, what: &str) -> io::Result<()> {
        let end = Instant::now() + PATIENCE;
        while !is_true() {
            if Instant::now() > end {
                let log = self.log().join("\n");
                return Err(io::Error::other(format!("waited in vain until {what}; log:\n{log}")));
            }
            thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Waits until its log has a line with all words.
    pub fn wait_for_log(&self, words: &[&str]) -> io::Result<()> {
        self.wait_for(|| !self.log_with(words).is_empty(), &format!("the log has {words:?}"))
    }

    /// Replaces text of its settings file.
    pub fn change_settings(&self, from: &str, to: &str) -> io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, text.replace(from, to))
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status()?;
        if sent.success() { Ok(()) } else { Err(io::Error::other(format!("kill -s {name}"))) }
    }

    /// Ends the process with a signal and starts it again with the same settings.
    pub fn restart(&mut self, signal: &str) -> io::Result<()> {
        self.signal("CONT")?;
        self.signal(signal)?;
        self.child.wait()?;
        self.child = spawn(&self.settings, self.metrics, &self.lines)?;
        Ok(())
    }

    /// Waits until the process has ended; returns whether it ended well.
    pub fn wait(&mut self) -> io::Result<bool> {
        self.child.wait().map(|status| status.success())
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // The process may have ended already, and the file may be gone.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}
