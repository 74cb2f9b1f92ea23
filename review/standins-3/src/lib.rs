//! Stand-ins for the platform, runners and clients, and a handle for gateway processes. They speak
//! the platform's protocol over loopback and use only the standard library.

pub mod case;
pub mod client;
pub mod config;
pub mod gateway;
pub mod http;
pub mod json;
pub mod memory_case;
pub mod record;
pub mod runner;
pub mod store;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
