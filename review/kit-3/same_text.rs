//! Case: turns of different programs with the same short text, and workers that crash once.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Gateway, Place};
use crate::http::{Channel, Seen, exchange, request};
use crate::record::{Folder, Record};
use crate::store::Store;
use crate::worker::{Kind, Run, Worker};

const GATEWAYS: usize = 3;
const WORKERS: usize = 20;
/// `srv_crash` takes 0.15 of the servers.
const CRASHED: usize = 3;
const EVENTS: usize = 4;
/// `ContactMs`.
const CONTACT: Duration = Duration::from_millis(4_000);
/// Three ping intervals, after which the entry of a silent worker is removed.
const ENTRY_KEPT: Duration = Duration::from_millis(3_600);
/// LOST: tries that reach no worker.
const TRIES_MIN: usize = 5;
/// A client attempt and its retry, for the turn and the two times that it is sent again.
const TRIES: usize = 6;
const ANSWER: &[u8] = b"yes, please";

const MANIFEST: &str = r#"{"Version":7,"Routes":[{"Name":"r-check","Host":"shop.example","Prefix":"/check/","Type":"streaming","TimeoutMs":4000,"SloMs":300,"Priority":0,"Service":"models","MaxAttempts":1,"Retain":true,"RetainS":60.0,"SessionAffinity":true,"CanResume":false,"GapTargetMs":300}],"Services":[{"Name":"models","HealthPath":"/healthz","MaxConns":150,"Protocol":"h1","Tls":false,"Engine":{"Slots":12,"KvCacheTokens":195659,"KvTokenBytes":163840,"LinkMbps":290000.0,"Moves":true,"Backups":true,"EventStride":4,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"m"}]}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

fn turn(id: &str, program: &str, previous: Option<&str>, body: &[u8]) -> Vec<u8> {
    let prompt = format!("a1:2560,{program}:1030");
    let mut fields = vec![
        ("Host", "shop.example"),
        ("Request-Id", id),
        ("Model", "m"),
        ("Program-Id", program),
        ("Session-Id", program),
        ("Finish-Ms", "20000"),
        ("Token-Budget", "4000"),
        ("Token-Usage", "3590,16"),
        ("Prompt-Prefix", prompt.as_str()),
        ("Deadline-Ms", "4000"),
    ];
    fields.extend(previous.map(|previous| ("Previous-Turn", previous)));
    request("POST", "/check/1", &fields, body)
}

fn send(address: SocketAddr, bytes: &[u8]) -> Seen {
    match Channel::connect(address, Duration::from_secs(1)) {
        Ok(mut channel) => exchange(&mut channel, bytes, Duration::from_secs(6)),
        Err(error) => Seen {
            error: error.to_string(),
            ..Seen::default()
        },
    }
}

