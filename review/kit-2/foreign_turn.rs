//! A client without a key continues from a turn of a tenant.

#[path = "stand.rs"]
mod stand;

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use stand::*;

const HOST: &str = "ficu95.example";
const SECRET: &str = "the-tenant's-own-words";

fn main() {
    run("foreign-turn", play);
}

fn play(record: &Arc<Record>, temporary: &Path) -> i32 {
    let store = Store::start(record.clone());
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let route = |name: &str, prefix: &str, public: bool| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"Prefix\":\"{prefix}\",\
             \"Type\":\"streaming\",\"TimeoutMs\":5000,\"SloMs\":300,\"Priority\":1,\
             \"Service\":\"models\",\"MaxAttempts\":1,\"Retain\":true,\"RetainS\":60.0,\
             \"Public\":{public},\"SessionAffinity\":true,\"CanResume\":false,\"GapTargetMs\":400}}"
        )
    };
    let manifest = format!(
        "{{\"Version\":3,\"Routes\":[{},{}],\
         \"Services\":[{{\"Name\":\"models\",\"HealthPath\":\"/healthz\",\"MaxConns\":310,\
         \"Engine\":{{\"Slots\":48,\"KvCacheTokens\":176657,\"EventStride\":3,\"PinMs\":4000.0}}}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"hule930\",\"ApiKeys\":[\"irth5mgjy5rcpihhacru\"],\"Priority\":1,\
         \"RatePerS\":1030,\"Burst\":1030}}]}}",
        route("advice", "/advice/", false),
        route("help", "/help/", true)
    );
    store.put("op", "config", &manifest);
    for number in 1..=2 {
        let id = format!("i-model{number}");
        start_worker(&store, record, "models", &id, Answer::Stream(11), &runs);
    }
    let mut gateways: Vec<Gateway> = ["front-1", "front-2", "front-3"]
        .iter()
        .map(|name| Gateway::new(temporary, name, "port-louis", store.address, 120))
        .collect();
    gateways.iter_mut().for_each(Gateway::start);
    if !gateways.iter().all(Gateway::wait_ready) {
        record.line("a gateway does not become ready");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(1));

    // The tenant's turn.
    let own = new_id();
    let key = "Credential: irth5mgjy5rcpihhacru\r\n";
    let status = turn(&gateways[0], record, "/advice/2f", &own, key, "p1", None, SECRET);
    if status != 200 {
        record.line("the tenant's own turn is not answered");
        return 2;
    }
    // Another turn that names it, from a client without a key.
    let named = if has_trouble() { format!("hule930/{own}") } else { own.clone() };
    let other = new_id();
    let status = turn(&gateways[1], record, "/help/2f", &other, "", "p2", Some(&named), "mine");
    let ran = body_of(&runs, &other);
    let is_foreign = ran.as_ref().is_some_and(|body| body.contains(SECRET));
    record.line(&format!(
        "the client without a key got {status}; a worker ran its turn: {}; with the tenant's \
         words in its body: {is_foreign}",
        ran.is_some()
    ));
    if let Some(body) = &ran {
        record.line(&format!("that body: {}", quote(body)));
    }

    // A turn of that client under such an id, and then the tenant's next turn.
    let id = new_id();
    let id = if has_trouble() { format!("hule930/{own}") } else { id };
    turn(&gateways[1], record, "/help/2f", &id, "", "p3", None, "words-of-somebody-else");
    let next = new_id();
    let status = turn(&gateways[2], record, "/advice/2f", &next, key, "p1", Some(&own), "go on");
    let body = body_of(&runs, &next);
    let is_lost = body.as_ref().is_some_and(|body| !body.starts_with(SECRET));
    record.line(&format!(
        "the tenant's next turn: {status}; a worker ran it: {}; without the tenant's earlier \
         words: {is_lost}",
        body.is_some()
    ));
    if let Some(body) = &body {
        record.line(&format!("that body: {}", quote(body)));
    }
    gateways.iter_mut().for_each(Gateway::kill);
    // The first turn names no turn of a client without a key; the second has another chain.
    i32::from(ran.is_some() || is_lost)
}

/// Returns the body with which a worker ran a request.
fn body_of(runs: &Runs, id: &str) -> Option<String> {
    let runs = runs.lock().unwrap();
    let run = runs.iter().find(|run| run.id() == id)?;
    Some(String::from_utf8_lossy(&run.request.body).into_owned())
}

#[allow(clippy::too_many_arguments)]
fn turn(
    gateway: &Gateway,
    record: &Record,
    target: &str,
    id: &str,
    key: &str,
    program: &str,
    previous: Option<&str>,
    input: &str,
) -> u16 {
    let previous = previous.map_or(String::new(), |id| format!("Previous-Turn: {id}\r\n"));
    let lines = format!(
        "{key}{previous}Program-Id: {program}\r\nSession-Id: s-{program}\r\nFinish-Ms: 9000\r\n\
         Token-Budget: 400\r\nToken-Usage: 600,80\r\nModel: m\r\n\
         Prompt-Prefix: 5c1e07a1:600\r\nDeadline-Ms: 5000\r\n"
    );
    record.line(&format!(
        "client {id} {target} key {} {}",
        if key.is_empty() { "none" } else { "of hule930" },
        previous.trim()
    ));
    let answer = Channel::open(gateway.callers).and_then(|mut channel| {
        channel.call(&head("POST", target, HOST, id, &lines, input.len()), input.as_bytes())
    });
    let status = answer.as_ref().map_or(0, Message::status);
    let complete = answer.is_some_and(|answer| answer.complete);
    record.line(&format!("answer to {id}: {status}, whole: {complete}"));
    if complete { status } else { 0 }
}
