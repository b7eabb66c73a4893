//! A process under a crowd on one of its ports, and the bounds that hold for it.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::MutexGuard;
use std::time::Duration;

use crate::cluster::{self, Config, OPERATOR_TOKEN, START_TIMEOUT, eventually};
use crate::gateway::cluster::{Cluster as Gateways, Layout, ORDER};
use crate::gateway::http::Request;
use crate::peers;
use crate::process::{Process, Watch};
use crate::site::{self, MEMORY_MAX_BYTES};

/// Descriptors that a process may open.
const DESCRIPTORS: usize = 512;
/// Descriptors of a process that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// Longest body that a caller of an entry may send.
const BODY_MAX: &str = "1m";
/// Longest time that a connection of the crowd may block the test in a write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Bound for an ordinary request to be answered; attempts before that may be refused.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// Names of the processes in the logs of an environment.
const ENTRY: &str = "entry-0";
const SIDECAR: &str = "sidecar-engine-0";

/// A port of a process of the product.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    EntryCallers,
    EntryPeers,
    EntryAdmin,
    SidecarPeers,
    SidecarStatus,
    GatewayCallers,
    GatewayPeers,
    GatewayStatus,
}

impl Port {
    /// Returns all ports of the process that has this one.
    fn siblings(self) -> &'static [Port] {
        match self {
            Port::EntryCallers | Port::EntryPeers | Port::EntryAdmin => {
                &[Port::EntryCallers, Port::EntryPeers, Port::EntryAdmin]
            }
            Port::SidecarPeers | Port::SidecarStatus => &[Port::SidecarPeers, Port::SidecarStatus],
            Port::GatewayCallers | Port::GatewayPeers | Port::GatewayStatus => &[
                Port::GatewayCallers,
                Port::GatewayPeers,
                Port::GatewayStatus,
            ],
        }
    }

    /// Returns the head of a request to this port whose body has `framing`.
    pub fn head(self, framing: &str) -> Vec<u8> {
        let authorized = |request_line: &str, token: &str| {
            format!(
                "{request_line} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer {token}\r\n\
                 {framing}\r\n\r\n"
            )
            .into_bytes()
        };
        match self {
            Port::EntryCallers => authorized("POST /v1/programs", "meche-token"),
            Port::EntryAdmin => {
                authorized("PUT /v1/environment?base=1&author=crowd", OPERATOR_TOKEN)
            }
            Port::GatewayCallers => site::head("crowd", framing),
            Port::EntryPeers
            | Port::SidecarPeers
            | Port::SidecarStatus
            | Port::GatewayPeers
            | Port::GatewayStatus => authorized("POST /metrics", "none"),
        }
    }
}

/// The processes that a port needs.
enum Environment {
    Programs(cluster::Cluster),
    Gateways(Gateways),
}

/// A process under a crowd.
pub struct Host {
    pub port: Port,
    environment: Environment,
    process: Process,
    watch: Watch,
    crowd: Vec<TcpStream>,
    /// Connections of crowds on other ports.
    others: Vec<TcpStream>,
    _turn: MutexGuard<'static, ()>,
}

impl Host {
    /// Starts the process that has `port`, and those that it needs.
    pub fn start(port: Port) -> Self {
        let turn = site::turn();
        let environment = match port {
            Port::GatewayCallers | Port::GatewayPeers | Port::GatewayStatus => {
                let layout = Layout {
                    near: 1,
                    far: 0,
                    workers: 1,
                    capacity: None,
                };
                let gateways = Gateways::start_limited(layout, Some(DESCRIPTORS));
                site::allow_large_bodies(&gateways);
                Environment::Gateways(gateways)
            }
            _ => {
                let config = Config::new().with_entries(1).with_engines(1);
                let config = config.with_body_max(BODY_MAX).with_descriptors(DESCRIPTORS);
                Environment::Programs(config.start())
            }
        };
        let id = match (&environment, port) {
            (Environment::Gateways(gateways), _) => gateways.process_id(0),
            (Environment::Programs(cluster), Port::SidecarPeers | Port::SidecarStatus) => {
                cluster.process_id(SIDECAR)
            }
            (Environment::Programs(cluster), _) => cluster.process_id(ENTRY),
        };
        let siblings = port.siblings().iter();
        let addresses: Vec<SocketAddr> = siblings.map(|port| environment.address(*port)).collect();
        let process = Process::new(id, &addresses);
        Host {
            port,
            environment,
            watch: Watch::new(process.clone()),
            process,
            crowd: Vec::new(),
            others: Vec::new(),
            _turn: turn,
        }
    }

    /// Leaves the crowd as it is, and begins another one on a port of the same process.
    pub fn move_to(&mut self, port: Port) {
        assert!(self.port.siblings().contains(&port));
        self.others.append(&mut self.crowd);
        self.port = port;
    }

    /// Opens connections of the crowd.
    pub fn connect(&mut self, count: usize) {
        let address = self.environment.address(self.port);
        for _ in 0..count {
            // A refused connection is allowed.
            let Ok(stream) = TcpStream::connect(address) else {
                continue;
            };
            stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
            self.crowd.push(stream);
        }
    }

    /// Sends bytes on all connections of the crowd at the same time; a connection that does not take
    /// them is skipped.
    pub fn send(&mut self, bytes: &[u8]) {
        std::thread::scope(|scope| {
            for stream in &mut self.crowd {
                scope.spawn(move || {
                    let _ = stream.write_all(bytes);
                });
            }
        });
    }

