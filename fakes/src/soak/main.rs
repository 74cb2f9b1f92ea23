//! A randomised soak test: gateway processes between stand-ins, with injected faults. The guarantees
//! of the gateway are checked against what clients and endpoints observed.

mod check;
mod clients;
mod contact;
mod cuts;
mod departures;
mod faults;
mod objects;
mod odd;
mod outages;
mod prompts;
mod retries;
mod run;
mod versions;

use argh::FromArgs;
use clients::Load;
use retries::{Ends, RetryRun};
use run::Soak;
use std::process::ExitCode;

/// Run seeded soak tests of the gateway and check its guarantees.
#[derive(FromArgs)]
struct Flags {
    /// first seed
    #[argh(option, default = "1")]
    first_seed: u64,

    /// number of seeds
    #[argh(option, default = "1")]
    seeds: u64,

    /// duration of the faults in each run, in seconds
    #[argh(option, default = "8")]
    seconds: u64,

    /// number of gateways in each run
    #[argh(option, default = "2")]
    gateways: usize,

    /// number of clients in each run
    #[argh(option, default = "8")]
    clients: usize,

    /// send prompts, a part of which crashes endpoints, while one endpoint states a limit
    #[argh(switch)]
    prompts: bool,

    /// give endpoints several software versions, and kill all gateways at times
    #[argh(switch)]
    versions: bool,

    /// cut one gateway off from all endpoints at times; with --versions or by itself
    #[argh(switch)]
    cuts: bool,

    /// leave odd entries of other writers in the store, add routes by thousands, repeat refusals and
    /// continue streams wrongly; by itself
    #[argh(switch)]
    odd: bool,

    /// let the store turn single gateways away while the configuration and the registry change; by
    /// itself
    #[argh(switch)]
    outages: bool,

    /// with --outages, change the configuration in quick succession at times, while the store turns
    /// single gateways away with status 429 or 503
    #[argh(switch)]
    series: bool,

    /// send a request again and again that crashes endpoints
    #[argh(switch)]
    repetitions: bool,

    /// let endpoints fail most requests and count repeats, lost requests and processes that end by
    /// themselves, while gateways are ended in turn: none, kills or stops; by itself
    #[argh(option)]
    retries: Option<String>,
}

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    let load = match (flags.prompts, flags.repetitions, flags.versions) {
        (true, false, false) => Load::Prompts,
        (false, true, false) => Load::Repetitions,
        (false, false, true) => Load::Versions,
        (false, false, false) => Load::Plain,
        _ => {
            eprintln!("--prompts, --repetitions and --versions: choose one of them");
            return ExitCode::FAILURE;
        }
    };
    if flags.cuts && matches!(load, Load::Prompts | Load::Repetitions) {
        eprintln!("--cuts: cannot be used with --prompts or --repetitions");
        return ExitCode::FAILURE;
    }
    if flags.odd && (flags.cuts || load != Load::Plain) {
        eprintln!("--odd: cannot be used with --cuts, --prompts, --repetitions or --versions");
        return ExitCode::FAILURE;
    }
    if flags.outages && (flags.cuts || flags.odd || load != Load::Plain) {
        eprintln!("--outages: cannot be used with another kind of run");
        return ExitCode::FAILURE;
    }
    if flags.series && !flags.outages {
        eprintln!("--series: needs --outages");
        return ExitCode::FAILURE;
    }
    let ends = match flags.retries.as_deref().map(Ends::parse).transpose() {
        Ok(ends) => ends,
        Err(text) => {
            eprintln!("--retries: {text}");
            return ExitCode::FAILURE;
        }
    };
    let mut failed = 0;
    for seed in flags.first_seed..flags.first_seed + flags.seeds {
        let soak = Soak {
            seed,
            seconds: flags.seconds,
            gateways: flags.gateways,
            clients: flags.clients,
            load,
            has_cuts: flags.cuts,
            has_odd: flags.odd,
            has_outages: flags.outages,
            has_series: flags.series,
        };
        let Soak { seconds, gateways, clients, .. } = soak;
        let result = match ends {
            Some(ends) => RetryRun { seed, seconds, gateways, clients, ends }.run(),
            None => soak.run(),
        };
        match result {
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
