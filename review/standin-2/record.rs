//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { file: Mutex::new(file), began: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let seconds = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {text}");
    }
}
