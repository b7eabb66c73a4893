//! Case: gateways that start while the list of gateways cannot be read, and a tenant over its limit.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Gateway, Place};
use crate::http::{Channel, exchange, request};
use crate::record::{Folder, Record};
use crate::store::Store;
use crate::worker::{Kind, Run, Worker};

const GATEWAYS: usize = 5;
/// Gateways that are killed: `herd_kill` takes 0.6 of them.
const KILLED: usize = 3;
const RATE_PER_S: f64 = 20.0;
const BURST: f64 = 20.0;
pub const WINDOW: Duration = Duration::from_secs(5);
pub const EXCESS: f64 = 0.1;
pub const SLACK: f64 = 20.0;
/// Requests that the tenant sends to each gateway in a second: 7.5 times its limit through all of them.
const SENT_PER_S: u64 = 30;
/// How long the partition of the store with the list of gateways is down.
const DOWN: Duration = Duration::from_secs(9);

const MANIFEST: &str = r#"{"Version":7,"Routes":[{"Name":"r-order","Host":"shop.example","Prefix":"/order/","Type":"unsafe","TimeoutMs":3000,"SloMs":500,"Priority":2,"Service":"desk","MaxAttempts":1,"Retain":false,"Public":false,"SessionAffinity":false,"CanResume":false}],"Services":[{"Name":"desk","HealthPath":"/healthz","MaxConns":220,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930","ApiKeys":["irth5mgjy5rcpihhacru"],"Priority":1,"RatePerS":20,"Burst":20}]}"#;

/// Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let folder = Folder::new();
    let store = Store::start("127.0.0.1:0");
    store.put("op", "config", MANIFEST);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let kind = Kind {
        slots: 6,
        work: Duration::from_millis(20),
        events: 0,
        pause: Duration::ZERO,
    };
    for number in 0..6 {
        let worker = Worker::start("127.0.0.1:0", &format!("i-desk{number}"), kind.clone(), runs.clone());
        store.put("servers", &worker.id, &worker.entry("desk", "luz-a"));
    }
    let zones = [("luz-a", "luzon"), ("luz-b", "luzon")];
    let place = Place {
        zone: "luz-a",
        region: "luzon",
        zones: &zones,
    };
    let new = |number| Gateway::new(&folder.0, &format!("front-{number}"), &place, 120, store.address);
    let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(new).collect();
    gateways.iter_mut().for_each(Gateway::start);
    if !gateways.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(10))) {
        record.say("a gateway did not become ready");
        return 2;
    }
    record.say(&format!("{GATEWAYS} gateways are ready; {} rows in the list of gateways", store.row_count("gateways")));
    std::thread::sleep(Duration::from_secs(2));

    let sent: Arc<Mutex<HashMap<String, (Instant, usize)>>> = Arc::default();
    let answers: Arc<Mutex<Vec<(Instant, usize, u16)>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..GATEWAYS)
        .map(|index| {
            let (sent, answers, is_over) = (sent.clone(), answers.clone(), is_over.clone());
            let address = gateways[index].callers;
            std::thread::spawn(move || send_all(index, address, &sent, &answers, &is_over))
        })
        .collect();
    record.say(&format!("the tenant sends {SENT_PER_S}/s to each gateway; its limit is {RATE_PER_S}/s, burst {BURST}"));
    std::thread::sleep(Duration::from_secs(8));
    if has_trouble {
        store.set_down("gateways", "", true);
        record.say("the partition 'gateways' of the store is down (503); all others serve");
        std::thread::sleep(Duration::from_millis(500));
        for gateway in &mut gateways[..KILLED] {
            gateway.kill();
        }
        record.say(&format!("{KILLED} of {GATEWAYS} gateways are killed"));
        std::thread::sleep(Duration::from_millis(500));
        gateways[..KILLED].iter_mut().for_each(Gateway::start);
        record.say("they are started again");
        std::thread::sleep(DOWN - Duration::from_secs(1));
        store.set_down("gateways", "", false);
        record.say("the partition is back");
    } else {
        std::thread::sleep(DOWN);
    }
    std::thread::sleep(Duration::from_secs(4));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let has_ended = gateways.iter_mut().any(Gateway::has_ended);
    if has_ended {
        record.say("a gateway ended by itself");
        return 2;
    }
    let (runs, sent, answers) = (runs.lock().unwrap(), sent.lock().unwrap(), answers.lock().unwrap());
    let limit = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + EXCESS) + SLACK;
    judge(record, limit, GATEWAYS, &runs, &sent, &answers)
}

