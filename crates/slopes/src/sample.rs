//! Memory and processor time of a process, read from `/proc`.

use std::fs;
use std::io::{Error, ErrorKind, Result};
use std::path::Path;

const CONTROL_THREAD: &str = "control";

/// Memory of a process and the processor time that it has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Resident memory, in bytes.
    pub rss_bytes: f64,
    /// Processor time of all threads, in microseconds.
    pub cpu_us: f64,
    /// Processor time of the control thread, in microseconds.
    pub control_cpu_us: f64,
}

impl Sample {
    /// Reads the sample of a running process.
    ///
    /// # Errors
    /// Fails if the process has ended.
    pub fn read(pid: u32) -> Result<Self> {
        let mut sample = Sample {
            rss_bytes: read_rss_bytes(pid)?,
            ..Sample::default()
        };
        for task in fs::read_dir(format!("/proc/{pid}/task"))? {
            sample.add_thread(&task?.path())?;
        }
        Ok(sample)
    }

    /// Adds the processor time of a thread.
    fn add_thread(&mut self, task: &Path) -> Result<()> {
        let schedule = fs::read_to_string(task.join("schedstat"))?;
        let cpu_ns: f64 = parse(schedule.split_whitespace().next())?;
        self.cpu_us += cpu_ns / 1e3;
        if fs::read_to_string(task.join("comm"))?.trim() == CONTROL_THREAD {
            self.control_cpu_us += cpu_ns / 1e3;
        }
        Ok(())
    }

    /// Returns the processor time used since an earlier sample, with the memory of this sample.
    pub fn since(&self, earlier: &Sample) -> Sample {
        Sample {
            rss_bytes: self.rss_bytes,
            cpu_us: self.cpu_us - earlier.cpu_us,
            control_cpu_us: self.control_cpu_us - earlier.control_cpu_us,
        }
    }
}

fn read_rss_bytes(pid: u32) -> Result<f64> {
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
