//! A gateway under a crowd, and the bounds that hold for it.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};

use crate::cluster::{START_TIMEOUT, eventually};
use crate::gateway::cluster::{Cluster, ORDER, document};
use crate::gateway::http::{Answer, Connection, Request};
use crate::process::Process;

/// Longest body that the document allows.
pub const BODY_MAX_BYTES: usize = 4 << 20;
/// Memory of the smallest machine in use.
pub const MEMORY_MAX_BYTES: u64 = 88 << 20;
/// Descriptors of the smallest machine in use, without those kept for files.
const DESCRIPTORS_MAX: usize = 4_096 - 200;
/// Longest time that a connection of the crowd may block the test in a write. A gateway that stops
/// reading is allowed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Bound for the gateway to read what a crowd has sent; a gateway that hangs exceeds any bound.
const READ_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval over which a gateway that has nothing to read uses at most this many ticks.
const IDLE_INTERVAL: Duration = Duration::from_millis(400);
const IDLE_TICKS_MAX: u64 = 4;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Waits until no other test runs, and keeps others from running until the result is dropped.
pub fn turn() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Puts a document in force at the gateway that allows bodies of [`BODY_MAX_BYTES`].
pub fn allow_large_bodies(cluster: &Cluster) {
    let mut text: Value = serde_json::from_str(&document(2, 60_000)).unwrap();
    text["Limits"]["MaxBodyBytes"] = json!(BODY_MAX_BYTES);
    let text = text.to_string();
    cluster.store.state().put("op", "config", text.as_bytes());
    eventually(START_TIMEOUT, "the document is in force", || {
        cluster.environment_version(0) == Some(2)
    });
}

/// Waits until a process has read what a crowd sent, as far as it reads it: it uses no more processor
/// time.
pub fn wait_until_idle(process: &Process) {
    let mut before = process.processor_ticks();
    eventually(READ_TIMEOUT, "the process is idle", || {
        std::thread::sleep(IDLE_INTERVAL);
        let used = process.processor_ticks() - before;
        before += used;
        used <= IDLE_TICKS_MAX
    });
}

/// A gateway with one worker, and the connections of a crowd.
pub struct Site {
    pub cluster: Cluster,
    crowd: Vec<TcpStream>,
    _turn: MutexGuard<'static, ()>,
}

impl Site {
    /// Starts the gateway, with the limits of the platform's documents.
    pub fn start() -> Self {
        let turn = turn();
        let cluster = Cluster::start(1, 1);
        allow_large_bodies(&cluster);
        Site {
            cluster,
            crowd: Vec::new(),
            _turn: turn,
        }
    }

    /// Opens connections of the crowd; returns the index of the first one.
    pub fn connect(&mut self, count: usize) -> usize {
        let first = self.crowd.len();
        let address = self.cluster.caller_address(0);
        for _ in 0..count {
            // A refused connection is allowed.
            let Ok(stream) = TcpStream::connect(address) else {
                continue;
            };
            stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
            self.crowd.push(stream);
        }
        first
    }

    /// Sends bytes on all connections of the crowd; a connection that does not take them is skipped.
    pub fn send_to_all(&mut self, bytes: &[u8]) {
        for stream in &mut self.crowd {
            let _ = stream.write_all(bytes);
        }
    }

    /// Like [`Site::send_to_all`], on all connections at the same time.
    pub fn send_at_once(&mut self, bytes: &[u8]) {
        std::thread::scope(|scope| {
            for stream in &mut self.crowd {
                scope.spawn(move || {
                    let _ = stream.write_all(bytes);
                });
            }
        });
    }

    /// Returns the gateway's process, which a test may have started again.
    fn process(&self) -> Process {
        let addresses = [
            self.cluster.caller_address(0),
            self.cluster.peer_address(0),
            self.cluster.status_address(0),
        ];
        Process::new(self.cluster.process_id(0), &addresses)
    }

    /// Checks that the gateway runs within its bounds.
    #[track_caller]
    pub fn check_bounds(&self) {
        let process = self.process();
        let peak = process.peak_bytes();
        assert!(peak > 0, "the process has ended");
        // What is received and not read is in the machine's memory, too.
        let memory = peak.max(process.used_bytes());
        assert!(
            memory <= MEMORY_MAX_BYTES,
            "{} of {} MiB",
            memory >> 20,
            MEMORY_MAX_BYTES >> 20
        );
        let descriptors = process.descriptors();
        println!("{} MiB at most, {descriptors} descriptors", memory >> 20);
        assert!(
            descriptors <= DESCRIPTORS_MAX,
            "{descriptors} of {DESCRIPTORS_MAX} descriptors"
        );
    }

    /// Checks the bounds, and that an ordinary request is answered while the crowd stays connected and
    /// after it has left.
    #[track_caller]
    pub fn check(mut self) {
        wait_until_idle(&self.process());
        self.check_bounds();
        self.check_ordinary_request("during");
        self.check_bounds();
        for stream in self.crowd.drain(..) {
            // It may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.check_ordinary_request("after");
        self.check_bounds();
    }

    /// Checks that an ordinary request is answered; it may be refused before, as it is sent again only
    /// after a refusal or a closed connection without a run.
    #[track_caller]
    fn check_ordinary_request(&self, name: &str) {
        let mut last = Answer::default();
        for number in 0..100 {
            let id = format!("{name}-{number}");
            let request = Request::new("POST", ORDER, &id).with_body("ordinary");
            last = request.send(self.cluster.caller_address(0));
            if last.status == 200 {
                return;
            }
            assert!(self.cluster.runs(&id).is_empty(), "{last:?}");
            std::thread::sleep(Duration::from_millis(100));
        }
        panic!("not answered: {last:?}");
    }
}

/// Returns the head of a request whose body has `framing`.
pub fn head(id: &str, framing: &str) -> Vec<u8> {
    format!("POST {ORDER} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\n{framing}\r\n\r\n")
        .into_bytes()
}

/// Sends a whole request on a connection of its own; returns its status, 0 if there was no answer.
pub fn send_whole(site: &Site, id: &str, path: &str, body: &str) -> u16 {
    let request = Request::new("POST", path, id).with_body(body);
    let mut connection = Connection::open(site.cluster.caller_address(0));
    connection.send(&request.bytes()).status
}