fn describe(seen: &Seen) -> String {
    let end = if seen.is_whole { "whole".to_owned() } else { format!("cut ({})", seen.error) };
    let text = String::from_utf8_lossy(&seen.body).trim().to_owned();
    let text = if seen.status == 200 { String::new() } else { format!(", {text}") };
    format!("status {}, {end}, after {} ms{text}", seen.status, seen.took.as_millis())
}

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let folder = Folder::new();
    let store = Store::start("127.0.0.1:0");
    store.put("op", "config", MANIFEST);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let kind = Kind {
        slots: 12,
        work: Duration::from_millis(500),
        events: EVENTS,
        pause: Duration::from_millis(20),
    };
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|number| Worker::start("127.0.0.1:0", &format!("i-model{number}"), kind.clone(), runs.clone()))
        .collect();
    for worker in &workers {
        store.put("servers", &worker.id, &worker.entry("models", "carnarvon"));
    }
    let zones = [("carnarvon", "wa-north")];
    let place = Place {
        zone: "carnarvon",
        region: "wa-north",
        zones: &zones,
    };
    let new = |number| Gateway::new(&folder.0, &format!("front-{number}"), &place, 270, store.address);
    let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(new).collect();
    gateways.iter_mut().for_each(Gateway::start);
    if !gateways.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(10))) {
        record.say("a gateway did not become ready");
        return 2;
    }
    std::thread::sleep(CONTACT + Duration::from_millis(500));
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let worker_of = |id: &str| {
        let runs = runs.lock().unwrap();
        runs.iter().find(|run| run.id == id).map(|run| run.worker.clone())
    };

    // Programs whose latest turns ran at different workers.
    let mut programs: Vec<(String, String, String)> = Vec::new();
    for number in 0..30 {
        let (program, id) = (format!("a{number:05x}"), format!("a{number:05x}0000000001"));
        let text = format!("question {number}: is this palm safe to climb?");
        let seen = send(addresses[number % GATEWAYS], &turn(&id, &program, None, text.as_bytes()));
        let Some(worker) = worker_of(&id).filter(|_| seen.is_whole) else { continue };
        if programs.iter().all(|(_, _, other)| *other != worker) {
            programs.push((program, id, worker));
        }
        if programs.len() == CRASHED {
            break;
        }
    }
    if programs.len() < CRASHED {
        record.say("the programs do not run at different workers");
        return 2;
    }
    // Their callers all answer with the same words; meanwhile the workers crash.
    let begun = std::thread::scope(|scope| {
        let asked: Vec<_> = programs
            .iter()
            .enumerate()
            .map(|(number, (program, previous, _))| {
                let bytes = turn(&format!("{program}0000000002"), program, Some(previous), ANSWER);
                let address = addresses[number % GATEWAYS];
                scope.spawn(move || send(address, &bytes))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(300));
        let crashing: Vec<String> = programs.iter().filter_map(|(program, ..)| worker_of(&format!("{program}0000000002"))).collect();
        record.say(&format!("{CRASHED} programs answer {:?}; it runs at {}", String::from_utf8_lossy(ANSWER), crashing.join(", ")));
        if has_trouble {
            workers.iter().filter(|worker| crashing.contains(&worker.id)).for_each(Worker::crash);
            record.say("these workers crash");
        }
        let crashed_at = Instant::now();
        for (asked, (program, ..)) in asked.into_iter().zip(&programs) {
            record.say(&format!("turn 2 of {program}: {}", describe(&asked.join().expect("client"))));
        }
        std::thread::sleep((crashed_at + ENTRY_KEPT).saturating_duration_since(Instant::now()));
        if has_trouble {
            crashing.iter().for_each(|id| store.remove("servers", id));
            record.say("the entries of the crashed workers are removed");
        }
        crashed_at
    });
    // No unplanned disruption from ContactMs before.
    std::thread::sleep((begun + CONTACT + Duration::from_millis(1_500)).saturating_duration_since(Instant::now()));

    let (mut first_turns, mut first_reached, mut lost, mut others) = (0, 0, 0, 0);
    for number in 0..4 {
        let (program, first) = (format!("b{number:05x}"), format!("b{number:05x}0000000001"));
        let text = format!("question {number} of another crew: may we cut bunches today?");
        let seen = send(addresses[number % GATEWAYS], &turn(&first, &program, None, text.as_bytes()));
        first_turns += 1;
        first_reached += usize::from(worker_of(&first).is_some());
        record.say(&format!("turn 1 of {program}: {}", describe(&seen)));
        let begun = Instant::now();
        let (mut tries, mut reached) = (0, 0);
        for attempt in 0..TRIES {
            let id = format!("{program}00000001{attempt:02x}");
            let seen = send(addresses[(number + attempt) % GATEWAYS], &turn(&id, &program, Some(&first), ANSWER));
            tries += 1;
            reached += usize::from(worker_of(&id).is_some());
            record.say(&format!("  {:?}, try {attempt}: {}", String::from_utf8_lossy(ANSWER), describe(&seen)));
            if seen.status == 200 && seen.is_whole {
                break;
            }
            std::thread::sleep(Duration::from_millis(if attempt % 2 == 0 { 50 } else { 300 }));
        }
        // The aim of such a program is some seconds: 1.8 x its time on idle workers and more.
        record.say(&format!("  {tries} tries in {} ms, {reached} reached a worker", begun.elapsed().as_millis()));
        if tries >= TRIES_MIN && reached == 0 {
            lost += 1;
        }
        let id = format!("{program}0000000200");
        let seen = send(addresses[number % GATEWAYS], &turn(&id, &program, Some(&first), format!("{program} says no").as_bytes()));
        others += usize::from(seen.status == 200 && seen.is_whole);
        record.say(&format!("  the same turn with other words: {}", describe(&seen)));
    }
    record.say(&format!("first turns that reached a worker: {first_reached} of {first_turns}; turns with other words that were served: {others} of 4"));
    record.say(&format!("turns that reached no worker in {TRIES_MIN} tries or more: {lost}; allowed: 0"));
    if first_reached * 10 < first_turns * 9 {
        return 2;
    }
    i32::from(lost > 0)
}
