//! Messages between daemons, and from daemons to the command-line tool.
//!
//! Each module is generated from the file of the same name in `schema/`; run
//! `cargo run -p schema --bin generate` after a change.

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod cluster;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod duties;
mod envelope;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod feed;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod forward;
mod load_row;
mod packed;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod status;

pub use envelope::{PacketError, decode_signed, encode_signed};
pub use load_row::{endpoint_loads, load_rows};
pub use packed::Packed;
