//! The data path between clients and endpoints, on one event loop.
//!
//! Decisions are made in `decision::routing`. An [`Adapter`] says how requests, answers and the
//! objects of a store look on the wire of one platform.

mod adapter;
mod answer;
mod attempt;
mod clock;
mod connection;
mod events;
mod feed;
mod follow;
mod gateway;
mod job;
mod listener;
mod log;
mod metrics;
mod observe;
mod peer_feed;
mod peers;
mod pool;
mod presence;
mod queue;
mod refusal_line;
mod relay;
mod request;
mod run;
mod serve;
mod settings;
mod source;
mod stop;
mod work;

pub use adapter::{
    Adapter, Changes, ForwardedHead, Item, ObjectKind, Page, RequestHead, ResponseHead,
};
pub use events::EventSplitter;
pub use log::{LineKind, LogQuota, OmittedLines};
pub use refusal_line::RefusalLine;
pub use run::{RunError, run};
pub use settings::{Settings, SettingsFile};
