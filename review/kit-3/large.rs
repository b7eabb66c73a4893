//! Case: turns whose text is within `MaxBodyBytes` and above what one call of the store holds.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::fleet::{Gateway, Place};
use crate::http::{Channel, Seen, exchange, request};
use crate::record::{Folder, Record};
use crate::store::Store;
use crate::worker::{Kind, Run, Worker, output};

const EVENTS: usize = 4;
/// `MaxBodyBytes` of the manifest, as `fleetbench wire` shows it.
const BODY_MAX: usize = 4_194_304;
/// Length of the large bodies: a quarter of what the manifest allows.
const LARGE: usize = 1_000_000;
/// Length of their stand-ins without the disruption.
const SMALL: usize = 100_000;
/// Large turns, one after the other, each on a channel that has served a turn before.
const TURNS: usize = 6;
/// LOST: more than this many.
const LOST_MAX: usize = 3;

const MANIFEST: &str = r#"{"Version":7,"Routes":[{"Name":"r-draft","Host":"shop.example","Prefix":"/draft/","Type":"streaming","TimeoutMs":5000,"SloMs":300,"Priority":0,"Service":"models","MaxAttempts":1,"Retain":true,"RetainS":60.0,"SessionAffinity":true,"CanResume":false,"GapTargetMs":400}],"Services":[{"Name":"models","HealthPath":"/healthz","MaxConns":350,"Protocol":"h1","Tls":false,"Engine":{"Slots":32,"KvCacheTokens":190020,"KvTokenBytes":163840,"LinkMbps":290000.0,"Moves":true,"Backups":true,"EventStride":4,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"m"}]}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

fn turn(id: &str, program: &str, previous: Option<&str>, body: &[u8]) -> Vec<u8> {
    let mut fields = vec![
        ("Host", "shop.example"),
        ("Request-Id", id),
        ("Model", "m"),
        ("Program-Id", program),
        ("Session-Id", program),
        ("Finish-Ms", "20000"),
        ("Token-Budget", "4000"),
        ("Token-Usage", "1840,16"),
        ("Prompt-Prefix", "a1:800,b2:1040"),
        ("Deadline-Ms", "5000"),
    ];
    fields.extend(previous.map(|previous| ("Previous-Turn", previous)));
    request("POST", "/draft/1", &fields, body)
}

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    assert!(LARGE <= BODY_MAX);
    let folder = Folder::new();
    let store = Store::start("127.0.0.1:0");
    store.put("op", "config", MANIFEST);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let kind = Kind {
        slots: 32,
        work: Duration::from_millis(30),
        events: EVENTS,
        pause: Duration::from_millis(10),
    };
    for number in 0..4 {
        let worker = Worker::start("127.0.0.1:0", &format!("i-model{number}"), kind.clone(), runs.clone());
        store.put("servers", &worker.id, &worker.entry("models", "port-louis"));
    }
    let zones = [("port-louis", "north-island"), ("pamplemousses", "north-island")];
    let place = Place {
        zone: "port-louis",
        region: "north-island",
        zones: &zones,
    };
    let new = |number| Gateway::new(&folder.0, &format!("front-{number}"), &place, 120, store.address);
    let mut gateways: Vec<Gateway> = (0..3).map(new).collect();
    gateways.iter_mut().for_each(Gateway::start);
    if !gateways.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(10))) {
        record.say("a gateway did not become ready");
        return 2;
    }
    // ContactMs, so that the machines are in touch.
    std::thread::sleep(Duration::from_millis(4_500));
    let length = if has_trouble { LARGE } else { SMALL };
    let body = vec![b'x'; length];
    let mut lost = 0;
    for number in 0..TURNS {
        let address = gateways[number % gateways.len()].callers;
        let Ok(mut channel) = Channel::connect(address, Duration::from_secs(1)) else {
            record.say("a gateway does not accept");
            return 2;
        };
        let (first, large) = (format!("a{number:015x}"), format!("b{number:015x}"));
        let program = format!("p{number:05x}");
        let seen = exchange(&mut channel, &turn(&first, &program, None, b"a first question"), Duration::from_secs(6));
        let is_answered = seen.status == 200 && seen.is_whole && !seen.closes;
        record.say(&format!("turn {first}: {}", describe(&seen)));
        if !is_answered {
            record.say("a small turn was not answered on a kept channel");
            return 2;
        }
        let seen = exchange(&mut channel, &turn(&large, &program, Some(&first), &body), Duration::from_secs(8));
        record.say(&format!("turn {large} with a body of {length} bytes: {}", describe(&seen)));
        let ran = runs.lock().unwrap().iter().filter(|run| run.id == large).count();
        record.say(&format!("  runs of it at workers: {ran}"));
        if ran == 1 && !seen.is_whole {
            lost += 1;
        }
        if seen.is_whole && seen.status == 200 {
            let events = (1..=EVENTS).map(|event| format!("id: {event}\ndata: {large}-{event}\n\n"));
            if seen.body != events.collect::<String>().into_bytes() {
                record.say("  the answer is another one");
                return 1;
            }
            let next = format!("c{number:015x}");
            let asked = turn(&next, &program, Some(&large), b"and then?");
            let seen = exchange(&mut channel, &asked, Duration::from_secs(6));
            record.say(&format!("turn {next}: {}", describe(&seen)));
            let runs = runs.lock().unwrap();
            let run = runs.iter().find(|run| run.id == next);
            let mut expected = b"a first question".to_vec();
            expected.extend(output(&first, EVENTS).into_bytes());
            expected.extend(&body);
            expected.extend(output(&large, EVENTS).into_bytes());
            expected.extend(b"and then?");
            record.say(&format!("  its run has the whole chain: {}", run.is_some_and(|run| run.body == expected)));
        }
    }
    for name in ["/-/rows-tx 200", "/-/rows-tx 412", "/-/rows-tx 413", "/-/rows-tx 400"] {
        record.say(&format!("answers of the store, {name}: {}", store.count(name)));
    }
    for gateway in &gateways {
        let log = gateway.log();
        record.say(&format!("{}: store lost {}, turn not committed {}, peak {} kB", gateway.name,
            log.matches("store lost").count(), log.matches("turn not committed").count(),
            gateway.memory_kb("VmHWM")));
    }
    record.say(&format!("requests that a sound worker ran and whose kept channel ended without a whole answer: {lost}; allowed: {LOST_MAX}"));
    i32::from(lost > LOST_MAX)
}

fn describe(seen: &Seen) -> String {
    let end = if seen.is_whole { "whole".to_owned() } else { format!("cut ({})", seen.error) };
    format!("status {}, {} bytes of body, {end}, after {} ms", seen.status, seen.body.len(), seen.took.as_millis())
}
