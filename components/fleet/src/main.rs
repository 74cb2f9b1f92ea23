//! Runs the measurements of a simulated fleet and prints their tables.

use argh::FromArgs;
use decision::Millis;
use decision::cluster::ClusterConfig;
use fleet::{
    ChangeTimes, CrashConfig, FleetConfig, StreamFaults, Table, bytes_per_cluster, measure_changes,
    measure_crashes, measure_deaths, measure_departure, measure_steady_traffic, measure_store_load,
    measure_streams, run_random_faults, slope, succession_table, update_table,
};
use std::thread;

const SIZES: [usize; 4] = [7, 30, 90, 360];
/// Number of cases measured in parallel.
const WORKERS: usize = 4;
/// Number of client accounts in the lists.
const ACCOUNTS: usize = 7_800;
/// Packet loss per thousand, and whether a tenth of the daemons is replaced.
const CHANGE_CASES: [(u32, bool); 5] =
    [(0, false), (50, false), (200, false), (50, true), (200, true)];
/// Packet loss per thousand, and the length of the pauses in milliseconds.
const DEATH_CASES: [(u32, u64); 6] =
    [(0, 0), (50, 0), (200, 0), (50, 1_000), (50, 3_000), (50, 10_000)];
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// Simulates a fleet of cluster state machines and prints tables of the results.
#[derive(FromArgs)]
struct Args {
    /// the measurement: change, steady, death, store, memory, crashes, streams, configuration,
    /// succession, random or all
    #[argh(positional, default = "String::from(\"all\")")]
    what: String,
    /// number of randomised runs, each with its own seed
    #[argh(option, default = "1000")]
    seeds: u64,
    /// seed of the first randomised run; the others follow it
    #[argh(option, default = "1")]
    first_seed: u64,
    /// number of daemons in the randomised runs
    #[argh(option, default = "9")]
    size: usize,
    /// largest number of daemons to measure
    #[argh(option, default = "360")]
    largest: usize,
}

fn main() {
    let args: Args = argh::from_env();
    let sizes: Vec<usize> = SIZES.into_iter().filter(|size| *size <= args.largest).collect();
    let all = args.what == "all";
    if all || args.what == "memory" {
        print_memory();
    }
    if all || args.what == "change" {
        print_changes(&sizes);
    }
    if all || args.what == "steady" {
        print_steady(&sizes);
    }
    if all || args.what == "death" {
        print_deaths(&sizes);
    }
    if all || args.what == "store" {
        print_store(&sizes);
    }
    if all || args.what == "crashes" {
        print_crashes(false);
        print_crashes(true);
        print_departures();
    }
    if all || args.what == "streams" {
        print_streams();
    }
    if all || args.what == "configuration" {
        println!("{}", update_table());
    }
    if all || args.what == "succession" {
        println!("{}", succession_table());
    }
    if all || args.what == "random" {
        for seed in args.first_seed..args.first_seed + args.seeds {
            run_random_faults(args.size, seed);
        }
        println!("\n{} randomised runs of {} daemons held", args.seeds, args.size);
    }
}

fn print_streams() {
    let faults = [
        StreamFaults::Interruptions,
        StreamFaults::AllKilled,
        StreamFaults::HalfCutOff,
        StreamFaults::StoreAway,
    ];
    println!(
        "\nStreams that clients continue while endpoints of several software versions serve\n"
    );
    for daemons in [7, 80, 300] {
        for faults in faults {
            let result = measure_streams(daemons, faults, 1);
            println!("{daemons} daemons, {faults:?}: {result:?}");
        }
    }
}

/// Measures the cases, [`WORKERS`] at a time, and returns the results in the order of the cases.
fn measure_all<C: Copy + Sync, R: Send>(cases: &[C], measure: impl Fn(C) -> R + Sync) -> Vec<R> {
    let mut results = Vec::new();
    for group in cases.chunks(WORKERS) {
        results.extend(thread::scope(|scope| {
            let workers: Vec<_> = group
                .iter()
                .map(|case| {
                    let measure = &measure;
                    scope.spawn(move || measure(*case))
                })
                .collect();
            workers
                .into_iter()
                .map(|w| w.join().expect("measurement of a case panicked"))
                .collect::<Vec<R>>()
        }));
    }
    results
}

fn config(size: usize, loss_permille: u32, seed: u64) -> FleetConfig {
    let cluster = ClusterConfig::default();
    FleetConfig { size, loss_permille, seed, cluster, ..FleetConfig::default() }
}

