//! Stand-in for the platform's store, with its published protocol: rows in tables and partitions,
//! transactions, change feeds and objects. The list of hosts is read as the table `hosts`.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ::store::api::{HostInfo, Value};
use http_types::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::server::{self, Handle, json_response, lock, read_body, read_json};

const TRANSACTION_MAX_ENTRIES: usize = 100;
const BODY_MAX_BYTES: usize = 1 << 20;
const ENCODED_VALUE_MAX_BYTES: usize = 65_536;
const NAME_MAX_BYTES: usize = 200;
const PAGE_MAX_ROWS: usize = 500;
const FEED_POLL: Duration = Duration::from_millis(5);
/// Longer than the timeout of any client: the response never comes.
const NEVER: Duration = Duration::from_secs(3_600);

/// Faults and rate limits; JSON of the path `/knobs`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Knobs {
    /// Whether requests are refused with 503.
    pub down: bool,
    /// Whether requests are neither executed nor answered.
    pub silent: bool,
    /// Delay of each request, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes to come that take effect but whose responses are lost.
    pub lose_answers: u32,
    /// Delay until a write whose response is lost takes effect, in milliseconds.
    pub late_ms: u64,
    /// Most writes in a second; 0 for no limit.
    pub writes_per_s: u32,
    /// Most reads in a second; 0 for no limit.
    pub reads_per_s: u32,
}

/// Location of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RowKey {
    /// Name of the table.
    pub table: String,
    /// Name of the partition; empty in tables without partitions.
    pub partition: String,
    /// Key within the partition.
    pub key: String,
}

/// A change of a row, kept to answer feeds.
#[derive(Clone, Debug)]
struct Change {
    version: u64,
    row_key: RowKey,
    value: Option<Vec<u8>>,
}

/// State of the store: settings, contents and counters.
#[derive(Debug)]
pub struct State {
    /// Faults and rate limits in force.
    pub knobs: Knobs,
    /// Version and value of each row.
    pub rows: BTreeMap<RowKey, (u64, Vec<u8>)>,
    /// Objects by key.
    pub objects: HashMap<String, Vec<u8>>,
    /// Partitions that are unavailable while the others serve: calls of them are refused with 503.
    pub unavailable: HashSet<store::Partition>,
    /// List of hosts.
    pub hosts: Vec<HostInfo>,
    /// Number of transactions committed.
    pub commits: u64,
    /// Number of reads answered.
    pub reads: u64,
    version: u64,
    history: VecDeque<Change>,
    /// Version of the latest truncation of the history: feeds after an older version get 410.
    truncated_at: u64,
    started: Instant,
    write_limit: RateLimit,
    read_limit: RateLimit,
}

impl State {
    /// Writes a row without a partition, in place of an operator or endpoint.
    pub fn put(&mut self, table: &str, key: &str, value: &[u8]) {
        let row_key = RowKey {
            table: table.into(),
            partition: String::new(),
            key: key.into(),
        };
        self.version += 1;
        self.set(row_key, Some(value.to_vec()));
    }

    /// Writes a row of a partition, in place of a process of the system.
    pub fn put_in(&mut self, partition: &store::Partition, key: &str, value: &[u8]) {
        let row_key = RowKey {
            table: partition.table.to_string(),
            partition: partition.name.to_string(),
            key: key.into(),
        };
        self.version += 1;
        self.set(row_key, Some(value.to_vec()));
    }

    /// Deletes a row without a partition, in place of an operator or endpoint.
    pub fn delete_row(&mut self, table: &str, key: &str) {
        let row_key = RowKey {
            table: table.into(),
            partition: String::new(),
            key: key.into(),
        };
        self.version += 1;
        self.set(row_key, None);
    }

    /// Discards the history of changes, so that feeds after an older version get 410.
    pub fn truncate_history(&mut self) {
        self.history.clear();
        self.version += 1;
        self.truncated_at = self.version;
    }

