use crate::fault::{Fault, Timed};
use crate::site::Site;

/// The load of one class over a stretch of time, as a part of the site's capacity.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// The class, by number.
    pub class: usize,
    /// When it starts, in milliseconds.
    pub from: u64,
    /// When it ends, in milliseconds.
    pub until: u64,
    /// Tokens of answers, as a part of the capacity.
    pub load: f64,
}

/// A workload with its faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The name.
    pub name: &'static str,
    /// The site.
    pub site: Site,
    /// The load.
    pub phases: Vec<Phase>,
    /// The faults.
    pub faults: Vec<Timed>,
    /// When it ends, in milliseconds.
    pub until: u64,
    /// Where callers are, as weights by data centre.
    pub callers: Vec<f64>,
    /// Bits a second between the regions, each way.
    pub link_bits: u64,
}

fn burst(loads: [f64; 4]) -> Vec<Phase> {
    let of = |(class, load)| Phase { class, from: 5_000, until: 95_000, load };
    loads.into_iter().enumerate().map(of).collect()
}

impl Scenario {
    fn new(name: &'static str, site: Site, loads: [f64; 4]) -> Scenario {
        let callers = site.data_centres.iter().map(|d| d.daemons as f64).collect();
        Scenario {
            name,
            site,
            phases: burst(loads),
            faults: Vec::new(),
            until: 150_000,
            callers,
            link_bits: 30_000_000,
        }
    }

    /// Every coordinator at dawn, at twice the capacity.
    pub fn dawn() -> Scenario {
        Scenario::new("dawn", Site::medellin(), [0.60, 0.20, 0.65, 0.55])
    }

    /// Rain cancels routes: one class jumps within a second and most calls come from one place.
    pub fn rain() -> Scenario {
        let mut scenario = Scenario::new("rain", Site::medellin(), [0.25, 0.20, 0.50, 0.30]);
        scenario.phases.push(Phase { class: 0, from: 40_000, until: 55_000, load: 0.6 });
        scenario.callers = vec![3.0, 1.0, 1.0];
        scenario
    }

    /// Hazard chat in a storm season, with digests and scans behind it.
    pub fn storm() -> Scenario {
        let mut scenario = Scenario::new("storm", Site::trust(), [0.45, 0.15, 0.60, 0.50]);
        scenario.callers = vec![1.0, 1.0, 3.0];
        scenario
    }

    /// An ordinary day below capacity.
    pub fn calm() -> Scenario {
        Scenario::new("calm", Site::trust(), [0.20, 0.10, 0.25, 0.15])
    }

    /// The dawn burst at the size to design for, for a short time.
    pub fn full() -> Scenario {
        let mut scenario = Scenario::new("full", Site::full(), [0.60, 0.20, 0.65, 0.55]);
        for phase in &mut scenario.phases {
            (phase.from, phase.until) = (0, 8_000);
        }
        scenario.until = 36_000;
        scenario
    }

    /// The storm over a link of a hundredth of today's width.
    pub fn narrow() -> Scenario {
        Scenario { name: "narrow", link_bits: 300_000, ..Scenario::storm() }
    }

    /// The dawn burst with faults.
    pub fn dawn_with(name: &'static str, faults: &[Fault]) -> Scenario {
        let mut scenario = Scenario { name, ..Scenario::dawn() };
        let timed = |fault: &Fault| Timed { from: 30_000, until: 60_000, fault: *fault };
        scenario.faults = faults.iter().map(timed).collect();
        scenario
    }

    /// Every workload of a user at its size of today.
    pub fn workloads() -> Vec<Scenario> {
        vec![Scenario::dawn(), Scenario::rain(), Scenario::storm(), Scenario::calm()]
    }

    /// The table of faults.
    pub fn faults() -> Vec<Scenario> {
        let straggler = Fault::Straggler { engine: 1, slowness: 8.0 };
        let crash = Fault::Crash { engine: 5 };
        let killed = Fault::DaemonKilled { daemon: 1 };
        let mut one_class = Scenario { name: "one_class", ..Scenario::dawn() };
        one_class.phases.push(Phase { class: 1, from: 30_000, until: 33_000, load: 3.0 });
        let flaps = (0..10).map(|n| 30_000 + n * 3_000);
        let flap = |from| Timed { from, until: from + 1_000, fault: Fault::Crash { engine: 5 } };
        let flapping =
            Scenario { name: "flapping", faults: flaps.map(flap).collect(), ..Scenario::dawn() };
        let silence = Fault::Straggler { engine: 1, slowness: 1e6 };
        let mut silent = Scenario::dawn_with("silent", &[silence]);
        silent.faults[0].until = u64::MAX;
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

    /// Finds a scenario by name.
    pub fn by_name(name: &str) -> Option<Scenario> {
        let mut all = Scenario::workloads();
        all.append(&mut Scenario::faults());
        all.push(Scenario::narrow());
        all.push(Scenario::full());
        all.push(Scenario::random(0));
        all.into_iter().find(|s| s.name == name)
    }
}
