//! The record of a run.

use crate::lock;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start of the run; clones share the file.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates `record.txt` in a folder.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be written.
    pub fn create(folder: &Path) -> io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(folder.join("record.txt"))?));
        Ok(Record { file, started: Instant::now() })
    }

    /// Writes a line to the record and to standard output.
    pub fn line(&self, text: &str) {
        self.quiet(text);
        println!("{text}");
    }

    /// Writes a line to the record.
    pub fn quiet(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        if let Err(e) = writeln!(lock(&self.file), "{seconds:8.3} {text}") {
            eprintln!("record not written: {e}");
        }
    }
}
