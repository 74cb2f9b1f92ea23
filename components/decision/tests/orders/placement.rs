use decision::Millis;
use decision::orders::{
    ModelAction, ModelOrder, Placement, PlacementConfig, PoolEndpoint, fence_announcements,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::collections::BTreeMap;

const MODELS: [&str; 4] = ["campo-8b", "campo-70b", "logbook-4b", "scan-12b"];
const RUNS: u64 = 50;

fn endpoint(name: &str, models: &[&str]) -> PoolEndpoint {
    PoolEndpoint {
        name: name.to_string(),
        models: models.iter().map(|m| m.to_string()).collect(),
        model_capacity: 1,
        slots: 10,
        ..PoolEndpoint::default()
    }
}

fn demand(of: &[(&str, u32)]) -> BTreeMap<String, u32> {
    of.iter().map(|(model, streams)| (model.to_string(), *streams)).collect()
}

fn apply(endpoints: &mut [PoolEndpoint], order: &ModelOrder) {
    let Some(e) = endpoints.iter_mut().find(|e| e.name == order.endpoint) else { return };
    match order.action {
        ModelAction::Load => e.models.insert(order.model.clone()),
        ModelAction::Unload => e.models.remove(&order.model),
    };
}

/// Two endpoints serve a, one serves b; each has room for one model and ten streams.
#[rstest]
#[case::balanced(&[("a", 8), ("b", 4)], 200_000, None)]
#[case::more_of_b(&[("a", 1), ("b", 12)], 200_000, Some(ModelAction::Unload))]
#[case::surplus_too_short(&[("a", 1), ("b", 12)], 100_000, None)]
#[case::a_needs_both(&[("a", 5), ("b", 12)], 200_000, None)]
#[case::last_of_a_model(&[("a", 0), ("b", 0), ("c", 90)], 200_000, Some(ModelAction::Unload))]
fn can_take_an_endpoint_only_from_a_lasting_surplus(
    #[case] streams: &[(&str, u32)],
    #[case] after: u64,
    #[case] expected: Option<ModelAction>,
) {
    let pool = [endpoint("e1", &["a"]), endpoint("e2", &["a"]), endpoint("e3", &["b"])];
    let mut placement = Placement::new(PlacementConfig::default());
    assert_eq!(placement.plan(&pool, &demand(streams), Millis(0)), []);
    let orders = placement.plan(&pool, &demand(streams), Millis(after));
    assert_eq!(orders.first().map(|o| o.action), expected);
    assert!(orders.iter().all(|o| o.action == ModelAction::Load || o.model == "a"));
}

#[test]
fn can_start_loads_at_the_rate_of_the_weight_store() {
    let pool = [endpoint("e1", &["a"]), endpoint("e2", &[]), endpoint("e3", &[])];
    let wanted = demand(&[("a", 30)]);
    let mut placement = Placement::new(PlacementConfig::default());
    let mut sent = Vec::new();
    for second in 0..60 {
        for order in placement.plan(&pool, &wanted, Millis(second * 1_000)) {
            placement.on_sent(&order, Millis(second * 1_000));
            sent.push((second, order.endpoint));
        }
    }
    assert_eq!(sent, [(0, "e2".to_string()), (20, "e3".to_string())]);
}

#[test]
fn can_show_each_endpoint_the_fencing_number_without_a_change() {
    let leaving = PoolEndpoint { leaving: true, ..endpoint("e2", &["a"]) };
    let pool = [endpoint("e1", &["a"]), leaving, endpoint("e3", &[])];
    let expected = ModelOrder::new(&pool[0], "a", ModelAction::Load);
    assert_eq!(fence_announcements(&pool), [expected]);
}

#[test]
fn can_follow_demand_without_taking_the_last_endpoint() {
    let mut moves = 0;
    for seed in 0..RUNS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut pool: Vec<PoolEndpoint> =
            (0..12).map(|i| endpoint(&format!("e{i}"), &[MODELS[i % 4]])).collect();
        let mut placement = Placement::new(PlacementConfig::default());
        let mut wanted = demand(&[]);
        for second in (0..3_600).step_by(10) {
            let now = Millis(second * 1_000);
            if second % 600 == 0 {
                wanted = MODELS.iter().map(|m| (m.to_string(), rng.random_range(0..40))).collect();
            }
            for order in placement.plan(&pool, &wanted, now) {
                placement.on_sent(&order, now);
                apply(&mut pool, &order);
                moves += 1;
            }
            for model in MODELS {
                assert!(pool.iter().any(|e| e.serves(model)), "seed {seed}: {model} is gone");
            }
        }
    }
    println!("{RUNS} runs of an hour, {moves} orders");
}
