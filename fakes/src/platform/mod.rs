//! Stand-ins for the platform around the gateway (its store, endpoints and clients), a proxy that
//! injects network faults, and the gateway as a process.

mod bad_continuation;
mod client;
mod closing;
mod crash;
mod crashing_body;
mod cut_head;
mod duty_api;
mod endless;
mod endpoint;
mod gateway;
mod narrow_network;
mod path;
mod proxy;
mod repeated_refusal;
mod room;
mod scripted;
mod store;
mod unframed;
mod wire;

pub use bad_continuation::BadContinuation;
pub use client::{Client, ClientResponse};
pub use crash::CrashingPart;
pub use crashing_body::{CrashStage, CrashingBody};
pub use cut_head::{HeadCut, HeadCutter};
pub use duty_api::{DutyApi, DutyApiMode, DutyCallRecord, check_duty_calls};
pub use endless::{EndlessEndpoint, EndlessPart};
pub use endpoint::{Behaviour, PlatformEndpoint, ReceivedRequest};
pub use gateway::{GatewayConfig, GatewayProcess};
pub use narrow_network::NarrowNetwork;
pub use path::{NetworkPath, PathState};
pub use proxy::{Link, Proxy};
pub use repeated_refusal::RepeatedRefusal;
pub use room::Room;
pub use scripted::{ScriptedEndpoint, Step};
pub use store::{AddressMap, PlatformStore, RefusedKinds, StoreCopy, StoreMode};
pub use unframed::UnframedEnd;
pub use wire::Message;
