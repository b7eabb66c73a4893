//! A worker of the platform: a model engine or a plain service in the published protocol, which can
//! misbehave on its connections in the ways that the protocol warns of.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::Sender;
use smol::LocalExecutor;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

use crate::server::lock;

const HEAD_MAX_BYTES: usize = 64 << 10;
/// Longer than any caller waits.
const NEVER: Duration = Duration::from_secs(3_600);

/// What the worker does with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It answers.
    None,
    /// It says that it did not run it.
    Refused,
    /// It says that it is another one.
    Misdirected,
    /// It runs it and closes the connection.
    Reset,
    /// It runs it and never answers.
    NoAnswer,
    /// It runs it and sends bytes that are no answer.
    Garbage,
    /// It runs it and answers with the identifier of another request.
    WrongId,
    /// It runs it and sends a second answer after the first.
    ExtraAnswer,
    /// It runs it and refuses without saying that it did not.
    FalseRefusal,
    /// It runs it and ends its answer in the middle.
    Truncated,
    /// It runs it and answers without a length; the connection ends the answer.
    CloseDelimited,
}

/// A request that was run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Its identifier.
    pub id: String,
    /// Method and target.
    pub request_line: String,
    /// Its header lines, lower-case names.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Run {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// The worker's state.
#[derive(Debug, Default)]
pub struct State {
    /// What it does with the next requests, in order; it answers those after.
    pub faults: VecDeque<Fault>,
    /// Requests that it ran.
    pub runs: Vec<Run>,
    /// Requests whose caller went away while they ran.
    pub abandoned: Vec<String>,
    /// Connections accepted.
    pub accepted: u64,
    /// Events of a stream; 0 for a plain answer.
    pub event_count: u64,
    /// Time before each event, or before a plain answer.
    pub pause_ms: u64,
}

/// A running worker; it stops when this is dropped.
#[derive(Debug)]
pub struct Worker {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its identifier.
    pub id: String,
    state: Arc<Mutex<State>>,
    _stop: Sender<()>,
}

impl Worker {
    /// The worker's state.
    pub fn state(&self) -> std::sync::MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Its entry in the list of workers.
    pub fn registry_entry(&self, service: &str, zone: &str, state: &str) -> String {
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Slots\":8,\"State\":\"{state}\",\"ColdLeftMs\":0,\"CallSeq\":0,\"born\":1}}",
            self.address
        )
    }
}

