//! Stand-ins for the review's scripts: the platform's store, workers, clients, and the gateways as
//! separate processes. Standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- JSON and base64

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                if bytes.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(Json::Map(fields));
                }
                if !fields.is_empty() {
                    expect(bytes, at, b',')?;
                    skip_space(bytes, at);
                }
                let name = parse_text(bytes, at)?;
                skip_space(bytes, at);
                expect(bytes, at, b':')?;
                fields.push((name, parse_value(bytes, at)?));
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                if bytes.get(*at)? == &b']' {
                    *at += 1;
                    return Some(Json::List(list));
                }
                if !list.is_empty() {
                    expect(bytes, at, b',')?;
                }
                list.push(parse_value(bytes, at)?);
            }
        }
        b'"' => parse_text(bytes, at).map(Json::Text),
        _ => {
            let start = *at;
            while *at < bytes.len() && !b",]} \n\r\t".contains(&bytes[*at]) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn expect(bytes: &[u8], at: &mut usize, byte: u8) -> Option<()> {
    (bytes.get(*at)? == &byte).then(|| *at += 1)
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    expect(bytes, at, b'"')?;
    let mut text = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                *at += 1;
                match *bytes.get(*at)? {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        let letter = char::from_u32(code).unwrap_or('?');
                        text.extend_from_slice(letter.to_string().as_bytes());
                        *at += 4;
                    }
                    other => text.push(other),
                }
                *at += 1;
            }
            other => {
                text.push(other);
                *at += 1;
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            letter if (letter as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => quoted.push(letter),
        }
    }
    quoted.push('"');
    quoted
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(ALPHABET[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole message was read.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message; `None` if the channel ends before its head is complete.
pub fn read_message(reader: &mut impl BufRead, is_response: bool) -> Option<Message> {
    let mut message = Message::default();
    let first = read_line(reader)?;
    if first.is_empty() {
        return None;
    }
    message.first = first;
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        message.headers.push((name.trim().into(), value.trim().into()));
    }
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    let length: Option<usize> = message
        .header("content-length")
        .and_then(|length| length.parse().ok());
    message.complete = if chunked {
        read_chunks(reader, &mut message.body).is_some()
    } else if let Some(length) = length {
        let mut limited = reader.take(length as u64);
        let _ = limited.read_to_end(&mut message.body);
        message.body.len() == length
    } else if is_response {
        reader.read_to_end(&mut message.body).is_ok()
    } else {
        true
    };
    Some(message)
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    let count = reader.read_until(b'\n', &mut line).ok()?;
    if count == 0 || line.last() != Some(&b'\n') {
        return None;
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    Some(String::from_utf8_lossy(&line).into_owned())
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let line = read_line(reader)?;
        let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
        if size == 0 {
            while !read_line(reader)?.is_empty() {}
            return Some(());
        }
        let before = body.len();
        let mut limited = (&mut *reader).take(size as u64);
        limited.read_to_end(body).ok()?;
        if body.len() - before != size {
            return None;
        }
        if !read_line(reader)?.is_empty() {
            return None;
        }
    }
}

pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// A listener with its channels.
#[derive(Clone)]
pub struct Server {
    address: SocketAddr,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    has_ended: Arc<AtomicBool>,
}

impl Server {
    /// Ends the listener and all channels at once, as the end of a process does.
    pub fn crash(&self) {
        self.has_ended.store(true, Ordering::Release);
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().iter() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Serves each channel of `listener` with a thread of its own; `handle` returns whether the channel
/// stays open.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> Server {
    let handle = Arc::new(handle);
    let server = Server {
        address: listener.local_addr().unwrap(),
        streams: Arc::default(),
        has_ended: Arc::default(),
    };
    let served = server.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            if served.has_ended.load(Ordering::Acquire) {
                return;
            }
            let Ok(mut stream) = stream else { continue };
            if let Ok(copy) = stream.try_clone() {
                served.streams.lock().unwrap().push(copy);
            }
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { return };
                let mut reader = BufReader::new(copy);
                while let Some(request) = read_message(&mut reader, false) {
                    if !request.complete || !handle(&request, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
    server
}

// ---------------------------------------------------------------- the record

/// What was sent, answered and run, in `record.txt`.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Arc<Record> {
        let file = File::create(path).expect("record.txt can be written");
        Arc::new(Record {
            file: Mutex::new(file),
            started: Instant::now(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:8.3} {text}");
    }
}

// ---------------------------------------------------------------- the platform's store

type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    version: u64,
    value: String,
}

struct Change {
    version: u64,
    key: Key,
    value: Option<String>,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, Row>,
    changes: Vec<Change>,
    version: u64,
}

/// The platform's store with the limits of its page: 100 entries and 1 MB a transaction, 64 KiB a
/// value, 200 bytes a name, 500 rows or 1 MB an answer.
pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    pub refused: AtomicU64,
    outage: Mutex<Option<Outage>>,
    record: Arc<Record>,
}

/// What of the store answers with 503 and does nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outage {
    /// All of it.
    Whole,
    /// This many of a hundred parts; never the part without a name.
    Parts(u64),
}

const TRANSACTION_BYTES: usize = 1_000_000;
const ANSWER_BYTES: usize = 1_000_000;
const TRANSACTION_ENTRIES: usize = 100;
const VALUE_BYTES: usize = 65_536;
const NAME_BYTES: usize = 200;
const PAGE_ROWS: usize = 500;
const ANSWER_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn start(record: Arc<Record>) -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Store {
            address: listener.local_addr().unwrap(),
            rows: Mutex::new(Rows {
                version: 1,
                ..Rows::default()
            }),
            changed: Condvar::new(),
            started: Instant::now(),
            refused: AtomicU64::new(0),
            outage: Mutex::new(None),
            record,
        });
        let serving = store.clone();
        serve(listener, move |request, stream| serving.answer(request, stream));
        store
    }

    /// Writes a row without a part, in place of the operator or a worker.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let value = encode_base64(value.as_bytes());
        rows.set((table.into(), String::new(), key.into()), Some(value));
        self.changed.notify_all();
    }

    /// Begins or ends an outage.
    pub fn set_outage(&self, outage: Option<Outage>) {
        self.record.line(&format!("store: outage {outage:?}"));
        *self.outage.lock().unwrap() = outage;
    }

    /// Whether a call that concerns `part` is answered with 503.
    fn is_down(&self, part: &str) -> bool {
        match *self.outage.lock().unwrap() {
            None => false,
            Some(Outage::Whole) => true,
            Some(Outage::Parts(share)) => {
                let hash = part.bytes().fold(7u64, |hash, byte| {
                    hash.wrapping_mul(0x100_0000_01b3) ^ u64::from(byte)
                });
                !part.is_empty() && (hash.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) % 100 < share
            }
        }
    }

    /// Removes a row without a part, in place of the operator or a worker.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        rows.set((table.into(), String::new(), key.into()), None);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> bool {
        thread::sleep(ANSWER_TIME);
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        let part = query.get("part").cloned().unwrap_or_default();
        let is_down = match path {
            "/-/rows-feed" => self.is_down(""),
            "/-/rows-get" => self.is_down(&part),
            _ => self.is_down(&first_part(&request.body)),
        };
        if is_down {
            return write_answer(stream, "503 Service Unavailable", "", b"").is_ok();
        }
        let (status, body) = match (request.method(), path) {
            ("POST", "/-/rows-tx") => self.transact(&request.body),
            ("GET", "/-/rows-get") => self.read(&query),
            ("GET", "/-/rows-feed") => self.feed(&query),
            _ => ("404 Not Found", String::new()),
        };
        let headers = "Content-Type: application/json\r\n";
        write_answer(stream, status, headers, body.as_bytes()).is_ok()
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        if body.len() > TRANSACTION_BYTES {
            self.refused.fetch_add(1, Ordering::Relaxed);
            self.record.line(&format!("store refuses a call of {} bytes: 413", body.len()));
            return ("413 Payload Too Large", String::new());
        }
        let parsed = std::str::from_utf8(body).ok().and_then(Json::parse);
        let Some(call) = parsed else {
            return ("400 Bad Request", String::new());
        };
        let key = |entry: &Json| -> Key {
            let field = |name| entry.get(name).text().to_owned();
            (field("Table"), field("part"), field("Key"))
        };
        let checks = call.get("ExpectRev").list();
        let writes = call.get("SetKeys").list();
        let drops = call.get("Remove").list();
        let keys: Vec<Key> = checks.iter().chain(writes).chain(drops).map(key).collect();
        let is_long = |key: &Key| [&key.0, &key.1, &key.2].iter().any(|name| name.len() > NAME_BYTES);
        let is_valid = !keys.is_empty()
            && keys.len() <= TRANSACTION_ENTRIES
            && !keys.iter().any(is_long)
            && keys.iter().all(|key| key.1 == keys[0].1)
            && writes.iter().all(|write| write.get("Value").text().len() <= VALUE_BYTES * 4 / 3 + 4);
        if !is_valid {
            self.refused.fetch_add(1, Ordering::Relaxed);
            self.record.line(&format!("store refuses a call of {} entries: 400", keys.len()));
            return ("400 Bad Request", String::new());
        }
        if keys.iter().any(|key| key.0 == "op" || key.0 == "servers") {
            return ("403 Forbidden", String::new());
        }
        let mut rows = self.rows.lock().unwrap();
        let conflict = checks.iter().any(|check| {
            let version = rows.rows.get(&key(check)).map_or(0, |row| row.version);
            version != check.get("Ver").number() as u64
        });
        if conflict {
            let current: Vec<String> = checks
                .iter()
                .filter_map(|check| Some(describe(&key(check), rows.rows.get(&key(check))?)))
                .collect();
            return ("412 Precondition Failed", self.body(&rows, &current, false));
        }
        rows.version += 1;
        for write in writes {
            rows.set(key(write), Some(write.get("Value").text().to_owned()));
        }
        for drop in drops {
            rows.set(key(drop), None);
        }
        self.changed.notify_all();
        let now = self.started.elapsed().as_millis();
        ("200 OK", format!("{{\"Ver\":{},\"NowMs\":{now}}}", rows.version))
    }

    fn read(&self, query: &HashMap<String, String>) -> (&'static str, String) {
        let empty = String::new();
        let field = |name: &str| query.get(name).unwrap_or(&empty).clone();
        let (table, part, from, to) = (field("Table"), field("part"), field("From"), field("To"));
        let limit = field("Limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let rows = self.rows.lock().unwrap();
        let (mut found, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, row) in rows.rows.range((table.clone(), part.clone(), from)..) {
            if key.0 != table || key.1 != part || !to.is_empty() && key.2 >= to {
                break;
            }
            let text = describe(key, row);
            if found.len() >= limit || !found.is_empty() && bytes + text.len() > ANSWER_BYTES {
                more = true;
                break;
            }
            bytes += text.len();
            found.push(text);
        }
        ("200 OK", self.body(&rows, &found, more))
    }

    fn feed(&self, query: &HashMap<String, String>) -> (&'static str, String) {
        let number = |name: &str| -> u64 {
            query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0)
        };
        let table = query.get("Table").cloned().unwrap_or_default();
        let (after, wait) = (number("after"), Duration::from_millis(number("WaitMs")));
        let began = Instant::now();
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changes = rows.changes.iter();
            let changes = changes.filter(|change| change.version > after && change.key.0 == table);
            let found: Vec<String> = changes
                .map(|change| match &change.value {
                    Some(value) => {
                        let (version, value) = (change.version, value.clone());
                        describe(&change.key, &Row { version, value })
                    }
                    None => format!(
                        "{{\"Table\":{},\"part\":{},\"Key\":{},\"Ver\":{},\"Removed\":true}}",
                        quote(&change.key.0),
                        quote(&change.key.1),
                        quote(&change.key.2),
                        change.version
                    ),
                })
                .collect();
            let left = wait.saturating_sub(began.elapsed());
            if !found.is_empty() || left.is_zero() {
                return ("200 OK", self.body(&rows, &found, false));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn body(&self, rows: &Rows, found: &[String], more: bool) -> String {
        format!(
            "{{\"Rows\":[{}],\"HasMore\":{more},\"Ver\":{},\"NowMs\":{}}}",
            found.join(","),
            rows.version,
            self.started.elapsed().as_millis()
        )
    }
}

impl Rows {
    fn set(&mut self, key: Key, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => {
                let value = value.clone();
                self.rows.insert(key.clone(), Row { version, value });
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.changes.push(Change { version, key, value });
    }
}

fn describe(key: &Key, row: &Row) -> String {
    format!(
        "{{\"Table\":{},\"part\":{},\"Key\":{},\"Value\":\"{}\",\"Ver\":{}}}",
        quote(&key.0),
        quote(&key.1),
        quote(&key.2),
        row.value,
        row.version
    )
}

/// Returns the part that a transaction names first; all its entries have the same one.
fn first_part(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(&body[..body.len().min(4_096)]);
    let part = text.split("\"part\":\"").nth(1);
    part.and_then(|rest| rest.split('"').next()).unwrap_or("").to_owned()
}

fn unescape(text: &str) -> String {
    let (bytes, mut plain, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%')
            .then(|| bytes.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match escaped {
            Some(byte) => {
                plain.push(byte);
                at += 3;
            }
            None => {
                plain.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

// ---------------------------------------------------------------- workers

/// What a worker ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub worker: String,
    pub request: Message,
}

impl Run {
    pub fn id(&self) -> &str {
        self.request.header("request-id").unwrap_or("")
    }
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Time until the head of a stream, with its first event: the aim of the sheet's fastest kind.
const FIRST_EVENT: Duration = Duration::from_millis(250);

/// How a worker answers.
#[derive(Clone, Copy)]
pub enum Answer {
    /// A stream of this many events, the first after [`FIRST_EVENT`], then one each 10 ms.
    Stream(u32),
    /// A body of this many bytes.
    Plain(usize),
}

/// Text of the data of one event of a run.
pub fn event_text(id: &str, number: u32) -> String {
    format!("{id}.{number}.lorem-ipsum-dolor-sit-amet-consect")
}

/// Starts a worker, which is registered in the store.
pub fn start_worker(
    store: &Store,
    record: &Arc<Record>,
    service: &str,
    id: &str,
    answer: Answer,
    runs: &Runs,
) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let entry = format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"port-louis\",\
         \"Version\":\"v1\",\"Slots\":48,\"State\":\"ready\",\"ColdLeftMs\":0,\"CallSeq\":0,\
         \"born\":1780000000000}}"
    );
    store.put("servers", id, &entry);
    let (record, runs, own) = (record.clone(), runs.clone(), id.to_owned());
    serve(listener, move |request, stream| {
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != own) {
            let headers = format!("Instance-Id: {own}\r\n");
            return write_answer(stream, "421 Misdirected Request", &headers, b"").is_ok();
        }
        let id = request.header("request-id").unwrap_or("").to_owned();
        record.line(&format!(
            "worker {own} runs {id} {} body {} bytes tenant {:?}",
            request.target(),
            request.body.len(),
            request.header("tenant")
        ));
        runs.lock().unwrap().push(Run {
            at_ms: record.now_ms(),
            worker: own.clone(),
            request: request.clone(),
        });
        let headers = format!(
            "Request-Id: {id}\r\nResponse-Seal: seal-{id}\r\nKeep-Alive: timeout=10\r\n"
        );
        match answer {
            Answer::Plain(bytes) => {
                write_answer(stream, "200 OK", &headers, &vec![b'x'; bytes]).is_ok()
            }
            Answer::Stream(count) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n\
                     Transfer-Encoding: chunked\r\n\r\n"
                );
                thread::sleep(FIRST_EVENT);
                let mut sent = stream.write_all(head.as_bytes()).is_ok();
                for number in 1..=count {
                    thread::sleep(Duration::from_millis(10));
                    let event = format!("id: {number}\ndata: {}\n\n", event_text(&id, number));
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    sent = sent && stream.write_all(chunk.as_bytes()).is_ok();
                }
                sent && stream.write_all(b"0\r\n\r\n").is_ok()
            }
        }
    })
}

// ---------------------------------------------------------------- gateways

/// Processes that run.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Longest time that a script runs.
const SCRIPT_TIME: Duration = Duration::from_secs(110);

unsafe extern "C" {
    safe fn kill(process: i32, signal: i32) -> i32;
}

/// Plays a case: `play` returns the exit code, and all processes that it started have ended by then.
/// One that takes too long could not run.
pub fn run(name: &str, play: impl FnOnce(&Arc<Record>, &Path) -> i32) -> ! {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let record = Record::new(&Path::new(&folder).join("record.txt"));
    let temporary = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let (late_record, late_folder) = (record.clone(), temporary.clone());
    thread::spawn(move || {
        thread::sleep(SCRIPT_TIME);
        late_record.line("the script takes too long");
        for process in PROCESSES.lock().unwrap().iter() {
            kill(*process as i32, 9);
        }
        let _ = std::fs::remove_dir_all(&late_folder);
        std::process::exit(2);
    });
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(&record, &temporary)));
    let _ = std::fs::remove_dir_all(&temporary);
    let code = played.unwrap_or(2);
    record.line(match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    });
    std::process::exit(code)
}

