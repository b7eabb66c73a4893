//! The processes and the stand-ins.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;
use standins::worker::{self, Worker};
use standins::{Handle, link, platform};

use crate::cluster::{KEY, START_MAX, eventually};
use crate::gateway::http::{Answer, Request};

static CLUSTERS: AtomicU16 = AtomicU16::new(0);

/// The path of model calls whose turns are kept.
pub const KEPT: &str = "/kept/a";
/// The path of model calls whose callers send everything.
pub const PLAIN_TURN: &str = "/turn/a";
/// The path of calls that may be repeated.
pub const SAFE: &str = "/look/a";
/// The path of calls that may not.
pub const ORDER: &str = "/order/a";

/// The operator's document at a version; `timeout_ms` holds for orders.
pub fn document(version: u64, timeout_ms: u64) -> String {
    let route = |prefix: &str, kind: &str, service: &str| {
        json!({"Name": format!("r{prefix}"), "Host": "shop.example", "Prefix": prefix,
            "Type": kind, "TimeoutMs": 5_000, "SloMs": 300, "Priority": 1, "Service": service,
            "Retain": prefix == "/kept/", "RetainS": 60.0, "SessionAffinity": true,
            "CanResume": false})
    };
    let mut order = route("/order/", "unsafe", "desk");
    order["TimeoutMs"] = json!(timeout_ms);
    order["MaxAttempts"] = json!(2);
    let mut look = route("/look/", "safe", "desk");
    look["MaxAttempts"] = json!(3);
    let engine = json!({"Slots": 8, "KvCacheTokens": 100_000, "KvTokenBytes": 1, "EventStride": 3,
        "PinMs": 1_000.0});
    json!({"Version": version,
        "Routes": [route("/kept/", "streaming", "models"), route("/turn/", "streaming", "models"),
            look, order],
        "Services": [{"Name": "models", "MaxConns": 100, "Engine": engine},
            {"Name": "desk", "MaxConns": 100}],
        "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 100_000, "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000}})
    .to_string()
}

/// A gateway process.
struct Process {
    child: Option<Child>,
    file: PathBuf,
    callers: SocketAddr,
    status: SocketAddr,
    store: link::Link,
}

/// Gateways, store and workers.
pub struct Cluster {
    /// The store.
    pub store: Handle<platform::State>,
    /// Workers of the service `models`.
    pub models: Vec<Worker>,
    /// Workers of the service `desk`.
    pub desks: Vec<Worker>,
    gateways: Vec<Process>,
}

impl Cluster {
    /// Starts `gateways` gateways, and `workers` workers of each service with streams of four
    /// events, and waits until all see all.
    pub fn start(gateways: u16, workers: u16) -> Self {
        let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let [low, high, ..] = std::process::id().to_le_bytes();
        let address = Ipv4Addr::new(127, 1 + high % 250, low, 251 - (number % 100) as u8);
        let any = SocketAddr::new(address.into(), 0);
        let store = platform::start(any, Vec::new()).unwrap();
        let start = |name: &str, events: u64| -> Vec<Worker> {
            let one = |index| worker::start(any, &format!("{name}-{index}"), events).unwrap();
            (0..workers).map(one).collect()
        };
        let mut cluster = Cluster {
            store,
            models: start("model", 4),
            desks: start("desk", 0),
            gateways: Vec::new(),
        };
        cluster.list_all();
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        for index in 0..gateways {
            let link = link::start(any, cluster.store.address).unwrap();
            let file = directory.join(format!("gateway-{number}-{index}-{low}-{high}.ini"));
            let [callers, status, peers] = [7_500, 7_600, 7_700].map(|port| port + index);
            let text = format!(
                "[process]\nhost = gateway-{index}\nregion = north\nzone = z{index}\n[gateway]\n\
                 caller-address = {address}:{callers}\nstatus-address = {address}:{status}\n\
                 peer-address = {address}:{peers}\npeer-key = {KEY}\nstop-within-seconds = 6\n\
                 [zones]\nz0 = north\nz1 = north\n[platform]\naddress = {}\n",
                link.address
            );
            std::fs::write(&file, text).unwrap();
            cluster.gateways.push(Process {
                child: None,
                file,
                callers: SocketAddr::new(address.into(), callers),
                status: SocketAddr::new(address.into(), status),
                store: link,
            });
            cluster.spawn(index);
        }
        for index in 0..gateways {
            cluster.eventually_ready(index);
        }
        cluster
    }

