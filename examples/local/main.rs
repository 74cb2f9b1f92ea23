//! Runs the router on one host: a fake platform with fake engines and services, and daemons in two
//! data centres.
//!
//! `cargo run --release --example local` sends sample requests and then keeps serving. With
//! `--once` it exits after the samples, with status 0 only if each got the right response within its
//! target.

mod samples;

use argh::FromArgs;
use config::Lists;
use fakes::InstanceKind::{Daemon, Engine, Service};
use fakes::{InstanceKind, Member, Site, binary, build_programs};
use samples::{SAMPLES, Sample};
use std::error::Error;
use std::io;
use std::process::{Command, ExitCode};
use std::thread;

const PLANS: &str = include_str!("../lists/plans.toml");
const GRANTS: &str = include_str!("../lists/grants.toml");

const DAEMON_ARGS: &[&str] = &["--log-level", "warn"];

const MEMBERS: [(&str, InstanceKind, &str, &[&str]); 8] = [
    ("daemon-norte-1", Daemon, "valle-aburra/aburra-norte", DAEMON_ARGS),
    ("daemon-norte-2", Daemon, "valle-aburra/aburra-norte", DAEMON_ARGS),
    ("engine-norte-1", Engine, "valle-aburra/aburra-norte", &["--model", "campo-8b", "--pauses"]),
    ("engine-norte-2", Engine, "valle-aburra/aburra-norte", &["--model", "campo-8b", "--pauses"]),
    ("booking-norte-1", Service, "valle-aburra/aburra-norte", &["--name", "booking"]),
    ("daemon-rionegro-1", Daemon, "oriente/rionegro", DAEMON_ARGS),
    ("engine-rionegro-1", Engine, "oriente/rionegro", &["--model", "logbook-4b", "--pauses"]),
    ("booking-rionegro-1", Service, "oriente/rionegro", &["--name", "booking"]),
];

/// Runs the router with a fake platform, engines and services on free loopback ports.
#[derive(FromArgs)]
struct Args {
    /// exit after the samples, with status 0 only if each got the right response within its target
    #[argh(switch)]
    once: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let passed = run(&args).unwrap_or_else(|e| {
        eprintln!("local: {e}");
        false
    });
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn run(args: &Args) -> Result<bool, Box<dyn Error>> {
    println!("building the programs");
    build_programs()?;
    let lists = Lists { plans: toml::from_str(PLANS)?, grants: toml::from_str(GRANTS)? };
    let members =
        MEMBERS.map(|(name, kind, location, args)| Member::new(name, kind, location, args));
    let mut site = Site::start_platform()?;
    site.start_members(&members)?;
    apply_lists(&site)?;
    for name in site.names(Daemon) {
        site.wait_until_ready(name)?;
    }
    print_processes(&site);
    let mut passed = true;
    for sample in &SAMPLES {
        passed &= send_and_report(&site, &lists, sample);
    }
    println!("{}", if passed { "all samples held" } else { "NOT all samples held" });
    if !args.once {
        print_commands(&site)?;
        loop {
            thread::park();
        }
    }
    Ok(passed)
}

fn apply_lists(site: &Site) -> Result<(), Box<dyn Error>> {
    let lists = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/lists");
    let status = tool(site)?.args(["apply", "--base", "0", "--wait", lists]).status()?;
    if status.success() { Ok(()) } else { Err("chervilspur apply failed".into()) }
}

/// The command-line tool, with flags for the addresses of the platform.
fn tool(site: &Site) -> io::Result<Command> {
    let mut tool = Command::new(binary("chervilspur")?);
    tool.args(["--store", &site.store.address.to_string()]);
    tool.args(["--instances", &site.instances.address.to_string()]);
    Ok(tool)
}

fn print_processes(site: &Site) {
    println!("object API {}, instance list {}", site.store.address, site.instances.address);
    for (name, ..) in MEMBERS {
        println!("{name} {}", site.address(name));
    }
}

fn send_and_report(site: &Site, lists: &Lists, sample: &Sample) -> bool {
    let class = &lists.grants.classes[sample.class];
    let result = samples::send(site, sample, class);
    println!("\n{} for {}", sample.class, sample.account);
    println!("  path    {}", result.path.join(" -> "));
    println!("  answer  {}", result.response);
    println!("  target  {:?}", class.target);
    println!("  took    {}", result.timing);
    println!("  {}", if result.passed { "held" } else { "NOT held" });
    result.passed
}

fn print_commands(site: &Site) -> io::Result<()> {
    let daemon = site.address("daemon-norte-1");
    println!("\nto try, from another terminal:");
    println!("curl -N http://{daemon}/v1/chat/completions \\");
    println!("  -H 'authorization: Bearer key-medellin-sur' \\");
    println!("  -H 'x-request-class: plan' -H 'content-type: application/json' \\");
    println!(
        "  -d '{{\"stream\": true, \"messages\": [{{\"role\": \"user\", \"content\": \"Hi\"}}]}}'"
    );
    println!("{:?} status", tool(site)?);
    println!("end with Ctrl-C");
    Ok(())
}
