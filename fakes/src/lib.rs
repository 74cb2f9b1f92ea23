//! Stand-ins for the systems around the router (object API, instance list, engines, plain services,
//! the platform's store, endpoints and clients), and helpers that start programs in tests.

mod caller;
mod completion;
mod delayed;
mod engine;
mod instances;
mod object_api;
mod platform;
mod process;
mod server;
mod service;
mod site;

pub use caller::{CallResponse, Caller, ChatResponse};
pub use completion::{completion_length, completion_text, token_text};
pub use engine::{EngineConfig, run_engine};
pub use instances::{
    Instance, InstanceKind, InstanceList, InstanceState, InstancesConfig, run_instances,
};
pub use object_api::{ObjectApiConfig, run_object_api};
pub use platform::{
    AddressMap, BadContinuation, Behaviour, Client, ClientResponse, CrashStage, CrashingBody,
    CrashingPart, DutyApi, DutyApiMode, DutyCallRecord, EndlessEndpoint, EndlessPart,
    GatewayConfig, GatewayProcess, HeadCut, HeadCutter, Link, Message, NarrowNetwork, NetworkPath,
    PathState, PlatformEndpoint, PlatformStore, Proxy, ReceivedRequest, RefusedKinds,
    RepeatedRefusal, Room, ScriptedEndpoint, Step, StoreCopy, StoreMode, UnframedEnd,
    check_duty_calls,
};
pub use process::{Process, binary, build_programs, earlier_gateway};
pub use service::{ServiceConfig, run_service};
pub use site::{Member, Site, simple_lists};
