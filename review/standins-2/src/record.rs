//! What a case writes down: one line an event, with the milliseconds since its start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// The record of a case; clones write to the same file.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { file, started: Instant::now() })
    }

    /// The milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.now_ms();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // The verdict does not depend on the record.
        let _ = writeln!(file, "{at:>7} {text}");
    }

    /// Writes a line, also to the standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
