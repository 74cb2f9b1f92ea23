//! How many endpoints are ordered when the load, the prices and the platform change.

use crate::simulated_service::{DATA_CENTRES, SERVICE, Simulation, usual_scaling};
use decision::Millis;
use decision::duties::EndpointKind::{Ordinary, Spot};
use decision::duties::ServiceScaling;

/// What the endpoints cost before any order: 15 ordinary ones in each of six data centres.
const INITIAL_PRICE: f64 = 90.0;

fn settled() -> Simulation {
    let mut simulation = Simulation::new(usual_scaling());
    simulation.run(40);
    simulation.reset_waits();
    simulation
}

#[test]
fn probe() {
    let mut s = Simulation::new(usual_scaling());
    for i in 0..60 {
        s.run(1);
        println!("{i} ord {} spot {} price {:.1} wait {:.2} queue {:.0} late {} need {:?} orders {}", s.serving(Ordinary), s.serving(Spot), s.price(), s.longest_wait, s.longest_queue_ms, s.late_ms, s.planner.need(SERVICE, DATA_CENTRES[0]), s.orders.len());
        s.reset_waits();
        if i == 39 { s.load = 2.3; }
        if i == 50 { s.load = 1.0; }
    }
    for o in &s.orders { if o.1.data_centre == DATA_CENTRES[0] { println!("{:?}", o); } }
}
