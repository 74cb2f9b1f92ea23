//! Calls that may not be repeated run at most once and are never falsely refused as not run.

mod faults;
mod keys;
mod model;
mod random;
mod search;
