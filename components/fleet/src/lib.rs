//! Many copies of the cluster state machine in virtual time, with messages as values.

mod calls;
mod driver;
mod invariants;
mod measures;
mod random;
mod report;
mod scenarios;
mod store;

pub use driver::{Fleet, FleetConfig};
pub use invariants::Invariants;
pub use measures::{Times, Traffic};
pub use random::random_run;
pub use report::{Table, slope};
pub use scenarios::{Change, Death, StoreLoad, changes, deaths, memory, steady, store_load};
pub use store::{Store, lists_text};
