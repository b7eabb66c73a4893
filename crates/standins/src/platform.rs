//! The platform's store in its published protocol: rows in tables and parts, transactions, feeds
//! and objects. The host list is a table of its own.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ::store::api::{HostInfo, Value};
use http_types::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::server::{self, Handle, json, lock, read, read_json};

const ENTRIES_MAX: usize = 100;
const BODY_MAX_BYTES: usize = 1 << 20;
const VALUE_MAX_BYTES: usize = 65_536;
const NAME_MAX_BYTES: usize = 200;
const PAGE_MAX_ROWS: usize = 500;
const FEED_POLL: Duration = Duration::from_millis(5);
/// Longer than any client waits: the answer never comes.
const NEVER: Duration = Duration::from_secs(3_600);

/// Failures that can be turned on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Knobs {
    /// Requests are refused.
    pub down: bool,
    /// Requests are not answered, and nothing is done.
    pub silent: bool,
    /// Each request takes so many milliseconds.
    pub slow_ms: u64,
    /// Writes take effect but so many of their answers to come are lost.
    pub lose_answers: u32,
    /// Writes whose answers are lost take effect so many milliseconds later.
    pub late_ms: u64,
    /// Writes a second; 0 for no limit.
    pub writes_per_s: u32,
    /// Reads a second; 0 for no limit.
    pub reads_per_s: u32,
}

/// Where a row lies.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RowKey {
    /// Its table.
    pub table: String,
    /// Its part.
    pub partition: String,
    /// Its key.
    pub key: String,
}

/// A change in the history that feeds are answered from.
#[derive(Clone, Debug)]
struct Change {
    version: u64,
    row_key: RowKey,
    value: Option<Vec<u8>>,
}

/// The service's state.
#[derive(Debug)]
pub struct State {
    /// Failures turned on.
    pub knobs: Knobs,
    /// All rows: version and value.
    pub rows: BTreeMap<RowKey, (u64, Vec<u8>)>,
    /// The objects by key.
    pub objects: HashMap<String, Vec<u8>>,
    /// The host list.
    pub hosts: Vec<HostInfo>,
    /// Transactions committed.
    pub commits: u64,
    /// Reads answered.
    pub reads: u64,
    version: u64,
    history: VecDeque<Change>,
    /// Feeds after an older version than this are told that the history is gone.
    truncated_at: u64,
    started: Instant,
    writes_left: Allowance,
    reads_left: Allowance,
}

impl State {
    /// Writes a row as operators and endpoints do.
    pub fn put(&mut self, table: &str, key: &str, value: &[u8]) {
        let row_key = RowKey {
            table: table.into(),
            partition: String::new(),
            key: key.into(),
        };
        self.version += 1;
        self.set(row_key, Some(value.to_vec()));
    }

    /// Drops a row as operators and endpoints do.
    pub fn delete_row(&mut self, table: &str, key: &str) {
        let row_key = RowKey {
            table: table.into(),
            partition: String::new(),
            key: key.into(),
        };
        self.version += 1;
        self.set(row_key, None);
    }

    /// Discards the history of changes.
    pub fn truncate_history(&mut self) {
        self.history.clear();
        self.version += 1;
        self.truncated_at = self.version;
    }

    fn set(&mut self, row_key: RowKey, value: Option<Vec<u8>>) {
        match &value {
            Some(value) => {
                let row = (self.version, value.clone());
                self.rows.insert(row_key.clone(), row);
            }
            None => drop(self.rows.remove(&row_key)),
        }
        self.history.push_back(Change {
            version: self.version,
            row_key,
            value,
        });
    }
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

#[derive(Serialize, Deserialize)]
struct Entry {
    #[serde(rename = "Table")]
    table: String,
    #[serde(default)]
    part: String,
    #[serde(rename = "Key")]
    key: String,
    #[serde(rename = "Value", default, skip_serializing_if = "Option::is_none")]
    value: Option<Value>,
    #[serde(rename = "Ver", default)]
    version: u64,
    #[serde(
        rename = "Removed",
        default,
        skip_serializing_if = "std::ops::Not::not"
    )]
    removed: bool,
}

