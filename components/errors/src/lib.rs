//! The refusals that callers receive, and the verdicts on whether a refused request may have run.

mod refusal;
mod verdict;

pub use refusal::{Reason, Refusal};
pub use verdict::Verdict;
