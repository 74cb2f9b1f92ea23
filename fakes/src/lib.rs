//! Small stand-ins for the systems that the router meets, and a way to start processes in tests.

mod engine;
mod instances;
mod object_api;
mod process;
mod service;

pub use engine::{EngineConfig, run_engine};
pub use instances::run_instances;
pub use object_api::run_object_api;
pub use process::{Process, binary, build_programs};
pub use service::{ServiceConfig, run_service};
