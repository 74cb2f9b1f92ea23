//! Simulates the load scheduler and its baselines and prints their results as a table.

use argh::FromArgs;
use decision::load::{Mechanisms, Scheduler, SchedulerConfig};
use workload::{
    ABLATIONS, Baseline, Choice, DaemonContext, Measure, Order, Row, Scenario, TableSizes,
    mechanisms, print_cost, print_table, run,
};

/// Simulates scheduling policies under load in virtual time and prints a table of the results.
#[derive(Debug, FromArgs)]
struct Options {
    /// names of scenarios, separated by commas; workloads and faults stand for groups of
    /// scenarios, random draws one per seed
    #[argh(option, default = "String::from(\"workloads\")")]
    scenarios: String,
    /// names of policies, separated by commas; ablations stands for the scheduler with one
    /// mechanism switched off in each row
    #[argh(
        option,
        default = "String::from(\"chervilspur,random,round_robin,least,priority,no_spill_limit\")"
    )]
    policies: String,
    /// number of seeds per row
    #[argh(option, default = "10")]
    seeds: u64,
    /// the first seed
    #[argh(option, default = "1")]
    first_seed: u64,
    /// check the invariants of the scheduler at each tick and panic if one does not hold
    #[argh(switch)]
    check: bool,
    /// print the time that calls of the scheduler take, instead of simulating
    #[argh(switch)]
    cost: bool,
}

fn scheduler_config(
    context: &DaemonContext,
    mechanisms: Mechanisms,
    check: bool,
) -> SchedulerConfig {
    SchedulerConfig {
        name: context.daemon.clone(),
        data_centre: context.data_centre.clone(),
        region: context.region.clone(),
        link_bytes_per_second: context.link_bytes_per_second,
        seed: context.seed,
        mechanisms,
        check_invariants: check,
        ..SchedulerConfig::default()
    }
}

fn run_policy(scenario: &Scenario, policy: &str, seed: u64, check: bool) -> Option<Measure> {
    let baseline = |order, choice| run(scenario, seed, |v| Baseline::new(order, choice, v));
    let measure = match policy {
        "random" => baseline(Order::Fifo, Choice::Random),
        "round_robin" => baseline(Order::Fifo, Choice::RoundRobin),
        "least" => baseline(Order::Fifo, Choice::LeastOutstanding),
        "priority" => baseline(Order::Tier, Choice::LeastOutstanding),
        name => {
            let mechanisms = mechanisms(name)?;
            run(scenario, seed, |v| Scheduler::new(scheduler_config(v, mechanisms, check)))
        }
    };
    Some(measure)
}

fn scenarios(names: &str) -> Vec<Scenario> {
    let by_name = |name: &str| match name {
        "workloads" => Scenario::workloads(),
        "faults" => Scenario::faults(),
        name => Scenario::by_name(name).into_iter().collect(),
    };
    names.split(',').flat_map(by_name).collect()
}

/// The scenario of a run: drawn from the seed for `random`, the same for all seeds otherwise.
fn for_seed(scenario: &Scenario, seed: u64) -> Scenario {
    if scenario.name == "random" { Scenario::random(seed) } else { scenario.clone() }
}

fn policies(names: &str) -> Vec<&str> {
    let by_name = |name| if name == "ablations" { ABLATIONS.to_vec() } else { vec![name] };
    names.split(',').flat_map(by_name).collect()
}

/// Sizes of a daemon's tables: endpoints, client accounts and queued requests.
const TABLE_SIZES: [(u64, u64, usize); 7] = [
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
    for (endpoints, accounts, waiting) in TABLE_SIZES {
        print_cost(TableSizes { endpoints, accounts, waiting });
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
                    run_policy(&for_seed(&scenario, seed), policy, seed, options.check)
                })
                .collect();
            rows.push(Row { scenario: scenario.name, policy: policy.to_string(), runs });
        }
    }
    print_table(&rows);
}
