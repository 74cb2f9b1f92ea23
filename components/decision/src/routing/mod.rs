//! Routing of requests: the catalog of routes, the directory of endpoints, the exchange of loads
//! between daemons, and the choice of the endpoint of each request. All daemons of the fleet share
//! the endpoints.

mod brittle_endpoints;
mod catalog;
mod change_log;
mod configuration_change;
mod connection_budget;
mod content;
mod demand;
mod departures;
mod directory;
mod endpoint;
mod endpoint_limits;
mod fleet_size;
mod freshness;
mod lane;
mod load_exchange;
mod notices;
mod outcome_exchange;
mod placement;
mod placement_config;
mod prompt;
mod quarantine;
mod reachability;
mod reader_election;
mod readers;
mod recent_outcomes;
mod relays;
mod rendezvous;
mod retry_budget;
mod sequence_change;
mod set_digest;
mod source_health;
mod start_wait;
mod stream_records;
mod usage;
mod version_record;
mod wait_estimate;
mod wait_queues;

pub use brittle_endpoints::{BrittleEndpoints, Division, Part};
pub use catalog::{
    Account, Caller, Catalog, ClientLimits, Configuration, Destination, EngineSize, Repeat, Route,
    Scaling, Service,
};
pub use change_log::ChangeLog;
pub use configuration_change::{AccountsChange, ConfigurationChange};
pub use connection_budget::ConnectionBudget;
pub use content::{Content, request_digest};
pub use demand::{Candidate, Choice, Demand, Distance, InFlightId, Outcome, Placement};
pub use departures::Incarnation;
pub use directory::{
    CopiedEndpoint, Directory, DirectoryChange, OUTAGE_THRESHOLD, REREGISTRATION_TIMEOUT,
    Registration,
};
pub use endpoint_limits::EndpointLimits;
pub use fleet_size::FleetSize;
pub use freshness::Freshness;
pub use lane::Lane;
pub use load_exchange::{LoadExchange, Reporter, sum_loads};
pub use notices::{NoticeBoard, NoticeId, NoticeSource};
pub use outcome_exchange::OutcomeExchange;
pub use placement::LoadTable;
pub use placement_config::PlacementConfig;
pub use prompt::{Prompt, PromptPart};
pub use quarantine::{Condemnation, Judgement, Quarantine};
pub use reachability::Reachability;
pub use reader_election::{ClaimReason, Doubt, ReaderElection};
pub use readers::{ClaimOutcome, Peer, PeerFault, ReaderRecord, Step};
pub use relays::Relays;
pub use retry_budget::{RetryBudget, RetryBudgetConfig};
pub use sequence_change::SequenceChange;
pub use set_digest::SetDigest;
pub use source_health::{Source, SourceHealth};
pub use start_wait::start_wait;
pub use stream_records::{BegunStream, StreamBatch, StreamKey, StreamRecords, batch_interval};
pub use usage::Usage;
pub use version_record::{SoftwareVersion, VersionKeeper, VersionRecord};
pub use wait_queues::{QueueKey, Ticket, WaitLimits, WaitQueues};
