//! A model engine: continuous batching up to a number of slots, a prefix cache of limited size,
//! priorities, streamed completions, cancellation, listing and release of cached contexts, orders,
//! a load report and a setting that slows the engine down.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_types::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol::LocalExecutor;

use crate::server::{self, Handle, json_response, lock, read_json};

/// Bytes of text that one token stands for.
pub const TOKEN_BYTES: usize = 4;

/// Mark before a number at the end of a prompt: generation stops after that many tokens, as a model
/// may stop by itself before `max_tokens`.
pub const STOP_MARK: &str = " stop after ";

const SLOT_POLL_MS: u64 = 1;

/// Speed, size and behaviour of an engine; JSON of the path `/knobs`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Config {
    /// Completions that run at a time.
    pub slots: u32,
    /// Time to generate a token, in microseconds.
    pub token_us: u64,
    /// Time to compute a prompt token that is not cached, in microseconds.
    pub prefill_us: u64,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Tokens per streamed event.
    pub event_tokens: u64,
    /// Factor on all times, in percent: 100 is full speed, 200 is half the speed.
    pub slow_percent: u64,
    /// Whether an order is refused if its fencing number is not above the highest one so far.
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

/// State of an engine: its configuration, and counters of what it executed.
#[derive(Debug, Default)]
pub struct State {
    /// Configuration in force, also for completions that already run.
    pub config: Config,
    /// Number of completions that hold a slot.
    pub running: u32,
    /// Cached contexts by program.
    pub cache: HashMap<String, Cached>,
    /// Number of executions by request identifier.
    pub executions: BTreeMap<String, u32>,
    /// Prompt and generated tokens by program.
    pub used_tokens: BTreeMap<String, u64>,
    /// Prompt tokens computed because they were not cached.
    pub computed_prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_prompt_tokens: u64,
    /// Accepted orders, in order of arrival.
    pub orders: Vec<Value>,
    cancelled: HashSet<String>,
    waiting: BTreeMap<(u64, u64), ()>,
    sequence: u64,
}

/// A cached context.
#[derive(Clone, Debug, Default)]
pub struct Cached {
    /// Prompt and answer of the program's latest completion.
    pub text: String,
    last_use: u64,
}

#[derive(Deserialize)]
struct Completion {
    prompt: String,
    max_tokens: u64,
    #[serde(default)]
    priority: u64,
    /// Identifier of the program.
    user: String,
    request_id: String,
}

/// Starts an engine that listens on `address` (port 0 for any free port).
pub fn start(address: SocketAddr, config: Config) -> std::io::Result<Handle<State>> {
    let state = State {
        config,
        ..State::default()
    };
    server::start(address, state, respond)
}

async fn respond(
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
            let body: Value = read_json(&mut request).await.unwrap_or_default();
            let id = body["request_id"].as_str().unwrap_or_default();
            lock(&state).cancelled.insert(id.to_owned());
            json_response(&json!({}))
        }
        (Method::Post, "/v1/kv/release") => {
            let body: Value = read_json(&mut request).await.unwrap_or_default();
            lock(&state)
                .cache
                .remove(body["user"].as_str().unwrap_or_default());
            json_response(&json!({}))
        }
        (Method::Get, "/v1/kv") => json_response(&cached_tokens(&lock(&state))),
        (Method::Post, "/v1/orders") => {
            let Some(order) = read_json::<Value>(&mut request).await else {
                return Response::new(StatusCode::BadRequest);
            };
            accept_order(&mut lock(&state), order)
        }
        (Method::Get, "/v1/orders") => json_response(&json!({"fence": last_fence(&lock(&state))})),
        (Method::Get, "/v1/load") => {
            let state = lock(&state);
            json_response(&json!({"running": state.running, "waiting": state.waiting.len()}))
        }
        (Method::Post, "/knobs") => {
            let Some(config) = read_json(&mut request).await else {
                return Response::new(StatusCode::BadRequest);
            };
            lock(&state).config = config;
            json_response(&config)
        }
        _ => Response::new(StatusCode::NotFound),
    }
}

/// Returns the highest fencing number of the accepted orders.
fn last_fence(state: &State) -> Option<u64> {
    let fences = state.orders.iter();
    fences.filter_map(|order| order["fence"].as_u64()).max()
}

/// Accepts an order; if fences are checked, refuses an old fencing number, except in a repetition
/// of the latest order.
fn accept_order(state: &mut State, order: Value) -> Response {
    let last_fence = last_fence(state);
    let is_repeated = state.orders.last() == Some(&order);
    if state.config.checks_fences && order["fence"].as_u64() <= last_fence && !is_repeated {
        let mut response = json_response(&json!({"fence": last_fence}));
        response.set_status(StatusCode::Conflict);
        return response;
    }
    let response = json_response(&json!({"fence": order["fence"]}));
    state.orders.push(order);
    response
}

fn cached_tokens(state: &State) -> BTreeMap<String, usize> {
    state
        .cache
        .iter()
        .map(|(user, context)| (user.clone(), token_count(&context.text)))
        .collect()
}

