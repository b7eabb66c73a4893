//! Memory and processor time of a process, from the kernel's accounts of it.

use std::fs;
use std::io::{Error, ErrorKind, Result};
use std::path::Path;

const CONTROL_THREAD: &str = "control";

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Resident memory in bytes.
    pub rss_bytes: f64,
    /// Processor time of all threads in microseconds.
    pub cpu_us: f64,
    /// Processor time of the control thread in microseconds.
    pub control_us: f64,
}

impl Sample {
    /// Reads the accounts of a running process.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn of(pid: u32) -> Result<Self> {
        let mut sample = Sample {
            rss_bytes: rss(pid)?,
            ..Sample::default()
        };
        for task in fs::read_dir(format!("/proc/{pid}/task"))? {
            sample.add(&task?.path())?;
        }
        Ok(sample)
    }

    /// Adds the processor time of a thread.
    fn add(&mut self, task: &Path) -> Result<()> {
        let schedule = fs::read_to_string(task.join("schedstat"))?;
        let nanoseconds: f64 = parse(schedule.split_whitespace().next())?;
        self.cpu_us += nanoseconds / 1e3;
        if fs::read_to_string(task.join("comm"))?.trim() == CONTROL_THREAD {
            self.control_us += nanoseconds / 1e3;
        }
        Ok(())
    }

    /// What was used since an earlier sample; memory is that of now.
    pub fn since(&self, earlier: &Sample) -> Sample {
        Sample {
            rss_bytes: self.rss_bytes,
            cpu_us: self.cpu_us - earlier.cpu_us,
            control_us: self.control_us - earlier.control_us,
        }
    }
}

fn rss(pid: u32) -> Result<f64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    let kilobytes: f64 = parse(kilobytes)?;
    Ok(kilobytes * 1024.0)
}

fn parse(text: Option<&str>) -> Result<f64> {
    let number = text.and_then(|text| text.parse().ok());
    number.ok_or_else(|| Error::from(ErrorKind::InvalidData))
}
