//! The gateway as a process between stand-ins for clients, endpoints and the store.

mod answers;
mod changes;
mod clients;
mod observe;
mod stops;
mod streams;
mod support;