fn print_changes(sizes: &[usize]) {
    let header = [
        "daemons",
        "loss %",
        "replaced",
        "median ms",
        "95 % ms",
        "worst ms",
        "fresh, worst ms",
        "missed",
    ];
    let mut table = Table::new("Time until a change is in force in each live daemon", &header);
    let cases: Vec<_> = sizes
        .iter()
        .flat_map(|size| CHANGE_CASES.map(|(loss, replaced)| (*size, loss, replaced)))
        .flat_map(|(size, loss, replaced)| SEEDS.map(move |seed| (size, loss, replaced, seed)))
        .collect();
    let results = measure_all(&cases, |(size, loss, replaced, seed)| {
        measure_changes(config(size, loss, seed), ACCOUNTS, 4, replaced)
    });
    let seeds = SEEDS.count();
    for (case, results) in cases.chunks(seeds).zip(results.chunks(seeds)) {
        let (size, loss, replaced, _) = case[0];
        let mut all = ChangeTimes::default();
        for change in results {
            all.running.extend(&change.running);
            all.started_later.extend(&change.started_later);
            all.missed += change.missed;
        }
        table.row(&[
            size.to_string(),
            (loss / 10).to_string(),
            if replaced { "10 %" } else { "none" }.to_string(),
            all.running.percentile(50).0.to_string(),
            all.running.percentile(95).0.to_string(),
            all.running.percentile(100).0.to_string(),
            all.started_later.percentile(100).0.to_string(),
            all.missed.to_string(),
        ]);
    }
    println!("{table}");
}

fn print_steady(sizes: &[usize]) {
    let header = [
        "daemons",
        "loss %",
        "values/s in a data centre",
        "packets/s sent",
        "bytes/s sent",
        "bytes/s sent and received",
        "µs a packet",
        "µs a tick",
        "% of a core",
        "largest packet",
        "bytes/s between regions, fleet",
    ];
    let mut table = Table::new("Steady traffic of one daemon, a change every 19 s", &header);
    for size in sizes {
        for (loss, values) in [(0, 0), (50, 0), (50, 4), (50, 16)] {
            let (traffic, time) =
                measure_steady_traffic(config(*size, loss, 1), ACCOUNTS, values, 57);
            let seconds = time.0 as f64 / 1_000.0;
            let daemon_seconds = *size as f64 * seconds;
            let packet_us = traffic.packet_time.as_secs_f64() * 1e6 / traffic.packets as f64;
            let tick_us = traffic.tick_time.as_secs_f64() * 1e6 / traffic.ticks as f64;
            let busy = (traffic.packet_time + traffic.tick_time).as_secs_f64() / daemon_seconds;
            let sent = traffic.bytes as f64 / daemon_seconds;
            table.row(&[
                size.to_string(),
                (loss / 10).to_string(),
                values.to_string(),
                format!("{:.1}", traffic.packets as f64 / daemon_seconds),
                format!("{sent:.0}"),
                format!("{:.0}", sent * (2.0 - f64::from(loss) / 1_000.0)),
                format!("{packet_us:.1}"),
                format!("{tick_us:.1}"),
                format!("{:.3}", busy * 100.0),
                traffic.largest.to_string(),
                format!("{:.0}", traffic.link_bytes as f64 / seconds),
            ]);
        }
    }
    println!("{table}");
}

fn print_deaths(sizes: &[usize]) {
    let header = [
        "daemons",
        "loss %",
        "pause ms",
        "known in the data centre, median ms",
        "worst ms",
        "known elsewhere, median ms",
        "worst ms",
        "not known after 40 s",
        "false suspicions",
        "suspicions of paused",
        "taken for dead wrongly",
    ];
    let mut table = Table::new("Time until a dead daemon is known; eight deaths", &header);
    let cases: Vec<_> = sizes
        .iter()
        .flat_map(|size| DEATH_CASES.map(|(loss, pause)| (*size, loss, pause)))
        .collect();
    let results = measure_all(&cases, |(size, loss, pause)| {
        measure_deaths(config(size, loss, 1), 8, Millis(pause))
    });
    for ((size, loss, pause), detection) in cases.iter().zip(results) {
        table.row(&[
            size.to_string(),
            (loss / 10).to_string(),
            pause.to_string(),
            detection.local.percentile(50).0.to_string(),
            detection.local.percentile(100).0.to_string(),
            detection.remote.percentile(50).0.to_string(),
            detection.remote.percentile(100).0.to_string(),
            detection.missed.to_string(),
            detection.false_suspicions.to_string(),
            detection.pause_suspicions.to_string(),
            detection.false_deaths.to_string(),
        ]);
    }
    println!("{table}");
}

