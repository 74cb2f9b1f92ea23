//! Routing of requests to endpoints that all daemons share.

mod catalog;
mod demand;
mod directory;
mod endpoint;
mod exchange;
mod freshness;
mod journal;
mod members;
mod placement;
mod prompt;
mod ranking;
mod retry_budget;
mod terms;
mod waiting;
mod waits;

pub use catalog::{
    Account, Caller, Catalog, ClientLimits, Configuration, Destination, EngineSize, Repeat, Route,
    Service,
};
pub use demand::{Candidate, Choice, Demand, Distance, Lane, Lease, Outcome, Placement};
pub use directory::{Directory, DirectoryChange, REAPPEAR, Registration};
pub use exchange::{Exchange, add_up};
pub use freshness::Freshness;
pub use journal::Journal;
pub use members::{DaemonRecord, Members};
pub use placement::LoadTable;
pub use prompt::{Prompt, PromptPart};
pub use retry_budget::{BudgetTerms, RetryBudget};
pub use terms::PlacementTerms;
pub use waiting::{QueueKey, Ticket, WaitingRoom, refusal_time};
