use crate::fault::{Fault, Timed};
use crate::scenario::{Phase, Scenario};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The length of a random scenario's load, in milliseconds.
const LOAD_MS: u64 = 20_000;

/// The time after the load in which answers may end, in milliseconds.
const REST_MS: u64 = 10_000;

/// Faults of a random scenario at most.
const FAULTS: usize = 5;

impl Scenario {
    /// Draws a short scenario with any load and up to five faults, which may overlap.
    pub fn random(seed: u64) -> Scenario {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7a11_d0a5);
        let base = if rng.random_bool(0.5) { Scenario::dawn() } else { Scenario::storm() };
        let mut scenario = Scenario { name: "random", until: LOAD_MS + REST_MS, ..base };
        scenario.phases.clear();
        for class in 0..scenario.site.classes.len() {
            let load = rng.random_range(0.0..0.9);
            scenario.phases.push(Phase { class, from: 0, until: LOAD_MS, load });
        }
        let class = rng.random_range(0..scenario.site.classes.len());
        let from = rng.random_range(1_000..LOAD_MS);
        scenario.phases.push(Phase { class, from, until: from + 1_000, load: 4.0 });
        let centres = scenario.site.data_centres.len();
        scenario.callers = (0..centres).map(|_| rng.random_range(0.2..3.0)).collect();
        let faults = rng.random_range(0..=FAULTS);
        scenario.faults = (0..faults).map(|_| draw_fault(&scenario, &mut rng)).collect();
        scenario
    }
}

fn draw_fault(scenario: &Scenario, rng: &mut Pcg64Mcg) -> Timed {
    let centres = &scenario.site.data_centres;
    let engines: usize = centres.iter().map(|d| d.runners).sum();
    let daemons: usize = centres.iter().map(|d| d.daemons).sum();
    let fault = match rng.random_range(0..6) {
        0 => Fault::Straggler {
            engine: rng.random_range(0..engines),
            slowness: rng.random_range(2.0..2_000.0),
        },
        1 => Fault::Crash { engine: rng.random_range(0..engines) },
        2 => Fault::StaleReports,
        3 => Fault::LinkCut,
        4 => Fault::DataCentreCut { data_centre: rng.random_range(0..centres.len()) },
        _ => Fault::DaemonKilled { daemon: rng.random_range(0..daemons) },
    };
    let from = rng.random_range(50..LOAD_MS / 100) * 100;
    let until = from + rng.random_range(10..100) * 100;
    Timed { from, until, fault }
}
