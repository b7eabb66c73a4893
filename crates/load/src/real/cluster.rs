//! Processes of the shipped binary on a loopback address of their own.

use std::fmt;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use http_types::{Body, Method};
use serde_json::Value;
use standins::{Handle, engine, platform as table, service};
use store::api::{HostInfo, HostRole};
use units::Digest;

use crate::variant::Variant;
use crate::workload::{CACHE, OBJECTIVE, PREFILL_TIME, SLOTS, Shape, TOKEN_TIME, Window};

const START_MAX: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(50);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const SERVICE_MS: u64 = 20;
const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const OPERATOR: &str = "operator-token";
const REGIONS: [&str; 2] = ["north", "south"];

/// Why the processes do not run.
#[derive(Debug)]
pub enum Error {
    /// A file, a socket or a process could not be had.
    Io(io::Error),
    /// The entries did not find all endpoints in time.
    Timeout,
    /// The environment document was refused with this status.
    Document(u16),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(error) => error.fmt(f),
            Error::Timeout => f.write_str("the entries did not find all endpoints in time"),
            Error::Document(status) => write!(f, "the document was refused: {status}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Error::Io(error)
    }
}

/// Result of starting processes.
pub type Result<T> = std::result::Result<T, Error>;

/// Tokens that the engines computed and generated.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) prefilled: u64,
    pub(crate) generated: u64,
}

/// A running deployment.
pub(crate) struct Cluster {
    platform: Handle<table::State>,
    engines: Vec<Handle<engine::State>>,
    services: Vec<Handle<service::State>>,
    address: Ipv4Addr,
    directory: PathBuf,
    entries: [u32; 2],
    children: Vec<Child>,
    hosts: Vec<HostInfo>,
}

impl Cluster {
    pub(crate) fn start(binary: &Path, shape: &Shape, variant: &Variant) -> Result<Self> {
        let [low, high, ..] = std::process::id().to_le_bytes();
        let address = Ipv4Addr::new(127, 101, high, low.max(1));
        let directory = std::env::temp_dir().join(format!("load-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let any = SocketAddr::new(address.into(), 0);
        let config = engine::Config {
            slots: SLOTS,
            token_us: TOKEN_TIME.0,
            prefill_us: PREFILL_TIME.0,
            cache_tokens: CACHE.0,
            ..engine::Config::default()
        };
        let engines = (0..shape.engines()).map(|_| engine::start(any, config));
        let services = (0..shape.services()).map(|_| service::start(any, SERVICE_MS));
        let mut cluster = Cluster {
            platform: table::start(any, Vec::new())?,
            engines: engines.collect::<io::Result<_>>()?,
            services: services.collect::<io::Result<_>>()?,
            address,
            directory,
            entries: shape.entries,
            children: Vec::new(),
            hosts: Vec::new(),
        };
        let ready = cluster.start_processes(binary, shape, variant);
        match ready {
            Ok(()) => Ok(cluster),
            Err(error) => {
                cluster.close();
                Err(error)
            }
        }
    }

    fn start_processes(&mut self, binary: &Path, shape: &Shape, variant: &Variant) -> Result<()> {
        let mut settings = Vec::new();
        for (region, count) in self.entries.into_iter().enumerate() {
            for _ in 0..count {
                settings.push(("entry", self.entry(region)));
            }
        }
        let engines: Vec<SocketAddr> = self.engines.iter().map(|one| one.address).collect();
        for (number, address) in engines.into_iter().enumerate() {
            let region = usize::from(number as u32 >= shape.engines[0]);
            settings.push((
                "sidecar",
                self.sidecar("engine", address, "advisor", region),
            ));
        }
        let services: Vec<SocketAddr> = self.services.iter().map(|one| one.address).collect();
        for (number, address) in services.into_iter().enumerate() {
            let region = usize::from(number as u32 >= shape.services[0]);
            let serves = "catalogue records";
            settings.push(("sidecar", self.sidecar("service", address, serves, region)));
        }
        self.platform.state().hosts = self.hosts.clone();
        for (number, (command, text)) in settings.into_iter().enumerate() {
            let file = self.directory.join(format!("{number}.ini"));
            std::fs::write(&file, text)?;
            let log = std::fs::File::create(self.directory.join(format!("{number}.log")))?;
            let child = Command::new(binary)
                .arg(command)
                .arg("--settings")
                .arg(&file)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log)
                .spawn()?;
            self.children.push(child);
        }
        self.apply(&document(variant))?;
        let endpoints = (shape.engines() + shape.services()) as usize;
        self.eventually(|cluster| cluster.sees(endpoints))
    }

    fn entry(&mut self, region: usize) -> String {
        let number = self.hosts.len() as u16;
        let address = self.address;
        let (callers, peers, admin) = (7_000 + number, 7_100 + number, 7_200 + number);
        let process = self.add(HostRole::Entry, peers, region);
        format!(
            "{process}[entry]\ncaller-address = {address}:{callers}\npeer-address = {address}:{peers}\n\
             body-max = 64k\n[admin]\naddress = {address}:{admin}\noperator-token-digest = {}\n",
            Digest::of(OPERATOR.as_bytes()),
        )
    }

    fn sidecar(&mut self, kind: &str, back: SocketAddr, serves: &str, region: usize) -> String {
        let number = self.hosts.len() as u16;
        let address = self.address;
        let (peers, status) = (7_300 + number, 7_400 + number);
        let process = self.add(HostRole::Sidecar, peers, region);
        format!(
            "{process}[sidecar]\npeer-address = {address}:{peers}\nstatus-address = {address}:{status}\n\
             [endpoint]\nname = {kind}-{number}\nkind = {kind}\naddress = {back}\nserves = {serves}\n\
             slots = {SLOTS}\n",
        )
    }

    /// Lists a host; its process settings.
    fn add(&mut self, role: HostRole, port: u16, region: usize) -> String {
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
             key = {KEY}\n[platform]\naddress = {}\ntimeout = 1s\n",
            self.platform.address,
        )
    }

