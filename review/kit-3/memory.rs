//! Case: many clients send turns of legal size at once, through several gateways.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Gateway, Place};
use crate::http::{Channel, exchange, request};
use crate::record::{Folder, Record};
use crate::store::Store;
use crate::worker::{Kind, Run, Worker};

const GATEWAYS: usize = 10;
const CLIENTS: usize = 128;
const MEMORY_MB: u64 = 88;
/// `MaxBodyBytes`.
const LARGE: usize = 4_194_304;
/// The mean of the sheet.
const SMALL: usize = 5_100;
/// Ends of one process that count, and machines on which they must happen.
const ENDS: usize = 3;
const MACHINES: usize = 2;
const SENDING: Duration = Duration::from_secs(80);
const RESTART: Duration = Duration::from_millis(500);

const MANIFEST: &str = r#"{"Version":7,"Routes":[{"Name":"r-draft","Host":"shop.example","Prefix":"/draft/","Type":"streaming","TimeoutMs":5000,"SloMs":250,"Priority":0,"Service":"models","MaxAttempts":1,"Retain":true,"RetainS":60.0,"SessionAffinity":true,"CanResume":false,"GapTargetMs":400}],"Services":[{"Name":"models","HealthPath":"/healthz","MaxConns":350,"Protocol":"h1","Tls":false,"Engine":{"Slots":32,"KvCacheTokens":190020,"KvTokenBytes":163840,"LinkMbps":290000.0,"Moves":true,"Backups":true,"EventStride":4,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"m"}]}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let folder = Folder::new();
    let store = Store::start("127.0.0.1:0");
    store.put("op", "config", MANIFEST);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let kind = Kind {
        slots: 32,
        work: Duration::from_millis(30),
        events: 4,
        pause: Duration::from_millis(10),
    };
    for number in 0..4 {
        let worker = Worker::start("127.0.0.1:0", &format!("i-model{number}"), kind.clone(), runs.clone());
        store.put("servers", &worker.id, &worker.entry("models", "luz-a"));
    }
    let zones = [("luz-a", "luzon")];
    let place = Place {
        zone: "luz-a",
        region: "luzon",
        zones: &zones,
    };
    let new = |number| Gateway::new(&folder.0, &format!("front-{number}"), &place, MEMORY_MB, store.address);
    let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(new).collect();
    gateways.iter_mut().for_each(Gateway::start);
    if !gateways.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(10))) {
        record.say("a gateway did not become ready");
        return 2;
    }
    std::thread::sleep(Duration::from_millis(4_500));
    let body = vec![b'x'; if has_trouble { LARGE } else { SMALL }];
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let (is_over, sent, cut) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    let mut ends = vec![0; GATEWAYS];
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (body, addresses, is_over, sent, cut) = (&body, &addresses, &is_over, &sent, &cut);
            scope.spawn(move || {
                for round in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    send(addresses[(client + round) % GATEWAYS], client, round, body, sent, cut);
                    std::thread::sleep(Duration::from_millis(100));
                }
            });
        }
        // The platform: kills a process that exceeds the memory of its machine, and starts it again.
        let begun = Instant::now();
        let mut dead: Vec<Option<Instant>> = vec![None; GATEWAYS];
        while begun.elapsed() < SENDING && ends.iter().filter(|ends| **ends >= ENDS).count() < MACHINES {
            for (index, gateway) in gateways.iter_mut().enumerate() {
                if let Some(killed_at) = dead[index] {
                    if killed_at.elapsed() >= RESTART {
                        gateway.start();
                        dead[index] = None;
                    }
                    continue;
                }
                let peak = gateway.memory_kb("VmHWM");
                if peak > MEMORY_MB * 1_024 || gateway.has_ended() {
                    gateway.kill();
                    ends[index] += 1;
                    dead[index] = Some(Instant::now());
                    record.say(&format!("{} has {peak} kB and is killed for its memory, {} times so far", gateway.name, ends[index]));
                }
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        is_over.store(true, Ordering::SeqCst);
    });
    for gateway in &gateways {
        record.say(&format!("{}: peak of its last lifetime {} kB of {} kB", gateway.name, gateway.memory_kb("VmHWM"), MEMORY_MB * 1_024));
    }
    let machines = ends.iter().filter(|ends| **ends >= ENDS).count();
    record.say(&format!("turns sent: {}; answers cut: {}", sent.load(Ordering::SeqCst), cut.load(Ordering::SeqCst)));
    record.say(&format!("machines whose process ended {ENDS} times by its memory: {machines}; a fault from {MACHINES} on"));
    i32::from(machines >= MACHINES)
}

fn send(address: SocketAddr, client: usize, round: usize, body: &[u8], sent: &AtomicUsize, cut: &AtomicUsize) {
    let id = format!("d{client:07x}{round:08x}");
    let fields = [
        ("Host", "shop.example"),
        ("Request-Id", id.as_str()),
        ("Model", "m"),
        ("Program-Id", id.as_str()),
        ("Session-Id", id.as_str()),
        ("Finish-Ms", "20000"),
        ("Token-Budget", "1088"),
        ("Token-Usage", "1840,16"),
        ("Prompt-Prefix", "a1:800,b2:1040"),
        ("Deadline-Ms", "5000"),
    ];
    let Ok(mut channel) = Channel::connect(address, Duration::from_secs(1)) else { return };
    sent.fetch_add(1, Ordering::SeqCst);
    let seen = exchange(&mut channel, &request("POST", "/draft/1", &fields, body), Duration::from_secs(8));
    if !seen.is_whole {
        cut.fetch_add(1, Ordering::SeqCst);
    }
}
