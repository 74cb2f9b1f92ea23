//! One doer for each pool, and models placed after their demand.

mod lease;
mod placement;
