//! Stand-in of the platform's store, after the page "The platform's metadata store": rows in tables
//! and parts, transactions, reads and feeds, with the limits of the page. It answers after 4 ms.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{Channel, query};
use crate::json::{Json, base64, quote};

const ANSWER_TIME: Duration = Duration::from_millis(4);
const TRANSACTION_MAX_ENTRIES: usize = 100;
const TRANSACTION_MAX_BYTES: usize = 1 << 20;
const VALUE_MAX_BYTES: usize = 65_536;
const PAGE_MAX_ROWS: usize = 500;

type RowKey = (String, String, String);

struct Change {
    version: u64,
    key: RowKey,
    /// Base64; `None` if the row was removed.
    value: Option<String>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<RowKey, (u64, String)>,
    history: Vec<Change>,
    version: u64,
}

/// A running store; lives as long as the process.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Platform {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let platform = Platform {
            address: listener.local_addr()?,
            state: Arc::default(),
            started: Instant::now(),
        };
        let served = platform.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = served.clone();
                std::thread::spawn(move || platform.serve(Channel::new(stream)));
            }
        });
        Ok(platform)
    }

    /// Writes a row, as the operator or a worker.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.lock();
        state.version += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        state.set(key, Some(base64(value.as_bytes())));
        self.state.1.notify_all();
    }

    /// Removes a row, as the platform.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.lock();
        state.version += 1;
        state.set((table.to_owned(), String::new(), key.to_owned()), None);
        self.state.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(request) = channel.read_request() {
            let (method, target) = request.target();
            let (path, query) = query(target);
            let body = String::from_utf8_lossy(&request.body);
            let (status, body) = match (method, path) {
                ("POST", "/-/rows-tx") => self.transact(&body),
                ("GET", "/-/rows-get") => self.read(&query),
                ("GET", "/-/rows-feed") => self.feed(&query),
                _ => (404, "{}".to_owned()),
            };
            std::thread::sleep(ANSWER_TIME);
            let response = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if channel.stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, version: u64, rows: &[String], has_more: bool) -> String {
        format!(
            "{{\"Rows\":[{}],\"HasMore\":{has_more},\"Ver\":{version},\"NowMs\":{}}}",
            rows.join(","),
            self.started.elapsed().as_millis()
        )
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let refused = |reason: &str| (400, format!("{{\"error\":{}}}", quote(reason)));
        let Some(transaction) = Json::parse(body) else {
            return refused("not JSON");
        };
        let checks = transaction.list("ExpectRev");
        let writes = transaction.list("SetKeys");
        let removals = transaction.list("Remove");
        if checks.len() + writes.len() + removals.len() > TRANSACTION_MAX_ENTRIES {
            return refused("more than 100 entries");
        }
        if body.len() > TRANSACTION_MAX_BYTES {
            return refused("more than 1 MB");
        }
        let value = |entry: &Json| entry.text("Value").unwrap_or("").to_owned();
        if writes
            .iter()
            .any(|entry| value(entry).len() > VALUE_MAX_BYTES)
        {
            return refused("value longer than RowBytes");
        }
        let mut state = self.lock();
        let found = |entry: &Json| state.rows.get(&row_key(entry)).map_or(0, |row| row.0);
        let is_current = |entry: &Json| found(entry) == entry.number("Ver").unwrap_or(0);
        if !checks.iter().all(is_current) {
            let keys = checks.iter().map(row_key);
            let rows = keys.filter_map(|key| {
                let row = state.rows.get(&key)?;
                Some(row_json(&key, row.0, Some(&row.1)))
            });
            let rows: Vec<String> = rows.collect();
            return (412, self.answer(state.version, &rows, false));
        }
        state.version += 1;
        for entry in writes {
            state.set(row_key(entry), Some(value(entry)));
        }
        for entry in removals {
            state.set(row_key(entry), None);
        }
        self.state.1.notify_all();
        (200, self.answer(state.version, &[], false))
    }

    fn read(&self, query: &[(String, String)]) -> (u16, String) {
        let value = |name: &str| {
            let found = query.iter().find(|(other, _)| other == name);
            found.map_or("", |(_, value)| value.as_str())
        };
        let (table, part, from, to) = (value("Table"), value("part"), value("From"), value("To"));
        let limit = value("Limit").parse().unwrap_or(PAGE_MAX_ROWS);
        let limit = limit.min(PAGE_MAX_ROWS);
        let state = self.lock();
        let rows = state.rows.iter().filter(|((other, other_part, key), _)| {
            other == table
                && other_part == part
                && key.as_str() >= from
                && (to.is_empty() || key.as_str() < to)
        });
        let rows: Vec<String> = rows
            .map(|(key, row)| row_json(key, row.0, Some(&row.1)))
            .collect();
        let has_more = rows.len() > limit;
        let rows = &rows[..rows.len().min(limit)];
        (200, self.answer(state.version, rows, has_more))
    }

    fn feed(&self, query: &[(String, String)]) -> (u16, String) {
        let value = |name: &str| {
            let found = query.iter().find(|(other, _)| other == name);
            found.map_or("", |(_, value)| value.as_str())
        };
        let table = value("Table");
        let after: u64 = value("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(value("WaitMs").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let changes = state.history.iter().rev();
            let changes = changes.take_while(|change| change.version > after);
            let changes = changes.filter(|change| change.key.0 == table);
            let mut rows: Vec<String> = changes
                .map(|change| row_json(&change.key, change.version, change.value.as_deref()))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.reverse();
                return (200, self.answer(state.version, &rows, false));
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl State {
    fn set(&mut self, key: RowKey, value: Option<String>) {
        match &value {
            Some(value) => drop(self.rows.insert(key.clone(), (self.version, value.clone()))),
            None => drop(self.rows.remove(&key)),
        }
        self.history.push(Change {
            version: self.version,
            key,
            value,
        });
    }
}

fn row_key(entry: &Json) -> RowKey {
    let text = |name: &str| entry.text(name).unwrap_or("").to_owned();
    (text("Table"), text("part"), text("Key"))
}

fn row_json((table, part, key): &RowKey, version: u64, value: Option<&str>) -> String {
    let value = match value {
        Some(value) => format!("\"Value\":{}", quote(value)),
        None => "\"Removed\":true".to_owned(),
    };
    format!(
        "{{\"Table\":{},\"part\":{},\"Key\":{},\"Ver\":{version},{value}}}",
        quote(table),
        quote(part),
        quote(key)
    )
}
