//! Case: a tenant whose requests come in waves, with a few requests in between. All is sound beside that.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Gateway, Place};
use crate::http::{Channel, exchange, request};
use crate::quota::{EXCESS, SLACK, WINDOW, judge};
use crate::record::{Folder, Record};
use crate::store::Store;
use crate::worker::{Kind, Run, Worker};

const GATEWAYS: usize = 6;
/// The sheet's tenants have a burst of as many requests as they may send in a second.
const RATE_PER_S: f64 = 200.0;
const BURST: f64 = 200.0;
/// What the tenant sends in a wave, in multiples of its limit: `hot_tenant` has 7.5 times the usual, and the
/// limit is 1.6 times the usual (`quota_x`).
const WAVE: f64 = 7.5 / 1.6;
/// Length of a wave: the longest `hot_tenant` of the site.
const WAVE_TIME: Duration = Duration::from_millis(6_500);
/// Pause after a wave without a request.
const SILENCE: Duration = Duration::from_millis(1_400);
/// Time after the silence, in which each gateway gets one request.
const FEW_TIME: Duration = Duration::from_millis(1_350);
const CYCLES: u32 = 5;
/// Channels of the tenant to each gateway.
const LANES: u32 = 40;
/// A request that its channel is not free for by then is left out.
const LATE_MAX: Duration = Duration::from_millis(50);

const MANIFEST: &str = r#"{"Version":7,"Routes":[{"Name":"r-order","Host":"shop.example","Prefix":"/order/","Type":"unsafe","TimeoutMs":3000,"SloMs":500,"Priority":2,"Service":"desk","MaxAttempts":1,"Retain":false,"Public":false,"SessionAffinity":false,"CanResume":false}],"Services":[{"Name":"desk","HealthPath":"/healthz","MaxConns":220,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930","ApiKeys":["irth5mgjy5rcpihhacru"],"Priority":1,"RatePerS":200,"Burst":200}]}"#;

/// What the tenant has sent, and what it was answered.
#[derive(Default)]
struct Seen {
    sent: Mutex<HashMap<String, (Instant, usize)>>,
    answers: Mutex<Vec<(Instant, usize, u16)>>,
}

/// Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let folder = Folder::new();
    let store = Store::start("127.0.0.1:0");
    store.put("op", "config", MANIFEST);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let kind = Kind {
        slots: 32,
        work: Duration::from_millis(20),
        events: 0,
        pause: Duration::ZERO,
    };
    for number in 0..12 {
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
    record.say(&format!(
        "the tenant's limit is {RATE_PER_S}/s, burst {BURST}; it sends {:.0}/s, {}",
        WAVE * RATE_PER_S,
        if has_trouble { "in waves with pauses" } else { "without pauses" }
    ));
    let seen = Seen::default();
    std::thread::scope(|scope| {
        let begin = Instant::now();
        for (index, gateway) in gateways.iter().enumerate() {
            let (address, seen) = (gateway.callers, &seen);
            for lane in 0..LANES {
                scope.spawn(move || send_lane(begin, index, lane, address, has_trouble, seen));
            }
        }
    });
    let has_ended = gateways.iter_mut().any(Gateway::has_ended);
    if has_ended {
        record.say("a gateway ended by itself");
        return 2;
    }
    let (runs, sent, answers) = (runs.lock().unwrap(), seen.sent.lock().unwrap(), seen.answers.lock().unwrap());
    let limit = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + EXCESS) + SLACK;
    judge(record, limit, GATEWAYS, &runs, &sent, &answers)
}

/// Sends one channel's share of the tenant's requests to a gateway.
fn send_lane(begin: Instant, index: usize, lane: u32, address: SocketAddr, has_trouble: bool, seen: &Seen) {
    let cycle = WAVE_TIME + SILENCE + FEW_TIME;
    let interval = Duration::from_secs_f64((GATEWAYS as f64) * f64::from(LANES) / (WAVE * RATE_PER_S));
    let offset = interval * lane / LANES;
    let mut times = Vec::new();
    let wave_time = if has_trouble { WAVE_TIME } else { cycle };
    for number in 0..CYCLES {
        let wave = cycle * number;
        let in_wave = (0..).map(|step| offset + interval * step).take_while(|at| *at < wave_time);
        times.extend(in_wave.map(|at| wave + at));
        if has_trouble && lane == 0 {
            times.push(wave + WAVE_TIME + SILENCE + FEW_TIME * index as u32 / GATEWAYS as u32);
        }
    }
    let mut channel: Option<Channel> = None;
    for (number, at) in times.into_iter().enumerate() {
        std::thread::sleep((begin + at).saturating_duration_since(Instant::now()));
        if begin.elapsed() > at + LATE_MAX {
            continue;
        }
        let mut open = match channel.take() {
            Some(channel) => channel,
            None => match Channel::connect(address, Duration::from_millis(300)) {
                Ok(channel) => channel,
                Err(_) => continue,
            },
        };
        let id = format!("{index:x}{lane:02x}{number:012x}");
        let fields = [
            ("Host", "shop.example"),
            ("Request-Id", id.as_str()),
            ("Deadline-Ms", "1000"),
            ("Credential", "irth5mgjy5rcpihhacru"),
        ];
        seen.sent.lock().unwrap().insert(id.clone(), (Instant::now(), index));
        let bytes = request("POST", "/order/1", &fields, b"a pallet");
        let answer = exchange(&mut open, &bytes, Duration::from_millis(1_500));
        seen.answers.lock().unwrap().push((Instant::now(), index, answer.status));
        if answer.is_whole && !answer.closes {
            channel = Some(open);
        }
    }
}
