//! Starts an environment of real processes on loopback, with stand-ins for the platform, the
//! engines and the services.
//!
//! Each environment has its own address in 127.0.0.0/8, so that tests run concurrently with fixed
//! ports. Dropping the environment kills its processes by id.

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
use standins::{Handle, engine, link, platform as platform_standin, service};
use store::api::{HostInfo, HostRole};
use units::Digest;

use crate::caller::{Caller, request};

/// Bound for a process to start and to connect to its peers.
pub const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Environment variable that keeps the logs of passed tests as well.
const KEEP_LOGS_VARIABLE: &str = "BALSAMHOLD_KEEP";
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Key with which the processes of an environment authenticate each other.
pub const PEER_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
/// Bearer token of operators, who may change things.
pub const OPERATOR_TOKEN: &str = "operator-token";

/// Bearer token of viewers, who may only read.
pub const VIEWER_TOKEN: &str = "viewer-token";

static CLUSTER_COUNT: AtomicU16 = AtomicU16::new(0);

/// Returns a command for the program, which may open as many descriptors as the tests themselves, or
/// at most `descriptors`.
pub fn program(descriptors: Option<usize>) -> Command {
    let program = env!("CARGO_BIN_EXE_balsamhold");
    let Some(descriptors) = descriptors else {
        return Command::new(program);
    };
    // The shell is replaced, so that the program has the identifier of the process.
    let mut command = Command::new("sh");
    let script = format!("ulimit -n {descriptors} && exec \"$0\" \"$@\"");
    command.args(["-c", &script, program]);
    command
}

