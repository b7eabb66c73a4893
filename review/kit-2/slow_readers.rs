//! Clients that read their answers slowly, and what the gateways hold for them.

#[path = "stand.rs"]
mod stand;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use stand::*;

const HOST: &str = "ficu95.example";
/// The smallest machine of the sheets.
const MEMORY_MB: u32 = 88;
const LIMIT_KB: u64 = MEMORY_MB as u64 * 1_024;
const ANSWER_BYTES: usize = 256 << 10;
const CLIENTS: usize = 400;
const ROUNDS: usize = 3;
/// A process that was killed is started again after a short delay.
const RESTART_DELAY: Duration = Duration::from_millis(500);

unsafe extern "C" {
    fn socket(family: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
}

/// Opens a channel with a small window.
fn open(address: SocketAddr) -> Option<TcpStream> {
    use std::os::fd::FromRawFd;
    const INET: i32 = 2;
    const STREAM: i32 = 1;
    const SOCKET_LEVEL: i32 = 1;
    const RECEIVE_BUFFER: i32 = 8;
    let mut bytes = [0u8; 16];
    bytes[..2].copy_from_slice(&(INET as u16).to_ne_bytes());
    bytes[2..4].copy_from_slice(&address.port().to_be_bytes());
    bytes[4..8].copy_from_slice(&[127, 0, 0, 1]);
    let size = 4_096;
    // The descriptor belongs to the stream from here on.
    unsafe {
        let fd = socket(INET, STREAM, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, SOCKET_LEVEL, RECEIVE_BUFFER, &size, 4);
        (connect(fd, bytes.as_ptr(), 16) == 0).then_some(stream)
    }
}

fn main() {
    run("slow-readers", play);
}

fn play(record: &Arc<Record>, temporary: &Path) -> i32 {
    let store = Store::start(record.clone());
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let manifest = format!(
        "{{\"Version\":3,\"Routes\":[\
         {{\"Name\":\"lookups\",\"Host\":\"{HOST}\",\"Prefix\":\"/stock/\",\"Type\":\"safe\",\
         \"TimeoutMs\":1200,\"SloMs\":200,\"Priority\":2,\"Service\":\"app\",\"MaxAttempts\":2}}],\
         \"Services\":[{{\"Name\":\"app\",\"HealthPath\":\"/healthz\",\"MaxConns\":220}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    );
    store.put("op", "config", &manifest);
    for number in 1..=3 {
        let id = format!("i-app{number}");
        start_worker(&store, record, "app", &id, Answer::Plain(ANSWER_BYTES), &runs);
    }
    let mut ends = Vec::new();
    for name in ["front-1", "front-2"] {
        let zone = "port-louis";
        let mut gateway = Gateway::new(temporary, name, zone, store.address, MEMORY_MB);
        let mut over = 0;
        for round in 1..=ROUNDS {
            gateway.start();
            if !gateway.wait_ready() {
                record.line("a gateway does not become ready");
                return 2;
            }
            over += usize::from(overload(&mut gateway, record, round));
            gateway.kill();
            std::thread::sleep(RESTART_DELAY);
        }
        record.line(&format!("{name}: over its memory in {over} of {ROUNDS} lifetimes"));
        ends.push(over);
    }
    i32::from(ends.iter().all(|over| *over >= 3))
}

/// Has the clients ask; returns whether the process exceeded its memory. It is then killed, as the
/// platform does.
fn overload(gateway: &mut Gateway, record: &Record, round: usize) -> bool {
    let is_slow = has_trouble();
    record.line(&format!(
        "{} round {round}: starts with {} kB, limit {LIMIT_KB} kB",
        gateway.name,
        gateway.now_kb()
    ));
    let mut kept = Vec::new();
    let mut answered = 0;
    for number in 0..CLIENTS {
        let head = head("GET", "/stock/2f", HOST, &new_id(), "Deadline-Ms: 1200\r\n", 0);
        if is_slow {
            let Some(mut stream) = open(gateway.callers) else { continue };
            if stream.write_all(head.as_bytes()).is_ok() {
                kept.push(stream);
            }
            std::thread::sleep(Duration::from_millis(5));
        } else {
            let answer = Channel::open(gateway.callers).and_then(|mut channel| {
                let answer = channel.call(&head, b"");
                answer.filter(|answer| answer.status() == 200 && answer.complete)
            });
            answered += usize::from(answer.is_some());
        }
        if gateway.now_kb() > LIMIT_KB {
            record.line(&format!(
                "{} round {round}: {} kB with {} clients that read slowly: killed by the platform",
                gateway.name,
                gateway.now_kb(),
                number + 1
            ));
            return true;
        }
    }
    // The last answers arrive.
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(2) {
        if gateway.now_kb() > LIMIT_KB {
            record.line(&format!(
                "{} round {round}: {} kB with {} clients that read slowly: killed by the platform",
                gateway.name,
                gateway.now_kb(),
                kept.len()
            ));
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    record.line(&format!(
        "{} round {round}: {answered} answers read at once, {} slow clients, peak {} kB",
        gateway.name,
        kept.len(),
        gateway.peak_kb()
    ));
    false
}
