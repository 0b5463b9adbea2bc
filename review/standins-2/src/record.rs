//! The record of a run: one line for each thing that clients, servers and the platform have seen.

use std::{
    fs::File,
    io::{BufWriter, Write},
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the record at the path in `RECORD`.
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(path).expect("the record can be written");
        Self {
            start: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} {text}").unwrap();
        file.flush().unwrap();
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        self.line(text);
    }
}

/// Whether the disruption is left out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
