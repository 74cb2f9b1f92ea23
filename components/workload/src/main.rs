//! Prints the measures under load.

use argh::FromArgs;
use decision::load::{Mechanisms, Scheduler, SchedulerConfig};
use workload::{
    ABLATIONS, Baseline, Choice, Measure, Order, Row, Scenario, Variant, mechanisms, print_table,
    run,
};

/// Measures the decisions under load in virtual time.
#[derive(Debug, FromArgs)]
struct Options {
    /// scenarios, by name, separated by commas; workloads, faults or a name
    #[argh(option, default = "String::from(\"workloads\")")]
    scenarios: String,
    /// policies, by name, separated by commas; ablations switch one mechanism off in each row
    #[argh(
        option,
        default = "String::from(\"chervilspur,random,round_robin,least,fifo,priority\")"
    )]
    policies: String,
    /// seeds for each row
    #[argh(option, default = "10")]
    seeds: u64,
    /// the first seed
    #[argh(option, default = "1")]
    first_seed: u64,
}

fn scheduler(variant: &Variant, mechanisms: Mechanisms) -> SchedulerConfig {
    SchedulerConfig {
        name: variant.daemon.clone(),
        data_centre: variant.data_centre.clone(),
        region: variant.region.clone(),
        seed: variant.seed,
        mechanisms,
        ..SchedulerConfig::default()
    }
}

fn run_named(scenario: &Scenario, policy: &str, seed: u64) -> Option<Measure> {
    let baseline = |order, choice| run(scenario, seed, |v| Baseline::new(order, choice, v));
    let measure = match policy {
        "random" => baseline(Order::Fifo, Choice::Random),
        "round_robin" => baseline(Order::Fifo, Choice::RoundRobin),
        "least" | "fifo" => baseline(Order::Fifo, Choice::LeastOutstanding),
        "priority" => baseline(Order::Tier, Choice::LeastOutstanding),
        name => {
            let mechanisms = mechanisms(name)?;
            run(scenario, seed, |v| Scheduler::new(scheduler(v, mechanisms)))
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

fn policies(names: &str) -> Vec<&str> {
    let of = |name| if name == "ablations" { ABLATIONS.to_vec() } else { vec![name] };
    names.split(',').flat_map(of).collect()
}

fn main() {
    let options: Options = argh::from_env();
    let mut rows = Vec::new();
    for scenario in scenarios(&options.scenarios) {
        for policy in policies(&options.policies) {
            let seeds = options.first_seed..options.first_seed + options.seeds;
            let runs = seeds.filter_map(|seed| run_named(&scenario, policy, seed)).collect();
            rows.push(Row { scenario: scenario.name, policy: policy.to_string(), runs });
        }
    }
    print_table(&rows);
}
