//! Routing of requests to endpoints that all daemons share.

mod catalog;
mod directory;
mod freshness;
mod placement;
mod prompt;
mod retry_budget;

pub use catalog::{
    Account, Caller, Catalog, ClientLimits, Configuration, Destination, EngineSize, Repeat, Route,
    Service,
};
pub use directory::{Directory, DirectoryChange, REAPPEAR, Registration};
pub use freshness::Freshness;
pub use placement::{
    Candidate, Choice, Demand, Distance, Lane, Lease, LoadTable, Outcome, PlacementTerms,
};
pub use prompt::{Prompt, PromptPart};
pub use retry_budget::{BudgetTerms, RetryBudget};
