//! Record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }
}
