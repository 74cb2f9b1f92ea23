//! Routing from outside: what is known of the platform goes in, choices come out.

mod catalog;
mod directory;
mod engine;
mod followers;
mod keys;
mod load;
mod replay;
mod waiting;
