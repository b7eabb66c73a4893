//! A model engine: continuous batching with a slot limit, a prefix cache in limited memory,
//! priorities, streamed completions, cancel, KV list and release, a lagging load report and a
//! slow-down knob.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_types::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json as value};
use smol::LocalExecutor;

use crate::host::{self, Handle, json, lock, read_json};

/// Bytes of text a token stands for.
pub const TOKEN_BYTES: usize = 4;

/// A prompt that ends with this, a number and a space is answered with so many tokens at most, as a
/// model stops by itself before the limit.
pub const STOP_MARK: &str = " stop after ";

const POLL_MS: u64 = 1;

/// How fast and large an engine is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Config {
    /// Completions at a time.
    pub slots: u32,
    /// Time per generated token, in microseconds.
    pub token_us: u64,
    /// Time per prompt token not in the cache, in microseconds.
    pub prefill_us: u64,
    /// Tokens that the cache holds.
    pub cache_tokens: u64,
    /// Tokens in one streamed event.
    pub event_tokens: u64,
    /// Factor by which all times grow, in percent: 100 is full speed.
    pub slow_percent: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fences: bool,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            slots: 8,
            token_us: 2_000,
            prefill_us: 50,
            cache_tokens: 200_000,
            event_tokens: 4,
            slow_percent: 100,
            checks_fences: false,
        }
    }
}

/// The engine's state.
#[derive(Debug, Default)]
pub struct State {
    /// Its speed and size.
    pub config: Config,
    /// Completions running.
    pub running: u32,
    /// The context held in memory by program.
    pub cache: HashMap<String, Cached>,
    /// Executions by request id.
    pub executions: BTreeMap<String, u32>,
    /// Tokens used by program: prompts and answers.
    pub used: BTreeMap<String, u64>,
    /// Prompt tokens that were computed.
    pub prefilled: u64,
    /// Prompt tokens that were found in the cache.
    pub reused: u64,
    /// Orders carried out, in order of arrival.
    pub orders: Vec<Value>,
    cancelled: HashSet<String>,
    waiting: BTreeMap<(u64, u64), ()>,
    arrivals: u64,
}

/// A context held in memory.
#[derive(Clone, Debug, Default)]
pub struct Cached {
    /// The text.
    pub text: String,
    last_use: u64,
}

#[derive(Deserialize)]
struct Completion {
    prompt: String,
    max_tokens: u64,
    #[serde(default)]
    priority: u64,
    user: String,
    request_id: String,
}

/// Starts an engine.
pub fn start(address: SocketAddr, config: Config) -> std::io::Result<Handle<State>> {
    let state = State {
        config,
        ..State::default()
    };
    host::start(address, state, answer)
}

async fn answer(
    executor: Rc<LocalExecutor<'static>>,
    state: Arc<Mutex<State>>,
    mut request: Request,
) -> Response {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Post, "/v1/completions") => {
            let Some(completion) = read_json::<Completion>(&mut request).await else {
                return Response::new(StatusCode::BadRequest);
            };
            let (chunks, body) = http_io::streamed_body();
            executor.spawn(complete(state, completion, chunks)).detach();
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(body);
            response.insert_header("content-type", "text/event-stream");
            response
        }
        (Method::Post, "/v1/cancel") => {
            let named: Value = read_json(&mut request).await.unwrap_or_default();
            let id = named["request_id"].as_str().unwrap_or_default();
            lock(&state).cancelled.insert(id.to_owned());
            json(&value!({}))
        }
        (Method::Post, "/v1/kv/release") => {
            let named: Value = read_json(&mut request).await.unwrap_or_default();
            lock(&state)
                .cache
                .remove(named["user"].as_str().unwrap_or_default());
            json(&value!({}))
        }
        (Method::Get, "/v1/kv") => json(&held(&lock(&state))),
        (Method::Post, "/v1/orders") => {
            let Some(order) = read_json::<Value>(&mut request).await else {
                return Response::new(StatusCode::BadRequest);
            };
            take_order(&mut lock(&state), order)
        }
        (Method::Get, "/v1/orders") => json(&value!({"fence": fence(&lock(&state))})),
        (Method::Get, "/v1/load") => {
            let state = lock(&state);
            json(&value!({"running": state.running, "waiting": state.waiting.len()}))
        }
        (Method::Post, "/knobs") => {
            let Some(config) = read_json(&mut request).await else {
                return Response::new(StatusCode::BadRequest);
            };
            lock(&state).config = config;
            json(&config)
        }
        _ => Response::new(StatusCode::NotFound),
    }
}

/// The highest fencing number of an order that was carried out.
fn fence(state: &State) -> Option<u64> {
    let fences = state.orders.iter();
    fences.filter_map(|order| order["fence"].as_u64()).max()
}

/// Carries out an order, unless its number is old and this engine checks.
fn take_order(state: &mut State, order: Value) -> Response {
    let last = fence(state);
    let again = state.orders.last() == Some(&order);
    if state.config.checks_fences && order["fence"].as_u64() <= last && !again {
        let mut response = json(&value!({"fence": last}));
        response.set_status(StatusCode::Conflict);
        return response;
    }
    let answer = json(&value!({"fence": order["fence"]}));
    state.orders.push(order);
    answer
}

fn held(state: &State) -> BTreeMap<String, usize> {
    state
        .cache
        .iter()
        .map(|(user, held)| (user.clone(), tokens(&held.text)))
        .collect()
}

