//! Discrete-time simulation of daemons that run the load scheduler, with a simple model of batching
//! engines. A run is a function of its scenario, seed and policy.

mod ablation;
mod baseline;
mod call;
mod cost;
mod delivery;
mod effects;
mod engine;
mod fault;
mod measure;
mod policy;
mod random_scenario;
mod scenario;
mod simulation;
mod site;
mod table;
mod traffic;

pub use ablation::{ABLATIONS, mechanisms};
pub use baseline::{Baseline, Choice, Order};
pub use cost::{TableSizes, print_cost};
pub use fault::Fault;
pub use measure::{ClassMeasure, Measure};
pub use policy::{DaemonContext, Policy};
pub use scenario::Scenario;
pub use simulation::run;
pub use site::{ClassSpec, Site};
pub use table::{Row, print_table};