impl Entry {
    fn row_key(&self) -> RowKey {
        RowKey {
            table: self.table.clone(),
            partition: self.part.clone(),
            key: self.key.clone(),
        }
    }
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(rename = "ExpectRev", default)]
    checks: Vec<Entry>,
    #[serde(rename = "SetKeys", default)]
    writes: Vec<Entry>,
    #[serde(rename = "Remove", default)]
    drops: Vec<Entry>,
}

#[derive(Serialize)]
struct Answer {
    #[serde(rename = "Rows", skip_serializing_if = "Option::is_none")]
    rows: Option<Vec<Entry>>,
    #[serde(rename = "HasMore", skip_serializing_if = "std::ops::Not::not")]
    more: bool,
    #[serde(rename = "Ver")]
    version: u64,
    #[serde(rename = "NowMs")]
    now_ms: u64,
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
        version: 1,
        history: VecDeque::new(),
        truncated_at: 0,
        started: Instant::now(),
        writes_left: Allowance::new(),
        reads_left: Allowance::new(),
    };
    server::start(address, state, |_, state, request| answer(state, request))
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
    if knobs.silent {
        smol::Timer::after(NEVER).await;
    }
    if knobs.slow_ms > 0 {
        smol::Timer::after(Duration::from_millis(knobs.slow_ms)).await;
    }
    if knobs.down {
        return Response::new(StatusCode::ServiceUnavailable);
    }
    let writes = !matches!(method, Method::Get);
    if !allow(&state, writes) {
        return Response::new(StatusCode::TooManyRequests);
    }
    if writes && lose(&state) {
        smol::Timer::after(Duration::from_millis(knobs.late_ms)).await;
        drop(run(&state, method, &path, &mut request).await);
        smol::Timer::after(NEVER).await;
    }
    run(&state, method, &path, &mut request).await
}

async fn run(state: &Mutex<State>, method: Method, path: &str, request: &mut Request) -> Response {
    match (method, path) {
        (Method::Post, "/-/rows-tx") => transaction(state, request).await,
        (Method::Get, "/-/rows-get") => range(state, request),
        (Method::Get, "/-/rows-feed") => feed(state, request).await,
        (Method::Put, path) => put_object(state, path, request).await,
        (Method::Get, path) => get_object(state, path),
        _ => Response::new(StatusCode::NotFound),
    }
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
    let bytes = read(request).await;
    let Ok(transaction) = serde_json::from_slice::<Transaction>(&bytes) else {
        return Response::new(StatusCode::BadRequest);
    };
    if bytes.len() > BODY_MAX_BYTES || !is_allowed(&transaction) {
        return Response::new(StatusCode::BadRequest);
    }
    let mut state = lock(state);
    let stale = transaction.checks.iter().any(|check| {
        let found = state.rows.get(&check.row_key());
        found.map_or(0, |(version, _)| *version) != check.version
    });
    if stale {
        let row_keys = transaction.checks.iter().map(Entry::row_key);
        let rows = row_keys.filter_map(|row_key| {
            let row = state.rows.get(&row_key)?;
            Some(make_row(&row_key, row))
        });
        let rows = Some(rows.collect());
        let mut response = json(&state.answer(rows));
        response.set_status(StatusCode::PreconditionFailed);
        return response;
    }
    state.version += 1;
    for write in &transaction.writes {
        let value = write.value.clone().unwrap_or_default();
        state.set(write.row_key(), Some(value.0));
    }
    for drop in &transaction.drops {
        state.set(drop.row_key(), None);
    }
    state.commits += 1;
    json(&state.answer(None))
}

/// Whether a transaction keeps to the store's limits.
fn is_allowed(transaction: &Transaction) -> bool {
    let Transaction {
        checks,
        writes,
        drops,
    } = transaction;
    let all = || checks.iter().chain(writes).chain(drops);
    let Some(first) = all().next() else {
        return false;
    };
    let fits = |entry: &Entry| {
        let names = [&entry.table, &entry.part, &entry.key];
        let value = entry.value.as_ref().map_or(0, |value| value.0.len());
        entry.part == first.part
            && names.iter().all(|name| name.len() <= NAME_MAX_BYTES)
            && value.div_ceil(3) * 4 <= VALUE_MAX_BYTES
    };
    all().count() <= ENTRIES_MAX && all().all(fits)
}

