//! A worker of the platform: a model engine or a plain service that speaks the published protocol
//! and can misbehave on its connections in the ways that the protocol warns of.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use smol::LocalExecutor;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use socket2::SockRef;

use crate::server::lock;

const HEAD_MAX_BYTES: usize = 64 << 10;
/// Body of an answer with an error.
pub const ERROR_TEXT: &str = "the worker failed";
/// Time for the caller to read what was sent before a reset discards it.
const RESET_DELAY: Duration = Duration::from_millis(50);
/// Time between two bytes of an answer that stalls.
const SLOW_BYTE_INTERVAL: Duration = Duration::from_millis(100);
/// Longer than the timeout of any caller.
const NEVER: Duration = Duration::from_secs(3_600);

/// How the worker treats one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Executes the request and answers it.
    None,
    /// Answers 503 with `Not-Executed`; the request is not executed.
    Refused,
    /// Like `Refused`, and sends the refusal once more at once.
    RefusedTwice,
    /// Like `Refused`, and sends the refusal once more when the next request on the connection has
    /// arrived, before its answer.
    RefusedAgainLater,
    /// Executes the request and answers it with an error.
    Failed,
    /// Answers 421, as a worker with another identifier does; the request is not executed.
    Misdirected,
    /// Executes the request and closes the connection.
    Reset,
    /// Executes the request and never answers.
    NoAnswer,
    /// Executes the request and sends bytes that are no HTTP response.
    Garbage,
    /// Executes the request and answers with a complete message that has this status line after its
    /// version, and closes the connection.
    StatusLine(&'static str),
    /// Executes the request and answers with the identifier of another request.
    WrongId,
    /// Executes the request and sends the answer twice, if it is a plain answer.
    ExtraAnswer,
    /// Executes the request and answers 503 without `Not-Executed`.
    FalseRefusal,
    /// Executes the request and closes the connection in the middle of the answer.
    Truncated,
    /// Executes the request and answers without a length; the answer ends with the connection.
    CloseDelimited,
    /// Like `CloseDelimited`, but the connection ends in the middle of the answer.
    CloseDelimitedCut,
    /// Like `CloseDelimited`, but the connection is reset before the end, between two events if the
    /// answer has any.
    CloseDelimitedReset,
    /// Executes the request and closes the connection within the head of the answer, at the given place.
    HeadCut(HeadPlace),
    /// Executes the request and sends a byte of an event now and then until the connection is closed.
    SlowBytes,
    /// Executes the request and sends header fields until the connection is closed.
    EndlessHead,
    /// Executes the request and sends a body until the connection is closed.
    EndlessBody,
    /// Executes the request and sends events until the connection is closed.
    EndlessEvents,
}

/// A place within the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadPlace {
    /// After the status line.
    StatusLine,
    /// In the name of the header field with the length, or the framing.
    FramingName,
    /// In the value of that field.
    FramingValue,
    /// After the last header field, before the empty line.
    LastField,
}

impl Fault {
    /// Whether the request is not executed.
    fn is_refusal(self) -> bool {
        matches!(
            self,
            Fault::Refused | Fault::RefusedTwice | Fault::RefusedAgainLater | Fault::Misdirected
        )
    }

    /// Whether the answer has no length and ends with the connection.
    fn is_close_delimited(self) -> bool {
        matches!(
            self,
            Fault::CloseDelimited | Fault::CloseDelimitedCut | Fault::CloseDelimitedReset
        )
    }
}

/// A request that was executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Value of `Request-Id`; empty if the request has none.
    pub id: String,
    /// Method, target and protocol version.
    pub request_line: String,
    /// Header fields in their order, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Vec<u8>,
}

impl Run {
    /// Returns the value of a header field; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// State of a worker: settings, and what it executed.
#[derive(Debug, Default)]
pub struct State {
    /// Faults of the next requests, in order; requests after them are answered.
    pub faults: VecDeque<Fault>,
    /// Executed requests, in order.
    pub runs: Vec<Run>,
    /// Identifiers of requests whose caller closed the connection before the answer.
    pub abandoned: Vec<String>,
    /// Number of connections accepted.
    pub accepted: u64,
    /// Number of events in a streamed answer; 0 for a plain answer.
    pub event_count: u64,
    /// Bytes of the body of a plain answer beyond its text.
    pub filler_bytes: usize,
    /// Time before each event, or before a plain answer, in milliseconds.
    pub pause_ms: u64,
    /// Value of `Server-Limit` in answers; empty for none.
    pub limit: String,
    /// Whether answers say that the worker leaves.
    pub is_leaving: bool,
    /// Number of endless answers that are being sent.
    pub endless_answers: u64,
    /// Bytes of endless answers that were sent.
    pub endless_bytes: u64,
    /// A request whose body begins with this text crashes the worker when it begins to run; empty
    /// for none.
    pub crash_prefix: String,
    /// Time from the beginning of such a request to the crash, in milliseconds.
    pub crash_delay_ms: u64,
    /// Release of the worker's software in its entry; `v1` if empty.
    pub release: String,
    /// Whether the worker has crashed: its connections are closed and new ones are refused.
    pub is_crashed: bool,
}

/// Handle of a running worker, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Worker {
    /// Address that the worker listens on.
    pub address: SocketAddr,
    /// Identifier; a request that expects another one in `Expect-Instance` is answered with 421.
    pub id: String,
    state: Arc<Mutex<State>>,
    _stop: Sender<()>,
}

