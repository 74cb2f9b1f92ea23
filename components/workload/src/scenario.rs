use crate::fault::{Fault, TimedFault};
use crate::site::Site;

/// The load of one class over an interval, as a fraction of the site's capacity.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Index of the class.
    pub class: usize,
    /// Start, in milliseconds since the start of the run.
    pub from_ms: u64,
    /// End, in milliseconds since the start of the run.
    pub until_ms: u64,
    /// Response tokens requested, as a fraction of the capacity.
    pub load: f64,
}

/// A workload on a site, with the faults injected into it.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name on the command line and in the table.
    pub name: &'static str,
    /// Where it runs.
    pub site: Site,
    /// Load by class and time; overlapping phases add up.
    pub phases: Vec<Phase>,
    /// Faults, which may overlap.
    pub faults: Vec<TimedFault>,
    /// Length of the run, in milliseconds.
    pub end_ms: u64,
    /// Share of the callers at each data centre, as weights.
    pub caller_weights: Vec<f64>,
    /// Bandwidth of the link between the regions, in each direction.
    pub link_bits_per_second: u64,
}

fn burst_phases(loads: [f64; 4]) -> Vec<Phase> {
    let of = |(class, load)| Phase { class, from_ms: 5_000, until_ms: 95_000, load };
    loads.into_iter().enumerate().map(of).collect()
}

impl Scenario {
    fn new(name: &'static str, site: Site, loads: [f64; 4]) -> Scenario {
        let caller_weights = site.data_centres.iter().map(|d| d.daemons as f64).collect();
        Scenario {
            name,
            site,
            phases: burst_phases(loads),
            faults: Vec::new(),
            end_ms: 150_000,
            caller_weights,
            link_bits_per_second: 30_000_000,
        }
    }

    /// All coordinators start work at dawn, which requests twice the capacity.
    pub fn dawn() -> Scenario {
        Scenario::new("dawn", Site::medellin(), [0.60, 0.20, 0.65, 0.55])
    }

    /// Rain cancels routes: the load of one class jumps within a second, and most calls come
    /// from one data centre.
    pub fn rain() -> Scenario {
        let mut scenario = Scenario::new("rain", Site::medellin(), [0.25, 0.20, 0.50, 0.30]);
        scenario.phases.push(Phase { class: 0, from_ms: 40_000, until_ms: 55_000, load: 0.6 });
        scenario.caller_weights = vec![3.0, 1.0, 1.0];
        scenario
    }

    /// Hazard chat during a storm, with digests and scans at lower tiers.
    pub fn storm() -> Scenario {
        let mut scenario = Scenario::new("storm", Site::trust(), [0.45, 0.15, 0.60, 0.50]);
        scenario.caller_weights = vec![1.0, 1.0, 3.0];
        scenario
    }

    /// An ordinary day, below capacity.
    pub fn calm() -> Scenario {
        Scenario::new("calm", Site::trust(), [0.20, 0.10, 0.25, 0.15])
    }

    /// The load of `dawn` at the design size, for a short time.
    pub fn full() -> Scenario {
        let mut scenario = Scenario::new("full", Site::full(), [0.60, 0.20, 0.65, 0.55]);
        for phase in &mut scenario.phases {
            (phase.from_ms, phase.until_ms) = (0, 8_000);
        }
        scenario.end_ms = 36_000;
        scenario
    }

    /// The load of `storm` with a hundredth of the link bandwidth.
    pub fn narrow() -> Scenario {
        Scenario { name: "narrow", link_bits_per_second: 300_000, ..Scenario::storm() }
    }

    /// The load of `dawn` with faults from 30 s to 60 s.
    pub fn dawn_with(name: &'static str, faults: &[Fault]) -> Scenario {
        let mut scenario = Scenario { name, ..Scenario::dawn() };
        let timed = |fault: &Fault| TimedFault { from_ms: 30_000, until_ms: 60_000, fault: *fault };
        scenario.faults = faults.iter().map(timed).collect();
        scenario
    }

    /// The workloads of both sites at their present size.
    pub fn workloads() -> Vec<Scenario> {
        vec![Scenario::dawn(), Scenario::rain(), Scenario::storm(), Scenario::calm()]
    }

    /// The scenarios with faults, all with the load of `dawn`.
    pub fn faults() -> Vec<Scenario> {
        let straggler = Fault::Straggler { engine: 1, slowdown: 8.0 };
        let crash = Fault::Crash { engine: 5 };
        let killed = Fault::DaemonKilled { daemon: 1 };
        let mut one_class = Scenario { name: "one_class", ..Scenario::dawn() };
        one_class.phases.push(Phase { class: 1, from_ms: 30_000, until_ms: 33_000, load: 3.0 });
        let flap_times = (0..10).map(|n| 30_000 + n * 3_000);
        let flap = |from_ms| TimedFault {
            from_ms,
            until_ms: from_ms + 1_000,
            fault: Fault::Crash { engine: 5 },
        };
        let flapping = Scenario {
            name: "flapping",
            faults: flap_times.map(flap).collect(),
            ..Scenario::dawn()
        };
        let no_progress = Fault::Straggler { engine: 1, slowdown: 1e6 };
        let mut silent = Scenario::dawn_with("silent", &[no_progress]);
        silent.faults[0].until_ms = u64::MAX;
        vec![
            flapping,
            Scenario::dawn_with("straggler", &[straggler]),
            silent,
            Scenario::dawn_with("crash", &[crash]),
            Scenario::dawn_with("stale", &[Fault::StaleReports]),
            one_class,
            Scenario::dawn_with("link_cut", &[Fault::LinkCut]),
            Scenario::dawn_with("centre_cut", &[Fault::DataCentreCut { data_centre: 1 }]),
            Scenario::dawn_with("killed", &[killed]),
            Scenario::dawn_with("crash_twice", &[crash, Fault::Crash { engine: 9 }]),
            Scenario::dawn_with("together", &[straggler, crash, Fault::LinkCut, killed]),
        ]
    }

    /// Finds a scenario by its name; `random` gives the one of seed 0.
    pub fn by_name(name: &str) -> Option<Scenario> {
        let mut all = Scenario::workloads();
        all.append(&mut Scenario::faults());
        all.push(Scenario::narrow());
        all.push(Scenario::full());
        all.push(Scenario::random(0));
        all.into_iter().find(|s| s.name == name)
    }
}
