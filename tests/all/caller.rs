//! A client of the caller API that checks the offsets, length and digest of the answers.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::{Body, Method};
use serde_json::{Value, json};
use smol::future::FutureExt;
use units::Digest;

/// Default time that a caller waits for the answer to a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Time that a caller waits for the response to any other request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A caller that sends its requests to one entry.
#[derive(Clone, Debug)]
pub struct Caller {
    address: SocketAddr,
    token: String,
    timeout: Duration,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// HTTP status; 0 if no response arrived.
    pub status: u16,
    /// Text of the answer as far as it arrived.
    pub text: String,
    /// Last line: `done` or an error.
    pub last_line: Value,
}

impl Answer {
    /// Returns whether the complete answer arrived; its digest has been checked.
    pub fn is_complete(&self) -> bool {
        self.status == 200 && self.last_line["type"] == "done"
    }

    /// Returns whether the call ran, as stated by a refusal: `no`, `unknown` or `yes`; else empty.
    pub fn ran(&self) -> &str {
        self.last_line["ran"].as_str().unwrap_or_default()
    }

    /// Returns the code of a refusal.
    pub fn code(&self) -> &str {
        self.last_line["code"].as_str().unwrap_or_default()
    }
}

/// Sends one request and returns the status and the JSON body, or `None` if there was no response.
pub fn request(
    address: SocketAddr,
    token: &str,
    method: &str,
    path: &str,
    body: Option<&str>,
) -> Option<(u16, Value)> {
    let (status, bytes) = send(address, token, method, path, body, REQUEST_TIMEOUT)?;
    Some((
        status,
        serde_json::from_slice(&bytes).unwrap_or(Value::Null),
    ))
}

fn send(
    address: SocketAddr,
    token: &str,
    method: &str,
    path: &str,
    body: Option<&str>,
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let client = http_io::Client::new(address, timeout).with_bearer(token);
    let method: Method = method.parse().unwrap();
    let mut request = client.request(method, path).unwrap();
    if let Some(body) = body {
        request.set_body(Body::from_string(body.to_owned()));
    }
    let response = async {
        let mut response = client.send(request).await.ok()?;
        let bytes = response.body_bytes().await.unwrap_or_default();
        Some((response.status().into(), bytes))
    };
    let expire = async {
        smol::Timer::after(timeout).await;
        None
    };
    smol::block_on(response.or(expire))
}

impl Caller {
    /// Creates a caller with a bearer token.
    pub fn new(address: SocketAddr, token: &str) -> Self {
        Caller {
            address,
            token: token.to_owned(),
            timeout: CALL_TIMEOUT,
        }
    }

    /// Sets the time that the caller waits for the answer to a call.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends a request other than a call.
    pub fn request(&self, method: &str, path: &str, body: Option<&str>) -> Option<(u16, Value)> {
        request(self.address, &self.token, method, path, body)
    }

    /// Creates a program and returns its identifier.
    pub fn create(&self, class: &str, tokens: u64, calls: u64) -> String {
        let body = json!({"class": class, "tokens": tokens, "calls": calls}).to_string();
        let (status, answer) = self.request("POST", "/v1/programs", Some(&body)).unwrap();
        assert_eq!(status, 201, "{answer}");
        answer["program"].as_str().unwrap().to_owned()
    }

    /// Makes a call and reads its answer to the end.
    pub fn call(&self, program: &str, call: &Value) -> Answer {
        let path = format!("/v1/programs/{program}/calls");
        let sent = send(
            self.address,
            &self.token,
            "POST",
            &path,
            Some(&call.to_string()),
            self.timeout,
        );
        match sent {
            Some((status, bytes)) => parse_answer(status, &bytes),
            None => Answer {
                status: 0,
                text: String::new(),
                last_line: Value::Null,
            },
        }
    }

    /// Makes a model call.
    pub fn model(&self, program: &str, seq: u64, input: &str, max_tokens: u64) -> Answer {
        let call =
            json!({"seq": seq, "model": "advisor", "input": input, "max_tokens": max_tokens});
        self.call(program, &call)
    }

    /// Makes a model call on a separate thread.
    pub fn model_in_background(
        &self,
        program: &str,
        seq: u64,
        input: &'static str,
        max_tokens: u64,
    ) -> std::thread::JoinHandle<Answer> {
        let (caller, program) = (self.clone(), program.to_owned());
        std::thread::spawn(move || caller.model(&program, seq, input, max_tokens))
    }

    /// Makes a call to a plain service.
    pub fn service(&self, program: &str, seq: u64, service: &str, input: &str) -> Answer {
        self.call(
            program,
            &json!({"seq": seq, "service": service, "input": input}),
        )
    }

    /// Reads a program's history.
    pub fn history(&self, program: &str) -> Option<(u16, Value)> {
        self.request("GET", &format!("/v1/programs/{program}/history"), None)
    }

    /// Ends a program.
    pub fn end(&self, program: &str) -> Option<(u16, Value)> {
        self.request("POST", &format!("/v1/programs/{program}/end"), None)
    }
}

/// Reads the lines of an answer and checks offsets, length and digest.
fn parse_answer(status: u16, bytes: &[u8]) -> Answer {
    let mut text = String::new();
    let mut last_line = Value::Null;
    for line in String::from_utf8_lossy(bytes).lines() {
        // The last line is incomplete if the connection was lost within it.
        let Ok(line) = serde_json::from_str::<Value>(line) else {
            break;
        };
        match line["type"].as_str() {
            Some("delta") => {
                assert_eq!(line["offset"], text.len(), "gap in the answer");
                text.push_str(line["text"].as_str().unwrap());
            }
            Some("restart") => text.clear(),
            _ => last_line = line,
        }
    }
    if last_line["type"] == "done" && last_line["digest"].is_string() {
        assert_eq!(last_line["length"], text.len());
        assert_eq!(last_line["digest"], Digest::of(text.as_bytes()).to_string());
    }
    Answer {
        status,
        text,
        last_line,
    }
}