    fn eventually(&self, condition: impl Fn(&Self) -> bool) -> Result<()> {
        let start = Instant::now();
        while !condition(self) {
            if start.elapsed() > START_MAX {
                return Err(Error::Timeout);
            }
            std::thread::sleep(POLL);
        }
        Ok(())
    }

    fn apply(&self, text: &str) -> Result<()> {
        self.eventually(|cluster| cluster.operate(0, Method::Get, "/live", None).is_some())?;
        let path = "/v1/environment?base=0&author=load";
        match self.operate(0, Method::Put, path, Some(text)) {
            Some((200, _)) => Ok(()),
            other => Err(Error::Document(other.map_or(0, |(status, _)| status))),
        }
    }

    /// Whether all entries have the document and see all endpoints.
    fn sees(&self, endpoints: usize) -> bool {
        (0..self.entries.iter().sum::<u32>()).all(|entry| {
            let status = self.operate(entry as u16, Method::Get, "/v1/status", None);
            status.is_some_and(|(_, status)| {
                let seen = status["endpoints"].as_array().map_or(0, Vec::len);
                status["version"].is_u64() && seen == endpoints
            })
        })
    }

    fn operate(
        &self,
        entry: u16,
        method: Method,
        path: &str,
        body: Option<&str>,
    ) -> Option<(u16, Value)> {
        let address = SocketAddr::new(self.address.into(), 7_200 + entry);
        let client = http_io::Client::new(address, REQUEST_TIMEOUT).with_bearer(OPERATOR);
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

    /// The address at which an entry of `region` serves the caller of program `number`.
    pub(crate) fn caller_address(&self, region: usize, number: usize) -> SocketAddr {
        let first = if region == 0 { 0 } else { self.entries[0] };
        let entry = first + number as u32 % self.entries[region];
        SocketAddr::new(self.address.into(), 7_000 + entry as u16)
    }

    /// Slows endpoints within their windows.
    pub(crate) fn slow(
        &self,
        windows: Vec<Window>,
        start: Instant,
    ) -> impl Future<Output = ()> + use<> {
        let knobs: Vec<_> = self.engines.iter().map(Handle::share).collect();
        let delays: Vec<_> = self.services.iter().map(Handle::share).collect();
        let mut changes: Vec<(u64, usize, f64)> = Vec::new();
        for window in windows {
            changes.push((window.from.0, window.endpoint, window.factor));
            changes.push((window.to.0, window.endpoint, 1.0));
        }
        changes.sort_by_key(|change| change.0);
        async move {
            for (at, endpoint, factor) in changes {
                smol::Timer::at(start + Duration::from_micros(at)).await;
                if let Some(engine) = knobs.get(endpoint) {
                    standins::lock(engine).config.slow_percent = (factor * 100.0) as u64;
                } else if let Some(service) = delays.get(endpoint - knobs.len()) {
                    standins::lock(service).delay_ms = (factor * SERVICE_MS as f64) as u64;
                }
            }
        }
    }

    pub(crate) fn totals(&self) -> Totals {
        let mut totals = Totals::default();
        for engine in &self.engines {
            let state = engine.state();
            let used: u64 = state.used_tokens.values().sum();
            totals.prefilled += state.computed_prompt_tokens;
            totals.generated += used - state.computed_prompt_tokens - state.cached_prompt_tokens;
        }
        totals
    }

    /// Ends the processes that were started.
    pub(crate) fn close(mut self) {
        for child in &mut self.children {
            // A process that has ended by itself needs no end.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn document(variant: &Variant) -> String {
    format!(
        "[environment]\nname = trial\n\
         [class reorder]\nprecedence = 10\ndeadline = 5m\nobjective = {OBJECTIVE}\n\
         [class advisor]\nprecedence = 1\ndeadline = 5m\nobjective = {OBJECTIVE}\n\
         [account load]\ntoken-digest = {}\nclasses = reorder advisor\n\
         [model advisor]\n[service catalogue]\nidempotent = yes\n[service records]\nidempotent = no\n\
         [policy]\n{}\n",
        Digest::of(b"load-token"),
        variant.lines,
    )
}
