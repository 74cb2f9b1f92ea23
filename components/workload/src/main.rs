//! Prints the measures under load.

use argh::FromArgs;
use decision::load::{Mechanisms, Scheduler, SchedulerConfig};
use workload::{
    ABLATIONS, Baseline, Choice, Measure, Order, Row, Scenario, Size, Variant, mechanisms,
    print_cost, print_table, run,
};

/// Measures the decisions under load in virtual time.
#[derive(Debug, FromArgs)]
struct Options {
    /// scenarios, by name, separated by commas; workloads, faults, random or a name
    #[argh(option, default = "String::from(\"workloads\")")]
    scenarios: String,
    /// policies, by name, separated by commas; ablations switch one mechanism off in each row
    #[argh(
        option,
        default = "String::from(\"chervilspur,random,round_robin,least,priority,no_spill_limit\")"
    )]
    policies: String,
    /// seeds for each row
    #[argh(option, default = "10")]
    seeds: u64,
    /// the first seed
    #[argh(option, default = "1")]
    first_seed: u64,
    /// check the scheduler's invariants at each tick; a broken one ends the program
    #[argh(switch)]
    check: bool,
    /// time the deciding calls instead
    #[argh(switch)]
    cost: bool,
}

fn scheduler(variant: &Variant, mechanisms: Mechanisms, check: bool) -> SchedulerConfig {
    SchedulerConfig {
        name: variant.daemon.clone(),
        data_centre: variant.data_centre.clone(),
        region: variant.region.clone(),
        link_bytes_per_second: variant.link_bytes_per_second,
        seed: variant.seed,
        mechanisms,
        check_invariants: check,
        ..SchedulerConfig::default()
    }
}

fn run_named(scenario: &Scenario, policy: &str, seed: u64, check: bool) -> Option<Measure> {
    let baseline = |order, choice| run(scenario, seed, |v| Baseline::new(order, choice, v));
    let measure = match policy {
        "random" => baseline(Order::Fifo, Choice::Random),
        "round_robin" => baseline(Order::Fifo, Choice::RoundRobin),
        "least" => baseline(Order::Fifo, Choice::LeastOutstanding),
        "priority" => baseline(Order::Tier, Choice::LeastOutstanding),
        name => {
            let mechanisms = mechanisms(name)?;
            run(scenario, seed, |v| Scheduler::new(scheduler(v, mechanisms, check)))
        }
    };
    Some(measure)
}

fn scenarios(names: &str) -> Vec<Scenario> {
    let of = |name: &str| match name {
        "workloads" => Scenario::workloads(),
        "faults" => Scenario::faults(),
        name => Scenario::by_name(name).into_iter().collect(),
    };
    names.split(',').flat_map(of).collect()
}

/// Returns the scenario itself, or the one that a seed draws.
fn of_seed(scenario: &Scenario, seed: u64) -> Scenario {
    if scenario.name == "random" { Scenario::random(seed) } else { scenario.clone() }
}

fn policies(names: &str) -> Vec<&str> {
    let of = |name| if name == "ablations" { ABLATIONS.to_vec() } else { vec![name] };
    names.split(',').flat_map(of).collect()
}

/// Sizes of a daemon's tables, by endpoints, accounts and waiting requests.
const SIZES: [(u64, u64, usize); 7] = [
    (930, 7_800, 500),
    (465, 7_800, 500),
    (232, 7_800, 500),
    (930, 3_900, 500),
    (930, 780, 500),
    (930, 7_800, 50),
    (930, 7_800, 5_000),
];

fn print_costs() {
    println!("| endpoints | accounts | waiting | call | median µs | 99th percentile µs |");
    println!("|{}", "---|".repeat(6));
    for (endpoints, accounts, waiting) in SIZES {
        print_cost(Size { endpoints, accounts, waiting });
    }
}

fn main() {
    let options: Options = argh::from_env();
    if options.cost {
        return print_costs();
    }
    let mut rows = Vec::new();
    for scenario in scenarios(&options.scenarios) {
        for policy in policies(&options.policies) {
            let seeds = options.first_seed..options.first_seed + options.seeds;
            let runs = seeds
                .filter_map(|seed| {
                    run_named(&of_seed(&scenario, seed), policy, seed, options.check)
                })
                .collect();
            rows.push(Row { scenario: scenario.name, policy: policy.to_string(), runs });
        }
    }
    print_table(&rows);
}
