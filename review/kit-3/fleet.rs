//! Gateways as processes, started with the command and the settings of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Channel, exchange, request};

/// Processor time and descriptors of the machines: those of `front` in the smallest deployment.
const DESCRIPTORS: &str = "8200";
const CORES: &str = "0.5";

pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    status: SocketAddr,
    settings: PathBuf,
    memory_mb: u64,
    child: Option<Child>,
    /// Starts of the process so far.
    starts: u32,
    folder: PathBuf,
}

/// Processes that run, for the watchdog.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all gateways and the case if it has not ended by itself in time.
pub fn start_watchdog(within: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(within);
        for id in RUNNING.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

/// Where a gateway stands.
pub struct Place<'a> {
    pub zone: &'a str,
    pub region: &'a str,
    /// All zones with their regions.
    pub zones: &'a [(&'a str, &'a str)],
}

/// Returns an address below the ports that the system gives to outgoing connections, so that none of them
/// takes it before the gateway does.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 18_000 + (std::process::id() % 12) as u16 * 1_000;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::SeqCst) % 1_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Gateway {
    pub fn new(folder: &Path, name: &str, place: &Place<'_>, memory_mb: u64, store: SocketAddr) -> Gateway {
        let [callers, status, peers] = [(); 3].map(|()| free_address());
        let zones: String = place.zones.iter().map(|(zone, region)| format!("{zone} = {region}\n")).collect();
        // The layout is that of deploy/gateway.ini.
        let text = format!(
            "[process]\nhost = {name}\nregion = {}\nzone = {}\n\n[gateway]\ncaller-address = {callers}\n\
             status-address = {status}\npeer-address = {peers}\n\
             peer-key = 7d3c1f5ae2904b8867c0d19e5b2af4836e1d7c90a4f852b36b0e9d47c215fa08\n\
             long-prompts-yield = on\nstop-within-seconds = 8\n\n[zones]\n{zones}\n[platform]\naddress = {store}\n",
            place.region, place.zone
        );
        let settings = folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text).expect("settings");
        Gateway {
            name: name.into(),
            callers,
            status,
            settings,
            memory_mb,
            child: None,
            starts: 0,
            folder: folder.into(),
        }
    }

    pub fn start(&mut self) {
        self.starts += 1;
        let log = self.folder.join(format!("{}-{}.log", self.name, self.starts));
        let child = Command::new("target/release/balsamhold")
            .arg("gateway")
            .arg("--settings")
            .arg(&self.settings)
            .args(["--memory-megabytes", &self.memory_mb.to_string()])
            .args(["--descriptors", DESCRIPTORS, "--processor-cores", CORES])
            .stdin(Stdio::null())
            .stdout(File::create(log).expect("log"))
            .stderr(Stdio::null())
            .spawn();
        let child = child.expect("the gateway of the deploy file is built");
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    /// Sends SIGKILL, as a killed machine does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut channel) = Channel::connect(self.status, Duration::from_millis(500)) else {
            return false;
        };
        let ask = request("GET", "/-/readyz", &[("Host", "status")], b"");
        exchange(&mut channel, &ask, Duration::from_millis(500)).status == 200
    }

    pub fn wait_ready(&self, within: Duration) -> bool {
        let end = Instant::now() + within;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns a value of /proc/PID/status in kB.
    pub fn memory_kb(&self, field: &str) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let text = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(field)).unwrap_or("");
        line.trim_start_matches(':').trim().trim_end_matches(" kB").parse().unwrap_or(0)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
