//! Stand-ins for the users' platform: its store, its endpoints and its clients, and the gateway
//! as a process between them.

mod client;
mod endpoint;
mod gateway;
mod proxy;
mod store;
mod wire;

pub use client::{Client, ClientResponse};
pub use endpoint::{Behaviour, PlatformEndpoint, ReceivedRequest};
pub use gateway::{GatewayConfig, GatewayProcess};
pub use proxy::{Link, Proxy};
pub use store::{PlatformStore, StoreMode};
pub use wire::Message;
