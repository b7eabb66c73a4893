//! Stand-in of the platform's store: rows, transactions and feeds as the pages tell them. Its limits are
//! those of the pages: 100 entries and 1 MB a call, values of at most `RowBytes` in base64, pages of at
//! most 500 rows or 1 MB.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Channel, Head};
use crate::json::{Json, quote};

const ENTRIES_MAX: usize = 100;
const CALL_MAX_BYTES: usize = 1 << 20;
const ROW_MAX_BYTES: usize = 65_536;
const PAGE_MAX_ROWS: usize = 500;
/// Time of an answer, and what a transaction takes besides.
const ANSWER: Duration = Duration::from_millis(4);
const TRANSACTION: Duration = Duration::from_millis(5);

type Key = (String, String, String);

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, (u64, String)>,
    history: Vec<(u64, Key, Option<String>)>,
    version: u64,
    /// Partitions that are down: table and name.
    down: HashSet<(String, String)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start(address: &str) -> Store {
        let listener = TcpListener::bind(address).expect("store address");
        let store = Store {
            address: listener.local_addr().expect("address"),
            state: Arc::default(),
            started: Instant::now(),
        };
        store.state.0.lock().unwrap().version = 1;
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(Channel::new(stream)));
            }
        });
        store
    }

    /// Writes a row in place of the operator or a worker.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        state.set((table.into(), String::new(), key.into()), Some(encode(value.as_bytes())));
        self.state.1.notify_all();
    }

    pub fn set_down(&self, table: &str, part: &str, is_down: bool) {
        let mut state = self.state.0.lock().unwrap();
        let partition = (table.to_owned(), part.to_owned());
        if is_down {
            state.down.insert(partition);
        } else {
            state.down.remove(&partition);
        }
        self.state.1.notify_all();
    }

    /// Returns the number of rows of a table.
    pub fn row_count(&self, table: &str) -> usize {
        let state = self.state.0.lock().unwrap();
        state.rows.keys().filter(|key| key.0 == table).count()
    }

    fn serve(&self, mut channel: Channel) {
        loop {
            let Ok(head) = channel.read_head() else { return };
            let mut body = Vec::new();
            if channel.read_body(&head, &mut body).is_err() {
                return;
            }
            std::thread::sleep(ANSWER);
            let (status, answer) = self.answer(&head, &body);
            let text = format!(
                "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if channel.write(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let target = head.second_word();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        match path {
            "/-/rows-tx" => self.transact(body),
            "/-/rows-get" => self.read(&query),
            "/-/rows-feed" => self.feed(&query),
            _ => (404, "{}".to_owned()),
        }
    }

    fn rows_json(&self, state: &State, rows: &[String], has_more: bool) -> String {
        format!(
            "{{\"Rows\":[{}],\"HasMore\":{has_more},\"Ver\":{},\"NowMs\":{}}}",
            rows.join(","),
            state.version,
            self.started.elapsed().as_millis()
        )
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        if body.len() > CALL_MAX_BYTES {
            return (413, "{}".into());
        }
        let Some(call) = std::str::from_utf8(body).ok().and_then(Json::parse) else {
            return (400, "{}".into());
        };
        let (checks, writes, removes) = (call.list("ExpectRev"), call.list("SetKeys"), call.list("Remove"));
        if checks.len() + writes.len() + removes.len() > ENTRIES_MAX {
            return (400, "{}".into());
        }
        if writes.iter().any(|write| write.text("Value").len() > ROW_MAX_BYTES) {
            return (413, "{}".into());
        }
        std::thread::sleep(TRANSACTION);
        let key = |entry: &Json| -> Key {
            (entry.text("Table").into(), entry.text("part").into(), entry.text("Key").into())
        };
        let mut state = self.state.0.lock().unwrap();
        let is_down = checks.iter().chain(writes).chain(removes).any(|entry| {
            let (table, part, _) = key(entry);
            state.down.contains(&(table, part))
        });
        if is_down {
            return (503, "{}".into());
        }
        let has_conflict = checks.iter().any(|check| {
            let version = state.rows.get(&key(check)).map_or(0, |row| row.0);
            version != check.number("Ver") as u64
        });
        if has_conflict {
            let rows: Vec<String> = checks
                .iter()
                .filter_map(|check| Some(row_json(&key(check), state.rows.get(&key(check))?)))
                .collect();
            return (412, self.rows_json(&state, &rows, false));
        }
        state.version += 1;
        for write in writes {
            state.set(key(write), Some(write.text("Value").to_owned()));
        }
        for remove in removes {
            state.set(key(remove), None);
        }
        self.state.1.notify_all();
        (200, format!("{{\"Ver\":{},\"NowMs\":{}}}", state.version, self.started.elapsed().as_millis()))
    }

    fn read(&self, query: &HashMap<String, String>) -> (u16, String) {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from, to) = (text("Table"), text("part"), text("From"), text("To"));
        let limit = text("Limit").parse().unwrap_or(PAGE_MAX_ROWS).min(PAGE_MAX_ROWS);
        let state = self.state.0.lock().unwrap();
        if state.down.contains(&(table.clone(), part.clone())) {
            return (503, "{}".into());
        }
        let in_range = state.rows.iter().filter(|(key, _)| {
            key.0 == table && key.1 == part && key.2 >= from && (to.is_empty() || key.2 < to)
        });
        let (mut rows, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, row) in in_range {
            let row = row_json(key, row);
            bytes += row.len();
            if rows.len() == limit || (bytes > CALL_MAX_BYTES && !rows.is_empty()) {
                has_more = true;
                break;
            }
            rows.push(row);
        }
        (200, self.rows_json(&state, &rows, has_more))
    }

    fn feed(&self, query: &HashMap<String, String>) -> (u16, String) {
        let table = query.get("Table").cloned().unwrap_or_default();
        let after: u64 = query.get("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait: u64 = query.get("WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            if state.down.contains(&(table.clone(), String::new())) {
                return (503, "{}".into());
            }
            let changes = state.history.iter().filter(|change| change.0 > after && change.1.0 == table);
            let rows: Vec<String> = changes
                .map(|(version, key, value)| match value {
                    Some(value) => row_json(key, &(*version, value.clone())),
                    None => format!(
                        "{{\"Table\":{},\"part\":{},\"Key\":{},\"Ver\":{version},\"Removed\":true}}",
                        quote(&key.0), quote(&key.1), quote(&key.2)
                    ),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.rows_json(&state, &rows, false));
            }
            state = self.state.1.wait_timeout(state, left.min(Duration::from_millis(50))).unwrap().0;
        }
    }
}

impl State {
    fn set(&mut self, key: Key, value: Option<String>) {
        match &value {
            Some(value) => drop(self.rows.insert(key.clone(), (self.version, value.clone()))),
            None => drop(self.rows.remove(&key)),
        }
        self.history.push((self.version, key, value));
    }
}

fn row_json(key: &Key, (version, value): &(u64, String)) -> String {
    format!(
        "{{\"Table\":{},\"part\":{},\"Key\":{},\"Ver\":{version},\"Value\":{}}}",
        quote(&key.0), quote(&key.1), quote(&key.2), quote(value)
    )
}

fn unescape(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, after)) = rest.split_first() {
        let hex = after.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match (first, hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            _ => {
                bytes.push(if *first == b'+' { b' ' } else { *first });
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let word = (u32::from(three[0]) << 16)
            | (u32::from(*three.get(1).unwrap_or(&0)) << 8)
            | u32::from(*three.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= three.len() {
                text.push(ALPHABET[(word >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
