use crate::fault::{Fault, TimedFault};
use crate::scenario::{Phase, Scenario};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time for which requests are sent.
const LOAD_MS: u64 = 20_000;

/// Time after the last request in which responses may finish.
const DRAIN_MS: u64 = 10_000;

const MAX_FAULTS: usize = 5;

impl Scenario {
    /// Draws a short scenario: a site, the load of each class, a burst of one class and up to five
    /// faults, which may overlap.
    pub fn random(seed: u64) -> Scenario {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7a11_d0a5);
        let base = if rng.random_bool(0.5) { Scenario::dawn() } else { Scenario::storm() };
        let mut scenario = Scenario { name: "random", end_ms: LOAD_MS + DRAIN_MS, ..base };
        scenario.phases.clear();
        for class in 0..scenario.site.classes.len() {
            let load = rng.random_range(0.0..0.9);
            scenario.phases.push(Phase { class, from_ms: 0, until_ms: LOAD_MS, load });
        }
        let class = rng.random_range(0..scenario.site.classes.len());
        let from_ms = rng.random_range(1_000..LOAD_MS);
        scenario.phases.push(Phase { class, from_ms, until_ms: from_ms + 1_000, load: 4.0 });
        let data_centres = scenario.site.data_centres.len();
        scenario.caller_weights = (0..data_centres).map(|_| rng.random_range(0.2..3.0)).collect();
        let faults = rng.random_range(0..=MAX_FAULTS);
        scenario.faults = (0..faults).map(|_| draw_fault(&scenario, &mut rng)).collect();
        scenario
    }
}

fn draw_fault(scenario: &Scenario, rng: &mut Pcg64Mcg) -> TimedFault {
    let data_centres = &scenario.site.data_centres;
    let engines: usize = data_centres.iter().map(|d| d.engines).sum();
    let daemons: usize = data_centres.iter().map(|d| d.daemons).sum();
    let fault = match rng.random_range(0..6) {
        0 => Fault::Straggler {
            engine: rng.random_range(0..engines),
            slowdown: rng.random_range(2.0..2_000.0),
        },
        1 => Fault::Crash { engine: rng.random_range(0..engines) },
        2 => Fault::StaleReports,
        3 => Fault::LinkCut,
        4 => Fault::DataCentreCut { data_centre: rng.random_range(0..data_centres.len()) },
        _ => Fault::DaemonKilled { daemon: rng.random_range(0..daemons) },
    };
    let from_ms = rng.random_range(50..LOAD_MS / 100) * 100;
    let until_ms = from_ms + rng.random_range(10..100) * 100;
    TimedFault { from_ms, until_ms, fault }
}