    /// Checks that the process runs within its bounds.
    #[track_caller]
    fn check_bounds(&self) {
        let peak = self.process.peak_bytes();
        assert!(peak > 0, "the process has ended");
        let most = peak.max(self.watch.most_bytes());
        let descriptors = self.process.descriptors();
        println!(
            "{} MiB at most, {} MiB with unread bytes, {descriptors} descriptors",
            peak >> 20,
            most >> 20
        );
        assert!(
            most <= MEMORY_MAX_BYTES,
            "{} of {} MiB",
            most >> 20,
            MEMORY_MAX_BYTES >> 20
        );
        let descriptors_max = DESCRIPTORS - FILE_DESCRIPTORS;
        assert!(
            descriptors <= descriptors_max,
            "{descriptors} of {descriptors_max} descriptors"
        );
    }

    /// Checks the bounds, and that an ordinary request to each port of the process is answered while the
    /// crowd stays connected and after it has left.
    #[track_caller]
    pub fn check(mut self) {
        site::wait_until_idle(&self.process);
        self.check_bounds();
        self.check_ordinary_requests("during");
        self.check_bounds();
        for stream in self.crowd.drain(..).chain(self.others.drain(..)) {
            // It may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.check_ordinary_requests("after");
        self.check_bounds();
    }

    #[track_caller]
    fn check_ordinary_requests(&self, name: &str) {
        for port in self.port.siblings() {
            let mut attempts = 0;
            let description = format!("{port:?} answers an ordinary request {name}");
            eventually(ANSWER_TIMEOUT, &description, || {
                attempts += 1;
                let id = format!("{name}-{port:?}-{attempts}");
                self.environment.is_answered(*port, &id)
            });
        }
    }

    /// Returns the processes of entries and sidecars.
    pub fn programs(&self) -> &cluster::Cluster {
        match &self.environment {
            Environment::Programs(cluster) => cluster,
            Environment::Gateways(_) => panic!("the port belongs to a gateway"),
        }
    }

    /// Waits until `condition` holds.
    #[track_caller]
    pub fn eventually(&self, description: &str, condition: impl FnMut() -> bool) {
        eventually(START_TIMEOUT, description, condition);
    }
}

impl Environment {
    fn address(&self, port: Port) -> SocketAddr {
        match (self, port) {
            (Environment::Programs(cluster), Port::EntryCallers) => cluster.caller_address(0),
            (Environment::Programs(cluster), Port::EntryPeers) => cluster.peer_address(ENTRY),
            (Environment::Programs(cluster), Port::EntryAdmin) => cluster.admin_address(0),
            (Environment::Programs(cluster), Port::SidecarPeers) => cluster.peer_address(SIDECAR),
            (Environment::Programs(cluster), Port::SidecarStatus) => {
                cluster.sidecar_status_address(SIDECAR)
            }
            (Environment::Gateways(gateways), Port::GatewayCallers) => gateways.caller_address(0),
            (Environment::Gateways(gateways), Port::GatewayPeers) => gateways.peer_address(0),
            (Environment::Gateways(gateways), Port::GatewayStatus) => gateways.status_address(0),
            _ => panic!("{port:?} does not belong to these processes"),
        }
    }

    /// Sends one ordinary request to a port; returns whether it is answered with success.
    fn is_answered(&self, port: Port, id: &str) -> bool {
        match (self, port) {
            (Environment::Programs(cluster), Port::EntryCallers) => is_call_answered(cluster),
            (Environment::Programs(cluster), Port::EntryAdmin) => {
                let status = cluster.operator_request(0, "GET", "/v1/status", None);
                status.is_some_and(|(status, _)| status == 200)
            }
            (Environment::Programs(_), Port::SidecarStatus)
            | (Environment::Gateways(_), Port::GatewayStatus) => is_live(self.address(port)),
            (Environment::Programs(_), _) => {
                peers::is_answered(self.address(port), &peers::version_request())
            }
            (Environment::Gateways(_), Port::GatewayPeers) => {
                peers::is_answered(self.address(port), &peers::relay_request())
            }
            (Environment::Gateways(gateways), _) => {
                let request = Request::new("POST", ORDER, id).with_body("ordinary");
                let Ok(stream) = TcpStream::connect(self.address(port)) else {
                    return false;
                };
                let mut connection = crate::gateway::http::Connection::from(stream);
                let answer = connection.send(&request.bytes());
                if answer.status != 200 {
                    assert!(gateways.runs(id).is_empty(), "{answer:?}");
                }
                answer.status == 200
            }
        }
    }
}

/// Creates a program and has it make one call.
fn is_call_answered(cluster: &cluster::Cluster) -> bool {
    let caller = cluster.caller(0, "meche").with_timeout(START_TIMEOUT);
    let body = r#"{"class":"reorder","tokens":1000,"calls":5}"#;
    let Some((201, created)) = caller.request("POST", "/v1/programs", Some(body)) else {
        return false;
    };
    let program = created["program"].as_str().unwrap();
    caller
        .service(program, 1, "catalogue", "wick")
        .is_complete()
}

fn is_live(address: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(address) else {
        return false;
    };
    let mut connection = crate::gateway::http::Connection::from(stream);
    let request = Request::new("GET", "/live", "status");
    connection.send(&request.bytes()).status == 200
}
