//! A client of the platform's object API: versioned objects, conditional writes and watches.

mod client;
mod error;

pub use client::{Change, Changes, Object, Store};
pub use error::StoreError;
