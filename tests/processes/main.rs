//! Tests of the programs as separate processes.

mod failures;
mod limits;
mod refusals;
mod support;
mod whole_path;
