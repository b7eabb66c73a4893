//! Starts and stops processes of the shipped binary on a loopback address used by this run alone.

use std::fmt;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use http_types::{Body, Method};
use serde_json::Value;
use standins::{Handle, engine, platform as platform_standin, service};
use store::api::{HostInfo, HostRole};
use units::Digest;

use crate::variant::Variant;
use crate::workload::{
    CACHE_CAPACITY, OBJECTIVE, PREFILL_TIME, SLOTS, Shape, SlowPeriod, TOKEN_TIME,
};

const START_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const SERVICE_TIME_MS: u64 = 20;
const PEER_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const OPERATOR_TOKEN: &str = "operator-token";
const REGIONS: [&str; 2] = ["north", "south"];

/// Reason why the processes could not be started.
#[derive(Debug)]
pub enum Error {
    /// A file, socket or process could not be created.
    Io(io::Error),
    /// The entries did not respond, or did not list all endpoints, in time.
    Timeout,
    /// The environment document was refused with this HTTP status; 0 without a response.
    DocumentRefused(u16),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(error) => error.fmt(f),
            Error::Timeout => f.write_str("the entries did not list all endpoints in time"),
            Error::DocumentRefused(status) => write!(
                f,
                "the environment document was refused with status {status}"
            ),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Error::Io(error)
    }
}

/// Result of starting the processes.
pub type Result<T> = std::result::Result<T, Error>;

/// Numbers of tokens that all engines together computed and generated.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) computed_prompt_tokens: u64,
    pub(crate) generated_tokens: u64,
}

/// A running deployment: processes of the binary and the stand-ins that they use.
pub(crate) struct Cluster {
    platform: Handle<platform_standin::State>,
    engines: Vec<Handle<engine::State>>,
    services: Vec<Handle<service::State>>,
    address: Ipv4Addr,
    directory: PathBuf,
    entry_counts: [u32; 2],
    processes: Vec<Child>,
    hosts: Vec<HostInfo>,
}

