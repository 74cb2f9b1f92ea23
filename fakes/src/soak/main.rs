//! A randomised soak: real gateway processes between stand-ins, with faults from outside, and the
//! promises checked from what clients and endpoints saw.

mod check;
mod clients;
mod faults;
mod site;

use argh::FromArgs;
use std::process::ExitCode;

/// Runs seeded soaks of the gateway and checks what it promises.
#[derive(FromArgs)]
struct Flags {
    /// first seed
    #[argh(option, default = "1")]
    first_seed: u64,

    /// number of seeds
    #[argh(option, default = "1")]
    seeds: u64,

    /// length of each run, in seconds
    #[argh(option, default = "8")]
    seconds: u64,

    /// gateways in each run
    #[argh(option, default = "2")]
    gateways: usize,

    /// clients in each run
    #[argh(option, default = "8")]
    clients: usize,
}

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    let mut failed = 0;
    for seed in flags.first_seed..flags.first_seed + flags.seeds {
        match site::soak(seed, flags.seconds, flags.gateways, flags.clients) {
            Ok(summary) => println!("seed {seed}: {summary}"),
            Err(text) => {
                failed += 1;
                println!("seed {seed}: BROKEN: {text}");
            }
        }
    }
    println!("{} passed, {failed} failed", flags.seeds - failed);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