fn print_store(sizes: &[usize]) {
    let header = [
        "daemons",
        "first 10 s",
        "peak in 1 s",
        "a minute steady",
        "a minute of outage",
        "10 s after it",
        "peak in 1 s after it",
    ];
    let mut table = Table::new("Calls to the store by the whole fleet", &header);
    for size in sizes {
        let load = measure_store_load(config(*size, 50, 1));
        let counts = [
            load.at_start,
            load.start_peak,
            load.steady,
            load.in_outage,
            load.after_outage,
            load.after_peak,
        ];
        let mut row = vec![size.to_string()];
        row.extend(counts.iter().map(u64::to_string));
        table.row(&row);
    }
    println!("{table}");
}

fn print_memory() {
    let mut table = Table::new("Resident bytes of one state machine", &["of each", "bytes"]);
    let members = [90, 180, 360].map(|n| (n as f64, bytes_per_cluster(200, n, 0, 0)));
    let accounts = [1_950, 3_900, 7_800].map(|n| (n as f64, bytes_per_cluster(60, 0, n, 0)));
    let entries = [230, 460, 930].map(|n| (n as f64, bytes_per_cluster(200, 0, 0, n)));
    for (name, points) in
        [("member", members), ("client account", accounts), ("endpoint value", entries)]
    {
        table.row(&[name.to_string(), format!("{:.0}", slope(&points).0)]);
    }
    println!("{table}");
}

/// Daemons, endpoints, sound requests and requests that crash endpoints, both per second.
const CRASH_SIZES: [(usize, usize, f64, f64); 5] = [
    (7, 12, 60.0, 1.0),
    (7, 12, 60.0, 5.0),
    (80, 90, 300.0, 5.0),
    (300, 930, 600.0, 10.0),
    (300, 930, 600.0, 40.0),
];

fn print_crashes(repeats: bool) {
    let header = [
        "daemons",
        "endpoints",
        "crashing/s",
        "disturbance",
        "endpoints crashed, worst of 10 seeds",
        "sent late",
        "refused by all, ms after the third crash",
        "sound refused, per thousand",
        "notices, KB sent by a daemon, mean",
        "most",
    ];
    let title = if repeats {
        "A request that crashes endpoints and comes again, 45 s"
    } else {
        "Requests that crash endpoints, 45 s"
    };
    let mut table = Table::new(title, &header);
    for (daemons, endpoints, sound_per_s, crashing_per_s) in CRASH_SIZES {
        let contact_time = Millis(if daemons > 7 { 5_000 } else { 4_000 });
        let cfg = CrashConfig {
            daemons,
            endpoints,
            sound_per_s,
            crashing_per_s,
            contact_time,
            repeats,
            ..CrashConfig::default()
        };
        let disturbances = [
            ("none", cfg.clone()),
            ("readers lost", CrashConfig { loses_readers: true, ..cfg.clone() }),
            ("regions apart for 3 s", CrashConfig { separated_for: Millis(3_000), ..cfg }),
        ];
        for (name, cfg) in disturbances {
            let seeds: Vec<u64> = (1..=10).collect();
            let results =
                measure_all(&seeds, |seed| measure_crashes(CrashConfig { seed, ..cfg.clone() }));
            let worst = |value: fn(&fleet::CrashResult) -> u64| {
                results.iter().map(value).max().unwrap_or(0).to_string()
            };
            table.row(&[
                daemons.to_string(),
                endpoints.to_string(),
                crashing_per_s.to_string(),
                name.to_owned(),
                worst(|r| r.crashes as u64),
                worst(|r| r.sent_late as u64),
                worst(|r| r.condemned_after.0),
                worst(|r| (r.sound_refused * 1_000 / r.sound_sent.max(1)) as u64),
                worst(|r| r.mean_bytes / 1_000),
                worst(|r| r.most_bytes / 1_000),
            ]);
        }
    }
    println!("{table}");
}

fn print_departures() {
    let header = ["daemons", "disturbance", "known to all, ms, worst of 10 seeds"];
    let mut table = Table::new("An endpoint that says that it leaves", &header);
    for daemons in [7, 80, 300] {
        for (name, loses_readers) in [("none", false), ("readers lost", true)] {
            let times = (1..=10).map(|seed| measure_departure(daemons, loses_readers, seed));
            let worst = times.map(|time| time.map_or(u64::MAX, |time| time.0)).max().unwrap_or(0);
            table.row(&[daemons.to_string(), name.to_owned(), worst.to_string()]);
        }
    }
    println!("{table}");
}