fn token_count(text: &str) -> usize {
    text.len().div_ceil(TOKEN_BYTES)
}

/// Returns the text of one generated token. It depends on the prompt, so that tests detect an answer
/// that belongs to another prompt.
fn token_text(seed: &blake3::Hash, index: u64) -> String {
    let byte = seed.as_bytes()[(index % 32) as usize];
    format!("{:03x} ", (u64::from(byte) + index) % 4_096)
}

/// Returns the `max_tokens` tokens of text that an engine generates for `prompt`.
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

/// Waits for a slot; lower numbers of `priority` come first, then earlier arrivals.
async fn take_slot(state: &Mutex<State>, priority: u64) {
    let ticket = {
        let mut state = lock(state);
        state.sequence += 1;
        let ticket = (priority, state.sequence);
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
        smol::Timer::after(Duration::from_millis(SLOT_POLL_MS)).await;
    }
}

async fn generate(state: &Mutex<State>, completion: &Completion, chunks: &http_io::BodySender) {
    let prompt_tokens = token_count(&completion.prompt) as u64;
    let cached = use_cached_prefix(&mut lock(state), completion).min(prompt_tokens);
    let uncached = prompt_tokens - cached;
    {
        let mut state = lock(state);
        state.computed_prompt_tokens += uncached;
        state.cached_prompt_tokens += cached;
        *state
            .used_tokens
            .entry(completion.user.clone())
            .or_default() += prompt_tokens;
    }
    pause(state, |config| config.prefill_us * uncached).await;
    let seed = blake3::hash(completion.prompt.as_bytes());
    let mut text = String::new();
    let mut generated = 0;
    let length = generated_tokens(completion);
    while generated < length {
        if lock(state).cancelled.contains(&completion.request_id) {
            return;
        }
        let step = lock(state)
            .config
            .event_tokens
            .max(1)
            .min(length - generated);
        pause(state, |config| config.token_us * step).await;
        let event_text: String = (generated..generated + step)
            .map(|index| token_text(&seed, index))
            .collect();
        generated += step;
        *lock(state)
            .used_tokens
            .entry(completion.user.clone())
            .or_default() += step;
        text.push_str(&event_text);
        if !send_event(chunks, &json!({"choices": [{"text": event_text}]})).await {
            return;
        }
    }
    cache_context(&mut lock(state), completion, &text);
    let usage = json!({
        "prompt_tokens": prompt_tokens, "completion_tokens": generated, "cached_tokens": cached,
    });
    send_event(chunks, &json!({"choices": [], "usage": usage})).await;
    chunks.send(b"data: [DONE]\n\n".to_vec()).await;
}

/// Returns the number of tokens that the model generates for a completion.
fn generated_tokens(completion: &Completion) -> u64 {
    let prompt = completion.prompt.trim_end();
    let limit = prompt.rfind(STOP_MARK);
    let limit = limit.and_then(|at| prompt[at + STOP_MARK.len()..].parse().ok());
    limit.map_or(completion.max_tokens, |limit: u64| {
        limit.min(completion.max_tokens)
    })
}

async fn pause(state: &Mutex<State>, time_us: impl Fn(&Config) -> u64) {
    let config = lock(state).config;
    let time_us = time_us(&config) * config.slow_percent / 100;
    if time_us > 0 {
        smol::Timer::after(Duration::from_micros(time_us)).await;
    }
}

async fn send_event(chunks: &http_io::BodySender, event: &Value) -> bool {
    chunks.send(format!("data: {event}\n\n").into_bytes()).await
}

/// Returns how many tokens of the prompt are cached, and marks the context as used.
fn use_cached_prefix(state: &mut State, completion: &Completion) -> u64 {
    state.sequence += 1;
    let now = state.sequence;
    let Some(context) = state.cache.get_mut(&completion.user) else {
        return 0;
    };
    context.last_use = now;
    let pairs = context.text.bytes().zip(completion.prompt.bytes());
    let common = pairs
        .take_while(|(cached, requested)| cached == requested)
        .count();
    (common / TOKEN_BYTES) as u64
}

/// Caches the context of a finished completion and evicts the least recently used contexts.
fn cache_context(state: &mut State, completion: &Completion, answer: &str) {
    state.sequence += 1;
    let text = format!("{}{answer}", completion.prompt);
    let context = Cached {
        text,
        last_use: state.sequence,
    };
    state.cache.insert(completion.user.clone(), context);
    let mut total: usize = state
        .cache
        .values()
        .map(|context| token_count(&context.text))
        .sum();
    while total as u64 > state.config.cache_tokens {
        let oldest = state
            .cache
            .iter()
            .min_by_key(|(_, context)| context.last_use);
        let Some(user) = oldest.map(|(user, _)| user.clone()) else {
            return;
        };
        total -= state
            .cache
            .remove(&user)
            .map_or(0, |context| token_count(&context.text));
    }
}