    fn is_unavailable(&self, table: &str, partition: &str) -> bool {
        self.unavailable
            .contains(&store::Partition::new(table, partition))
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

/// Number of requests in the current second, for a rate limit.
#[derive(Debug)]
struct RateLimit {
    window_start: Instant,
    count: u32,
}

impl RateLimit {
    fn new() -> Self {
        RateLimit {
            window_start: Instant::now(),
            count: 0,
        }
    }

    fn admit(&mut self, max_per_second: u32) -> bool {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            *self = RateLimit::new();
        }
        self.count += 1;
        max_per_second == 0 || self.count <= max_per_second
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
struct ResponseBody {
    #[serde(rename = "Rows", skip_serializing_if = "Option::is_none")]
    rows: Option<Vec<Entry>>,
    #[serde(rename = "HasMore", skip_serializing_if = "std::ops::Not::not")]
    has_more: bool,
    #[serde(rename = "Ver")]
    version: u64,
    #[serde(rename = "NowMs")]
    now_ms: u64,
}

/// Starts a store that listens on `address` (port 0 for any free port) and lists `hosts`.
pub fn start(address: SocketAddr, hosts: Vec<HostInfo>) -> std::io::Result<Handle<State>> {
    let state = State {
        knobs: Knobs::default(),
        rows: BTreeMap::new(),
        objects: HashMap::new(),
        unavailable: HashSet::new(),
        hosts,
        commits: 0,
        reads: 0,
        version: 1,
        history: VecDeque::new(),
        truncated_at: 0,
        started: Instant::now(),
        write_limit: RateLimit::new(),
        read_limit: RateLimit::new(),
    };
    server::start(address, state, |_, state, request| respond(state, request))
}

async fn respond(state: Arc<Mutex<State>>, mut request: Request) -> Response {
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
    let is_write = !matches!(method, Method::Get);
    if !admit(&state, is_write) {
        return Response::new(StatusCode::TooManyRequests);
    }
    if is_write && take_response_loss(&state) {
        smol::Timer::after(Duration::from_millis(knobs.late_ms)).await;
        drop(execute(&state, method, &path, &mut request).await);
        smol::Timer::after(NEVER).await;
    }
    execute(&state, method, &path, &mut request).await
}

async fn execute(
    state: &Mutex<State>,
    method: Method,
    path: &str,
    request: &mut Request,
) -> Response {
    match (method, path) {
        (Method::Post, "/-/rows-tx") => commit_transaction(state, request).await,
        (Method::Get, "/-/rows-get") => read_range(state, request),
        (Method::Get, "/-/rows-feed") => read_feed(state, request).await,
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
    json_response(&knobs)
}

async fn set_hosts(state: &Mutex<State>, request: &mut Request) -> Response {
    let Some(hosts) = read_json::<Vec<HostInfo>>(request).await else {
        return Response::new(StatusCode::BadRequest);
    };
    lock(state).hosts.clone_from(&hosts);
    json_response(&hosts)
}

fn admit(state: &Mutex<State>, is_write: bool) -> bool {
    let mut state = lock(state);
    let knobs = state.knobs;
    if is_write {
        state.write_limit.admit(knobs.writes_per_s)
    } else {
        state.read_limit.admit(knobs.reads_per_s)
    }
}

/// Returns whether the response of this write is lost; if so, counts `lose_answers` down.
fn take_response_loss(state: &Mutex<State>) -> bool {
    let mut state = lock(state);
    let is_lost = state.knobs.lose_answers > 0;
    state.knobs.lose_answers = state.knobs.lose_answers.saturating_sub(1);
    is_lost
}

async fn commit_transaction(state: &Mutex<State>, request: &mut Request) -> Response {
    let bytes = read_body(request).await;
    let Ok(transaction) = serde_json::from_slice::<Transaction>(&bytes) else {
        return Response::new(StatusCode::BadRequest);
    };
    if bytes.len() > BODY_MAX_BYTES || !is_within_limits(&transaction) {
        return Response::new(StatusCode::BadRequest);
    }
    let mut state = lock(state);
    let entries = [&transaction.checks, &transaction.writes, &transaction.drops];
    let mut entries = entries.into_iter().flatten();
    if entries.any(|entry| state.is_unavailable(&entry.table, &entry.part)) {
        return Response::new(StatusCode::ServiceUnavailable);
    }
    let has_conflict = transaction.checks.iter().any(|check| {
        let found = state.rows.get(&check.row_key());
        found.map_or(0, |(version, _)| *version) != check.version
    });
    if has_conflict {
        let row_keys = transaction.checks.iter().map(Entry::row_key);
        let rows = row_keys.filter_map(|row_key| {
            let row = state.rows.get(&row_key)?;
            Some(row_entry(&row_key, row))
        });
        let rows = Some(rows.collect());
        let mut response = json_response(&state.response_body(rows));
        response.set_status(StatusCode::PreconditionFailed);
        return response;
    }
    state.version += 1;
    for write in &transaction.writes {
        let value = write.value.clone().unwrap_or_default();
        state.set(write.row_key(), Some(value.0));
    }
    for delete in &transaction.drops {
        state.set(delete.row_key(), None);
    }
    state.commits += 1;
    json_response(&state.response_body(None))
}

/// Returns whether a transaction keeps to the limits of the store.
fn is_within_limits(transaction: &Transaction) -> bool {
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
            && value.div_ceil(3) * 4 <= ENCODED_VALUE_MAX_BYTES
    };
    all().count() <= TRANSACTION_MAX_ENTRIES && all().all(fits)
}

impl State {
    fn response_body(&self, rows: Option<Vec<Entry>>) -> ResponseBody {
        ResponseBody {
            rows,
            has_more: false,
            version: self.version,
            now_ms: self.started.elapsed().as_millis() as u64,
        }
    }
}

fn read_range(state: &Mutex<State>, request: &Request) -> Response {
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
    if state.is_unavailable(&query.table, &query.part) {
        return Response::new(StatusCode::ServiceUnavailable);
    }
    state.reads += 1;
    if query.table == "hosts" {
        return json_response(&state.response_body(Some(host_rows(&state.hosts))));
    }
    let limit = query.limit.unwrap_or(PAGE_MAX_ROWS).min(PAGE_MAX_ROWS);
    let is_in_range = |row_key: &RowKey| {
        row_key.table == query.table
            && row_key.partition == query.part
            && row_key.key >= query.from
            && (query.to.is_empty() || row_key.key < query.to)
    };
    let found = state
        .rows
        .iter()
        .filter(|(row_key, _)| is_in_range(row_key));
    let mut rows: Vec<Entry> = found
        .take(limit + 1)
        .map(|(row_key, row)| row_entry(row_key, row))
        .collect();
    let has_more = rows.len() > limit;
    rows.truncate(limit);
    let mut response = state.response_body(Some(rows));
    response.has_more = has_more;
    json_response(&response)
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

async fn read_feed(state: &Mutex<State>, request: &Request) -> Response {
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
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        {
            let mut state = lock(state);
            if state.is_unavailable(&query.table, "") {
                return Response::new(StatusCode::ServiceUnavailable);
            }
            if query.after < state.truncated_at {
                return Response::new(StatusCode::Gone);
            }
            let changes = state.history.iter().filter(|change| {
                change.version > query.after && change.row_key.table == query.table
            });
            let rows: Vec<Entry> = changes.map(change_entry).collect();
            if !rows.is_empty() || Instant::now() >= deadline {
                state.reads += 1;
                return json_response(&state.response_body(Some(rows)));
            }
        }
        smol::Timer::after(FEED_POLL).await;
    }
}

fn row_entry(row_key: &RowKey, row: &(u64, Vec<u8>)) -> Entry {
    Entry {
        table: row_key.table.clone(),
        part: row_key.partition.clone(),
        key: row_key.key.clone(),
        value: Some(Value(row.1.clone())),
        version: row.0,
        removed: false,
    }
}

fn change_entry(change: &Change) -> Entry {
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
    let bytes = read_body(request).await;
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
