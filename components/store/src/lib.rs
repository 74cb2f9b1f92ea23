//! A client of the platform's object API: versions, conditional updates and watches.

mod client;
mod error;

pub use client::{Change, Changes, Object, Store};
pub use error::StoreError;