impl State {
    fn answer(&self, rows: Option<Vec<Entry>>) -> Answer {
        Answer {
            rows,
            more: false,
            version: self.version,
            now_ms: self.started.elapsed().as_millis() as u64,
        }
    }
}

fn range(state: &Mutex<State>, request: &Request) -> Response {
    #[derive(Deserialize)]
    struct Query {
        #[serde(rename = "Table")]
        table: String,
        #[serde(default)]
        part: String,
        #[serde(rename = "From", default)]
        from: String,
        #[serde(rename = "To", default)]
        to: String,
        #[serde(rename = "Limit")]
        limit: Option<usize>,
    }
    let Ok(query) = request.query::<Query>() else {
        return Response::new(StatusCode::BadRequest);
    };
    let mut state = lock(state);
    state.reads += 1;
    if query.table == "hosts" {
        return json(&state.answer(Some(host_rows(&state.hosts))));
    }
    let limit = query.limit.unwrap_or(PAGE_MAX_ROWS).min(PAGE_MAX_ROWS);
    let inside = |row_key: &RowKey| {
        row_key.table == query.table
            && row_key.partition == query.part
            && row_key.key >= query.from
            && (query.to.is_empty() || row_key.key < query.to)
    };
    let found = state.rows.iter().filter(|(row_key, _)| inside(row_key));
    let mut rows: Vec<Entry> = found
        .take(limit + 1)
        .map(|(row_key, row)| make_row(row_key, row))
        .collect();
    let more = rows.len() > limit;
    rows.truncate(limit);
    let mut answer = state.answer(Some(rows));
    answer.more = more;
    json(&answer)
}

fn host_rows(hosts: &[HostInfo]) -> Vec<Entry> {
    let row = |host: &HostInfo| Entry {
        table: "hosts".into(),
        part: String::new(),
        key: host.host.to_string(),
        value: serde_json::to_vec(host).ok().map(Value),
        version: 1,
        removed: false,
    };
    hosts.iter().map(row).collect()
}

async fn feed(state: &Mutex<State>, request: &Request) -> Response {
    #[derive(Deserialize)]
    struct Query {
        #[serde(rename = "Table")]
        table: String,
        after: u64,
        #[serde(rename = "WaitMs", default)]
        wait_ms: u64,
    }
    let Ok(query) = request.query::<Query>() else {
        return Response::new(StatusCode::BadRequest);
    };
    let end = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        {
            let mut state = lock(state);
            if query.after < state.truncated_at {
                return Response::new(StatusCode::Gone);
            }
            let news = state.history.iter().filter(|change| {
                change.version > query.after && change.row_key.table == query.table
            });
            let rows: Vec<Entry> = news.map(make_change).collect();
            if !rows.is_empty() || Instant::now() >= end {
                state.reads += 1;
                return json(&state.answer(Some(rows)));
            }
        }
        smol::Timer::after(FEED_POLL).await;
    }
}

fn make_row(row_key: &RowKey, row: &(u64, Vec<u8>)) -> Entry {
    Entry {
        table: row_key.table.clone(),
        part: row_key.partition.clone(),
        key: row_key.key.clone(),
        value: Some(Value(row.1.clone())),
        version: row.0,
        removed: false,
    }
}

fn make_change(change: &Change) -> Entry {
    Entry {
        table: change.row_key.table.clone(),
        part: change.row_key.partition.clone(),
        key: change.row_key.key.clone(),
        value: change.value.clone().map(Value),
        version: change.version,
        removed: change.value.is_none(),
    }
}

async fn put_object(state: &Mutex<State>, path: &str, request: &mut Request) -> Response {
    let Some(key) = path.strip_prefix("/-/blob-put/") else {
        return Response::new(StatusCode::NotFound);
    };
    let bytes = read(request).await;
    lock(state).objects.insert(key.to_owned(), bytes);
    Response::new(StatusCode::Ok)
}

fn get_object(state: &Mutex<State>, path: &str) -> Response {
    let mut state = lock(state);
    state.reads += 1;
    let key = path.strip_prefix("/-/blob-get/");
    let Some(bytes) = key.and_then(|key| state.objects.get(key)) else {
        return Response::new(StatusCode::NotFound);
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(bytes.clone());
    response
}
