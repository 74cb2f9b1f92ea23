//! Gateway processes, started as the deploy file says.

use crate::lock;
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU8, Ordering};

/// The ports of each machine, as in the example of DEPLOY.md.
const FRONT_PORT: u16 = 8_227;
const READY_PORT: u16 = 8_220;
const FIRST_INTERNAL_PORT: u16 = 7_340;
/// The port of `--metrics` in deploy/system.toml.
pub const METRICS_PORT: u16 = 7_345;

/// The processes that run, or have ended and were not waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// The last byte of the address of the machine that was started last.
static LAST_MACHINE: AtomicU8 = AtomicU8::new(0);

/// Returns a loopback address of its own for a machine, on which its ports are free.
///
/// # Errors
///
/// Returns an error if there is none.
pub fn machine_address(internal_port: u16) -> io::Result<IpAddr> {
    let network = 16 + (std::process::id() % 200) as u8;
    for _ in 0..u8::MAX {
        let number = LAST_MACHINE.fetch_add(1, Ordering::Relaxed).wrapping_add(1);
        let address = IpAddr::V4(Ipv4Addr::new(127, 0, network, number));
        let ports = BTreeSet::from([FRONT_PORT, READY_PORT, internal_port, METRICS_PORT]);
        let bound: io::Result<Vec<TcpListener>> =
            ports.iter().map(|port| TcpListener::bind((address, *port))).collect();
        if number > 0 && bound.is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no loopback address has all ports free"))
}

/// A gateway process with its settings; it is killed when this value is dropped.
#[derive(Debug)]
pub struct Gateway {
    pub child: Child,
    pub name: String,
    /// The address for clients.
    pub front: SocketAddr,
    /// The address of the readiness check.
    pub ready: SocketAddr,
    /// The address for other gateways.
    pub peers: SocketAddr,
    pub settings_path: PathBuf,
    pub log_path: PathBuf,
}

/// The settings of a process with the addresses of this run.
pub fn settings(
    name: &str,
    zone: &str,
    addresses: [SocketAddr; 3],
    store: SocketAddr,
    further: &str,
) -> String {
    let [front, ready, peers] = addresses;
    let (address, first) = (peers.ip(), peers.port());
    let last = first + 15;
    format!(
        "node={name}\nrole=gateway\nmachine_class=front\nserves=front\nip_address={address}\n\
         zone={zone}\nregion=valle-aburra\nzones.aburra-norte=valle-aburra\n\
         zones.rionegro=oriente\nzones.aburra-sur=valle-aburra\nlisten.front={front}\n\
         listen.ready={ready}\ninternal_ports={first},{last}\nfirst_start=true\nloss_counts=false\n\
         limits.processor_share=0.25\nlimits.cores=1\nlimits.memory_mb=110\n\
         limits.file_descriptors=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n\
         discovery=platform\nentry=virtual_ip\nheartbeat_ms=1200\n\
         contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n\
         bounds.seed_lag_s=3\nbounds.address_reuse_s=2\nbounds.contact_ms=4000\n\
         bounds.acknowledge_ms=5000\nbounds.catch_up_s=4\nbounds.drain_ms=3000\n\
         bounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.configuration_ms=3000\n\
         bounds.downgrade_slack_ms=250\nbounds.outer_bound_ms=6000\n\
         bounds.strict_revocation=true\nbounds.revocation_ms=5000\nbounds.budget_ratio=0.2\n\
         bounds.budget_window_s=10\nbounds.budget_extra_attempts=54\nbounds.recovery_s=12\n\
         bounds.pass_ms=400\nbounds.cache_reuse_s=6.7\nplatform.address={store}\n\
         platform.form=objects\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n\
         platform.history_s=20\nplatform.value_bytes=1048576\nplatform.minimum_ttl_ms=1000\n\
         {further}"
    )
}

impl Gateway {
    /// Starts a process; its output goes to a file of the folder.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound, a file cannot be written or the program is
    /// missing.
    pub fn start(
        name: &str,
        zone: &str,
        store: SocketAddr,
        folder: &Path,
        further: &str,
    ) -> io::Result<Gateway> {
        Gateway::start_at(name, zone, store, folder, further, FIRST_INTERNAL_PORT)
    }

    /// Starts a process whose internal ports begin at another one.
    ///
    /// # Errors
    ///
    /// As [`Gateway::start`].
    pub fn start_at(
        name: &str,
        zone: &str,
        store: SocketAddr,
        folder: &Path,
        further: &str,
        internal_port: u16,
    ) -> io::Result<Gateway> {
        let address = machine_address(internal_port)?;
        let ports = [FRONT_PORT, READY_PORT, internal_port];
        let addresses = ports.map(|port| SocketAddr::new(address, port));
        let settings_path = folder.join(format!("{name}.conf"));
        let log_path = folder.join(format!("{name}.log"));
        fs::write(&settings_path, settings(name, zone, addresses, store, further))?;
        let [front, ready, peers] = addresses;
        let child = spawn(address, &settings_path, &log_path)?;
        let name = name.to_owned();
        Ok(Gateway { child, name, front, ready, peers, settings_path, log_path })
    }

    /// Starts the process again with the same settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.child = spawn(self.front.ip(), &self.settings_path, &self.log_path)?;
        Ok(())
    }

    /// Sends a signal by name, such as TERM, to this process.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be sent.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        signal(self.child.id(), name)
    }

    /// Waits for the process, which has ended or was killed.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be waited for.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        let status = self.child.wait()?;
        lock(&RUNNING).retain(|pid| *pid != self.child.id());
        Ok(status)
    }

    /// A figure in kB of the process status, such as `VmRSS`; `None` after its end.
    pub fn status_kb(&self, field: &str) -> Option<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix(field)?.strip_prefix(':'))?;
        line.trim().trim_end_matches("kB").trim().parse().ok()
    }

    /// Whether the process runs.
    pub fn is_alive(&mut self) -> bool {
        is_alive(&mut self.child)
    }

    /// Whether its log has a line with all texts.
    pub fn has_logged(&self, texts: &[&str]) -> bool {
        let log = fs::read_to_string(&self.log_path).unwrap_or_default();
        log.lines().any(|line| texts.iter().all(|text| line.contains(text)))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // It may have ended before.
        let _ = self.child.kill();
        let _ = self.wait();
    }
}

