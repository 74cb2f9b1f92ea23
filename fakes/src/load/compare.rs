use crate::run::{Measured, Plan, run};
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
const PLACE: &str = "valle-aburra/aburra-norte";
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The stand-in's pace does not depend on the load, so that the difference is the daemon's.
const ENGINE_ARGS: [&str; 6] = ["--token-ms", "40", "--batch-percent", "0", "--slots", "2048"];

/// The memory and the threads of a process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Footprint {
    /// Resident memory, in kilobytes.
    pub resident_kb: u64,
    /// Threads.
    pub threads: u64,
}

/// The same streams straight to an engine and through a daemon.
#[derive(Clone, Debug, Serialize)]
pub struct Compared {
    /// Straight to the engine.
    pub straight: Measured,
    /// Through the daemon.
    pub through_daemon: Measured,
    /// The daemon before the run.
    pub idle: Footprint,
    /// The largest values of the daemon during the run.
    pub peak: Footprint,
}

/// Starts an engine and a daemon, and sends the streams one way and the other.
pub fn compare(plan: &Plan) -> io::Result<Compared> {
    build_programs()?;
    let members = [
        Member::new("daemon-1", Daemon, PLACE, &["--log-level", "error"]),
        Member::new("engine-1", Engine, PLACE, &ENGINE_ARGS),
    ];
    let site = Site::start(&simple_lists(&sha256_hex(KEY)), &members)?;
    let caller = |name: &str| Caller {
        address: site.address(name),
        key: KEY.to_string(),
        class: "plan".to_string(),
    };
    let straight = run(&caller("engine-1"), plan);
    let daemon = site.process("daemon-1");
    let idle = footprint(daemon)?;
    let (through_daemon, peak) = watch(daemon, || run(&caller("daemon-1"), plan))?;
    Ok(Compared { straight, through_daemon, idle, peak })
}

/// Does the work and returns the largest footprint of the process meanwhile.
fn watch<T>(process: &Process, work: impl FnOnce() -> T) -> io::Result<(T, Footprint)> {
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        let watcher = scope.spawn(|| {
            let mut peak = Footprint::default();
            while !done.load(Ordering::Relaxed) {
                let now = footprint(process)?;
                peak.resident_kb = peak.resident_kb.max(now.resident_kb);
                peak.threads = peak.threads.max(now.threads);
                thread::sleep(SAMPLE_INTERVAL);
            }
            Ok(peak)
        });
        let result = work();
        done.store(true, Ordering::Relaxed);
        let peak = watcher.join().unwrap_or_else(|_| Err(io::Error::other("the watcher failed")));
        peak.map(|peak| (result, peak))
    })
}

fn footprint(process: &Process) -> io::Result<Footprint> {
    let text = fs::read_to_string(format!("/proc/{}/status", process.id()))?;
    let field = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    };
    Ok(Footprint { resident_kb: field("VmRSS:"), threads: field("Threads:") })
}