impl Worker {
    /// Locks and returns the state of the worker.
    pub fn state(&self) -> std::sync::MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Returns the worker's entry in the platform's list of workers, as JSON.
    pub fn registry_entry(&self, service: &str, zone: &str, state: &str) -> String {
        let release = match self.state().release.as_str() {
            "" => "v1".to_owned(),
            release => release.to_owned(),
        };
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\"Version\":\"{release}\",\
             \"Slots\":8,\"State\":\"{state}\",\"ColdLeftMs\":0,\"CallSeq\":0,\"born\":1}}",
            self.address
        )
    }
}

/// Starts a worker that listens on `address` (port 0 for any free port).
pub fn start(address: SocketAddr, id: &str, event_count: u64) -> std::io::Result<Worker> {
    let listener = std::net::TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let listener = TcpListener::from(smol::Async::new(listener)?);
    let state = Arc::new(Mutex::new(State {
        event_count,
        ..State::default()
    }));
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let (shared, own_id, crash) = (state.clone(), id.to_owned(), stopped.clone());
    let run = move || {
        let executor = LocalExecutor::new();
        let accept = async {
            while let Ok((stream, _)) = listener.accept().await {
                lock(&shared).accepted += 1;
                let serve = serve_connection(stream, shared.clone(), own_id.clone(), crash.clone());
                executor.spawn(serve).detach();
            }
        };
        let stopped = async {
            // Nothing is ever sent: the channel closes when the worker is dropped or crashes.
            let _ = stopped.recv().await;
        };
        smol::block_on(executor.run(smol::future::or(accept, stopped)));
    };
    std::thread::Builder::new()
        .name("worker".into())
        .spawn(run)?;
    Ok(Worker {
        address,
        id: id.into(),
        state,
        _stop: stop,
    })
}

async fn serve_connection(
    mut stream: TcpStream,
    state: Arc<Mutex<State>>,
    own_id: String,
    crash: Receiver<()>,
) {
    let mut buffer = Vec::new();
    let mut repeated = String::new();
    while let Some(run) = read_request(&mut stream, &mut buffer).await {
        let fault = lock(&state).faults.pop_front().unwrap_or(Fault::None);
        let expected_id = run.header("expect-instance").unwrap_or(&own_id).to_owned();
        let fault = if expected_id == own_id {
            fault
        } else {
            Fault::Misdirected
        };
        let id = run.id.clone();
        if write(&mut stream, &std::mem::take(&mut repeated))
            .await
            .is_none()
        {
            return;
        }
        if fault == Fault::RefusedAgainLater {
            repeated = refusal(&id, "");
        }
        if !fault.is_refusal() && begins_crash(&state, run) {
            let delay = Duration::from_millis(lock(&state).crash_delay_ms);
            smol::Timer::after(delay).await;
            lock(&state).is_crashed = true;
            crash.close();
            return;
        }
        let response = respond(&mut stream, &state, &id, fault);
        if response.await.is_none() {
            return;
        }
    }
}

/// Records a request that begins to run; returns whether it crashes the worker.
fn begins_crash(state: &Mutex<State>, run: Run) -> bool {
    let mut state = lock(state);
    let prefix = state.crash_prefix.as_bytes();
    let is_crash = !prefix.is_empty() && run.body.starts_with(prefix);
    state.runs.push(run);
    is_crash
}

