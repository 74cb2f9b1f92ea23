//! The record of a case: what was sent, answered and run.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::{Mutex, PoisonError};

/// Lines with the times of their events.
#[derive(Debug, Default)]
pub struct Record {
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn add(&self, at_ms: u64, text: impl Into<String>) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push((at_ms, text.into()));
    }

    /// Writes the lines in the order of their times, which are counted from `start_ms`.
    pub fn write(&self, path: &Path, start_ms: u64) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, text)| format!("{:8.3} s  {text}\n", (*at as f64 - start_ms as f64) / 1e3))
            .collect();
        fs::write(path, text)
    }
}
