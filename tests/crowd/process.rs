//! What a process holds, as the kernel reports it.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// State of a socket that accepts connections; its queue is a number of connections.
const LISTENING: &str = "0A";

/// A running process of the product and the addresses at which it listens.
#[derive(Clone, Debug)]
pub struct Process {
    id: u32,
    /// Local addresses as the kernel prints them.
    addresses: Vec<String>,
}

impl Process {
    /// Describes a process by its identifier.
    pub fn new(id: u32, addresses: &[SocketAddr]) -> Self {
        let print = |address: &SocketAddr| {
            let IpAddr::V4(ip) = address.ip() else {
                panic!("{address} is not of version 4");
            };
            let ip = u32::from_ne_bytes(ip.octets());
            format!("{ip:08X}:{:04X}", address.port())
        };
        Process {
            id,
            addresses: addresses.iter().map(print).collect(),
        }
    }

    fn read(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.id)).unwrap_or_default()
    }

    /// Returns the number of open descriptors.
    pub fn descriptors(&self) -> usize {
        let directory = std::fs::read_dir(format!("/proc/{}/fd", self.id));
        directory.unwrap().count()
    }

    /// Returns the processor time that the process has used, in ticks of the kernel.
    pub fn processor_ticks(&self) -> u64 {
        let text = self.read("stat");
        // The name of the program, in parentheses, may have spaces.
        let fields = text.rsplit(')').next().unwrap().split(' ');
        let times = fields.skip(12).take(2);
        times.map(|ticks| ticks.parse::<u64>().unwrap()).sum()
    }

    /// Returns a size in the status of the process, in bytes; 0 if the process has ended.
    fn status_bytes(&self, key: &str) -> u64 {
        let status = self.read("status");
        let size = status.lines().find_map(|line| line.strip_prefix(key));
        size.map_or(0, |size| {
            let kilobytes = size.trim().trim_end_matches(" kB");
            kilobytes.parse::<u64>().unwrap() << 10
        })
    }

    /// Returns the peak of the resident memory in bytes; 0 if the process has ended.
    pub fn peak_bytes(&self) -> u64 {
        self.status_bytes("VmHWM:")
    }

    /// Returns the resident memory in bytes; 0 if the process has ended.
    fn resident_bytes(&self) -> u64 {
        self.status_bytes("VmRSS:")
    }

    /// Returns how many bytes the process has received and not read.
    fn unread_bytes(&self) -> u64 {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let unread = |line: &str| {
            let mut fields = line.split_whitespace();
            let local = fields.nth(1)?;
            let state = fields.nth(1)?;
            let (_, received) = fields.next()?.split_once(':')?;
            let is_own = state != LISTENING && self.addresses.iter().any(|own| own == local);
            is_own.then(|| u64::from_str_radix(received, 16).unwrap())
        };
        table.lines().filter_map(unread).sum()
    }

    /// Returns the memory that the process uses on its machine: what is received and not read counts.
    pub fn used_bytes(&self) -> u64 {
        self.resident_bytes() + self.unread_bytes()
    }
}

/// Samples the memory of a process until it is dropped.
pub struct Watch {
    most_bytes: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Watch {
    /// Begins to sample.
    pub fn new(process: Process) -> Self {
        let (most_bytes, is_over) = (
            Arc::new(AtomicU64::new(0)),
            Arc::new(AtomicBool::new(false)),
        );
        let thread = {
            let (most_bytes, is_over) = (most_bytes.clone(), is_over.clone());
            std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    most_bytes.fetch_max(process.used_bytes(), Ordering::Relaxed);
                    std::thread::sleep(SAMPLE_INTERVAL);
                }
            })
        };
        Watch {
            most_bytes,
            is_over,
            thread: Some(thread),
        }
    }

    /// Returns the most memory that was used at one time, with what was received and not read.
    pub fn most_bytes(&self) -> u64 {
        self.most_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A failed sample has reported itself.
            let _ = thread.join();
        }
    }
}
