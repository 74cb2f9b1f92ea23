//! Gateways as processes, started with the command of the deploy file.

use crate::record::Record;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The program of the deploy file.
const PROGRAM: &str = "target/release/chervilspur-gateway";
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// The numbers of the processes that were started and not waited for yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn started() -> MutexGuard<'static, Vec<u32>> {
    STARTED.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Kills all processes that were started, when a case takes too long.
pub fn kill_all() {
    for id in started().drain(..) {
        // It may have ended already.
        let _ = Command::new("sh").args(["-c", &format!("kill -s KILL {id}")]).status();
    }
}

/// What the settings of a gateway say beside its own addresses.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of its machine.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// The address of the store.
    pub store: SocketAddr,
    /// The memory of its machine, in MB.
    pub memory_mb: u64,
    /// The lines of the bounds.
    pub bounds: &'static str,
    /// Further lines, each with its line end.
    pub further: String,
}

/// The bounds of the sheet agenda-campo.
pub const AGENDA_CAMPO: &str = "bounds.seed_lag_s=3\nbounds.address_reuse_s=2\n\
    bounds.contact_ms=4000\nbounds.acknowledge_ms=5000\nbounds.catch_up_s=4\n\
    bounds.drain_ms=3000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
    bounds.configuration_ms=3000\nbounds.downgrade_slack_ms=250\nbounds.outer_bound_ms=6000\n\
    bounds.strict_revocation=true\nbounds.revocation_ms=5000\nbounds.budget_ratio=0.2\n\
    bounds.budget_window_s=10\nbounds.budget_extra_attempts=54\nbounds.recovery_s=12\n\
    bounds.pass_ms=400\nbounds.cache_reuse_s=6.7\n";

/// The bounds of the sheet baraja-andina-grown, in which gateways have duties at the platform.
pub const BARAJA_ANDINA: &str = "bounds.seed_lag_s=3\nbounds.address_reuse_s=2\n\
    bounds.contact_ms=5000\nbounds.acknowledge_ms=8000\nbounds.catch_up_s=6\n\
    bounds.drain_ms=4000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
    bounds.configuration_ms=4000\nbounds.downgrade_slack_ms=250\nbounds.outer_bound_ms=8000\n\
    bounds.strict_revocation=true\nbounds.revocation_ms=5000\nbounds.budget_ratio=0.2\n\
    bounds.budget_window_s=10\nbounds.budget_extra_attempts=166\n\
    bounds.require_fencing=false\nbounds.lease_ms=3000\nbounds.thaw_ms=300\n\
    bounds.report_window_s=5\nbounds.usage_tolerance=0.05\nbounds.usage_late_s=10\n\
    bounds.recovery_s=15\nbounds.pass_ms=400\nbounds.cache_reuse_s=7\n";

/// A gateway on a machine of its own, which has an address of the loopback network. Its process is
/// killed when this value is dropped.
#[derive(Debug)]
pub struct Gateway {
    /// Its settings.
    pub settings: Settings,
    /// Where clients reach it.
    pub front: SocketAddr,
    /// Where the platform asks whether it is ready.
    pub ready: SocketAddr,
    metrics: SocketAddr,
    /// The port at which other gateways reach it.
    pub peer_port: u16,
    path: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

fn free_address(ip: IpAddr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

impl Gateway {
    /// Starts a gateway at the address 127.0.0.`number`, with its files in `folder`.
    pub fn start(
        number: u8,
        settings: Settings,
        folder: &Path,
        record: &Record,
    ) -> io::Result<Gateway> {
        let ip = IpAddr::from([127, 0, 0, number]);
        let mut gateway = Gateway {
            front: free_address(ip)?,
            ready: free_address(ip)?,
            metrics: free_address(ip)?,
            peer_port: free_address(ip)?.port(),
            path: folder.join(format!("{}.conf", settings.name)),
            log: folder.join(format!("{}.log", settings.name)),
            settings,
            child: None,
        };
        gateway.spawn(true, record)?;
        Ok(gateway)
    }

    /// Starts its process; `is_first` if the whole system starts for the first time.
    pub fn spawn(&mut self, is_first: bool, record: &Record) -> io::Result<()> {
        let Settings { name, zone, region, store, memory_mb, bounds, further } = &self.settings;
        let (front, ready, ip) = (self.front, self.ready, self.front.ip());
        let (first_port, last_port) = (self.peer_port, self.peer_port.saturating_add(1));
        let text = format!(
            "node={name}\nrole=gateway\nmachine_class=front\nserves=front\nip_address={ip}\n\
             zone={zone}\nregion={region}\nzones.{zone}={region}\nlisten.front={front}\n\
             listen.ready={ready}\ninternal_ports={first_port},{last_port}\nseeds=\n\
             first_start={is_first}\nloss_counts=false\nlimits.processor_share=0.25\n\
             limits.cores=1\nlimits.memory_mb={memory_mb}\nlimits.file_descriptors=4100\n\
             limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=virtual_ip\n\
             heartbeat_ms=1200\ntolerance.machines=2\ntolerance.zones=0\ntolerance.regions=0\n\
             {bounds}platform.address={store}\nplatform.form=objects\n\
             platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\n\
             platform.value_bytes=1048576\nplatform.minimum_ttl_ms=1000\n{further}"
        );
        fs::write(&self.path, text)?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .args(["--metrics", &self.metrics.to_string()])
            .env("CHERVILSPUR_NODE_FILE", &self.path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record.line(&format!("{}: started as process {}", self.settings.name, child.id()));
        started().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// The number of its process.
    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str, record: &Record) -> io::Result<()> {
        let sent =
            Command::new("sh").args(["-c", &format!("kill -s {name} {}", self.id())]).status()?;
        record.line(&format!("{}: SIG{name} sent, {sent}", self.settings.name));
        Ok(())
    }

    /// Whether its process has ended.
    pub fn has_ended(&mut self) -> io::Result<bool> {
        match &mut self.child {
            Some(child) => {
                let has_ended = child.try_wait()?.is_some();
                if has_ended {
                    started().retain(|id| *id != child.id());
                }
                Ok(has_ended)
            }
            None => Ok(true),
        }
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
            started().retain(|id| *id != child.id());
        }
    }

    /// The resident memory of its process, in bytes.
    pub fn memory(&self) -> io::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<u64>().ok());
        kilobytes.map(|kb| kb << 10).ok_or_else(|| io::Error::other("no VmRSS"))
    }

    /// Whether it says that it is ready, as the platform asks.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            write!(stream, "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut head = [0; 12];
            stream.read_exact(&mut head)?;
            Ok(head.ends_with(b" 200"))
        };
        ask().unwrap_or(false)
    }

    /// Waits until it is ready.
    pub fn wait_until_ready(&mut self) -> io::Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        while !self.is_ready() {
            if self.has_ended()? || Instant::now() > end {
                return Err(io::Error::other(format!("{} is not ready", self.settings.name)));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
