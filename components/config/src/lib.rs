//! The two lists of the operators and the settings of the daemon.

mod lists;

pub use lists::{Account, Class, Grant, Grants, Lists, Plan, Plans, Target};
mod settings;

pub use settings::Settings;
