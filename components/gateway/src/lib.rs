//! The data path between clients and endpoints, on one event loop.
//!
//! Decisions are made in `decision::routing`. An [`Adapter`] says how requests, answers and the
//! objects of a store look on the wire of one platform.

mod adapter;
mod attempt;
mod clock;
mod connection;
mod dispatch;
mod gateway;
mod in_flight;
mod listener;
mod log;
mod metrics;
mod monitoring;
mod object_feed;
mod peer_feed;
mod peer_server;
mod pool;
mod presence;
mod queue;
mod refusal_line;
mod relay;
mod response;
mod routed_request;
mod run;
mod serve;
mod settings;
mod shutdown;
mod source;
mod sse;
mod store_reader;

pub use adapter::{
    Adapter, Changes, ForwardedHead, Item, ObjectKind, Page, RequestHead, ResponseHead,
};
pub use log::{LineKind, LogQuota, OmittedLines};
pub use refusal_line::RefusalLine;
pub use run::{RunError, run};
pub use settings::{Settings, SettingsFile};
pub use sse::EventSplitter;
