//! The data path between clients and endpoints, on a single-threaded event loop.
//!
//! `decision::routing` makes the routing decisions. An [`Adapter`] translates requests, responses
//! and stored objects to and from the wire formats of one platform.

mod adapter;
mod attempt;
mod brittle;
mod broken_response;
mod busy_connection;
mod clock;
mod configuration_history;
mod configuration_updates;
mod connection;
mod contents;
mod continuation;
mod departures;
mod dispatch;
mod duties;
mod event_order;
mod feed_response;
mod follow;
mod framing;
mod gateway;
mod in_flight;
mod incoming_update;
mod kept_body;
mod large_responses;
mod listener;
mod load_reports;
mod log;
mod metrics;
mod monitoring;
mod newer_configuration;
mod notices;
mod object_feed;
mod packing;
mod peer_feed;
mod peer_registry;
mod peer_server;
mod pool;
mod queue;
mod reach_probe;
mod reader_records;
mod refusal_line;
mod registry_copies;
mod registry_log;
mod registry_outage;
mod relay;
mod relayed_request;
mod response;
mod response_memory;
mod routed_request;
mod run;
mod serve;
mod settings;
mod shutdown;
mod software_versions;
mod sse;
mod stated_departure;
mod store_connection;
mod store_era;
mod store_reader;
mod stream_body;
mod stream_end;
mod stream_writer;
mod update_source;
mod version_store;

pub use adapter::{
    Adapter, Changes, ForwardedHead, Item, ObjectKind, Page, RequestHead, ResponseHead, Stored,
};
pub use event_order::EventOrder;
pub use framing::Framing;
pub use log::{LineKind, LogQuota, OmittedLines};
pub use refusal_line::RefusalLine;
pub use response_memory::{Reservation, ResponseMemory};
pub use run::{RunError, run};
pub use settings::{DutySettings, Settings, SettingsFile};
pub use sse::{EventSplitter, has_event};
pub use stream_body::{StreamBody, StreamWriter, TruncatedResponse, stream_body};
