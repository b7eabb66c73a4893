//! Case: programs under way go on with turns of legal size, many at once, and some are told that their request
//! is malformed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Gateway, Place};
use crate::http::{Channel, exchange, request};
use crate::record::{Folder, Record};
use crate::store::Store;
use crate::worker::{Kind, Run, Worker};

const GATEWAYS: usize = 3;
const CLIENTS: usize = 36;
const MEMORY_MB: u64 = 120;
/// Below `MaxBodyBytes`, 4,194,304.
const LARGE: usize = 4_000_000;
/// The mean of the sheet.
const SMALL: usize = 5_100;
const SENDING: Duration = Duration::from_secs(20);

const MANIFEST: &str = r#"{"Version":7,"Routes":[{"Name":"r-draft","Host":"shop.example","Prefix":"/draft/","Type":"streaming","TimeoutMs":5000,"SloMs":300,"Priority":0,"Service":"models","MaxAttempts":1,"Retain":true,"RetainS":60.0,"SessionAffinity":true,"CanResume":false,"GapTargetMs":400}],"Services":[{"Name":"models","HealthPath":"/healthz","MaxConns":310,"Protocol":"h1","Tls":false,"Engine":{"Slots":48,"KvCacheTokens":176657,"KvTokenBytes":163840,"LinkMbps":290000.0,"Moves":true,"Backups":true,"EventStride":4,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"m"}]}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let folder = Folder::new();
    let store = Store::start("127.0.0.1:0");
    store.put("op", "config", MANIFEST);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let kind = Kind {
        slots: 48,
        work: Duration::from_millis(30),
        events: 4,
        pause: Duration::from_millis(10),
    };
    for number in 0..4 {
        let worker = Worker::start("127.0.0.1:0", &format!("i-model{number}"), kind.clone(), runs.clone());
        store.put("servers", &worker.id, &worker.entry("models", "port-louis"));
    }
    let zones = [("port-louis", "north-island")];
    let place = Place {
        zone: "port-louis",
        region: "north-island",
        zones: &zones,
    };
    let new = |number| Gateway::new(&folder.0, &format!("front-{number}"), &place, MEMORY_MB, store.address);
    let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(new).collect();
    gateways.iter_mut().for_each(Gateway::start);
    if !gateways.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(10))) {
        record.say("a gateway did not become ready");
        return 2;
    }
    // ContactMs, so that the machines are in touch.
    std::thread::sleep(Duration::from_millis(4_500));
    let body = vec![b'x'; if has_trouble { LARGE } else { SMALL }];
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let outcomes: Mutex<BTreeMap<String, usize>> = Mutex::default();
    let end = Instant::now() + SENDING;
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (body, addresses, outcomes) = (&body, &addresses, &outcomes);
            scope.spawn(move || {
                for round in 0.. {
                    if Instant::now() > end {
                        return;
                    }
                    play(addresses, client, round, body, outcomes);
                    std::thread::sleep(Duration::from_millis(300));
                }
            });
        }
    });
    if gateways.iter_mut().any(Gateway::has_ended) {
        record.say("a gateway ended by itself");
        return 2;
    }
    let outcomes = outcomes.lock().unwrap();
    let all: usize = outcomes.values().sum();
    for (outcome, count) in outcomes.iter() {
        record.say(&format!("{outcome}: {count}"));
    }
    for gateway in &gateways {
        record.say(&format!("{}: peak {} kB of {} kB", gateway.name, gateway.memory_kb("VmHWM"), MEMORY_MB * 1_024));
    }
    let is_denied = |outcome: &str| {
        let status = outcome.split(' ').nth(2).unwrap_or("");
        status.starts_with('3') || status.starts_with('4') && !["402", "408", "421", "429"].contains(&status)
    };
    let denied: usize = outcomes.iter().filter(|(outcome, _)| is_denied(outcome)).map(|(_, count)| count).sum();
    let allowed = 5 + all / 500;
    record.say(&format!("proper requests that a gateway ended with a 4xx: {denied} of {all}; allowed: {allowed}"));
    i32::from(denied > allowed)
}

/// Plays a program: a small first turn, then one that continues it.
fn play(addresses: &[SocketAddr], client: usize, round: usize, body: &[u8], outcomes: &Mutex<BTreeMap<String, usize>>) {
    let program = format!("{client:04x}{round:04x}");
    let address = addresses[(client + round) % addresses.len()];
    let (first, second) = (format!("{program}00000001"), format!("{program}00000002"));
    for (name, id, previous, body) in [("turn 1", &first, None, &b"a first question"[..]), ("turn 2", &second, Some(&first), body)] {
        let mut fields = vec![
            ("Host", "shop.example"),
            ("Request-Id", id.as_str()),
            ("Model", "m"),
            ("Program-Id", program.as_str()),
            ("Session-Id", program.as_str()),
            ("Finish-Ms", "20000"),
            ("Token-Budget", "1088"),
            ("Token-Usage", "1840,16"),
            ("Prompt-Prefix", "a1:800,b2:1040"),
            ("Deadline-Ms", "5000"),
        ];
        fields.extend(previous.map(|previous: &String| ("Previous-Turn", previous.as_str())));
        let Ok(mut channel) = Channel::connect(address, Duration::from_secs(1)) else { return };
        let seen = exchange(&mut channel, &request("POST", "/draft/1", &fields, body), Duration::from_secs(8));
        let text = String::from_utf8_lossy(&seen.body).into_owned();
        let code = text.split("\"code\":\"").nth(1).and_then(|rest| rest.split('"').next()).unwrap_or("");
        let end = if seen.is_whole { "whole" } else { "cut" };
        *outcomes.lock().unwrap().entry(format!("{name} {} {code} {end}", seen.status)).or_default() += 1;
        if seen.status != 200 || !seen.is_whole {
            return;
        }
    }
}
