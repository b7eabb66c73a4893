//! Turns of legal size on a route that retains them.

#[path = "stand.rs"]
mod stand;

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use stand::*;

const HOST: &str = "ficu95.example";
/// A prompt of the larger size has 160,000 tokens and fits into an engine of the sheet.
const BYTES_PER_TOKEN: usize = 5;

fn main() {
    run("large-turn", play);
}

fn play(record: &Arc<Record>, temporary: &Path) -> i32 {
    let store = Store::start(record.clone());
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let manifest = format!(
        "{{\"Version\":3,\"Routes\":[\
         {{\"Name\":\"turns\",\"Host\":\"{HOST}\",\"Prefix\":\"/advice/\",\"Type\":\"streaming\",\
         \"TimeoutMs\":5000,\"SloMs\":300,\"Priority\":1,\"Service\":\"models\",\"MaxAttempts\":1,\
         \"Retain\":true,\"RetainS\":60.0,\"SessionAffinity\":true,\"CanResume\":false,\
         \"GapTargetMs\":400}},\
         {{\"Name\":\"lookups\",\"Host\":\"{HOST}\",\"Prefix\":\"/stock/\",\"Type\":\"safe\",\
         \"TimeoutMs\":1200,\"SloMs\":150,\"Priority\":2,\"Service\":\"app\",\"MaxAttempts\":2}}],\
         \"Services\":[{{\"Name\":\"models\",\"HealthPath\":\"/healthz\",\"MaxConns\":310,\
         \"Engine\":{{\"Slots\":48,\"KvCacheTokens\":176657,\"EventStride\":3,\"PinMs\":4000.0}}}},\
         {{\"Name\":\"app\",\"HealthPath\":\"/healthz\",\"MaxConns\":110}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    );
    store.put("op", "config", &manifest);
    for number in 1..=3 {
        let id = format!("i-model{number}");
        start_worker(&store, record, "models", &id, Answer::Stream(11), &runs);
    }
    start_worker(&store, record, "app", "i-app1", Answer::Plain(800), &runs);
    let mut gateway = Gateway::new(temporary, "front-1", "port-louis", store.address, 120);
    gateway.start();
    if !gateway.wait_ready() {
        record.line("the gateway does not become ready");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(1));
    // The mean size of the sheet, and one inside `MaxBodyBytes`.
    let size = if has_trouble() { 800_000 } else { 5_100 };
    let (mut cut, mut whole) = (0, 0);
    for number in 0..6 {
        let id = new_id();
        let is_whole = turn(&gateway, record, &id, number, size);
        let has_run = runs.lock().unwrap().iter().any(|run| run.id() == id);
        match (is_whole, has_run) {
            (true, _) => whole += 1,
            (false, true) => cut += 1,
            (false, false) => {}
        }
    }
    let is_running = gateway.is_running();
    record.line(&format!(
        "{whole} turns answered whole, {cut} passed on to a sound worker and their channel closed \
         without an answer to its end; store calls refused: {}; gateway runs: {is_running}",
        store.refused.load(std::sync::atomic::Ordering::Relaxed)
    ));
    gateway.kill();
    i32::from(cut > 3 || !is_running)
}

/// Sends a turn on a kept channel; returns whether its answer came whole.
fn turn(gateway: &Gateway, record: &Record, id: &str, number: u32, size: usize) -> bool {
    let Some(mut channel) = Channel::open(gateway.callers) else {
        record.line("no channel");
        return false;
    };
    let lookup = new_id();
    let lines = "Deadline-Ms: 1200\r\n";
    let answer = channel.call(&head("GET", "/stock/2f", HOST, &lookup, lines, 0), b"");
    let status = answer.map_or(0, |answer| answer.status());
    record.line(&format!("client lookup {lookup} on a new channel: {status}"));
    let tokens = size / BYTES_PER_TOKEN;
    let lines = format!(
        "Program-Id: p{number}\r\nSession-Id: s{number}\r\nFinish-Ms: 9000\r\n\
         Token-Budget: 400\r\nToken-Usage: {tokens},80\r\nModel: m\r\n\
         Prompt-Prefix: 5c1e07a{number}:{tokens}\r\nDeadline-Ms: 5000\r\n"
    );
    let body = vec![b'a' + number as u8; size];
    record.line(&format!("client turn {id} of {size} bytes on the kept channel"));
    let began = record.now_ms();
    let answer = channel.call(&head("POST", "/advice/2f", HOST, id, &lines, size), &body);
    let took = record.now_ms() - began;
    match answer {
        Some(answer) => {
            let text = String::from_utf8_lossy(&answer.body);
            let events = text.matches("data: ").count();
            record.line(&format!(
                "answer to {id}: {} with {events} events, {} after {took} ms",
                answer.status(),
                if answer.complete { "whole" } else { "channel closed before its end" }
            ));
            answer.complete && answer.status() == 200
        }
        None => {
            record.line(&format!("answer to {id}: channel closed after {took} ms"));
            false
        }
    }
}
