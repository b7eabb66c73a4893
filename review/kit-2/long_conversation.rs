//! Sub-agents that continue from a long conversation at the same time, and the memory of the
//! gateways.

#[path = "stand.rs"]
mod stand;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stand::*;

const HOST: &str = "ficu95.example";
/// The smallest machine of the sheets.
const MEMORY_MB: u32 = 88;
const LIMIT_KB: u64 = MEMORY_MB as u64 * 1_024;
/// Programs that have a long conversation each.
const PROGRAMS: usize = 16;
/// Turns of a conversation. Their text is inside `MaxBodyBytes`, and its 176,000 tokens fit into an
/// engine of the sheet.
const TURNS: usize = 4;
const LONG_INPUT: usize = 220_000;
const BYTES_PER_TOKEN: usize = 5;
/// The mean size of the sheet.
const ORDINARY_INPUT: usize = 5_100;
/// Sub-agents that each program starts at once: the most of the sheet.
const SUB_AGENTS: usize = 6;
const ROUNDS: usize = 3;
/// A process that was killed is started again after a short delay.
const RESTART_DELAY: Duration = Duration::from_millis(500);

fn main() {
    run("long-conversation", play);
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
         \"Engine\":{{\"Slots\":48,\"KvCacheTokens\":190020,\"EventStride\":3,\"PinMs\":4000.0}}}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    );
    store.put("op", "config", &manifest);
    for number in 1..=9 {
        let id = format!("i-model{number}");
        start_worker(&store, record, "models", &id, Answer::Stream(11), &runs);
    }
    let mut gateways: Vec<Gateway> = ["front-1", "front-2"]
        .iter()
        .map(|name| Gateway::new(temporary, name, "port-louis", store.address, MEMORY_MB))
        .collect();
    let input = if has_trouble() { LONG_INPUT } else { ORDINARY_INPUT };
    let mut conversations = Vec::new();
    let mut ends = vec![0; gateways.len()];
    for round in 1..=ROUNDS {
        for (gateway, over) in gateways.iter_mut().zip(&mut ends) {
            gateway.start();
            if !gateway.wait_ready() {
                record.line("a gateway does not become ready");
                return 2;
            }
            for program in conversations.len()..PROGRAMS {
                let Some(last) = converse(gateway.callers, record, program, input) else {
                    return 2;
                };
                conversations.push(last);
            }
            *over += usize::from(fan_out(gateway, record, round, &conversations));
            gateway.kill();
            thread::sleep(RESTART_DELAY);
        }
    }
    record.line(&format!("lifetimes over their memory, of {ROUNDS} each: {ends:?}"));
    i32::from(ends.iter().all(|over| *over >= 3))
}

/// Plays a conversation, one turn after the other; returns its last turn.
fn converse(
    address: SocketAddr,
    record: &Arc<Record>,
    program: usize,
    input: usize,
) -> Option<String> {
    let mut previous = String::new();
    for number in 1..=TURNS {
        let id = new_id();
        if !turn(address, record, program, &id, &previous, input) {
            record.line(&format!("turn {number} of conversation {program} is not answered"));
            return None;
        }
        previous = id;
    }
    Some(previous)
}

/// Has the sub-agents continue from the conversations; returns whether the process exceeded its memory.
/// It is then killed, as the platform does.
fn fan_out(
    gateway: &mut Gateway,
    record: &Arc<Record>,
    round: usize,
    conversations: &[String],
) -> bool {
    record.line(&format!(
        "{} round {round}: {} kB before the sub-agents, limit {LIMIT_KB} kB",
        gateway.name,
        gateway.now_kb()
    ));
    let address = gateway.callers;
    let mut agents = Vec::new();
    for (program, previous) in conversations.iter().enumerate() {
        for _ in 0..SUB_AGENTS {
            let (record, previous) = (record.clone(), previous.clone());
            agents.push(thread::spawn(move || {
                turn(address, &record, program, &new_id(), &previous, 1_000)
            }));
        }
    }
    let began = Instant::now();
    let mut is_over = false;
    while began.elapsed() < Duration::from_secs(6) && !is_over {
        is_over = gateway.peak_kb() > LIMIT_KB;
        if agents.iter().all(|agent| agent.is_finished()) {
            break;
        }
        thread::sleep(Duration::from_millis(1));
    }
    let peak = gateway.peak_kb();
    is_over |= peak > LIMIT_KB;
    if is_over {
        gateway.kill();
    }
    let count = agents.len();
    let agents = agents.into_iter().map(|agent| agent.join().unwrap_or(false));
    let answered = agents.filter(|answered| *answered).count();
    record.line(&format!(
        "{} round {round}: peak {peak} kB with {count} sub-agents, {answered} of their turns \
         answered whole{}",
        gateway.name,
        if is_over { "; killed by the platform" } else { "" }
    ));
    is_over
}

/// Sends a turn; returns whether its answer came whole.
fn turn(
    address: SocketAddr,
    record: &Record,
    program: usize,
    id: &str,
    previous: &str,
    input: usize,
) -> bool {
    let named = match previous {
        "" => String::new(),
        previous => format!("Previous-Turn: {previous}\r\n"),
    };
    let tokens = input / BYTES_PER_TOKEN;
    let lines = format!(
        "{named}Program-Id: p{program}\r\nSession-Id: s-{id}\r\nFinish-Ms: 9000\r\n\
         Token-Budget: 5000\r\nToken-Usage: {tokens},80\r\nModel: m\r\n\
         Prompt-Prefix: 5c1e07a{program}:{tokens}\r\nDeadline-Ms: 5000\r\n"
    );
    record.line(&format!("client turn {id} of {input} bytes {}", named.trim()));
    let answer = Channel::open(address).and_then(|mut channel| {
        channel.call(&head("POST", "/advice/2f", HOST, id, &lines, input), &vec![b'a'; input])
    });
    let status = answer.as_ref().map_or(0, Message::status);
    let is_whole = answer.is_some_and(|answer| answer.complete);
    record.line(&format!("answer to {id}: {status}, whole: {is_whole}"));
    is_whole && status == 200
}
