//! How often brittle endpoints fall over, in fleets of all sizes.

use fleet::{BrittleConfig, BrittleResult, measure_brittle};
use rstest::rstest;

/// A plain service, with few slots.
const PLAIN: BrittleConfig = BrittleConfig {
    daemons: 7,
    endpoints: 3,
    slots: 6,
    work_ms: 15.0,
    max_rejections: 5,
    queue: 2,
    load: 0.25,
};
/// A service of model engines.
const ENGINES: BrittleConfig =
    BrittleConfig { endpoints: 12, slots: 64, work_ms: 1_500.0, ..PLAIN };

/// The platform allows two falls, and one more for ten endpoints.
fn assert_few_falls(cfg: &BrittleConfig, result: &BrittleResult) {
    assert!(result.falls * 10 <= 20 + cfg.endpoints, "{cfg:?}: {result:?}");
}

#[rstest]
fn endpoints_with_few_slots_do_not_fall_over(
    #[values((7, 3), (80, 6), (300, 6))] size: (usize, usize),
    #[values(0.25, 0.5, 1.5)] load: f64,
    #[values(2, 5)] max_rejections: usize,
    #[values(1, 2)] seed: u64,
) {
    let (daemons, endpoints) = size;
    let cfg = BrittleConfig { daemons, endpoints, load, max_rejections, ..PLAIN };
    let result = measure_brittle(cfg, seed);
    assert_few_falls(&cfg, &result);
    let is_light = load < 0.5;
    assert!(!is_light || result.served * 2 >= result.offered, "{cfg:?}: {result:?}");
}

#[rstest]
fn model_engines_do_not_fall_over(
    #[values((7, 12), (80, 24), (300, 24))] size: (usize, usize),
    #[values(0.5, 1.5)] load: f64,
) {
    let (daemons, endpoints) = size;
    let cfg = BrittleConfig { daemons, endpoints, load, ..ENGINES };
    let result = measure_brittle(cfg, 1);
    assert_few_falls(&cfg, &result);
    let possible = result.offered as f64 * (1.0 / load).min(1.0);
    assert!(result.served as f64 >= possible / 2.0, "{cfg:?}: {result:?}");
}
