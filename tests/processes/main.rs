//! Tests of daemons, engines and services that run as separate processes.

mod end_to_end;
mod failures;
mod limits;
mod refusals;
mod support;
