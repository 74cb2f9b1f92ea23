//! Runs the router on one machine: the stand-ins, and daemons in two data centres.
//!
//! `cargo run --release --example local` sends sample requests and then keeps serving; with
//! `--once` it exits after the samples, with status 0 only if all held.

mod samples;

use argh::FromArgs;
use config::{Grants, Lists, Plans};
use fakes::InstanceKind::{Daemon, Engine, Service};
use fakes::{InstanceKind, Member, Site, build_programs};
use samples::{SAMPLES, Sample, key_of};
use std::error::Error;
use std::process::ExitCode;
use std::thread;

const PLANS: &str = include_str!("../lists/plans.toml");
const GRANTS: &str = include_str!("../lists/grants.toml");

const QUIET: &[&str] = &["--log-level", "warn"];

const MEMBERS: [(&str, InstanceKind, &str, &[&str]); 8] = [
    ("daemon-norte-1", Daemon, "valle-aburra/aburra-norte", QUIET),
    ("daemon-norte-2", Daemon, "valle-aburra/aburra-norte", QUIET),
    ("engine-norte-1", Engine, "valle-aburra/aburra-norte", &["--model", "campo-8b", "--pauses"]),
    ("engine-norte-2", Engine, "valle-aburra/aburra-norte", &["--model", "campo-8b", "--pauses"]),
    ("booking-norte-1", Service, "valle-aburra/aburra-norte", &["--name", "booking"]),
    ("daemon-rionegro-1", Daemon, "oriente/rionegro", QUIET),
    ("engine-rionegro-1", Engine, "oriente/rionegro", &["--model", "logbook-4b", "--pauses"]),
    ("booking-rionegro-1", Service, "oriente/rionegro", &["--name", "booking"]),
];

/// Runs the router with its stand-ins on free loopback ports.
#[derive(FromArgs)]
struct Args {
    /// exit after the samples, with status 0 only if all held
    #[argh(switch)]
    once: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(&args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("local: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<bool, Box<dyn Error>> {
    println!("building the programs");
    build_programs()?;
    let plans: Plans = toml::from_str(PLANS)?;
    let grants: Grants = toml::from_str(GRANTS)?;
    let lists = Lists { plans, grants };
    let members = MEMBERS.map(|(name, kind, place, args)| Member::new(name, kind, place, args));
    let site = Site::start(&serde_json::to_value(&lists)?, &members)?;
    print_processes(&site);
    let mut held = true;
    for sample in &SAMPLES {
        held &= report(&site, &lists, sample);
    }
    println!("{}", if held { "all samples held" } else { "NOT all samples held" });
    if !args.once {
        print_commands(&site);
        // The processes serve until this one is ended, and end with it.
        loop {
            thread::park();
        }
    }
    Ok(held)
}

fn print_processes(site: &Site) {
    println!("object API {}, instance list {}", site.store.address, site.instances.address);
    for (name, ..) in MEMBERS {
        println!("{name} {}", site.address(name));
    }
}

fn report(site: &Site, lists: &Lists, sample: &Sample) -> bool {
    let Some(class) = lists.grants.classes.get(sample.class) else {
        println!("\nclass {} is not in the lists", sample.class);
        return false;
    };
    let result = samples::send(site, sample, class);
    println!("\n{} for {}", sample.class, sample.account);
    println!("  path    {}", result.path.join(" -> "));
    println!("  answer  {}", result.answer);
    println!("  target  {:?}", class.target);
    println!("  took    {}", result.took);
    println!("  {}", if result.held { "held" } else { "NOT held" });
    result.held
}

fn print_commands(site: &Site) {
    let (daemon, key) = (site.address("daemon-norte-1"), key_of("medellin-sur"));
    println!("\nto try, from another terminal:");
    println!("curl -N http://{daemon}/v1/chat/completions -H 'authorization: Bearer {key}' \\");
    println!("  -H 'x-request-class: plan' -H 'content-type: application/json' \\");
    println!(
        "  -d '{{\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"Hello\"}}]}}'"
    );
    println!("curl http://{daemon}/readyz -i");
    println!("end with Ctrl-C");
}
