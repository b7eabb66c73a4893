//! The platform's service: a transactional table, an object store and a host list.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ::store::api::{HostInfo, Outcome, Row, Transaction, Value};
use http_types::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::host::{self, Handle, json, lock, read, read_json};

/// Failures that can be turned on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Knobs {
    /// Requests are refused.
    pub down: bool,
    /// Each request takes so many milliseconds.
    pub slow_ms: u64,
    /// Writes take effect but so many of their answers to come are lost.
    pub lose_answers: u32,
    /// Writes a second; 0 for no limit.
    pub writes_per_s: u32,
    /// Reads a second; 0 for no limit.
    pub reads_per_s: u32,
}

/// The service's state.
#[derive(Debug)]
pub struct State {
    /// Failures turned on.
    pub knobs: Knobs,
    /// The table: version and value by key.
    pub rows: BTreeMap<String, (u64, Vec<u8>)>,
    /// The objects by key.
    pub objects: HashMap<String, Vec<u8>>,
    /// The host list.
    pub hosts: Vec<HostInfo>,
    /// Transactions committed.
    pub commits: u64,
    /// Reads answered.
    pub reads: u64,
    writes_left: Allowance,
    reads_left: Allowance,
}

/// A rate limit over the current second.
#[derive(Debug)]
struct Allowance {
    since: Instant,
    used: u32,
}

impl Allowance {
    fn new() -> Self {
        Allowance {
            since: Instant::now(),
            used: 0,
        }
    }

    fn take(&mut self, per_second: u32) -> bool {
        if self.since.elapsed() >= Duration::from_secs(1) {
            *self = Allowance::new();
        }
        self.used += 1;
        per_second == 0 || self.used <= per_second
    }
}

/// Starts the service with this host list.
pub fn start(address: SocketAddr, hosts: Vec<HostInfo>) -> std::io::Result<Handle<State>> {
    let state = State {
        knobs: Knobs::default(),
        rows: BTreeMap::new(),
        objects: HashMap::new(),
        hosts,
        commits: 0,
        reads: 0,
        writes_left: Allowance::new(),
        reads_left: Allowance::new(),
    };
    host::start(address, state, |_, state, request| answer(state, request))
}

async fn answer(state: Arc<Mutex<State>>, mut request: Request) -> Response {
    let path = request.url().path().to_owned();
    let method = request.method();
    match (method, path.as_str()) {
        (Method::Post, "/knobs") => return set_knobs(&state, &mut request).await,
        (Method::Put, "/hosts") => return set_hosts(&state, &mut request).await,
        _ => {}
    }
    let knobs = lock(&state).knobs;
    if knobs.slow_ms > 0 {
        smol::Timer::after(Duration::from_millis(knobs.slow_ms)).await;
    }
    if knobs.down {
        return Response::new(StatusCode::ServiceUnavailable);
    }
    let writes = matches!(method, Method::Post | Method::Put);
    if !allow(&state, writes) {
        return Response::new(StatusCode::TooManyRequests);
    }
    let response = match (method, path.as_str()) {
        (Method::Post, "/v1/transaction") => transaction(&state, &mut request).await,
        (Method::Get, "/v1/rows") => rows(&state, &request),
        (Method::Get, "/v1/hosts") => json(&lock(&state).hosts),
        (Method::Put, _) => put_object(&state, &path, &mut request).await,
        (Method::Get, _) => get(&state, &path),
        _ => Response::new(StatusCode::NotFound),
    };
    if writes && lose(&state) {
        // Longer than any client waits: the answer never comes.
        smol::Timer::after(Duration::from_secs(3_600)).await;
    }
    response
}

async fn set_knobs(state: &Mutex<State>, request: &mut Request) -> Response {
    let Some(knobs) = read_json(request).await else {
        return Response::new(StatusCode::BadRequest);
    };
    lock(state).knobs = knobs;
    json(&knobs)
}

async fn set_hosts(state: &Mutex<State>, request: &mut Request) -> Response {
    let Some(hosts) = read_json::<Vec<HostInfo>>(request).await else {
        return Response::new(StatusCode::BadRequest);
    };
    lock(state).hosts.clone_from(&hosts);
    json(&hosts)
}

fn allow(state: &Mutex<State>, write: bool) -> bool {
    let mut state = lock(state);
    let knobs = state.knobs;
    if write {
        state.writes_left.take(knobs.writes_per_s)
    } else {
        state.reads_left.take(knobs.reads_per_s)
    }
}

fn lose(state: &Mutex<State>) -> bool {
    let mut state = lock(state);
    let lost = state.knobs.lose_answers > 0;
    state.knobs.lose_answers = state.knobs.lose_answers.saturating_sub(1);
    lost
}

async fn transaction(state: &Mutex<State>, request: &mut Request) -> Response {
    let Some(transaction) = read_json::<Transaction>(request).await else {
        return Response::new(StatusCode::BadRequest);
    };
    json(&commit(&mut lock(state), transaction))
}

fn commit(state: &mut State, transaction: Transaction) -> Outcome {
    let version = |key: &str| state.rows.get(key).map_or(0, |(version, _)| *version);
    let stale = transaction
        .checks
        .iter()
        .filter(|check| version(&check.key) != check.version);
    let conflicts: Vec<_> = stale.map(|check| check.key.clone()).collect();
    if !conflicts.is_empty() {
        return Outcome::Conflict(conflicts);
    }
    for write in transaction.writes {
        let key = write.key.to_string();
        match write.value {
            Some(value) => {
                let row = state.rows.entry(key).or_default();
                *row = (row.0 + 1, value.0);
            }
            None => drop(state.rows.remove(&key)),
        }
    }
    state.commits += 1;
    Outcome::Committed
}

fn rows(state: &Mutex<State>, request: &Request) -> Response {
    #[derive(Deserialize)]
    struct Query {
        prefix: String,
        after: String,
        limit: usize,
    }
    let Ok(query) = request.query::<Query>() else {
        return Response::new(StatusCode::BadRequest);
    };
    let mut state = lock(state);
    state.reads += 1;
    let matching = state.rows.range(query.prefix.clone()..);
    let matching = matching
        .take_while(|(key, _)| key.starts_with(&query.prefix))
        .filter(|(key, _)| **key > query.after)
        .take(query.limit);
    let rows: Vec<Row> = matching.map(|(key, row)| make_row(key, row)).collect();
    json(&rows)
}

fn make_row(key: &str, row: &(u64, Vec<u8>)) -> Row {
    Row {
        key: key.into(),
        version: row.0,
        value: Value(row.1.clone()),
    }
}

async fn put_object(state: &Mutex<State>, path: &str, request: &mut Request) -> Response {
    let Some(key) = path.strip_prefix("/v1/objects/") else {
        return Response::new(StatusCode::NotFound);
    };
    let bytes = read(request).await;
    lock(state).objects.insert(key.to_owned(), bytes);
    Response::new(StatusCode::Ok)
}

fn get(state: &Mutex<State>, path: &str) -> Response {
    let mut state = lock(state);
    state.reads += 1;
    if let Some(key) = path.strip_prefix("/v1/rows/")
        && let Some(row) = state.rows.get(key)
    {
        return json(&make_row(key, row));
    }
    if let Some(key) = path.strip_prefix("/v1/objects/")
        && let Some(bytes) = state.objects.get(key)
    {
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(bytes.clone());
        return response;
    }
    Response::new(StatusCode::NotFound)
}
