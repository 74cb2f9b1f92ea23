//! Small stand-ins for the systems that the router meets, and a way to start processes in tests.

mod answer;
mod caller;
mod engine;
mod instances;
mod lagged;
mod object_api;
mod platform;
mod process;
mod server;
mod service;
mod site;

pub use answer::{answer_length, token_text, whole_answer};
pub use caller::{Answer, Caller, Reply};
pub use engine::{EngineConfig, run_engine};
pub use instances::{
    Instance, InstanceKind, InstanceList, InstanceState, InstancesConfig, run_instances,
};
pub use object_api::{ObjectApiConfig, run_object_api};
pub use platform::{
    Arrival, Behaviour, Client, ClientAnswer, GatewayProcess, GatewayTerms, Link, Message,
    PlatformStore, Proxy, Runner, StoreMode,
};
pub use process::{Process, binary, build_programs};
pub use service::{ServiceConfig, run_service};
pub use site::{Member, Site, simple_lists};
