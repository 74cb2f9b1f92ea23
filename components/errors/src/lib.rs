//! Verdicts and refusals shared by every crate.

mod refusal;
mod verdict;

pub use refusal::{Reason, Refusal};
pub use verdict::Verdict;