    fn list_all(&self) {
        let mut store = self.store.state();
        store.put("op", "config", document(1, 3_000).as_bytes());
        for (workers, service) in [(&self.models, "models"), (&self.desks, "desk")] {
            for worker in workers {
                let entry = worker.registry_entry(service, "z0", "ready");
                store.put("servers", &worker.id, entry.as_bytes());
            }
        }
    }

    /// Starts a gateway's process.
    pub fn spawn(&mut self, index: u16) {
        let process = &mut self.gateways[usize::from(index)];
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(process.file.with_extension("log"))
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_balsamhold"))
            .args(["gateway", "--settings"])
            .arg(&process.file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        process.child = Some(child.unwrap());
    }

    /// Waits until a gateway is ready and can serve its first request of either service.
    pub fn eventually_ready(&self, index: u16) {
        eventually(START_MAX, "the gateway is ready", || {
            self.status(index, "/-/readyz")
                .is_some_and(|answer| answer.status == 200)
        });
    }

    /// Asks a gateway's status address; `None` if it does not listen.
    pub fn status(&self, index: u16, path: &str) -> Option<Answer> {
        let address = self.gateways[usize::from(index)].status;
        std::net::TcpStream::connect(address).ok()?;
        Some(Request::new("GET", path, "status").send(address))
    }

    /// Where a gateway takes callers.
    pub fn callers(&self, index: u16) -> SocketAddr {
        self.gateways[usize::from(index)].callers
    }

    /// A gateway's way to the store.
    pub fn store_link(&self, index: u16) -> &link::Link {
        &self.gateways[usize::from(index)].store
    }

    /// Cuts a gateway off from the store, or lets it back.
    pub fn cut_off(&self, index: u16, cut: bool) {
        let link = self.store_link(index);
        link.refuse(cut);
        if cut {
            link.cut();
        }
    }

    /// A gateway's settings file.
    pub fn file(&self, index: u16) -> &std::path::Path {
        &self.gateways[usize::from(index)].file
    }

    /// What a gateway has logged.
    pub fn log(&self, index: u16) -> String {
        std::fs::read_to_string(self.file(index).with_extension("log")).unwrap()
    }

    /// Sends a signal to a gateway.
    pub fn signal(&self, index: u16, signal: Signal) {
        let child = self.gateways[usize::from(index)].child.as_ref().unwrap();
        kill(Pid::from_raw(child.id() as i32), signal).unwrap();
    }

    /// Kills a gateway and waits for its end.
    pub fn kill(&mut self, index: u16) {
        self.signal(index, Signal::SIGKILL);
        let child = self.gateways[usize::from(index)].child.take();
        child.unwrap().wait().unwrap();
    }

    /// Waits for the end of a gateway that was told to stop; its exit status.
    pub fn wait(&mut self, index: u16) -> std::process::ExitStatus {
        let child = self.gateways[usize::from(index)].child.take();
        child.unwrap().wait().unwrap()
    }

    /// Requests that ran at any worker under this identifier.
    pub fn runs(&self, id: &str) -> Vec<worker::Run> {
        let workers = self.models.iter().chain(&self.desks);
        let runs = workers.flat_map(|worker| worker.state().runs.clone());
        runs.filter(|run| run.id == id).collect()
    }

    /// Has every worker of both services do the same with its next requests.
    pub fn fault(&self, faults: &[worker::Fault]) {
        for worker in self.models.iter().chain(&self.desks) {
            worker.state().faults = faults.iter().copied().collect();
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in &mut self.gateways {
            if let Some(mut child) = process.child.take() {
                // It may have ended already.
                let _ = child.kill();
                let _ = child.wait();
            }
            let _ = std::fs::remove_file(&process.file);
            if !std::thread::panicking() {
                let _ = std::fs::remove_file(process.file.with_extension("log"));
            }
        }
    }
}

/// A turn of a program with a budget.
pub fn turn(path: &str, id: &str, program: &str, budget: u64) -> Request {
    Request::new("POST", path, id)
        .with("Model", "m")
        .with("Program-Id", program)
        .with("Session-Id", "s")
        .with("Finish-Ms", "9000")
        .with("Token-Budget", &budget.to_string())
        .with("Token-Usage", "100,30")
        .with("Prompt-Prefix", "a1:60,b2:40")
        .with("Deadline-Ms", "4000")
}
