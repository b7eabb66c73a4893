//! The record of a case, and its temporary folder.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        Record {
            file: Mutex::new(File::create(path).expect("record")),
            started: Instant::now(),
        }
    }

    /// Writes a line with the time since the beginning, there and to standard output.
    pub fn say(&self, line: &str) {
        let line = format!("{:8.3} {line}", self.started.elapsed().as_secs_f64());
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }
}

/// A temporary folder that ends with the case.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("temporary folder");
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
