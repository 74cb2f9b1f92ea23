//! The settings of a day name the port for other processes that the deploy file gives to the metrics.

use standins_3::case;
use standins_3::client::{is_ready, request};
use standins_3::config;
use standins_3::gateway::{Gateway, METRICS_PORT};
use standins_3::record::Record;
use standins_3::runner::{Answers, Runner};
use standins_3::store::Store;
use std::fs;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

/// The number of machines.
const MACHINES: usize = 2;
/// How long the processes are observed.
const TIME: Duration = Duration::from_secs(38);
/// Delay before the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

struct Machine {
    gateway: Gateway,
    ends: u32,
    was_ready: bool,
}

fn main() -> ExitCode {
    case::run(play)
}

fn play(record: &Record, scratch: &Path, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start()?;
    store.put("config", "main", &config::configuration(1));
    let runner = Runner::start("i-1", Answers::default())?;
    runner.register(&store, "pool");
    let first = if has_trouble { METRICS_PORT } else { METRICS_PORT - 5 };
    let mut machines = Vec::new();
    for number in 1..=MACHINES {
        let name = format!("front-{number}");
        // It starts on an address on which all these ports are free.
        let gateway = Gateway::start_at(&name, "aburra-norte", store.address, scratch, "", first)?;
        let (front, ready) = (gateway.front, gateway.ready);
        record.line(&format!(
            "{name}: started, front {front}, ready {ready}, internal ports {first} and up"
        ));
        machines.push(Machine { gateway, ends: 0, was_ready: false });
    }
    observe(record, &mut machines)?;
    for Machine { gateway, ends, was_ready } in &machines {
        let log = fs::read_to_string(&gateway.log_path)?;
        for line in log.lines().filter(|line| line.starts_with("chervilspur-gateway:")) {
            record.quiet(&format!("{}: {line}", gateway.name));
        }
        record.line(&format!(
            "{}: {ends} ends of the process by itself, ready at some time: {was_ready}",
            gateway.name
        ));
    }
    let is_kept = machines.iter().all(|machine| machine.was_ready);
    record.line(&format!("{} requests ran", runner.runs().len()));
    record.line(if is_kept {
        "held: the program started on all machines"
    } else {
        "BROKEN: the program did not start"
    });
    Ok(is_kept)
}

/// Observes the machines, and starts processes again that have ended.
fn observe(record: &Record, machines: &mut [Machine]) -> io::Result<()> {
    let started = Instant::now();
    let mut round = 0;
    while started.elapsed() < TIME {
        thread::sleep(Duration::from_millis(500));
        round += 1;
        for Machine { gateway, ends, was_ready } in &mut *machines {
            *was_ready |= is_ready(gateway.ready);
            if round % 4 == 0 {
                let id = format!("{}-{round}", gateway.name);
                let answer = request(gateway.front, "/safe/1", &id, b"q", Duration::from_secs(1));
                let text = match answer {
                    Ok(Some(answer)) => answer.start,
                    Ok(None) => String::from("channel closed without an answer"),
                    Err(e) => e.to_string(),
                };
                record.quiet(&format!("{id}: {text}"));
            }
            if !gateway.is_alive() {
                let status = gateway.wait()?;
                *ends += 1;
                record.line(&format!("{}: the process ended by itself, {status}", gateway.name));
                thread::sleep(RESTART_DELAY);
                gateway.start_again()?;
            }
        }
    }
    Ok(())
}