impl Cluster {
    pub(crate) fn start(binary: &Path, shape: &Shape, variant: &Variant) -> Result<Self> {
        let [low, high, ..] = std::process::id().to_le_bytes();
        let address = Ipv4Addr::new(127, 101, high, low.max(1));
        let directory = std::env::temp_dir().join(format!("load-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let any_port = SocketAddr::new(address.into(), 0);
        let config = engine::Config {
            slots: SLOTS,
            token_us: TOKEN_TIME.0,
            prefill_us: PREFILL_TIME.0,
            cache_tokens: CACHE_CAPACITY.0,
            ..engine::Config::default()
        };
        let engines = (0..shape.engines()).map(|_| engine::start(any_port, config));
        let services = (0..shape.services()).map(|_| service::start(any_port, SERVICE_TIME_MS));
        let mut cluster = Cluster {
            platform: platform_standin::start(any_port, Vec::new())?,
            engines: engines.collect::<io::Result<_>>()?,
            services: services.collect::<io::Result<_>>()?,
            address,
            directory,
            entry_counts: shape.entries,
            processes: Vec::new(),
            hosts: Vec::new(),
        };
        let started = cluster.start_processes(binary, shape, variant);
        match started {
            Ok(()) => Ok(cluster),
            Err(error) => {
                cluster.stop();
                Err(error)
            }
        }
    }

    fn start_processes(&mut self, binary: &Path, shape: &Shape, variant: &Variant) -> Result<()> {
        let mut settings = Vec::new();
        for (region, count) in self.entry_counts.into_iter().enumerate() {
            for _ in 0..count {
                settings.push(("entry", self.add_entry(region)));
            }
        }
        let engines: Vec<SocketAddr> = self.engines.iter().map(|handle| handle.address).collect();
        for (number, address) in engines.into_iter().enumerate() {
            let region = usize::from(number as u32 >= shape.engines[0]);
            settings.push((
                "sidecar",
                self.add_sidecar("engine", address, "advisor", region),
            ));
        }
        let services: Vec<SocketAddr> = self.services.iter().map(|handle| handle.address).collect();
        for (number, address) in services.into_iter().enumerate() {
            let region = usize::from(number as u32 >= shape.services[0]);
            let serves = "catalogue records";
            settings.push((
                "sidecar",
                self.add_sidecar("service", address, serves, region),
            ));
        }
        self.platform.state().hosts = self.hosts.clone();
        for (number, (command, text)) in settings.into_iter().enumerate() {
            let file = self.directory.join(format!("{number}.ini"));
            std::fs::write(&file, text)?;
            let log = std::fs::File::create(self.directory.join(format!("{number}.log")))?;
            let process = Command::new(binary)
                .arg(command)
                .arg("--settings")
                .arg(&file)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log)
                .spawn()?;
            self.processes.push(process);
        }
        self.apply_document(&environment_document(variant))?;
        let endpoints = (shape.engines() + shape.services()) as usize;
        self.wait_until(|cluster| cluster.is_ready(endpoints))
    }

    /// Adds an entry to the list of hosts; returns its settings.
    fn add_entry(&mut self, region: usize) -> String {
        let number = self.hosts.len() as u16;
        let address = self.address;
        let (caller_port, peer_port, admin_port) = (7_000 + number, 7_100 + number, 7_200 + number);
        let process = self.add_host(HostRole::Entry, peer_port, region);
        format!(
            "{process}[entry]\ncaller-address = {address}:{caller_port}\npeer-address = {address}:{peer_port}\n\
             body-max = 64k\n[admin]\naddress = {address}:{admin_port}\noperator-token-digest = {}\n",
            Digest::of(OPERATOR_TOKEN.as_bytes()),
        )
    }

    /// Adds a sidecar to the list of hosts; returns its settings.
    fn add_sidecar(
        &mut self,
        kind: &str,
        endpoint: SocketAddr,
        serves: &str,
        region: usize,
    ) -> String {
        let number = self.hosts.len() as u16;
        let address = self.address;
        let (peer_port, status_port) = (7_300 + number, 7_400 + number);
        let process = self.add_host(HostRole::Sidecar, peer_port, region);
        format!(
            "{process}[sidecar]\npeer-address = {address}:{peer_port}\nstatus-address = {address}:{status_port}\n\
             [endpoint]\nname = {kind}-{number}\nkind = {kind}\naddress = {endpoint}\nserves = {serves}\n\
             slots = {SLOTS}\n",
        )
    }

    /// Adds a host to the list; returns the `[process]` and `[platform]` sections of its settings.
    fn add_host(&mut self, role: HostRole, port: u16, region: usize) -> String {
        let name = format!("host-{}", self.hosts.len());
        let region = REGIONS[region];
        let info = HostInfo {
            host: name.parse().unwrap_or_default(),
            role,
            address: SocketAddr::new(self.address.into(), port),
            region: region.parse().unwrap_or_default(),
            zone: region.parse().unwrap_or_default(),
            leaving: false,
        };
        self.hosts.push(info);
        format!(
            "[process]\nhost = {name}\nregion = {region}\nzone = {region}\nenvironment = trial\n\
             key = {PEER_KEY}\n[platform]\naddress = {}\ntimeout = 1s\n",
            self.platform.address,
        )
    }

    fn wait_until(&self, condition: impl Fn(&Self) -> bool) -> Result<()> {
        let start = Instant::now();
        while !condition(self) {
            if start.elapsed() > START_TIMEOUT {
                return Err(Error::Timeout);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn apply_document(&self, text: &str) -> Result<()> {
        self.wait_until(|cluster| {
            cluster
                .admin_request(0, Method::Get, "/live", None)
                .is_some()
        })?;
        let path = "/v1/environment?base=0&author=load";
        match self.admin_request(0, Method::Put, path, Some(text)) {
            Some((200, _)) => Ok(()),
            response => Err(Error::DocumentRefused(
                response.map_or(0, |(status, _)| status),
            )),
        }
    }

    /// Whether all entries have an environment document and list `endpoints` endpoints.
    fn is_ready(&self, endpoints: usize) -> bool {
        (0..self.entry_counts.iter().sum::<u32>()).all(|entry| {
            let status = self.admin_request(entry as u16, Method::Get, "/v1/status", None);
            status.is_some_and(|(_, status)| {
                let listed = status["endpoints"].as_array().map_or(0, Vec::len);
                status["version"].is_u64() && listed == endpoints
            })
        })
    }

    /// Sends a request to the admin address of an entry; returns the status and the JSON body.
    fn admin_request(
        &self,
        entry: u16,
        method: Method,
        path: &str,
        body: Option<&str>,
    ) -> Option<(u16, Value)> {
        let address = SocketAddr::new(self.address.into(), 7_200 + entry);
        let client = http_io::Client::new(address, REQUEST_TIMEOUT).with_bearer(OPERATOR_TOKEN);
        let mut request = client.request(method, path).ok()?;
        if let Some(body) = body {
            request.set_body(Body::from_string(body.to_owned()));
        }
        smol::block_on(async {
            let mut response = client.send(request).await.ok()?;
            let bytes = response.body_bytes().await.ok()?;
            let value = serde_json::from_slice(&bytes).unwrap_or_default();
            Some((response.status().into(), value))
        })
    }

    /// Caller address of the entry in `region` that serves the program with the index `plan`.
    pub(crate) fn caller_address(&self, region: usize, plan: usize) -> SocketAddr {
        let first = if region == 0 { 0 } else { self.entry_counts[0] };
        let entry = first + plan as u32 % self.entry_counts[region];
        SocketAddr::new(self.address.into(), 7_000 + entry as u16)
    }

    /// Slows the stand-ins of the endpoints during their slow periods, which count from `start`.
    pub(crate) fn apply_slow_periods(
        &self,
        periods: Vec<SlowPeriod>,
        start: Instant,
    ) -> impl Future<Output = ()> + use<> {
        let engines: Vec<_> = self.engines.iter().map(Handle::share).collect();
        let services: Vec<_> = self.services.iter().map(Handle::share).collect();
        let mut changes: Vec<(u64, usize, f64)> = Vec::new();
        for period in periods {
            changes.push((period.start.0, period.endpoint, period.factor));
            changes.push((period.end.0, period.endpoint, 1.0));
        }
        changes.sort_by_key(|change| change.0);
        async move {
            for (at, endpoint, factor) in changes {
                smol::Timer::at(start + Duration::from_micros(at)).await;
                if let Some(engine) = engines.get(endpoint) {
                    standins::lock(engine).config.slow_percent = (factor * 100.0) as u64;
                } else if let Some(service) = services.get(endpoint - engines.len()) {
                    standins::lock(service).delay_ms = (factor * SERVICE_TIME_MS as f64) as u64;
                }
            }
        }
    }

    pub(crate) fn totals(&self) -> Totals {
        let mut totals = Totals::default();
        for engine in &self.engines {
            let state = engine.state();
            let used_tokens: u64 = state.used_tokens.values().sum();
            totals.computed_prompt_tokens += state.computed_prompt_tokens;
            totals.generated_tokens +=
                used_tokens - state.computed_prompt_tokens - state.cached_prompt_tokens;
        }
        totals
    }

    /// Stops the processes and deletes their settings and log files.
    pub(crate) fn stop(mut self) {
        for process in &mut self.processes {
            // Killing a process that has already exited may fail.
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn environment_document(variant: &Variant) -> String {
    format!(
        "[environment]\nname = trial\n\
         [class reorder]\nprecedence = 10\ndeadline = 5m\nobjective = {OBJECTIVE}\n\
         [class advisor]\nprecedence = 1\ndeadline = 5m\nobjective = {OBJECTIVE}\n\
         [account load]\ntoken-digest = {}\nclasses = reorder advisor\n\
         [model advisor]\n[service catalogue]\nidempotent = yes\n[service records]\nidempotent = no\n\
         [policy]\n{}\n",
        Digest::of(b"load-token"),
        variant.policy_lines,
    )
}
