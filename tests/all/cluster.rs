//! A small environment of real processes on loopback addresses of its own, before stand-ins.
//!
//! Each environment has its own address in 127.0.0.0/8, so that tests run side by side with fixed
//! ports. Processes are ended by their ids when the environment is dropped.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use ::settings::Document;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use standins::{Handle, engine, link, platform as table, service};
use store::api::{HostInfo, HostRole};
use units::Digest;

use crate::caller::{Caller, request};

/// Bound for a process to start and to find its peers.
pub const START_MAX: Duration = Duration::from_secs(10);

/// Set to keep the logs of tests that pass, too.
const KEEP: &str = "BALSAMHOLD_KEEP";
const POLL: Duration = Duration::from_millis(20);

/// The key that the environment's processes share.
pub const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const OPERATOR: &str = "operator-token";

/// The token of viewers.
pub const VIEWER: &str = "viewer-token";

static CLUSTERS: AtomicU16 = AtomicU16::new(0);

/// Waits for a condition; fails the test if it does not hold within `bound`.
#[track_caller]
pub fn eventually(bound: Duration, what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < bound, "not within {bound:?}: {what}");
        std::thread::sleep(POLL);
    }
}

/// What an environment consists of.
#[derive(Clone, Debug)]
pub struct Config {
    entries: u16,
    engines: u16,
    services: u16,
    engine: engine::Config,
    document: String,
    links: bool,
    environment: &'static str,
}

impl Config {
    /// Two entries, two engines and one plain service.
    pub fn new() -> Self {
        Config {
            entries: 2,
            engines: 2,
            services: 1,
            engine: engine::Config::default(),
            document: document(""),
            links: false,
            environment: "trial",
        }
    }

    /// Uses this many entries.
    pub fn with_entries(mut self, entries: u16) -> Self {
        self.entries = entries;
        self
    }

    /// Uses this many engines.
    pub fn with_engines(mut self, engines: u16) -> Self {
        self.engines = engines;
        self
    }

    /// Uses this many plain services.
    pub fn with_services(mut self, services: u16) -> Self {
        self.services = services;
        self
    }

    /// Uses engines that take so many microseconds for a token.
    pub fn with_token_us(self, token_us: u64) -> Self {
        self.with_engine(engine::Config {
            token_us,
            ..engine::Config::default()
        })
    }

    /// Uses engines of this speed and size.
    pub fn with_engine(mut self, engine: engine::Config) -> Self {
        self.engine = engine;
        self
    }

    /// Has peers reach each process through a stand-in link.
    pub fn with_links(mut self) -> Self {
        self.links = true;
        self
    }

    /// Uses an environment of this name.
    pub fn with_environment(mut self, name: &'static str) -> Self {
        self.document = Document::rename(&self.document, name);
        self.environment = name;
        self
    }

    /// Adds sections to the environment document.
    pub fn with_document(mut self, sections: &str) -> Self {
        self.document = document(sections);
        self
    }

    /// Starts everything and waits until all entries see all endpoints.
    pub fn start(self) -> Cluster {
        Cluster::start(self)
    }
}

/// The environment document with more `sections`.
pub fn document(sections: &str) -> String {
    let token = |account: &str| Digest::of(format!("{account}-token").as_bytes());
    let accounts = ["meche", "pindan"].map(|account| {
        format!(
            "[account {account}]\ntoken-digest = {}\nclasses = reorder advisor\n",
            token(account)
        )
    });
    format!(
        "[environment]\nname = trial\n\
         [class reorder]\nprecedence = 10\ndeadline = 10m\n\
         [class advisor]\nprecedence = 1\ndeadline = 5m\n\
         {}{}[model advisor]\n\
         [service catalogue]\nidempotent = yes\n[service stock]\nidempotent = no\n{sections}",
        accounts[0], accounts[1],
    )
}

struct Process {
    name: String,
    arguments: Vec<String>,
    child: Option<Child>,
}

/// A running environment.
pub struct Cluster {
    /// The platform's stand-in.
    pub platform: Handle<table::State>,
    /// The engines' stand-ins.
    pub engines: Vec<Handle<engine::State>>,
    /// The services' stand-ins.
    pub services: Vec<Handle<service::State>>,
    /// The stand-in links by the process that they lead to, if there are any.
    pub links: BTreeMap<String, link::Link>,
    address: Ipv4Addr,
    directory: PathBuf,
    processes: Vec<Process>,
    entries: u16,
    environment: &'static str,
}

