//! Messages between the daemons and between daemon and command-line tool.
//!
//! The types are generated from `schema/messages.json`; run
//! `cargo run -p schema --bin generate` after a change.

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
mod generated;

pub use generated::*;
