//! A seeded driver in virtual time over copies of the scheduler, with a small engine model.

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
mod random;
mod scenario;
mod site;
mod table;
mod traffic;
mod world;

pub use ablation::{ABLATIONS, mechanisms};
pub use baseline::{Baseline, Choice, Order};
pub use cost::{Size, print_cost};
pub use fault::Fault;
pub use measure::{ClassMeasure, Measure};
pub use policy::{Policy, Variant};
pub use scenario::Scenario;
pub use site::{ClassSpec, Site};
pub use table::{Row, print_table};
pub use world::run;
