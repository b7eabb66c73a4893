//! A plain service that counts executions by idempotency key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_types::{Request, Response, StatusCode};

use crate::server::{self, Handle, lock, read_body};

/// State of a service: settings, and what it executed.
#[derive(Debug, Default)]
pub struct State {
    /// Executions by idempotency key.
    pub executions: BTreeMap<String, u32>,
    /// Inputs in the order of execution.
    pub inputs: Vec<String>,
    /// Time per call, in milliseconds.
    pub delay_ms: u64,
    /// Whether calls are executed but not answered for an hour.
    pub hangs: bool,
}

/// Starts a service, which answers an input with `done: ` and that input.
pub fn start(address: SocketAddr, delay_ms: u64) -> std::io::Result<Handle<State>> {
    let state = State {
        delay_ms,
        ..State::default()
    };
    server::start(address, state, |_, state, request| respond(state, request))
}

async fn respond(state: Arc<Mutex<State>>, mut request: Request) -> Response {
    let key = request
        .header("idempotency-key")
        .map(|values| values.as_str().to_owned());
    let input = String::from_utf8_lossy(&read_body(&mut request).await).into_owned();
    let (delay_ms, hangs) = {
        let mut state = lock(&state);
        *state.executions.entry(key.unwrap_or_default()).or_default() += 1;
        state.inputs.push(input.clone());
        (state.delay_ms, state.hangs)
    };
    smol::Timer::after(Duration::from_millis(delay_ms)).await;
    if hangs {
        smol::Timer::after(Duration::from_secs(3_600)).await;
    }
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(format!("done: {input}"));
    response
}