/// Kills all processes of this run that have not been waited for.
pub fn end_all() {
    for pid in lock(&RUNNING).drain(..) {
        if let Err(e) = signal(pid, "KILL") {
            eprintln!("{pid}: {e}");
        }
    }
}

/// Whether a process runs.
fn is_alive(child: &mut Child) -> bool {
    matches!(child.try_wait(), Ok(None))
}

/// Sends a signal by name to a process of this run.
///
/// # Errors
///
/// Returns an error if it cannot be sent.
pub fn signal(pid: u32, name: &str) -> io::Result<()> {
    let script = format!("kill -{name} {pid}");
    let status = Command::new("/bin/sh").args(["-c", &script]).status()?;
    if status.success() { Ok(()) } else { Err(io::Error::other("signal not sent")) }
}

fn spawn(address: IpAddr, settings_path: &Path, log_path: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log_path)?;
    let metrics = SocketAddr::new(address, METRICS_PORT);
    let child = Command::new("target/release/chervilspur-gateway")
        .args(["--metrics", &metrics.to_string()])
        .env_clear()
        .env("CHERVILSPUR_NODE_FILE", settings_path)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    lock(&RUNNING).push(child.id());
    Ok(child)
}

/// The limit of open files of this process.
pub fn open_files_limit() -> Option<u64> {
    let limits = fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    match line.split_whitespace().next()? {
        "unlimited" => Some(u64::MAX),
        limit => limit.parse().ok(),
    }
}
