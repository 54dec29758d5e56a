//! What was sent, answered and run, in record.txt.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    file: Mutex<File>,
    counts: Mutex<BTreeMap<String, u64>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self(Arc::new(Inner { file, counts: Mutex::default(), began: Instant::now() })))
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.0.began.elapsed().as_secs_f64();
        let _ = writeln!(self.0.file.lock().unwrap(), "{at:8.3} s  {text}");
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    /// Counts how a request ended.
    pub fn count(&self, what: &str) {
        *self.0.counts.lock().unwrap().entry(what.to_owned()).or_default() += 1;
    }

    pub fn say_counts(&self) {
        let counts = self.0.counts.lock().unwrap().clone();
        for (what, count) in counts {
            self.say(&format!("{count:6}  {what}"));
        }
    }
}
