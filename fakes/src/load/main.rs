//! Sends concurrent streams and measures the time to the first token, the time between tokens and
//! refusals.
//!
//! `run` sends to an address; `compare` starts its own engine and daemon and measures the overhead
//! of the daemon.

mod compare;
mod run;

use argh::FromArgs;
use compare::{Comparison, compare};
use fakes::Caller;
use run::{LoadConfig, Measurement, run};
use std::io;
use std::net::SocketAddr;

/// Send concurrent streams and measure their latency.
#[derive(FromArgs)]
struct Args {
    /// number of concurrent streams
    #[argh(option, default = "1")]
    streams: usize,
    /// measured requests per stream, sent one after another
    #[argh(option, default = "1")]
    rounds: usize,
    /// unmeasured requests per stream before the measured ones
    #[argh(option, default = "1")]
    warm_up: usize,
    /// maximum number of tokens of a completion
    #[argh(option, default = "16")]
    max_tokens: u64,
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(Run),
    Compare(Compare),
}

/// send to a daemon, or directly to an engine
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// address of the daemon or of the engine
    #[argh(positional)]
    address: SocketAddr,
    /// key of the client account
    #[argh(option, default = "String::new()")]
    key: String,
    /// request class
    #[argh(option, default = "String::from(\"plan\")")]
    class: String,
}

/// send directly to an engine and through a daemon, both started by this program
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct Compare {}

fn main() -> io::Result<()> {
    let args: Args = argh::from_env();
    let cfg = LoadConfig {
        streams: args.streams,
        rounds: args.rounds,
        warm_up: args.warm_up,
        max_tokens: args.max_tokens,
    };
    match args.command {
        Command::Run(to) => {
            let caller = Caller { address: to.address, key: to.key, class: to.class };
            let measured = run(&caller, &cfg);
            if args.json {
                return print_json(&measured);
            }
            print_table(&[("run", &measured)]);
        }
        Command::Compare(_) => {
            let compared = compare(&cfg)?;
            if args.json {
                return print_json(&compared);
            }
            print_comparison(&compared);
        }
    }
    Ok(())
}

fn print_json<T: serde::Serialize>(value: &T) -> io::Result<()> {
    println!("{}", serde_json::to_string(value)?);
    Ok(())
}

fn print_table(rows: &[(&str, &Measurement)]) {
    println!(
        "| path | streams | attempted | answered | refused | first token median, p99 ms | between tokens median, p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (path, m) in rows {
        let (first, between) = (m.first_token, m.between_tokens);
        println!(
            "| {path} | {} | {} | {} | {} | {:.2}, {:.2} | {:.2}, {:.2} |",
            m.streams,
            m.attempted,
            m.answered,
            m.refused,
            first.median_ms,
            first.p99_ms,
            between.median_ms,
            between.p99_ms
        );
    }
}

fn print_comparison(compared: &Comparison) {
    let Comparison { straight, through_daemon, idle, peak } = compared;
    print_table(&[("straight", straight), ("through daemon", through_daemon)]);
    let (first, base) = (through_daemon.first_token, straight.first_token);
    println!(
        "\nadded first token: median {:.2} ms, p99 {:.2} ms",
        first.median_ms - base.median_ms,
        first.p99_ms - base.p99_ms
    );
    let streams = through_daemon.streams as f64;
    println!(
        "daemon: {} KB and {} threads idle, {} KB and {} threads at the peak: {:.1} KB and {:.2} \
         threads per stream",
        idle.resident_kb,
        idle.threads,
        peak.resident_kb,
        peak.threads,
        peak.resident_kb.saturating_sub(idle.resident_kb) as f64 / streams,
        peak.threads.saturating_sub(idle.threads) as f64 / streams
    );
}