/// Waits until a condition holds; fails the test if it does not hold within `bound`.
#[track_caller]
pub fn eventually(bound: Duration, description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < bound,
            "not within {bound:?}: {description}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Configuration of an environment.
#[derive(Clone, Debug)]
pub struct Config {
    entries: u16,
    engines: u16,
    services: u16,
    engine: engine::Config,
    document: String,
    links: bool,
    environment: &'static str,
    body_max: &'static str,
    descriptors: Option<usize>,
}

impl Config {
    /// Configures two entries, two engines and one plain service.
    pub fn new() -> Self {
        Config {
            entries: 2,
            engines: 2,
            services: 1,
            engine: engine::Config::default(),
            document: document(""),
            links: false,
            environment: "trial",
            body_max: "64k",
            descriptors: None,
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

    /// Sets the time that engines take for each generated token.
    pub fn with_token_us(self, token_us: u64) -> Self {
        self.with_engine(engine::Config {
            token_us,
            ..engine::Config::default()
        })
    }

    /// Sets the configuration of the engines.
    pub fn with_engine(mut self, engine: engine::Config) -> Self {
        self.engine = engine;
        self
    }

    /// Routes the connections of peers to each process through a stand-in link.
    pub fn with_links(mut self) -> Self {
        self.links = true;
        self
    }

    /// Sets the longest body that entries accept from callers.
    pub fn with_body_max(mut self, body_max: &'static str) -> Self {
        self.body_max = body_max;
        self
    }

    /// Sets how many descriptors each process may open.
    pub fn with_descriptors(mut self, descriptors: usize) -> Self {
        self.descriptors = Some(descriptors);
        self
    }

    /// Sets the name of the environment.
    pub fn with_environment(mut self, name: &'static str) -> Self {
        self.document = Document::rename(&self.document, name);
        self.environment = name;
        self
    }

    /// Uses an environment document that ends with `sections`.
    pub fn with_sections(mut self, sections: &str) -> Self {
        self.document = document(sections);
        self
    }

    /// Starts all processes and waits until every entry is connected to every endpoint.
    pub fn start(self) -> Cluster {
        Cluster::start(self)
    }
}

/// Returns an environment document that ends with `sections`.
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
    /// Stand-in of the platform.
    pub platform: Handle<platform_standin::State>,
    /// Stand-ins of the engines, by index.
    pub engines: Vec<Handle<engine::State>>,
    /// Stand-ins of the services, by index.
    pub services: Vec<Handle<service::State>>,
    /// Stand-in links by the name of the process that they lead to; empty without `with_links`.
    pub links: BTreeMap<String, link::Link>,
    address: Ipv4Addr,
    directory: PathBuf,
    processes: Vec<Process>,
    entries: u16,
    environment: &'static str,
    body_max: &'static str,
    descriptors: Option<usize>,
}

impl Cluster {
    fn start(config: Config) -> Self {
        let number = CLUSTER_COUNT.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let [low, high, ..] = pid.to_le_bytes();
        let address = Ipv4Addr::new(127, 1 + high % 250, low, 1 + (number % 250) as u8);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{pid}-{number}"));
        std::fs::create_dir_all(&directory).unwrap();
        let any_port = SocketAddr::new(address.into(), 0);
        let engines = (0..config.engines).map(|_| engine::start(any_port, config.engine).unwrap());
        let services = (0..config.services).map(|_| service::start(any_port, 2).unwrap());
        let mut cluster = Cluster {
            platform: platform_standin::start(any_port, Vec::new()).unwrap(),
            engines: engines.collect(),
            services: services.collect(),
            links: BTreeMap::new(),
            address,
            directory,
            processes: Vec::new(),
            entries: config.entries,
            environment: config.environment,
            body_max: config.body_max,
            descriptors: config.descriptors,
        };
        cluster.add_processes(config.links);
        cluster.eventually_live();
        cluster.put_document(0, &config.document).unwrap();
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
                let any_port = SocketAddr::new(self.address.into(), 0);
                let link = link::start(any_port, info.address).unwrap();
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
        let (caller_port, peer_port, admin_port) = (7_000 + index, 7_100 + index, 7_200 + index);
        let address = self.address;
        let settings = format!(
            "{}[entry]\ncaller-address = {address}:{caller_port}\npeer-address = {address}:{peer_port}\n\
             body-max = {}\n[admin]\naddress = {address}:{admin_port}\noperator-token-digest = {}\n\
             viewer-token-digest = {}\n",
            self.process_settings(&name, index),
            self.body_max,
            Digest::of(OPERATOR_TOKEN.as_bytes()),
            Digest::of(VIEWER_TOKEN.as_bytes()),
        );
        self.add_process(&name, "entry", &settings);
        self.host_info(&name, HostRole::Entry, peer_port, index)
    }

    fn add_sidecar(
        &mut self,
        endpoint: &str,
        kind: &str,
        target: SocketAddr,
        serves: &str,
    ) -> HostInfo {
        let index = self.processes.len() as u16 - self.entries;
        let name = format!("sidecar-{endpoint}");
        let (peer_port, status_port) = (7_300 + index, 7_400 + index);
        let address = self.address;
        let settings = format!(
            "{}[sidecar]\npeer-address = {address}:{peer_port}\nstatus-address = {address}:{status_port}\n\
             [endpoint]\nname = {endpoint}\nkind = {kind}\naddress = {target}\nserves = {serves}\n\
             slots = 8\n",
            self.process_settings(&name, index),
        );
        self.add_process(&name, "sidecar", &settings);
        self.host_info(&name, HostRole::Sidecar, peer_port, index)
    }

    fn process_settings(&self, name: &str, index: u16) -> String {
        format!(
            "[process]\nhost = {name}\nregion = north\nzone = north-{}\nenvironment = {}\n\
             key = {PEER_KEY}\n[platform]\naddress = {}\ntimeout = 1s\n",
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

    fn add_process(&mut self, name: &str, command: &str, settings: &str) {
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
        let child = program(self.descriptors)
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

    /// Returns the identifier of a process.
    pub fn process_id(&self, name: &str) -> u32 {
        self.processes[self.index(name)]
            .child
            .as_ref()
            .unwrap()
            .id()
    }

    /// Returns the address of a process for its peers, as the platform lists it.
    pub fn peer_address(&self, name: &str) -> SocketAddr {
        let state = self.platform.state();
        let mut hosts = state.hosts.iter();
        hosts
            .find(|info| info.host.as_str() == name)
            .unwrap()
            .address
    }

    /// Returns the address at which a sidecar serves its status.
    pub fn sidecar_status_address(&self, name: &str) -> SocketAddr {
        let index = self.index(name) as u16 - self.entries;
        SocketAddr::new(self.address.into(), 7_400 + index)
    }

    /// Kills a process with SIGKILL and waits for its end.
    pub fn kill(&mut self, name: &str) {
        self.signal(name, Signal::SIGKILL);
        let index = self.index(name);
        self.processes[index].child.take().unwrap().wait().unwrap();
    }

    /// Pauses a process with SIGSTOP.
    pub fn pause(&self, name: &str) {
        self.signal(name, Signal::SIGSTOP);
    }

    /// Resumes a paused process.
    pub fn resume(&self, name: &str) {
        self.signal(name, Signal::SIGCONT);
    }

    /// Sends a process SIGTERM, without waiting for its end.
    pub fn stop(&self, name: &str) {
        self.signal(name, Signal::SIGTERM);
    }

    /// Returns the exit status of a process, or `None` while it runs.
    pub fn exit_status(&mut self, name: &str) -> Option<ExitStatus> {
        let index = self.index(name);
        self.processes[index]
            .child
            .as_mut()
            .unwrap()
            .try_wait()
            .unwrap()
    }

    /// Starts a process again after its end.
    pub fn restart(&mut self, name: &str) {
        let index = self.index(name);
        self.spawn(index);
    }

    /// Returns the number of entries.
    pub fn entry_count(&self) -> u16 {
        self.entries
    }

    /// Returns whether an entry has been started and not killed. A paused entry counts as started.
    pub fn is_started(&self, entry: u16) -> bool {
        let index = self.index(&format!("entry-{entry}"));
        self.processes[index].child.is_some()
    }

    /// Returns whether an entry reports that it is ready.
    pub fn is_ready(&self, entry: u16) -> bool {
        let ready = self.operator_request(entry, "GET", "/ready", None);
        ready.is_some_and(|(status, _)| status == 200)
    }

    /// Returns the log lines that a process has written so far.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.directory.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Returns the address on which an entry serves callers.
    pub fn caller_address(&self, entry: u16) -> SocketAddr {
        SocketAddr::new(self.address.into(), 7_000 + entry)
    }

    /// Returns a caller that sends requests of `account` to an entry.
    pub fn caller(&self, entry: u16, account: &str) -> Caller {
        Caller::new(self.caller_address(entry), &format!("{account}-token"))
    }

    /// Returns the address of an entry's administration API.
    pub fn admin_address(&self, entry: u16) -> SocketAddr {
        SocketAddr::new(self.address.into(), 7_200 + entry)
    }

    /// Runs `balsamhold ctl` with the token of operators.
    pub fn ctl(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_balsamhold"))
            .arg("ctl")
            .args(arguments)
            .env("BALSAMHOLD_TOKEN", OPERATOR_TOKEN)
            .output()
            .unwrap()
    }

    /// Sends a request to the administration API and returns the status and the JSON body, or
    /// `None` if the entry did not respond.
    pub fn operator_request(
        &self,
        entry: u16,
        method: &str,
        path: &str,
        body: Option<&str>,
    ) -> Option<(u16, Value)> {
        request(
            self.admin_address(entry),
            OPERATOR_TOKEN,
            method,
            path,
            body,
        )
    }

    /// Replaces version `base` of the document through the first entry; returns the new version.
    ///
    /// # Errors
    ///
    /// The HTTP status if the document was not accepted.
    pub fn put_document(&self, base: u64, text: &str) -> Result<u64, u16> {
        let path = format!("/v1/environment?base={base}&author=test");
        let (status, answer) = self.operator_request(0, "PUT", &path, Some(text)).unwrap();
        if status == 200 {
            Ok(answer["version"].as_u64().unwrap())
        } else {
            Err(status)
        }
    }

    /// Returns the explanation of a program from the first entry that has one.
    pub fn explain(&self, program: &str) -> Option<Value> {
        let path = format!("/v1/programs/{program}/explain");
        let answers =
            (0..self.entries).filter_map(|entry| self.operator_request(entry, "GET", &path, None));
        answers
            .into_iter()
            .find(|(status, _)| *status == 200)
            .map(|(_, explanation)| explanation)
    }

    /// Returns the status page of an entry, or an empty object if the entry did not respond.
    pub fn status(&self, entry: u16) -> Value {
        self.operator_request(entry, "GET", "/v1/status", None)
            .map_or(json!({}), |(_, status)| status)
    }

    fn eventually_live(&self) {
        for entry in 0..self.entries {
            eventually(START_TIMEOUT, "entry live", || {
                self.operator_request(entry, "GET", "/live", None).is_some()
            });
        }
    }

    /// Waits until an engine runs a call and returns the index of the engine.
    pub fn eventually_runs(&self) -> usize {
        let running = || {
            let mut engines = self.engines.iter();
            engines.position(|engine| engine.state().running > 0)
        };
        let mut found = None;
        eventually(START_TIMEOUT, "an engine runs the call", || {
            found = running();
            found.is_some()
        });
        found.unwrap()
    }

    /// Waits until an entry has a document in force and is connected to this many endpoints and to
    /// all other entries.
    pub fn eventually_sees(&self, entry: u16, endpoints: usize) {
        let peers = usize::from(self.entries) - 1;
        eventually(START_TIMEOUT, "entry sees its peers", || {
            let status = self.status(entry);
            let length = |key: &str| status[key].as_array().map_or(0, Vec::len);
            status["version"].is_u64()
                && length("endpoints") == endpoints
                && length("entries") == peers
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
        if !std::thread::panicking() && std::env::var_os(KEEP_LOGS_VARIABLE).is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}
