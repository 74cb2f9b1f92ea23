//! Stand-ins for the users' platform: its store, its endpoints and its clients, and the gateway
//! as a process between them.

mod client;
mod gateway;
mod proxy;
mod runner;
mod store;
mod wire;

pub use client::{Client, ClientAnswer};
pub use gateway::{GatewayProcess, GatewayTerms};
pub use proxy::{Link, Proxy};
pub use runner::{Arrival, Behaviour, Runner};
pub use store::{PlatformStore, StoreMode};
pub use wire::Message;