impl Cluster {
    fn start(config: Config) -> Self {
        let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let [low, high, ..] = pid.to_le_bytes();
        let address = Ipv4Addr::new(127, 1 + high % 250, low, 1 + (number % 250) as u8);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{pid}-{number}"));
        std::fs::create_dir_all(&directory).unwrap();
        let any = SocketAddr::new(address.into(), 0);
        let engines = (0..config.engines).map(|_| engine::start(any, config.engine).unwrap());
        let services = (0..config.services).map(|_| service::start(any, 2).unwrap());
        let mut cluster = Cluster {
            platform: table::start(any, Vec::new()).unwrap(),
            engines: engines.collect(),
            services: services.collect(),
            links: BTreeMap::new(),
            address,
            directory,
            processes: Vec::new(),
            entries: config.entries,
            environment: config.environment,
        };
        cluster.add_processes(config.links);
        cluster.eventually_live();
        cluster.apply(0, &config.document).unwrap();
        let endpoints = usize::from(config.engines + config.services);
        for entry in 0..config.entries {
            cluster.eventually_sees(entry, endpoints);
        }
        cluster
    }

    fn add_processes(&mut self, links: bool) {
        let mut hosts = Vec::new();
        for index in 0..self.entries {
            hosts.push(self.add_entry(index));
        }
        let engines: Vec<SocketAddr> = self.engines.iter().map(|engine| engine.address).collect();
        for (index, address) in engines.iter().enumerate() {
            let name = format!("engine-{index}");
            hosts.push(self.add_sidecar(&name, "engine", *address, "advisor"));
        }
        let services: Vec<SocketAddr> = self.services.iter().map(|one| one.address).collect();
        for (index, address) in services.iter().enumerate() {
            let name = format!("service-{index}");
            hosts.push(self.add_sidecar(&name, "service", *address, "catalogue stock"));
        }
        if links {
            for info in &mut hosts {
                let any = SocketAddr::new(self.address.into(), 0);
                let link = link::start(any, info.address).unwrap();
                info.address = link.address;
                self.links.insert(info.host.to_string(), link);
            }
        }
        self.platform.state().hosts = hosts;
        for index in 0..self.processes.len() {
            self.spawn(index);
        }
    }

    fn add_entry(&mut self, index: u16) -> HostInfo {
        let name = format!("entry-{index}");
        let (callers, peers, admin) = (7_000 + index, 7_100 + index, 7_200 + index);
        let address = self.address;
        let settings = format!(
            "{}[entry]\ncaller-address = {address}:{callers}\npeer-address = {address}:{peers}\n\
             body-max = 64k\n[admin]\naddress = {address}:{admin}\noperator-token-digest = {}\n\
             viewer-token-digest = {}\n",
            self.process_settings(&name, index),
            Digest::of(OPERATOR.as_bytes()),
            Digest::of(VIEWER.as_bytes()),
        );
        self.add(&name, "entry", &settings);
        self.host_info(&name, HostRole::Entry, peers, index)
    }

    fn add_sidecar(
        &mut self,
        endpoint: &str,
        kind: &str,
        engine: SocketAddr,
        serves: &str,
    ) -> HostInfo {
        let index = self.processes.len() as u16 - self.entries;
        let name = format!("sidecar-{endpoint}");
        let (peers, status) = (7_300 + index, 7_400 + index);
        let address = self.address;
        let settings = format!(
            "{}[sidecar]\npeer-address = {address}:{peers}\nstatus-address = {address}:{status}\n\
             [endpoint]\nname = {endpoint}\nkind = {kind}\naddress = {engine}\nserves = {serves}\n\
             slots = 8\n",
            self.process_settings(&name, index),
        );
        self.add(&name, "sidecar", &settings);
        self.host_info(&name, HostRole::Sidecar, peers, index)
    }

    fn process_settings(&self, name: &str, index: u16) -> String {
        format!(
            "[process]\nhost = {name}\nregion = north\nzone = north-{}\nenvironment = {}\n\
             key = {KEY}\n[platform]\naddress = {}\ntimeout = 1s\n",
            index % 2,
            self.environment,
            self.platform.address,
        )
    }

    fn host_info(&self, name: &str, role: HostRole, port: u16, index: u16) -> HostInfo {
        HostInfo {
            host: name.parse().unwrap(),
            role,
            address: SocketAddr::new(self.address.into(), port),
            region: "north".parse().unwrap(),
            zone: format!("north-{}", index % 2).parse().unwrap(),
            leaving: false,
        }
    }

    fn add(&mut self, name: &str, command: &str, settings: &str) {
        let file = self.directory.join(format!("{name}.ini"));
        std::fs::write(&file, settings).unwrap();
        let file = file.to_str().unwrap().to_owned();
        let arguments = vec![command.to_owned(), "--settings".to_owned(), file];
        self.processes.push(Process {
            name: name.to_owned(),
            arguments,
            child: None,
        });
    }

