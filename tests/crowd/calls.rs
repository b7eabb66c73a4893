//! Calls of legal size at an entry, one and many at a time.

use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::caller::Caller;
use crate::gateway::http::Connection;
use crate::host::{Host, Port};

/// Bound for a call; one that hangs exceeds any bound.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest body that a caller of an entry may send.
const CALL_BYTES: usize = 1 << 20;

/// Calls whose inputs and answers together exceed the memory of the smallest machine.
const CALLS: usize = 100;
/// Body of one of many calls.
const LARGE_BYTES: usize = 1_000_000;

/// Returns a call whose body has `bytes`, and a part of it that no other call has.
fn large_call(number: usize, bytes: usize) -> (String, String) {
    let mark = format!("call-{number}-");
    let begin = format!(r#"{{"seq":1,"service":"catalogue","input":"{mark}"#);
    let filler = "x".repeat(bytes - begin.len() - 2);
    (format!(r#"{begin}{filler}"}}"#), mark)
}

/// Creates a program; returns its caller and its identifier.
fn create(host: &Host) -> Option<(Caller, String)> {
    let caller = host
        .programs()
        .caller(0, "meche")
        .with_timeout(CALL_TIMEOUT);
    let body = r#"{"class":"reorder","tokens":100000,"calls":5}"#;
    let (status, created) = caller.request("POST", "/v1/programs", Some(body))?;
    (status == 201).then(|| (caller, created["program"].as_str().unwrap().to_owned()))
}

#[test]
fn one_call_of_legal_size_is_served_in_calm() {
    let host = Host::start(Port::EntryCallers);
    let (caller, program) = create(&host).unwrap();
    let (body, mark) = large_call(0, CALL_BYTES);
    let call: Value = serde_json::from_str(&body).unwrap();
    let answer = caller.call(&program, &call);
    assert!(
        answer.is_complete(),
        "{} {}",
        answer.status,
        answer.last_line
    );
    assert!(answer.text.contains(&mark));
    host.check();
}

#[test]
fn one_chunked_call_of_legal_size_is_served_in_calm() {
    const CHUNK_BYTES: usize = 0x1_0000;
    let host = Host::start(Port::EntryCallers);
    let (_, program) = create(&host).unwrap();
    let (body, mark) = large_call(0, CALL_BYTES);
    let mut bytes = format!(
        "POST /v1/programs/{program}/calls HTTP/1.1\r\nHost: a.example\r\n\
         Authorization: Bearer meche-token\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes();
    for chunk in body.as_bytes().chunks(CHUNK_BYTES) {
        bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    let address = host.programs().caller_address(0);
    let answer = Connection::open(address).send(&bytes);
    assert!(answer.status == 200 && answer.is_complete);
    assert!(answer.text().contains(&mark));
    host.check();
}

/// Makes the first call of a program; a refusal promises that it did not run.
fn call(host: &Host, number: usize, (caller, program): &(Caller, String)) {
    let (body, mark) = large_call(number, LARGE_BYTES);
    let answer = caller.call(program, &serde_json::from_str(&body).unwrap());
    if matches!(answer.status, 408 | 429 | 503) {
        let state = host.programs().services[0].state();
        let ran = state.inputs.iter().any(|input| input.contains(&mark));
        assert!(!ran, "{mark}: {}", answer.last_line);
    }
}

// The input of a call is copied for the log and for the endpoint.
#[test]
fn large_calls_at_the_same_time() {
    let host = Host::start(Port::EntryCallers);
    let programs: Vec<_> = (0..CALLS).map(|_| create(&host).unwrap()).collect();
    thread::scope(|scope| {
        for (number, program) in programs.iter().enumerate() {
            let host = &host;
            scope.spawn(move || call(host, number, program));
        }
    });
    host.check();
}

// The history of a program stays in memory, and nothing limited that of all programs.
#[test]
fn large_calls_one_after_the_other() {
    let host = Host::start(Port::EntryCallers);
    for number in 0..CALLS {
        let program = create(&host).unwrap();
        call(&host, number, &program);
    }
    host.check();
}

#[test]
fn one_document_of_legal_size_is_accepted_in_calm() {
    const DOCUMENT_BYTES: usize = 4 << 20;
    let host = Host::start(Port::EntryAdmin);
    let mut text = crate::cluster::document("");
    let line = format!("# {}\n", "x".repeat(61));
    while text.len() + line.len() <= DOCUMENT_BYTES {
        text.push_str(&line);
    }
    assert_eq!(host.programs().put_document(1, &text), Ok(2));
    host.eventually("the document is in force", || {
        host.programs().status(0)["version"] == 2
    });
    host.check();
}

/// Connections of callers that ask for an answer and do not read it.
const READERS: usize = 200;

// Each of them had the whole answer copied several times, which was counted nowhere.
#[test]
fn stored_answers_that_are_not_read() {
    let mut host = Host::start(Port::EntryCallers);
    let program = create(&host).unwrap();
    call(&host, 0, &program);
    host.connect(READERS);
    let request = format!(
        "GET /v1/programs/{}/calls/1 HTTP/1.1\r\nHost: a.example\r\n\
         Authorization: Bearer meche-token\r\n\r\n",
        program.1
    );
    host.send(request.as_bytes());
    host.check();
}