/// Sends requests to one gateway at a steady pace, each on one of a few channels that are kept open.
fn send_all(
    index: usize,
    address: std::net::SocketAddr,
    sent: &Mutex<HashMap<String, (Instant, usize)>>,
    answers: &Mutex<Vec<(Instant, usize, u16)>>,
    is_over: &AtomicBool,
) {
    std::thread::scope(|scope| {
        for lane in 0..3u64 {
            scope.spawn(move || {
                let mut channel: Option<Channel> = None;
                let begin = Instant::now();
                for number in 0.. {
                    let at = begin + Duration::from_micros((number * 3 + lane) * 1_000_000 / SENT_PER_S);
                    std::thread::sleep(at.saturating_duration_since(Instant::now()));
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("{index:x}{lane:x}{number:012x}");
                    let mut open = match channel.take() {
                        Some(channel) => channel,
                        None => match Channel::connect(address, Duration::from_millis(300)) {
                            Ok(channel) => channel,
                            Err(_) => continue,
                        },
                    };
                    let fields = [
                        ("Host", "shop.example"),
                        ("Request-Id", id.as_str()),
                        ("Deadline-Ms", "1000"),
                        ("Credential", "irth5mgjy5rcpihhacru"),
                    ];
                    sent.lock().unwrap().insert(id.clone(), (Instant::now(), index));
                    let bytes = request("POST", "/order/1", &fields, b"a pallet");
                    let seen = exchange(&mut open, &bytes, Duration::from_millis(1_500));
                    answers.lock().unwrap().push((Instant::now(), index, seen.status));
                    if seen.is_whole && !seen.closes {
                        channel = Some(open);
                    }
                }
            });
        }
    });
}

/// Counts the requests in each window, and records them by second and gateway.
pub fn judge(
    record: &Record,
    limit: f64,
    gateways: usize,
    runs: &[Run],
    sent: &HashMap<String, (Instant, usize)>,
    answers: &[(Instant, usize, u16)],
) -> i32 {
    // A request counts in a window if it was both sent and run in it.
    let mut counted: Vec<(Instant, Instant, usize)> = runs
        .iter()
        .filter(|run| run.tenant == "hule930")
        .filter_map(|run| sent.get(&run.id).map(|(sent_at, index)| (*sent_at, run.at, *index)))
        .collect();
    counted.sort();
    let Some(first) = counted.first().map(|(sent_at, ..)| *sent_at) else {
        record.say("nothing ran");
        return 2;
    };
    let (mut most, mut worst) = (0, first);
    for (begin, ..) in &counted {
        let end = *begin + WINDOW;
        let count = counted.iter().filter(|(sent_at, run_at, _)| sent_at >= begin && *run_at <= end).count();
        if count > most {
            (most, worst) = (count, *begin);
        }
    }
    let last = counted.last().map_or(first, |(sent_at, ..)| *sent_at);
    for second in 0..=last.duration_since(first).as_secs() {
        let (from, to) = (first + Duration::from_secs(second), first + Duration::from_secs(second + 1));
        let of = |index: usize| {
            let run = counted.iter().filter(|(_, run_at, by)| *by == index && *run_at >= from && *run_at < to);
            let refused = answers.iter().filter(|(at, by, status)| {
                *by == index && *status == 429 && *at >= from && *at < to
            });
            format!("{}/{}", run.count(), refused.count())
        };
        let each: Vec<String> = (0..gateways).map(of).collect();
        record.say(&format!("second {second}: run/refused(429) by gateway: {}", each.join(" ")));
    }
    record.say(&format!(
        "most requests sent and run in a window of {} s: {most}, from second {:.1}; allowed: {limit}",
        WINDOW.as_secs(),
        worst.duration_since(first).as_secs_f64()
    ));
    if most as f64 > limit {
        record.say("QUOTA is broken");
        1
    } else {
        record.say("QUOTA holds");
        0
    }
}
