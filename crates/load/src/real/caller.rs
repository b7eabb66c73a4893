//! Caller that runs one program against an entry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http_types::{Body, Method};
use serde_json::{Value, json};
use smol::LocalExecutor;
use standins::engine::{STOP_MARK, TOKEN_BYTES};
use units::{Span, Time, Tokens};

use crate::workload::{OBJECTIVE, Plan, Step};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
const PROGRAM_TOKENS: u64 = 1_000_000;
const CHILD_TOKENS: u64 = 50_000;
const CALLS_MAX: u64 = 200;
const RETRY_DELAY: Span = Span::from_ms(100);
const ATTEMPTS_MAX: u32 = 20;

/// Caller of one program; its times count from `start`.
#[derive(Clone)]
pub(crate) struct Caller {
    executor: Rc<LocalExecutor<'static>>,
    client: http_io::Client,
    start: Instant,
}

impl Caller {
    pub(crate) fn new(
        executor: Rc<LocalExecutor<'static>>,
        address: SocketAddr,
        start: Instant,
    ) -> Self {
        Caller {
            executor,
            client: http_io::Client::new(address, REQUEST_TIMEOUT).with_bearer("load-token"),
            start,
        }
    }

    fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64)
    }

    /// Runs a program; returns when it finished, if it did, and how often it was refused.
    pub(crate) async fn run(&self, plan: Plan) -> (Option<Time>, u64) {
        let mut refusals = 0;
        let class = if plan.is_top_class {
            "reorder"
        } else {
            "advisor"
        };
        let body = json!({"class": class, "tokens": PROGRAM_TOKENS, "calls": CALLS_MAX});
        let program = loop {
            let (status, response) = self.post("/v1/programs", &body).await;
            if status == 201 {
                break response["program"].as_str().unwrap_or_default().to_owned();
            }
            refusals += 1;
            let delay = response["retry_after_ms"].as_u64();
            let delay = delay.map_or(RETRY_DELAY, Span::from_ms);
            if self.now().after(delay) > plan.arrival.after(OBJECTIVE) {
                return (None, refusals);
            }
            smol::Timer::after(delay.into()).await;
        };
        let is_complete = self.run_steps(&program, plan.steps).await;
        let finished_at = is_complete.then(|| self.now());
        self.post(&format!("/v1/programs/{program}/end"), &json!({}))
            .await;
        (finished_at, refusals)
    }

    /// Runs the steps of a program in order; returns false if a call was given up.
    async fn run_steps(&self, program: &str, steps: Vec<Step>) -> bool {
        let mut seq = 0;
        for step in steps {
            match step {
                Step::Pause(span) => {
                    smol::Timer::after(span.into()).await;
                }
                Step::Children(children) => {
                    if !self.run_children(program, &mut seq, children).await {
                        return false;
                    }
                }
                Step::Model { input, answer } => {
                    let max_tokens = (answer.0 * 4).next_power_of_two().max(256);
                    let input = prompt_text(seq, input, answer);
                    let call =
                        json!({"model": "advisor", "input": input, "max_tokens": max_tokens});
                    if self.make_call(program, &mut seq, call).await.is_none() {
                        return false;
                    }
                }
                Step::Service { is_idempotent, .. } => {
                    let service = if is_idempotent {
                        "catalogue"
                    } else {
                        "records"
                    };
                    let input = format!("record {seq}");
                    let call = json!({"service": service, "input": input});
                    if self.make_call(program, &mut seq, call).await.is_none() {
                        return false;
                    }
                }
            }
        }
        true
    }

    /// Runs sub-agents concurrently; returns whether all of them completed their steps.
    async fn run_children(&self, program: &str, seq: &mut u64, children: Vec<Vec<Step>>) -> bool {
        let mut tasks = Vec::new();
        for steps in children {
            let budget = json!({"program": {"tokens": CHILD_TOKENS, "calls": CALLS_MAX / 10}});
            let Some(last_line) = self.make_call(program, seq, budget).await else {
                return false;
            };
            let child = last_line["program"].as_str().unwrap_or_default().to_owned();
            let caller = self.clone();
            let run = async move {
                let is_complete = Box::pin(caller.run_steps(&child, steps)).await;
                caller
                    .post(&format!("/v1/programs/{child}/end"), &json!({}))
                    .await;
                is_complete
            };
            tasks.push(self.executor.spawn(run));
        }
        let mut all_complete = true;
        for task in tasks {
            all_complete &= task.await;
        }
        all_complete
    }

    /// Makes a call and repeats it with the same seq until it is done. Returns the last line of the
    /// response, or `None` if the budget is spent, the call may have run, or no attempt remains.
    async fn make_call(&self, program: &str, seq: &mut u64, mut call: Value) -> Option<Value> {
        *seq += 1;
        call["seq"] = json!(*seq);
        let path = format!("/v1/programs/{program}/calls");
        for _ in 0..ATTEMPTS_MAX {
            let (_, last_line) = self.post(&path, &call).await;
            if last_line["type"] == "done" || last_line["program"].is_string() {
                return Some(last_line);
            }
            if last_line["code"] == "budget" || last_line["ran"] == "unknown" {
                return None;
            }
            let delay = last_line["retry_after_ms"].as_u64();
            let delay = delay.map_or(RETRY_DELAY, Span::from_ms);
            smol::Timer::after(delay.into()).await;
        }
        None
    }

    /// Sends a POST request; returns the status and the last line of the response body as JSON, or 0
    /// and null without a response.
    async fn post(&self, path: &str, body: &Value) -> (u16, Value) {
        let Ok(mut request) = self.client.request(Method::Post, path) else {
            return (0, Value::Null);
        };
        request.set_body(Body::from_string(body.to_string()));
        let Ok(mut response) = self.client.send(request).await else {
            return (0, Value::Null);
        };
        let bytes = response.body_bytes().await.unwrap_or_default();
        let text = String::from_utf8_lossy(&bytes);
        let last_line = text.lines().last().unwrap_or_default();
        let last_line = serde_json::from_str(last_line).unwrap_or_default();
        (response.status().into(), last_line)
    }
}

/// An input of `input` tokens to which the stand-in engine responds with `answer` tokens.
fn prompt_text(seq: u64, input: Tokens, answer: Tokens) -> String {
    let stop_mark = format!("{STOP_MARK}{} ", answer.0);
    let length = (input.0 as usize * TOKEN_BYTES).saturating_sub(stop_mark.len());
    let mut text = format!("call {seq} ").repeat(length / 7 + 1);
    text.truncate(length);
    text.push_str(&stop_mark);
    text
}
