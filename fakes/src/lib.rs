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

pub use answer::{completion_length, completion_text, token_text};
pub use caller::{CallResponse, Caller, ChatResponse};
pub use engine::{EngineConfig, run_engine};
pub use instances::{
    Instance, InstanceKind, InstanceList, InstanceState, InstancesConfig, run_instances,
};
pub use object_api::{ObjectApiConfig, run_object_api};
pub use platform::{
    Behaviour, Client, ClientResponse, GatewayConfig, GatewayProcess, Link, Message,
    PlatformEndpoint, PlatformStore, Proxy, ReceivedRequest, StoreMode,
};
pub use process::{Process, binary, build_programs};
pub use service::{ServiceConfig, run_service};
pub use site::{Member, Site, simple_lists};