    fn spawn(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let log = self.directory.join(format!("{}.log", process.name));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_balsamhold"))
            .args(&process.arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        process.child = Some(child.unwrap());
    }

    fn index(&self, name: &str) -> usize {
        self.processes
            .iter()
            .position(|process| process.name == name)
            .unwrap()
    }

    fn signal(&self, name: &str, signal: Signal) {
        let child = self.processes[self.index(name)].child.as_ref().unwrap();
        kill(Pid::from_raw(child.id() as i32), signal).unwrap();
    }

    /// Kills a process at once.
    pub fn kill(&mut self, name: &str) {
        self.signal(name, Signal::SIGKILL);
        let index = self.index(name);
        self.processes[index].child.take().unwrap().wait().unwrap();
    }

    /// Freezes a process.
    pub fn pause(&self, name: &str) {
        self.signal(name, Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn resume(&self, name: &str) {
        self.signal(name, Signal::SIGCONT);
    }

    /// Asks a process to stop, without waiting for it.
    pub fn stop(&self, name: &str) {
        self.signal(name, Signal::SIGTERM);
    }

    /// Whether a process has ended, and how.
    pub fn ended(&mut self, name: &str) -> Option<ExitStatus> {
        let index = self.index(name);
        self.processes[index]
            .child
            .as_mut()
            .unwrap()
            .try_wait()
            .unwrap()
    }

    /// Starts a process again that has ended.
    pub fn restart(&mut self, name: &str) {
        let index = self.index(name);
        self.spawn(index);
    }

    /// The number of entries.
    pub fn entries(&self) -> u16 {
        self.entries
    }

    /// Whether an entry's process runs; it may be frozen.
    pub fn is_started(&self, entry: u16) -> bool {
        let index = self.index(&format!("entry-{entry}"));
        self.processes[index].child.is_some()
    }

    /// Whether an entry says that it is ready.
    pub fn is_ready(&self, entry: u16) -> bool {
        let ready = self.operate(entry, "GET", "/ready", None);
        ready.is_some_and(|(status, _)| status == 200)
    }

    /// The log lines of a process so far.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.directory.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// The address at which an entry serves callers.
    pub fn caller_address(&self, entry: u16) -> SocketAddr {
        SocketAddr::new(self.address.into(), 7_000 + entry)
    }

    /// A caller of `account` at an entry.
    pub fn caller(&self, entry: u16, account: &str) -> Caller {
        Caller::new(self.caller_address(entry), &format!("{account}-token"))
    }

    /// The address of an entry's administration API.
    pub fn admin_address(&self, entry: u16) -> SocketAddr {
        SocketAddr::new(self.address.into(), 7_200 + entry)
    }

    /// Runs an operator's command, with the operators' token.
    pub fn ctl(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_balsamhold"))
            .arg("ctl")
            .args(arguments)
            .env("BALSAMHOLD_TOKEN", OPERATOR)
            .output()
            .unwrap()
    }

    /// Sends an operator's request; the status and the JSON answer.
    pub fn operate(
        &self,
        entry: u16,
        method: &str,
        path: &str,
        body: Option<&str>,
    ) -> Option<(u16, Value)> {
        request(self.admin_address(entry), OPERATOR, method, path, body)
    }

    /// Has a document accepted through the first entry; the error's status otherwise.
    pub fn apply(&self, base: u64, text: &str) -> Result<u64, u16> {
        let path = format!("/v1/environment?base={base}&author=test");
        let (status, answer) = self.operate(0, "PUT", &path, Some(text)).unwrap();
        if status == 200 {
            Ok(answer["version"].as_u64().unwrap())
        } else {
            Err(status)
        }
    }

    /// The account of a program, from any entry that knows it.
    pub fn explain(&self, program: &str) -> Option<Value> {
        let path = format!("/v1/programs/{program}/explain");
        let answers = (0..self.entries).filter_map(|entry| self.operate(entry, "GET", &path, None));
        answers
            .into_iter()
            .find(|(status, _)| *status == 200)
            .map(|(_, account)| account)
    }

    /// The status of an entry, if it answers.
    pub fn status(&self, entry: u16) -> Value {
        self.operate(entry, "GET", "/v1/status", None)
            .map_or(json!({}), |(_, status)| status)
    }

    fn eventually_live(&self) {
        for entry in 0..self.entries {
            eventually(START_MAX, "entry live", || {
                self.operate(entry, "GET", "/live", None).is_some()
            });
        }
    }

    /// Waits until an engine runs a call and returns its index.
    pub fn eventually_runs(&self) -> usize {
        let running = || {
            let mut engines = self.engines.iter();
            engines.position(|engine| engine.state().running > 0)
        };
        let mut found = None;
        eventually(START_MAX, "an engine runs the call", || {
            found = running();
            found.is_some()
        });
        found.unwrap()
    }

    /// Waits until an entry has a document and sees so many endpoints and all other entries.
    pub fn eventually_sees(&self, entry: u16, endpoints: usize) {
        let peers = usize::from(self.entries) - 1;
        eventually(START_MAX, "entry sees its peers", || {
            let status = self.status(entry);
            let count = |key: &str| status[key].as_array().map_or(0, Vec::len);
            status["version"].is_u64()
                && count("endpoints") == endpoints
                && count("entries") == peers
        });
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if !std::thread::panicking() && std::env::var_os(KEEP).is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}
