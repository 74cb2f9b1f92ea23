//! Cases about the memory of gateway processes. The platform kills a process that exceeds
//! `limits.memory_mb` and starts it again.

use crate::case;
use crate::client::{is_ready, request, wait_until_ready};
use crate::config;
use crate::gateway::Gateway;
use crate::lock;
use crate::record::Record;
use crate::runner::{Answers, Runner};
use crate::store::Store;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The `limits.memory_mb` of the machines of the site agenda-campo.
const MEMORY_MB: u64 = 110;
/// Rounds of the disruption at each machine.
const ROUNDS: u64 = 4;
/// Machines in use. The rule wants a tenth of them, two at least.
const MACHINES: usize = 2;
/// Ends of a process on one machine that break the rule.
const MAX_ENDS: u64 = 3;
/// The platform measures the memory of a process this often.
const MEASURE_INTERVAL: Duration = Duration::from_millis(10);
/// Delay before the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// A machine with its process.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    gateway: Arc<Mutex<Gateway>>,
    ends: Arc<AtomicU64>,
    peak_kb: Arc<AtomicU64>,
}

impl Machine {
    fn start(name: &str, store: SocketAddr, folder: &Path) -> io::Result<Machine> {
        // The last line of a key counts.
        let memory = format!("limits.memory_mb={MEMORY_MB}\n");
        let gateway = Gateway::start(name, "aburra-norte", store, folder, &memory)?;
        let (front, ready) = (gateway.front, gateway.ready);
        let (ends, peak_kb) = (Arc::default(), Arc::default());
        let gateway = Arc::new(Mutex::new(gateway));
        let name = name.to_owned();
        Ok(Machine { name, front, ready, gateway, ends, peak_kb })
    }

    /// Kills the process when it exceeds its memory, and starts it again after its end.
    fn supervise(&self, record: &Record, is_over: &AtomicBool) -> io::Result<()> {
        while !is_over.load(Ordering::Relaxed) {
            thread::sleep(MEASURE_INTERVAL);
            let mut gateway = lock(&self.gateway);
            let kb = gateway.status_kb("VmRSS").unwrap_or(0);
            self.peak_kb.fetch_max(kb, Ordering::Relaxed);
            let is_over_limit = kb > MEMORY_MB * 1024;
            if is_over_limit {
                record.line(&format!(
                    "{}: process has {kb} kB in memory, limit {} kB: killed",
                    self.name,
                    MEMORY_MB * 1024
                ));
                gateway.child.kill()?;
            } else if gateway.is_alive() {
                continue;
            } else {
                record.line(&format!("{}: process ended by itself", self.name));
            }
            gateway.wait()?;
            self.ends.fetch_add(1, Ordering::Relaxed);
            thread::sleep(RESTART_DELAY);
            gateway.start_again()?;
        }
        Ok(())
    }
}

/// Sends an ordinary request to a machine twice a second, and counts those without an answer.
fn send_ordinary(machine: &Machine, record: &Record, is_over: &AtomicBool) -> (u32, u32) {
    let (mut sent, mut unanswered) = (0, 0);
    while !is_over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(500));
        sent += 1;
        let id = format!("{}-ordinary-{sent}", machine.name);
        let answer = request(machine.front, "/safe/1", &id, b"q", Duration::from_secs(2));
        let text = match &answer {
            Ok(Some(answer)) if answer.is_complete => answer.start.clone(),
            Ok(_) => String::from("channel closed without an answer"),
            Err(e) => e.to_string(),
        };
        record.quiet(&format!("{id}: {text}"));
        unanswered += u32::from(!matches!(&answer, Ok(Some(answer)) if answer.is_complete));
    }
    (sent, unanswered)
}

/// Sends the requests of one round to a machine; the last argument says whether with the disruption.
type Disrupt = fn(&Machine, u64, &Record, bool) -> io::Result<()>;

/// Runs a case.
pub fn run(disrupt: Disrupt) -> ExitCode {
    case::run(|record, scratch, has_trouble| play(record, scratch, has_trouble, disrupt))
}

fn play(record: &Record, scratch: &Path, has_trouble: bool, disrupt: Disrupt) -> io::Result<bool> {
    let store = Store::start()?;
    store.put("config", "main", &config::configuration(1));
    let runner = Runner::start("i-1", Answers::default())?;
    runner.register(&store, "pool");
    let machines: Vec<Machine> = (1..=MACHINES)
        .map(|number| format!("front-{number}"))
        .map(|name| Machine::start(&name, store.address, scratch))
        .collect::<io::Result<_>>()?;
    for machine in &machines {
        if !wait_until_ready(machine.ready, Duration::from_secs(15)) {
            return Err(io::Error::other(format!("{} is not ready", machine.name)));
        }
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let mut supervisors: Vec<JoinHandle<io::Result<()>>> = Vec::new();
    let mut callers: Vec<JoinHandle<(u32, u32)>> = Vec::new();
    for machine in &machines {
        let (m, r, o) = (machine.clone(), record.clone(), is_over.clone());
        supervisors.push(thread::spawn(move || m.supervise(&r, &o)));
        let (m, r, o) = (machine.clone(), record.clone(), is_over.clone());
        callers.push(thread::spawn(move || send_ordinary(&m, &r, &o)));
    }
    let started = Instant::now();
    for round in 1..=ROUNDS {
        for machine in &machines {
            if let Err(e) = disrupt(machine, round, record, has_trouble) {
                record.line(&format!("{} round {round}: client got: {e}", machine.name));
            }
            thread::sleep(Duration::from_millis(1_500));
            if !wait_until_ready(machine.ready, Duration::from_secs(10)) {
                record.line(&format!("{} is not ready again", machine.name));
            }
        }
    }
    thread::sleep(Duration::from_secs(1));
    let ready = machines.iter().filter(|machine| is_ready(machine.ready)).count();
    is_over.store(true, Ordering::Relaxed);
    for supervisor in supervisors {
        supervisor.join().map_err(|_| io::Error::other("a thread panicked"))??;
    }
    for (machine, caller) in machines.iter().zip(callers) {
        let (sent, unanswered) =
            caller.join().map_err(|_| io::Error::other("a thread panicked"))?;
        record.line(&format!(
            "{}: {} ends of the process, peak {} kB (limit {} kB); ordinary requests: {sent} sent, \
             {unanswered} without a complete answer",
            machine.name,
            machine.ends.load(Ordering::Relaxed),
            machine.peak_kb.load(Ordering::Relaxed),
            MEMORY_MB * 1024,
        ));
    }
    record.line(&format!(
        "{ready} of {MACHINES} machines ready at the end, {} requests ran, {:.1} s",
        runner.runs().len(),
        started.elapsed().as_secs_f64()
    ));
    let broken = machines.iter().filter(|m| m.ends.load(Ordering::Relaxed) >= MAX_ENDS).count();
    let is_kept = broken < MACHINES;
    record.line(if is_kept {
        "held: fewer than two machines with three ends of their process"
    } else {
        "BROKEN: on two machines the process ended three times"
    });
    Ok(is_kept)
}