/// A gateway process.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub status: SocketAddr,
    settings: PathBuf,
    folder: PathBuf,
    memory_mb: u32,
    child: Option<Child>,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().unwrap()
}

impl Gateway {
    /// Writes the settings of a gateway, as the template of the deploy file has them.
    pub fn new(folder: &Path, name: &str, zone: &str, store: SocketAddr, memory_mb: u32) -> Gateway {
        let (callers, status, peer) = (free_address(), free_address(), free_address());
        let settings = folder.join(format!("{name}.ini"));
        let text = format!(
            "[process]\nhost = {name}\nregion = north-island\nzone = {zone}\n\n[gateway]\n\
             caller-address = {callers}\nstatus-address = {status}\npeer-address = {peer}\n\
             peer-key = 7d3c1f5ae2904b8867c0d19e5b2af4836e1d7c90a4f852b36b0e9d47c215fa08\n\
             long-prompts-yield = on\nstop-within-seconds = 8\n\n[zones]\n\
             port-louis = north-island\npamplemousses = north-island\ncurepipe = south-island\n\n\
             [platform]\naddress = {store}\n"
        );
        std::fs::write(&settings, text).expect("settings can be written");
        Gateway {
            name: name.into(),
            callers,
            status,
            settings,
            folder: folder.into(),
            memory_mb,
            child: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let child = Command::new("target/release/balsamhold")
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .args(["--memory-megabytes", &self.memory_mb.to_string()])
            .args(["--descriptors", "8200", "--processor-cores", "0.5"])
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log)
            .spawn();
        let child = child.expect("the gateway starts");
        PROCESSES.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            PROCESSES.lock().unwrap().retain(|process| *process != child.id());
        }
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Waits until the gateway reports itself ready.
    pub fn wait_ready(&self) -> bool {
        for _ in 0..100 {
            let head = "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".to_owned();
            let answer = Channel::open(self.status).and_then(|mut channel| channel.call(&head, b""));
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the peak of the process's memory in kB, as the system counts it.
    pub fn peak_kb(&self) -> u64 {
        self.memory("VmHWM:")
    }

    pub fn now_kb(&self) -> u64 {
        self.memory("VmRSS:")
    }

    fn memory(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.split_whitespace().nth(1))
            .and_then(|number| number.parse().ok())
            .unwrap_or(0)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------- clients

/// A client's channel to a gateway.
pub struct Channel {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr) -> Option<Channel> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Channel { stream, reader })
    }

    pub fn send(&mut self, head: &str, body: &[u8]) -> Option<()> {
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).ok()
    }

    pub fn receive(&mut self) -> Option<Message> {
        read_message(&mut self.reader, true)
    }

    /// Sends a request; `None` if the channel ends before the head of an answer.
    pub fn call(&mut self, head: &str, body: &[u8]) -> Option<Message> {
        self.send(head, body)?;
        self.receive()
    }
}

/// Returns the head of a request with these lines beside those that every request has.
pub fn head(method: &str, target: &str, host: &str, id: &str, lines: &str, body: usize) -> String {
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {body}\r\n") };
    format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\n{lines}{length}\r\n")
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// Returns a new request id of 16 hexadecimal digits.
pub fn new_id() -> String {
    let count = IDS.fetch_add(1, Ordering::Relaxed);
    let seed = u64::from(std::process::id()) << 20 | count;
    format!("{:016x}", seed.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Whether the disruption is wanted.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