fn tokens(text: &str) -> usize {
    text.len().div_ceil(TOKEN_BYTES)
}

/// The text of one generated token: it depends on the prompt, so that mixed answers are seen.
fn token_text(seed: &blake3::Hash, index: u64) -> String {
    let byte = seed.as_bytes()[(index % 32) as usize];
    format!("{:03x} ", (u64::from(byte) + index) % 4_096)
}

/// The answer that an engine gives to `prompt`.
pub fn expected(prompt: &str, max_tokens: u64) -> String {
    let seed = blake3::hash(prompt.as_bytes());
    (0..max_tokens)
        .map(|index| token_text(&seed, index))
        .collect()
}

async fn complete(state: Arc<Mutex<State>>, completion: Completion, chunks: http_io::BodySender) {
    take_slot(&state, completion.priority).await;
    *lock(&state)
        .executions
        .entry(completion.request_id.clone())
        .or_default() += 1;
    generate(&state, &completion, &chunks).await;
    lock(&state).running -= 1;
}

/// Waits for a slot; lower priorities go first.
async fn take_slot(state: &Mutex<State>, priority: u64) {
    let ticket = {
        let mut state = lock(state);
        state.arrivals += 1;
        let ticket = (priority, state.arrivals);
        state.waiting.insert(ticket, ());
        ticket
    };
    loop {
        {
            let mut state = lock(state);
            let first = state.waiting.first_key_value().map(|(first, ())| *first);
            if state.running < state.config.slots && first == Some(ticket) {
                state.waiting.remove(&ticket);
                state.running += 1;
                return;
            }
        }
        smol::Timer::after(Duration::from_millis(POLL_MS)).await;
    }
}

async fn generate(state: &Mutex<State>, completion: &Completion, chunks: &http_io::BodySender) {
    let prompt_tokens = tokens(&completion.prompt) as u64;
    let cached = prefix(&mut lock(state), completion).min(prompt_tokens);
    let missing = prompt_tokens - cached;
    {
        let mut state = lock(state);
        state.prefilled += missing;
        state.reused += cached;
        *state.used.entry(completion.user.clone()).or_default() += prompt_tokens;
    }
    pause(state, |config| config.prefill_us * missing).await;
    let seed = blake3::hash(completion.prompt.as_bytes());
    let mut text = String::new();
    let mut made = 0;
    let length = answer_tokens(completion);
    while made < length {
        if lock(state).cancelled.contains(&completion.request_id) {
            return;
        }
        let step = lock(state).config.event_tokens.max(1).min(length - made);
        pause(state, |config| config.token_us * step).await;
        let part: String = (made..made + step)
            .map(|index| token_text(&seed, index))
            .collect();
        made += step;
        *lock(state).used.entry(completion.user.clone()).or_default() += step;
        text.push_str(&part);
        if !send(chunks, &value!({"choices": [{"text": part}]})).await {
            return;
        }
    }
    hold(&mut lock(state), completion, &text);
    let usage = value!({
        "prompt_tokens": prompt_tokens, "completion_tokens": made, "cached_tokens": cached,
    });
    send(chunks, &value!({"choices": [], "usage": usage})).await;
    chunks.send(b"data: [DONE]\n\n".to_vec()).await;
}

/// Tokens that the model generates before it stops.
fn answer_tokens(completion: &Completion) -> u64 {
    let prompt = completion.prompt.trim_end();
    let asked = prompt.rfind(STOP_MARK);
    let asked = asked.and_then(|at| prompt[at + STOP_MARK.len()..].parse().ok());
    asked.map_or(completion.max_tokens, |asked: u64| {
        asked.min(completion.max_tokens)
    })
}

async fn pause(state: &Mutex<State>, length: impl Fn(&Config) -> u64) {
    let config = lock(state).config;
    let length_us = length(&config) * config.slow_percent / 100;
    if length_us > 0 {
        smol::Timer::after(Duration::from_micros(length_us)).await;
    }
}

async fn send(chunks: &http_io::BodySender, event: &Value) -> bool {
    chunks.send(format!("data: {event}\n\n").into_bytes()).await
}

/// Tokens of the prompt that are in the cache.
fn prefix(state: &mut State, completion: &Completion) -> u64 {
    state.arrivals += 1;
    let now = state.arrivals;
    let Some(held) = state.cache.get_mut(&completion.user) else {
        return 0;
    };
    held.last_use = now;
    let pairs = held.text.bytes().zip(completion.prompt.bytes());
    let common = pairs.take_while(|(held, asked)| held == asked).count();
    (common / TOKEN_BYTES) as u64
}

/// Keeps the context of a finished completion, evicting the least recently used.
fn hold(state: &mut State, completion: &Completion, answer: &str) {
    state.arrivals += 1;
    let text = format!("{}{answer}", completion.prompt);
    let held = Cached {
        text,
        last_use: state.arrivals,
    };
    state.cache.insert(completion.user.clone(), held);
    let mut total: usize = state.cache.values().map(|held| tokens(&held.text)).sum();
    while total as u64 > state.config.cache_tokens {
        let oldest = state.cache.iter().min_by_key(|(_, held)| held.last_use);
        let Some(user) = oldest.map(|(user, _)| user.clone()) else {
            return;
        };
        total -= state
            .cache
            .remove(&user)
            .map_or(0, |held| tokens(&held.text));
    }
}