/// Responds to a request; returns `None` if the connection is to be closed.
async fn respond(
    stream: &mut TcpStream,
    state: &Mutex<State>,
    id: &str,
    fault: Fault,
) -> Option<()> {
    let (event_count, pause, limit) = {
        let state = lock(state);
        let limit = match state.limit.as_str() {
            "" => String::new(),
            limit => format!("Server-Limit: {limit}\r\n"),
        };
        let leaving = match state.is_leaving {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        (
            state.event_count,
            Duration::from_millis(state.pause_ms),
            format!("{limit}{leaving}"),
        )
    };
    match fault {
        Fault::Refused | Fault::RefusedAgainLater => {
            return write(stream, &refusal(id, &limit)).await;
        }
        Fault::RefusedTwice => return write(stream, &refusal(id, &limit).repeat(2)).await,
        Fault::Failed => {
            let headers = format!("{limit}Content-Length: {}\r\n", ERROR_TEXT.len());
            let text = format!("{}{ERROR_TEXT}", head(500, id, &headers));
            return write(stream, &text).await;
        }
        Fault::Misdirected => {
            let text = head(421, id, "Content-Length: 0\r\n");
            return write(stream, &text).await;
        }
        Fault::FalseRefusal => return write(stream, &head(503, id, "Content-Length: 0\r\n")).await,
        Fault::Reset => return None,
        Fault::NoAnswer => {
            wait(stream, state, id, NEVER).await?;
            return None;
        }
        Fault::StatusLine(line) => {
            let body = format!("answer to {id}");
            let headers = format!(
                "Response-Seal: sealed\r\nContent-Length: {}\r\n",
                body.len()
            );
            let whole = head(200, id, &headers).replacen("200 Status", line, 1);
            write(stream, &format!("{whole}{body}")).await?;
            return None;
        }
        Fault::Garbage => return write(stream, "no answer at all\r\n\r\n").await,
        Fault::EndlessHead | Fault::EndlessBody | Fault::EndlessEvents => {
            lock(state).endless_answers += 1;
            answer_endlessly(stream, state, id, fault).await;
            lock(state).endless_answers -= 1;
            return None;
        }
        _ => {}
    }
    if let Fault::HeadCut(place) = fault {
        write(stream, &head_until(place, id, event_count > 0)).await?;
        return None;
    }
    if fault == Fault::SlowBytes {
        return answer_slowly(stream, state, id).await;
    }
    if event_count > 0 {
        return answer_events(stream, state, id, fault, &limit, event_count, pause).await;
    }
    wait(stream, state, id, pause).await?;
    let filler = "x".repeat(lock(state).filler_bytes);
    answer_plain(stream, id, fault, &limit, &filler).await
}

/// Sends an answer without an end; returns when the connection is closed.
async fn answer_endlessly(
    stream: &mut TcpStream,
    state: &Mutex<State>,
    id: &str,
    fault: Fault,
) -> Option<()> {
    let begin = head(200, id, "Response-Seal: sealed\r\nConnection: close\r\n");
    let (begin, piece) = match fault {
        Fault::EndlessHead => ("HTTP/1.1 200 Status\r\n", "X-Filler: x\r\n"),
        Fault::EndlessBody => (begin.as_str(), "no answer at all "),
        _ => (begin.as_str(), "data: no answer at all\n\n"),
    };
    write(stream, begin).await?;
    let pieces = piece.repeat(1_000);
    loop {
        write(stream, &pieces).await?;
        lock(state).endless_bytes += pieces.len() as u64;
    }
}

/// Returns the head of an answer up to a place in it.
fn head_until(place: HeadPlace, id: &str, is_stream: bool) -> String {
    let (name, value) = match is_stream {
        true => ("Transfer-Encoding", "chunked"),
        false => ("Content-Length", "17"),
    };
    let whole = head(
        200,
        id,
        &format!("Response-Seal: sealed\r\n{name}: {value}\r\n"),
    );
    let framing = whole.rfind(name).unwrap_or_default();
    let end = match place {
        HeadPlace::StatusLine => whole.find('\n').unwrap_or_default() + 1,
        HeadPlace::FramingName => framing + name.len() / 2,
        HeadPlace::FramingValue => framing + name.len() + 3,
        HeadPlace::LastField => whole.len() - 2,
    };
    whole[..end].to_owned()
}

/// Sends an event byte by byte, which never ends.
async fn answer_slowly(stream: &mut TcpStream, state: &Mutex<State>, id: &str) -> Option<()> {
    let headers = "Response-Seal: sealed\r\nTransfer-Encoding: chunked\r\n";
    write(stream, &head(200, id, headers)).await?;
    write(
        stream,
        &format!("{:x}\r\ndata: first\n\n\r\n", "data: first\n\n".len()),
    )
    .await?;
    loop {
        wait(stream, state, id, SLOW_BYTE_INTERVAL).await?;
        write(stream, "1\r\nx\r\n").await?;
    }
}

async fn answer_plain(
    stream: &mut TcpStream,
    id: &str,
    fault: Fault,
    limit: &str,
    filler: &str,
) -> Option<()> {
    let seal = format!("{limit}Response-Seal: sealed\r\n");
    let body = format!("answer to {id}{filler}");
    let length = body.len();
    let text = match fault {
        Fault::WrongId => head(
            200,
            "another",
            &format!("{seal}Content-Length: {length}\r\n"),
        ),
        fault if fault.is_close_delimited() => {
            head(200, id, &format!("{seal}Connection: close\r\n"))
        }
        _ => head(200, id, &format!("{seal}Content-Length: {length}\r\n")),
    };
    let is_cut = matches!(
        fault,
        Fault::Truncated | Fault::CloseDelimitedCut | Fault::CloseDelimitedReset
    );
    let sent_length = if is_cut { length / 2 } else { length };
    write(stream, &format!("{text}{}", &body[..sent_length])).await?;
    if fault == Fault::ExtraAnswer {
        write(stream, &format!("{text}{body}")).await?;
    }
    if fault == Fault::CloseDelimitedReset {
        reset_on_close(stream).await;
    }
    (fault != Fault::Truncated && !fault.is_close_delimited()).then_some(())
}

async fn answer_events(
    stream: &mut TcpStream,
    state: &Mutex<State>,
    id: &str,
    fault: Fault,
    limit: &str,
    event_count: u64,
    pause: Duration,
) -> Option<()> {
    let answered_id = if fault == Fault::WrongId {
        "another"
    } else {
        id
    };
    let framing = if fault.is_close_delimited() {
        "Connection: close"
    } else {
        "Transfer-Encoding: chunked"
    };
    let headers =
        format!("{limit}Response-Seal: sealed\r\nContent-Type: text/event-stream\r\n{framing}\r\n");
    let text = head(200, answered_id, &headers);
    write(stream, &text).await?;
    for number in 1..=event_count {
        wait(stream, state, id, pause).await?;
        let event = format!("id: {number}\ndata: {id}.{number}\n\n");
        if fault.is_close_delimited() {
            let is_last = number == event_count;
            if is_last && fault == Fault::CloseDelimitedReset {
                reset_on_close(stream).await;
                return None;
            }
            let is_cut = is_last && fault == Fault::CloseDelimitedCut;
            let length = if is_cut { event.len() / 2 } else { event.len() };
            write(stream, &event[..length]).await?;
            continue;
        }
        if fault == Fault::Truncated && number == event_count {
            let half = &event[..event.len() / 2];
            write(stream, &format!("{:x}\r\n{half}\r\n", half.len())).await?;
            return None;
        }
        write(stream, &format!("{:x}\r\n{event}\r\n", event.len())).await?;
    }
    if fault.is_close_delimited() {
        return None;
    }
    write(stream, "0\r\n\r\n").await
}

/// Makes the connection end with a reset when it is closed, after what was sent has been read.
async fn reset_on_close(stream: &TcpStream) {
    smol::Timer::after(RESET_DELAY).await;
    // On failure the connection ends without a reset, which the tests report.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Returns a refusal that states that the request was not executed.
fn refusal(id: &str, limit: &str) -> String {
    let headers = format!("{limit}Not-Executed: 1\r\nContent-Length: 0\r\n");
    head(503, id, &headers)
}

fn head(status: u16, id: &str, headers: &str) -> String {
    format!(
        "HTTP/1.1 {status} Status\r\nRequest-Id: {id}\r\nKeep-Alive: timeout=5\r\n{headers}\r\n"
    )
}

async fn write(stream: &mut TcpStream, text: &str) -> Option<()> {
    stream.write_all(text.as_bytes()).await.ok()
}

/// Waits for `time`; if the caller closes the connection earlier, records the request as abandoned
/// and returns `None`.
async fn wait(stream: &TcpStream, state: &Mutex<State>, id: &str, time: Duration) -> Option<()> {
    let mut byte = [0];
    let closed = async {
        // A caller sends nothing before its answer: `peek` returns when the connection ends.
        let read = stream.peek(&mut byte).await;
        if matches!(read, Ok(0) | Err(_)) {
            lock(state).abandoned.push(id.to_owned());
            return None;
        }
        smol::Timer::after(NEVER).await;
        None
    };
    let elapsed = async {
        smol::Timer::after(time).await;
        Some(())
    };
    smol::future::or(elapsed, closed).await
}

/// Reads one request; bytes that follow it stay in `buffer`. Returns `None` if the connection ends.
async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Run> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        read_more(stream, buffer).await?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n").filter(|line| !line.is_empty());
    let request_line = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut run = Run {
        id: String::new(),
        request_line,
        headers,
        body: Vec::new(),
    };
    run.id = run.header("request-id").unwrap_or_default().to_owned();
    let length = run.header("content-length").unwrap_or("0").parse().ok()?;
    buffer.drain(..end);
    while buffer.len() < length {
        read_more(stream, buffer).await?;
    }
    run.body = buffer.drain(..length).collect();
    Some(run)
}

async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 16 << 10];
    let count = stream.read(&mut chunk).await.ok()?;
    if count == 0 || buffer.len() > HEAD_MAX_BYTES * 64 {
        return None;
    }
    buffer.extend_from_slice(&chunk[..count]);
    Some(())
}
