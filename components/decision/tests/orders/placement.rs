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

fn demand(streams: &[(&str, u32)]) -> BTreeMap<String, u32> {
    streams.iter().map(|(model, streams)| (model.to_string(), *streams)).collect()
}

fn apply(endpoints: &mut [PoolEndpoint], order: &ModelOrder) {
    let Some(e) = endpoints.iter_mut().find(|e| e.name == order.endpoint) else { return };
    match order.action {
        ModelAction::Load => e.models.insert(order.model.clone()),
        ModelAction::Unload => e.models.remove(&order.model),
    };
}

/// Two endpoints serve a and one serves b; each holds one model and has ten slots.
#[rstest]
#[case::balanced(&[("a", 8), ("b", 4)], 200_000, None)]
#[case::b_needs_another(&[("a", 1), ("b", 12)], 200_000, Some(ModelAction::Unload))]
#[case::surplus_too_short(&[("a", 1), ("b", 12)], 100_000, None)]
#[case::a_needs_both(&[("a", 5), ("b", 12)], 200_000, None)]
#[case::last_of_a_model(&[("a", 0), ("b", 0), ("c", 90)], 200_000, Some(ModelAction::Unload))]
fn endpoint_is_removed_only_from_a_model_with_a_lasting_surplus(
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
fn loads_start_at_the_rate_of_the_weight_store() {
    let pool = [endpoint("e1", &["a"]), endpoint("e2", &[]), endpoint("e3", &[])];
    let demanded = demand(&[("a", 30)]);
    let mut placement = Placement::new(PlacementConfig::default());
    let mut sent = Vec::new();
    for second in 0..60 {
        for order in placement.plan(&pool, &demanded, Millis(second * 1_000)) {
            placement.on_sent(&order, Millis(second * 1_000));
            sent.push((second, order.endpoint));
        }
    }
    assert_eq!(sent, [(0, "e2".to_string()), (20, "e3".to_string())]);
}

#[test]
fn fencing_number_is_announced_to_each_serving_endpoint_without_a_change() {
    let leaving = PoolEndpoint { leaving: true, ..endpoint("e2", &["a"]) };
    let pool = [endpoint("e1", &["a"]), leaving, endpoint("e3", &[])];
    let expected = ModelOrder::new(&pool[0], "a", ModelAction::Load);
    assert_eq!(fence_announcements(&pool), [expected]);
}

#[test]
fn placement_follows_demand_without_removing_the_last_endpoint_of_a_model() {
    let mut order_count = 0;
    for seed in 0..RUNS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut pool: Vec<PoolEndpoint> =
            (0..12).map(|i| endpoint(&format!("e{i}"), &[MODELS[i % 4]])).collect();
        let mut placement = Placement::new(PlacementConfig::default());
        let mut demanded = demand(&[]);
        for second in (0..3_600).step_by(10) {
            let now = Millis(second * 1_000);
            if second % 600 == 0 {
                demanded =
                    MODELS.iter().map(|m| (m.to_string(), rng.random_range(0..40))).collect();
            }
            for order in placement.plan(&pool, &demanded, now) {
                placement.on_sent(&order, now);
                apply(&mut pool, &order);
                order_count += 1;
            }
            for model in MODELS {
                assert!(
                    pool.iter().any(|e| e.serves(model)),
                    "seed {seed}: no endpoint serves {model}"
                );
            }
        }
    }
    println!("{RUNS} runs of one simulated hour, {order_count} orders");
}
