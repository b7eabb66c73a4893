//! Turns with the input of some that three crashed workers ran.

#[path = "stand.rs"]
mod stand;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stand::*;

const HOST: &str = "ficu95.example";
/// What a tool answered: the new input of the second turn of each program.
const COMMON_INPUT: &str = "{\"tool\":\"pallet-reserve\",\"result\":\"reserved\"}";
const WORKERS: usize = 20;
/// Share .15 of the workers.
const CRASHED: usize = 3;
/// Silence after which the platform removes an entry: three ping intervals.
const ENTRY_TIME: Duration = Duration::from_millis(3_600);
/// How long the workers are down.
const DOWN: Duration = Duration::from_millis(4_500);
/// `ContactMs`, after which nothing of the crash counts as a disruption any more.
const CONTACT: Duration = Duration::from_millis(4_000);
/// Programs that are under way when the workers crash, and those that begin afterwards.
const EARLY: usize = 8;
const LATE: usize = 12;

fn main() {
    run("common-input", play);
}

struct Worker {
    id: String,
    server: Server,
}

fn play(record: &Arc<Record>, temporary: &Path) -> i32 {
    let store = Store::start(record.clone());
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let manifest = format!(
        "{{\"Version\":3,\"Routes\":[\
         {{\"Name\":\"turns\",\"Host\":\"{HOST}\",\"Prefix\":\"/advice/\",\"Type\":\"streaming\",\
         \"TimeoutMs\":5000,\"SloMs\":300,\"Priority\":1,\"Service\":\"models\",\"MaxAttempts\":1,\
         \"Retain\":true,\"RetainS\":60.0,\"SessionAffinity\":true,\"CanResume\":false,\
         \"GapTargetMs\":400}}],\
         \"Services\":[{{\"Name\":\"models\",\"HealthPath\":\"/healthz\",\"MaxConns\":310,\
         \"Engine\":{{\"Slots\":48,\"KvCacheTokens\":176657,\"EventStride\":3,\"PinMs\":4000.0}}}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    );
    store.put("op", "config", &manifest);
    let start = |id: String| {
        let server = start_worker(&store, record, "models", &id, Answer::Stream(40), &runs);
        Worker { id, server }
    };
    let workers: Vec<Worker> = (0..WORKERS).map(|number| start(format!("i-model{number}"))).collect();
    let mut gateways: Vec<Gateway> = ["front-1", "front-2", "front-3"]
        .iter()
        .map(|name| Gateway::new(temporary, name, "port-louis", store.address, 120))
        .collect();
    gateways.iter_mut().for_each(Gateway::start);
    if !gateways.iter().all(Gateway::wait_ready) {
        record.line("a gateway does not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(1));
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();

    // Programs under way. Three of them have their second turn at three workers.
    let mut early = Vec::new();
    for number in 0..EARLY {
        let (address, program) = (addresses[number % addresses.len()], format!("early{number}"));
        let first = new_id();
        if send(address, record, &program, &first, "", &first_input(&program)) != 200 {
            record.line("a first turn is not answered");
            return 2;
        }
        let ran = runs.lock().unwrap().iter().find(|run| run.id() == first).map(|run| run.worker.clone());
        early.push((address, program, first, ran.unwrap_or_default()));
    }
    let mut chosen: Vec<&(SocketAddr, String, String, String)> = Vec::new();
    for program in &early {
        if chosen.len() < CRASHED && !chosen.iter().any(|other| other.3 == program.3) {
            chosen.push(program);
        }
    }
    if chosen.len() < CRASHED {
        record.line("the first turns ran at too few workers");
        return 2;
    }
    // Their clients stay, and don't retry.
    let turns: Vec<_> = chosen
        .into_iter()
        .cloned()
        .map(|(address, program, first, _)| {
            let record = record.clone();
            thread::spawn(move || send(address, &record, &program, &new_id(), &first, COMMON_INPUT))
        })
        .collect();
    let began = Instant::now();
    let busy = loop {
        let runs = runs.lock().unwrap();
        let second = runs.iter().filter(|run| run.request.body.ends_with(COMMON_INPUT.as_bytes()));
        let busy: Vec<String> = second.map(|run| run.worker.clone()).collect();
        drop(runs);
        if busy.len() == CRASHED {
            break busy;
        }
        if began.elapsed() > Duration::from_secs(3) {
            record.line("the second turns do not run");
            return 2;
        }
        thread::sleep(Duration::from_millis(5));
    };
    // After their first events.
    thread::sleep(Duration::from_millis(350));
    let crashed: Vec<&Worker> = workers.iter().filter(|worker| busy.contains(&worker.id)).collect();
    if has_trouble() {
        for worker in &crashed {
            record.line(&format!("worker {} crashes", worker.id));
            worker.server.crash();
        }
    }
    for turn in turns {
        let status = turn.join().unwrap_or(0);
        record.line(&format!("a second turn under way ended: {status}"));
    }
    thread::sleep(ENTRY_TIME);
    if has_trouble() {
        crashed.iter().for_each(|worker| store.remove("servers", &worker.id));
    }
    thread::sleep(DOWN - ENTRY_TIME);
    let mut replaced = Vec::new();
    if has_trouble() {
        replaced.extend((0..CRASHED).map(|number| start(format!("i-again{number}"))));
    }
    thread::sleep(CONTACT + Duration::from_millis(500));

    // Programs that begin when all is calm again.
    let programs: Vec<_> = (0..LATE)
        .map(|number| {
            let (addresses, record) = (addresses.clone(), record.clone());
            thread::spawn(move || converse(&addresses, &record, number))
        })
        .collect();
    let programs: Vec<Option<Vec<String>>> =
        programs.into_iter().filter_map(|program| program.join().ok()).collect();
    let firsts = programs.iter().flatten().count();
    let runs = runs.lock().unwrap();
    let has_run = |id: &String| runs.iter().any(|run| run.id() == id);
    let unserved = programs
        .iter()
        .flatten()
        .filter(|tries| tries.len() >= 5 && !tries.iter().any(has_run))
        .count();
    record.line(&format!(
        "{firsts} of {LATE} first turns were answered; of these programs {unserved} have a second turn \
         that reached no worker in five tries or more"
    ));
    gateways.iter_mut().for_each(Gateway::kill);
    i32::from(firsts * 10 >= LATE * 9 && unserved > 0)
}

fn first_input(program: &str) -> String {
    format!("{program}, a question of its own about wicks: ").repeat(40)
}

/// Plays a program of two turns; returns the tries of the second one, `None` if the first was not
/// answered. A turn has one retry, and is sent again from its start after 100 to 400 ms, at most twice.
fn converse(addresses: &[SocketAddr], record: &Record, number: usize) -> Option<Vec<String>> {
    let program = format!("late{number}");
    let address = |turn: usize| addresses[(number + turn) % addresses.len()];
    let first = new_id();
    let status = send(address(0), record, &program, &first, "", &first_input(&program));
    if status != 200 {
        return None;
    }
    let mut tries = Vec::new();
    for attempt in 0..6 {
        let id = new_id();
        let status = send(address(attempt), record, &program, &id, &first, COMMON_INPUT);
        tries.push(id);
        if status == 200 {
            break;
        }
        let pause = if attempt % 2 == 0 { 20 } else { 100 + 300 * number as u64 / LATE as u64 };
        thread::sleep(Duration::from_millis(pause));
    }
    Some(tries)
}

/// Sends a turn; returns the status of its answer, 0 if that did not come whole.
fn send(
    address: SocketAddr,
    record: &Record,
    program: &str,
    id: &str,
    previous: &str,
    input: &str,
) -> u16 {
    let named = match previous {
        "" => String::new(),
        previous => format!("Previous-Turn: {previous}\r\n"),
    };
    let lines = format!(
        "{named}Program-Id: {program}\r\nSession-Id: {program}\r\nFinish-Ms: 9000\r\n\
         Token-Budget: 1080\r\nToken-Usage: 1500,135\r\nModel: m\r\n\
         Prompt-Prefix: {}:1500\r\nDeadline-Ms: 5000\r\n",
        &new_id()[..8]
    );
    let head = head("POST", "/advice/2f", HOST, id, &lines, input.len());
    let answer = Channel::open(address).and_then(|mut channel| channel.call(&head, input.as_bytes()));
    let status = answer.as_ref().map_or(0, Message::status);
    let is_whole = answer.as_ref().is_some_and(|answer| answer.complete);
    let text = answer.filter(|answer| answer.status() != 200);
    let text = text.map(|answer| String::from_utf8_lossy(&answer.body).trim().to_owned());
    record.line(&format!(
        "turn {id} of {program}, after {previous:?}: {status}, whole: {is_whole} {}",
        text.unwrap_or_default()
    ));
    if is_whole { status } else { 0 }
}
