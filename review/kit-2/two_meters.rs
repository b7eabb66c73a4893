//! One tenant sends many times its usual, while the store is down for moments.

#[path = "stand.rs"]
mod stand;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use stand::*;

const HOST: &str = "ficu95.example";
const GATEWAYS: usize = 10;
/// `RatePerS` and `Burst` of the tenant.
const RATE: f64 = 100.0;
const BURST: f64 = 100.0;
/// Its usual requests a second, and how many times as many it sends: the figures of the site file.
const USUAL: f64 = RATE / 1.6;
const TIMES: f64 = 7.5;
/// Turns a second of another tenant, which stays inside its limit.
const TURNS_PER_S: f64 = 60.0;
/// `QuotaWindowS`, `QuotaExcess` and `QuotaSlack` of the site.
const WINDOW_S: f64 = 5.0;
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;
const OUTAGES: usize = 6;
const OUTAGE: Duration = Duration::from_millis(1_500);
const BETWEEN: Duration = Duration::from_millis(3_500);

fn main() {
    run("two-meters", play);
}

fn play(record: &Arc<Record>, temporary: &Path) -> i32 {
    let store = Store::start(record.clone());
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let manifest = format!(
        "{{\"Version\":3,\"Routes\":[\
         {{\"Name\":\"lookups\",\"Host\":\"{HOST}\",\"Prefix\":\"/label/\",\"Type\":\"safe\",\
         \"TimeoutMs\":1200,\"SloMs\":200,\"Priority\":2,\"Service\":\"app\",\"MaxAttempts\":1}},\
         {{\"Name\":\"turns\",\"Host\":\"{HOST}\",\"Prefix\":\"/desk/\",\"Type\":\"streaming\",\
         \"TimeoutMs\":5000,\"SloMs\":600,\"Priority\":1,\"Service\":\"models\",\"MaxAttempts\":1,\
         \"Retain\":true,\"RetainS\":60.0,\"SessionAffinity\":true,\"GapTargetMs\":400}}],\
         \"Services\":[{{\"Name\":\"app\",\"HealthPath\":\"/healthz\",\"MaxConns\":220}},\
         {{\"Name\":\"models\",\"HealthPath\":\"/healthz\",\"MaxConns\":350,\
         \"Engine\":{{\"Slots\":32,\"KvCacheTokens\":190020,\"EventStride\":4,\"PinMs\":4000.0}}}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"hule930\",\"ApiKeys\":[\"irth5mgjy5rcpihhacru\"],\
         \"RatePerS\":{RATE},\"Burst\":{BURST}}},\
         {{\"Name\":\"sese22\",\"ApiKeys\":[\"ddedev3nax7u27gxprym\"],\
         \"RatePerS\":1000,\"Burst\":1000}}]}}"
    );
    store.put("op", "config", &manifest);
    let other_runs: Runs = Arc::new(Mutex::new(Vec::new()));
    for number in 1..=6 {
        let id = format!("i-app{number}");
        start_worker(&store, record, "app", &id, Answer::Plain(800), &runs);
        let id = format!("i-model{number}");
        start_worker(&store, record, "models", &id, Answer::Stream(8), &other_runs);
    }
    let mut gateways: Vec<Gateway> = (1..=GATEWAYS)
        .map(|number| {
            let name = format!("front-{number}");
            Gateway::new(temporary, &name, "port-louis", store.address, 120)
        })
        .collect();
    gateways.iter_mut().for_each(Gateway::start);
    if !gateways.iter().all(Gateway::wait_ready) {
        record.line("a gateway does not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(2));

    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = send(&addresses, record, &stop, TURNS_PER_S, true);
    clients.extend(send(&addresses, record, &stop, USUAL * TIMES, false));
    thread::sleep(Duration::from_secs(6));
    for _ in 0..OUTAGES {
        if has_trouble() {
            store.set_outage(Some(Outage::Whole));
        }
        thread::sleep(OUTAGE);
        store.set_outage(None);
        thread::sleep(BETWEEN);
    }
    stop.store(true, Ordering::Release);
    let answers: Vec<Answers> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let is_hot = |answers: &&Answers| !answers.are_turns;
    let sum = |count: fn(&Answers) -> u32| answers.iter().filter(is_hot).map(count).sum::<u32>();
    record.line(&format!(
        "the hot tenant got 200: {}, 429: {}, others: {}",
        sum(|answers| answers.ok),
        sum(|answers| answers.over),
        sum(|answers| answers.other)
    ));
    gateways.iter_mut().for_each(Gateway::kill);
    judge(&runs, record)
}

/// Compares the requests that were sent and run in any window with what the rule allows.
fn judge(runs: &Runs, record: &Record) -> i32 {
    let runs = runs.lock().unwrap();
    let mut sent: Vec<(u64, u64)> = runs.iter().map(|run| (sent_ms(run), run.at_ms)).collect();
    sent.sort_unstable();
    let window = (WINDOW_S * 1e3) as u64;
    let allowed = (RATE * WINDOW_S + BURST) * (1.0 + EXCESS) + SLACK;
    let (mut most, mut most_at) = (0, 0);
    for (index, (from, _)) in sent.iter().enumerate() {
        let later = sent[index..].iter();
        let count = later.filter(|(_, run)| *run <= from + window).count();
        if count > most {
            (most, most_at) = (count, *from);
        }
    }
    record.line(&format!(
        "{most} requests of the tenant were sent and run in {WINDOW_S} s from {most_at} ms; \
         allowed {allowed}"
    ));
    i32::from(most as f64 > allowed)
}

/// When the client sent the request of a run, as a header of its own says.
fn sent_ms(run: &Run) -> u64 {
    let sent = run.request.header("x-sent-ms");
    sent.and_then(|sent| sent.parse().ok()).unwrap_or(run.at_ms)
}

#[derive(Default)]
struct Answers {
    are_turns: bool,
    ok: u32,
    over: u32,
    other: u32,
}

/// Starts clients that together send `per_s` requests a second, through each gateway in turn.
fn send(
    addresses: &[SocketAddr],
    record: &Arc<Record>,
    stop: &Arc<AtomicBool>,
    per_s: f64,
    are_turns: bool,
) -> Vec<JoinHandle<Answers>> {
    const CLIENTS: usize = 48;
    (0..CLIENTS)
        .map(|number| {
            let (addresses, stop) = (addresses.to_vec(), stop.clone());
            let record = record.clone();
            thread::spawn(move || {
                let gap = Duration::from_secs_f64(CLIENTS as f64 / per_s);
                let mut next = Instant::now() + gap * number as u32 / CLIENTS as u32;
                let mut channels: Vec<Option<Channel>> = addresses.iter().map(|_| None).collect();
                let mut answers = Answers { are_turns, ..Answers::default() };
                let mut turn = number;
                while !stop.load(Ordering::Acquire) {
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    next = (next + gap).max(Instant::now());
                    turn += 1;
                    let at = turn % addresses.len();
                    let mut channel = match channels[at].take() {
                        Some(channel) => channel,
                        None => match Channel::open(addresses[at]) {
                            Some(channel) => channel,
                            None => continue,
                        },
                    };
                    let answer = if are_turns { ask_turn(&mut channel) } else { ask(&mut channel, &record) };
                    let Some(answer) = answer.filter(|answer| answer.complete) else {
                        answers.other += 1;
                        continue;
                    };
                    match answer.status() {
                        200 => answers.ok += 1,
                        429 => answers.over += 1,
                        _ => answers.other += 1,
                    }
                    if answer.header("connection") != Some("close") {
                        channels[at] = Some(channel);
                    }
                }
                answers
            })
        })
        .collect()
}

fn ask(channel: &mut Channel, record: &Record) -> Option<Message> {
    let lines = format!(
        "Deadline-Ms: 1200\r\nCredential: irth5mgjy5rcpihhacru\r\nX-Sent-Ms: {}\r\n",
        record.now_ms()
    );
    channel.call(&head("GET", "/label/2f", HOST, &new_id(), &lines, 0), b"")
}

fn ask_turn(channel: &mut Channel) -> Option<Message> {
    let id = new_id();
    let body = [b'a'; 514];
    let lines = format!(
        "Deadline-Ms: 5000\r\nCredential: ddedev3nax7u27gxprym\r\nProgram-Id: p{id}\r\n\
         Session-Id: s{id}\r\nFinish-Ms: 9000\r\nToken-Budget: 400\r\nToken-Usage: 514,80\r\n\
         Model: m\r\nPrompt-Prefix: {}:514\r\n",
        &id[..8]
    );
    channel.call(&head("POST", "/desk/2f", HOST, &id, &lines, body.len()), &body)
}
