//! Stand-in of a worker, after the page "Workers". It runs as a process of its own, so that a case can
//! kill it. It prints a line for each request that it begins to run and for each that it completes.
//!
//! A request to a path that contains `/turn/` is a turn: its answer is a stream of events, as many as
//! the header `Token-Usage` allows, or as the body says with its first words `events=N`.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use crate::http::{Channel, Message};

const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

pub fn run(address: SocketAddr, id: &str, gap: Duration, event_tokens: u64) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    say(&format!("listening {}", listener.local_addr()?));
    for stream in listener.incoming() {
        let (stream, id) = (stream?, id.to_owned());
        std::thread::spawn(move || serve(Channel::new(stream), &id, gap, event_tokens));
    }
    Ok(())
}

fn say(line: &str) {
    // One call for a line, so that lines of different threads do not mix.
    let _ = std::io::stdout().write_all(format!("{line}\n").as_bytes());
}

fn serve(mut channel: Channel, id: &str, gap: Duration, event_tokens: u64) {
    while let Ok(request) = channel.read_request() {
        let response = respond(&mut channel, &request, id, gap, event_tokens);
        if response.is_err() {
            return;
        }
    }
}

fn respond(
    channel: &mut Channel,
    request: &Message,
    id: &str,
    gap: Duration,
    event_tokens: u64,
) -> std::io::Result<()> {
    let request_id = request.header("request-id").unwrap_or("");
    let stream = &mut channel.stream;
    let common = format!("Request-Id: {request_id}\r\nKeep-Alive: timeout=5\r\n");
    if request
        .header("expect-instance")
        .is_some_and(|expected| expected != id)
    {
        let head = format!(
            "HTTP/1.1 421 Misdirected Request\r\n{common}Instance-Id: {id}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        return stream.write_all(head.as_bytes());
    }
    let (_, target) = request.target();
    say(&format!(
        "run {request_id} {target} bytes={} hash={:016x}",
        request.body.len(),
        hash(&request.body)
    ));
    let common = format!("{common}Response-Seal: {SEAL}\r\n");
    if !target.contains("/turn/") {
        std::thread::sleep(gap);
        let body = format!("done {request_id}");
        let head = format!(
            "HTTP/1.1 200 OK\r\n{common}Content-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(format!("{head}{body}").as_bytes())?;
        say(&format!("end {request_id} events=0"));
        return Ok(());
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let count = event_count(request, event_tokens);
    for number in 1..=count {
        std::thread::sleep(gap);
        let event = format!("id: {number}\ndata: {request_id}.{number}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    say(&format!("end {request_id} events={count}"));
    Ok(())
}

/// Hash of a body, to compare what a worker ran with what it was to run (FNV-1a).
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

fn event_count(request: &Message, event_tokens: u64) -> u64 {
    let usage = request
        .header("token-usage")
        .and_then(|usage| usage.split_once(','));
    let most = usage.and_then(|(_, most)| most.trim().parse::<u64>().ok());
    let most = most.unwrap_or(event_tokens) / event_tokens;
    // The new input is the last line of the prompt.
    let body = String::from_utf8_lossy(&request.body);
    let input = body.trim_end().lines().last().unwrap_or("");
    let stated = input.strip_prefix("events=");
    let stated = stated.and_then(|rest| rest.split(' ').next()?.parse().ok());
    stated.unwrap_or(most).min(most)
}
