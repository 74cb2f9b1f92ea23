//! The gateway as a process, started with the command of the deploy file.

use std::fs::{self, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = "target/release/chervilspur-gateway";

const MAX_STARTS: usize = 5;
const START_LIMIT: Duration = Duration::from_secs(5);

/// A free address of the loopback range.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

fn spawn(settings: &Path, metrics: SocketAddr, log: &Path) -> io::Result<Child> {
    let log = OpenOptions::new().create(true).append(true).open(log)?;
    Command::new(PROGRAM)
        .args(["--metrics", &metrics.to_string()])
        .env("CHERVILSPUR_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
}

/// A gateway process; killed when this value is dropped.
#[derive(Debug)]
pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    pub ready: SocketAddr,
    metrics: SocketAddr,
    child: Child,
    settings: PathBuf,
    /// Where its log is written.
    pub log: PathBuf,
}

impl Gateway {
    /// Starts a gateway of the zone `z1` whose store is at `store`, and waits until it listens.
    pub fn start(name: &str, store: SocketAddr, folder: &Path) -> io::Result<Gateway> {
        Gateway::start_in(("z1", "r1"), name, store, folder)
    }

    /// Starts a gateway of a zone and region: `z1` in `r1`, or `z2` in `r2`.
    pub fn start_in(
        place: (&str, &str),
        name: &str,
        store: SocketAddr,
        folder: &Path,
    ) -> io::Result<Gateway> {
        // Another process may take a port between its choice and its use.
        for _ in 0..MAX_STARTS {
            let mut gateway = Gateway::start_once(place, name, store, folder)?;
            let limit = Instant::now() + START_LIMIT;
            while Instant::now() < limit && gateway.child.try_wait()?.is_none() {
                if TcpStream::connect(gateway.ready).is_ok() {
                    return Ok(gateway);
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        Err(io::Error::other(format!("{name} does not start")))
    }

    /// Starts a gateway with the settings of a small deployment.
    fn start_once(
        (zone, region): (&str, &str),
        name: &str,
        store: SocketAddr,
        folder: &Path,
    ) -> io::Result<Gateway> {
        let (address, ready) = (free_address()?, free_address()?);
        let (peers, metrics) = (free_address()?, free_address()?);
        let settings = format!(
            "node={name}\nrole=gateway\nmachine_class=front\nserves=front\nip_address=127.0.0.1\n\
             zone={zone}\nregion={region}\nzones.z1=r1\nzones.z2=r2\nlisten.front={address}\nlisten.ready={ready}\n\
             internal_ports={port},{port}\nseeds=\nfirst_start=true\nloss_counts=false\n\
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
             platform.history_s=20\nplatform.value_bytes=1048576\nplatform.minimum_ttl_ms=1000\n",
            port = peers.port(),
        );
        let path = folder.join(format!("{name}.conf"));
        fs::write(&path, settings)?;
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&path, metrics, &log)?;
        Ok(Gateway { name: name.to_owned(), address, ready, metrics, child, settings: path, log })
    }

    /// Kills its process (SIGKILL).
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }

    /// Starts its process again, with the same settings.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.child = spawn(&self.settings, self.metrics, &self.log)?;
        Ok(())
    }

    /// The memory that its process occupies, in bytes; 0 if it has ended.
    pub fn memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
        kib.map_or(0, |kib: u64| kib * 1_024)
    }

    /// Sends it a signal by its name, such as `STOP`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let command = format!("kill -s {name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &command]).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other(format!("kill: {status}"))) }
    }

    /// Whether it says that it is ready, as the platform asks it.
    pub fn is_ready(&self) -> bool {
        let answer = || -> io::Result<String> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text)
        };
        answer().is_ok_and(|text| text.starts_with("HTTP/1.1 200"))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