/// Starts a worker at `address` (port 0 for any).
pub fn start(address: SocketAddr, id: &str, event_count: u64) -> std::io::Result<Worker> {
    let listener = std::net::TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let listener = TcpListener::from(smol::Async::new(listener)?);
    let state = Arc::new(Mutex::new(State {
        event_count,
        ..State::default()
    }));
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let (shared, name) = (state.clone(), id.to_owned());
    let run = move || {
        let executor = LocalExecutor::new();
        let accept = async {
            while let Ok((stream, _)) = listener.accept().await {
                lock(&shared).accepted += 1;
                let serve = serve(stream, shared.clone(), name.clone());
                executor.spawn(serve).detach();
            }
        };
        let stopped = async {
            // The sender is never used: the channel closes when the worker is dropped.
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

async fn serve(mut stream: TcpStream, state: Arc<Mutex<State>>, worker: String) {
    let mut buffer = Vec::new();
    while let Some(run) = read(&mut stream, &mut buffer).await {
        let fault = lock(&state).faults.pop_front().unwrap_or(Fault::None);
        let expected = run.header("expect-instance").unwrap_or(&worker).to_owned();
        let fault = if expected == worker {
            fault
        } else {
            Fault::Misdirected
        };
        let id = run.id.clone();
        if !matches!(fault, Fault::Refused | Fault::Misdirected) {
            lock(&state).runs.push(run);
        }
        let answer = answer(&mut stream, &state, &id, fault);
        if answer.await.is_none() {
            return;
        }
    }
}

/// Answers a request; `None` if the connection ends with it.
async fn answer(
    stream: &mut TcpStream,
    state: &Mutex<State>,
    id: &str,
    fault: Fault,
) -> Option<()> {
    let (event_count, pause) = {
        let state = lock(state);
        (state.event_count, Duration::from_millis(state.pause_ms))
    };
    match fault {
        Fault::Refused => {
            let text = head(503, id, "Not-Executed: 1\r\nContent-Length: 0\r\n");
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
        Fault::Garbage => return write(stream, "no answer at all\r\n\r\n").await,
        _ => {}
    }
    if event_count > 0 {
        return stream_events(stream, state, id, fault, event_count, pause).await;
    }
    wait(stream, state, id, pause).await?;
    plain(stream, id, fault).await
}

async fn plain(stream: &mut TcpStream, id: &str, fault: Fault) -> Option<()> {
    let seal = "Response-Seal: sealed\r\n";
    let body = format!("answer to {id}");
    let length = body.len();
    let text = match fault {
        Fault::WrongId => head(
            200,
            "another",
            &format!("{seal}Content-Length: {length}\r\n"),
        ),
        Fault::CloseDelimited => head(200, id, &format!("{seal}Connection: close\r\n")),
        _ => head(200, id, &format!("{seal}Content-Length: {length}\r\n")),
    };
    let cut = if fault == Fault::Truncated {
        length / 2
    } else {
        length
    };
    write(stream, &format!("{text}{}", &body[..cut])).await?;
    if fault == Fault::ExtraAnswer {
        write(stream, &format!("{text}{body}")).await?;
    }
    (!matches!(fault, Fault::Truncated | Fault::CloseDelimited)).then_some(())
}

async fn stream_events(
    stream: &mut TcpStream,
    state: &Mutex<State>,
    id: &str,
    fault: Fault,
    event_count: u64,
    pause: Duration,
) -> Option<()> {
    let own = if fault == Fault::WrongId {
        "another"
    } else {
        id
    };
    let text = head(
        200,
        own,
        "Response-Seal: sealed\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
    );
    write(stream, &text).await?;
    for number in 1..=event_count {
        wait(stream, state, id, pause).await?;
        let event = format!("id: {number}\ndata: {id}.{number}\n\n");
        if fault == Fault::Truncated && number == event_count {
            let half = &event[..event.len() / 2];
            write(stream, &format!("{:x}\r\n{half}\r\n", half.len())).await?;
            return None;
        }
        write(stream, &format!("{:x}\r\n{event}\r\n", event.len())).await?;
    }
    write(stream, "0\r\n\r\n").await
}

fn head(status: u16, id: &str, header: &str) -> String {
    format!("HTTP/1.1 {status} Status\r\nRequest-Id: {id}\r\nKeep-Alive: timeout=5\r\n{header}\r\n")
}

async fn write(stream: &mut TcpStream, text: &str) -> Option<()> {
    stream.write_all(text.as_bytes()).await.ok()
}

/// Waits; `None`, and a note, if the caller goes away meanwhile.
async fn wait(stream: &TcpStream, state: &Mutex<State>, id: &str, time: Duration) -> Option<()> {
    let mut byte = [0];
    let gone = async {
        // A caller sends nothing before its answer, so that a read ends only with the connection.
        let read = stream.peek(&mut byte).await;
        if matches!(read, Ok(0) | Err(_)) {
            lock(state).abandoned.push(id.to_owned());
            return None;
        }
        smol::Timer::after(NEVER).await;
        None
    };
    let over = async {
        smol::Timer::after(time).await;
        Some(())
    };
    smol::future::or(over, gone).await
}

/// Reads one request; what comes after it stays in `buffer`.
async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Run> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break end + 4;
        }
        fill(stream, buffer).await?;
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
        fill(stream, buffer).await?;
    }
    run.body = buffer.drain(..length).collect();
    Some(run)
}

async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 16 << 10];
    let count = stream.read(&mut chunk).await.ok()?;
    if count == 0 || buffer.len() > HEAD_MAX_BYTES * 64 {
        return None;
    }
    buffer.extend_from_slice(&chunk[..count]);
    Some(())
}
