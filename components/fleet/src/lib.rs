//! Simulation of a fleet of cluster state machines in virtual time, with a simulated network and
//! store. Measures propagation times, traffic, store calls and memory.

mod brittle_endpoints;
mod calls;
mod configuration_updates;
mod crashing_prompts;
mod departure;
mod driver;
mod invariants;
mod measures;
mod notice_fleet;
mod random_faults;
mod scenarios;
mod store;
mod stream_versions;
mod succession;
mod table;

pub use brittle_endpoints::{BrittleConfig, BrittleResult, measure_brittle};
pub use configuration_updates::{UpdateCost, measure_update, update_table};
pub use crashing_prompts::{CrashConfig, CrashResult, measure_crashes};
pub use departure::measure_departure;
pub use driver::{Fleet, FleetConfig};
pub use invariants::Invariants;
pub use measures::{Times, Traffic};
pub use random_faults::run_random_faults;
pub use scenarios::{
    ChangeTimes, DeathDetection, StoreLoad, bytes_per_cluster, measure_changes, measure_deaths,
    measure_steady_traffic, measure_store_load,
};
pub use store::{Store, lists_text};
pub use stream_versions::{StreamFaults, StreamResult, measure_streams};
pub use succession::{SuccessionCost, measure_succession, succession_table};
pub use table::{Table, slope};
