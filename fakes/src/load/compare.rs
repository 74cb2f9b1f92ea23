use crate::run::{LoadConfig, Measurement, run};
use fakes::InstanceKind::{Daemon, Engine};
use fakes::{Caller, Member, Process, Site, build_programs, simple_lists};
use serde::Serialize;
use std::fs;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use utils::sha256_hex;

const KEY: &str = "key-of-the-load";
const LOCATION: &str = "valle-aburra/aburra-norte";
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The token rate of the engine is independent of its load, so that the difference between both runs
/// is due to the daemon.
const ENGINE_ARGS: [&str; 6] = ["--token-ms", "40", "--batch-percent", "0", "--slots", "2048"];

/// The memory and thread count of a process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ResourceUsage {
    /// The resident set size, in kibibytes.
    pub resident_kb: u64,
    /// The number of threads.
    pub threads: u64,
}

/// The results of the same streams sent directly to an engine and through a daemon.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Directly to the engine.
    pub straight: Measurement,
    /// Through the daemon.
    pub through_daemon: Measurement,
    /// The resource usage of the daemon before the run.
    pub idle: ResourceUsage,
    /// The highest resource usage of the daemon during the run.
    pub peak: ResourceUsage,
}

/// Starts an engine and a daemon, and sends the streams to the engine, then to the daemon.
pub fn compare(cfg: &LoadConfig) -> io::Result<Comparison> {
    build_programs()?;
    let members = [
        Member::new("daemon-1", Daemon, LOCATION, &["--log-level", "error"]),
        Member::new("engine-1", Engine, LOCATION, &ENGINE_ARGS),
    ];
    let site = Site::start(&simple_lists(&sha256_hex(KEY)), &members)?;
    let caller = |name: &str| Caller {
        address: site.address(name),
        key: KEY.to_string(),
        class: "plan".to_string(),
    };
    let straight = run(&caller("engine-1"), cfg);
    let daemon = site.process("daemon-1");
    let idle = resource_usage(daemon)?;
    let (through_daemon, peak) = measure_peak(daemon, || run(&caller("daemon-1"), cfg))?;
    Ok(Comparison { straight, through_daemon, idle, peak })
}

/// Runs `work` and returns its result with the highest resource usage of the process meanwhile.
fn measure_peak<T>(process: &Process, work: impl FnOnce() -> T) -> io::Result<(T, ResourceUsage)> {
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        let sampler = scope.spawn(|| {
            let mut peak = ResourceUsage::default();
            while !done.load(Ordering::Relaxed) {
                let now = resource_usage(process)?;
                peak.resident_kb = peak.resident_kb.max(now.resident_kb);
                peak.threads = peak.threads.max(now.threads);
                thread::sleep(SAMPLE_INTERVAL);
            }
            Ok(peak)
        });
        let result = work();
        done.store(true, Ordering::Relaxed);
        let peak = sampler.join().unwrap_or_else(|_| {
            Err(io::Error::other("the thread that samples the resource usage panicked"))
        });
        peak.map(|peak| (result, peak))
    })
}

fn resource_usage(process: &Process) -> io::Result<ResourceUsage> {
    let text = fs::read_to_string(format!("/proc/{}/status", process.id()))?;
    let field = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    };
    Ok(ResourceUsage { resident_kb: field("VmRSS:"), threads: field("Threads:") })
}
