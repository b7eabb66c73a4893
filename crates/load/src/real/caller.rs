//! A caller that runs one program against an entry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http_types::{Body, Method};
use serde_json::{Value, json};
use smol::LocalExecutor;
use standins::engine::{STOP_MARK, TOKEN_BYTES};
use units::{Span, Time, Tokens};

use crate::workload::{OBJECTIVE, Plan, Step};

const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(60);
const PROGRAM_TOKENS: u64 = 1_000_000;
const CHILD_TOKENS: u64 = 50_000;
const CALLS_MAX: u64 = 200;
const RETRY_DELAY: Span = Span::from_ms(100);
const RETRIES_MAX: u32 = 20;

/// One caller.
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
            client: http_io::Client::new(address, EXCHANGE_TIMEOUT).with_bearer("load-token"),
            start,
        }
    }

    fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64)
    }

    /// Runs a program; when it was done, if it was, and how often it was refused.
    pub(crate) async fn run(&self, plan: Plan) -> (Option<Time>, u64) {
        let mut refusals = 0;
        let class = if plan.top { "reorder" } else { "advisor" };
        let body = json!({"class": class, "tokens": PROGRAM_TOKENS, "calls": CALLS_MAX});
        let program = loop {
            let (status, answer) = self.exchange("/v1/programs", &body).await;
            if status == 201 {
                break answer["program"].as_str().unwrap_or_default().to_owned();
            }
            refusals += 1;
            let delay = answer["retry_after_ms"].as_u64();
            let delay = delay.map_or(RETRY_DELAY, Span::from_ms);
            if self.now().after(delay) > plan.at.after(OBJECTIVE) {
                return (None, refusals);
            }
            smol::Timer::after(delay.into()).await;
        };
        let is_done = self.steps(&program, plan.steps).await;
        let served = is_done.then(|| self.now());
        self.exchange(&format!("/v1/programs/{program}/end"), &json!({}))
            .await;
        (served, refusals)
    }

    /// Makes the calls of a program in turn; false if one of them failed for good.
    async fn steps(&self, program: &str, steps: Vec<Step>) -> bool {
        let mut seq = 0;
        for step in steps {
            match step {
                Step::Pause(span) => {
                    smol::Timer::after(span.into()).await;
                }
                Step::Children(all) => {
                    if !self.children(program, &mut seq, all).await {
                        return false;
                    }
                }
                Step::Model { input, answer } => {
                    let most = (answer.0 * 4).next_power_of_two().max(256);
                    let input = text(seq, input, answer);
                    let call = json!({"model": "advisor", "input": input, "max_tokens": most});
                    if self.call(program, &mut seq, call).await.is_none() {
                        return false;
                    }
                }
                Step::Service { idempotent, .. } => {
                    let service = if idempotent { "catalogue" } else { "records" };
                    let input = format!("record {seq}");
                    let call = json!({"service": service, "input": input});
                    if self.call(program, &mut seq, call).await.is_none() {
                        return false;
                    }
                }
            }
        }
        true
    }

    async fn children(&self, program: &str, seq: &mut u64, all: Vec<Vec<Step>>) -> bool {
        let mut tasks = Vec::new();
        for steps in all {
            let budget = json!({"program": {"tokens": CHILD_TOKENS, "calls": CALLS_MAX / 10}});
            let Some(end) = self.call(program, seq, budget).await else {
                return false;
            };
            let child = end["program"].as_str().unwrap_or_default().to_owned();
            let caller = self.clone();
            let run = async move {
                let is_done = Box::pin(caller.steps(&child, steps)).await;
                caller
                    .exchange(&format!("/v1/programs/{child}/end"), &json!({}))
                    .await;
                is_done
            };
            tasks.push(self.executor.spawn(run));
        }
        let mut is_done = true;
        for task in tasks {
            is_done &= task.await;
        }
        is_done
    }

    /// Makes one call, again if it was refused without having run; its last line.
    async fn call(&self, program: &str, seq: &mut u64, mut call: Value) -> Option<Value> {
        *seq += 1;
        call["seq"] = json!(*seq);
        let path = format!("/v1/programs/{program}/calls");
        for _ in 0..RETRIES_MAX {
            let (_, end) = self.exchange(&path, &call).await;
            if end["type"] == "done" || end["program"].is_string() {
                return Some(end);
            }
            if end["code"] == "budget" || end["ran"] == "unknown" {
                return None;
            }
            let delay = end["retry_after_ms"].as_u64();
            let delay = delay.map_or(RETRY_DELAY, Span::from_ms);
            smol::Timer::after(delay.into()).await;
        }
        None
    }

    /// One exchange; the status and the last line of the body.
    async fn exchange(&self, path: &str, body: &Value) -> (u16, Value) {
        let Ok(mut request) = self.client.request(Method::Post, path) else {
            return (0, Value::Null);
        };
        request.set_body(Body::from_string(body.to_string()));
        let Ok(mut response) = self.client.send(request).await else {
            return (0, Value::Null);
        };
        let bytes = response.body_bytes().await.unwrap_or_default();
        let text = String::from_utf8_lossy(&bytes);
        let last = text.lines().last().unwrap_or_default();
        let last = serde_json::from_str(last).unwrap_or_default();
        (response.status().into(), last)
    }
}

/// An input of so many tokens after which the engine answers with `answer` tokens.
fn text(seq: u64, input: Tokens, answer: Tokens) -> String {
    let mark = format!("{STOP_MARK}{} ", answer.0);
    let length = (input.0 as usize * TOKEN_BYTES).saturating_sub(mark.len());
    let mut text = format!("call {seq} ").repeat(length / 7 + 1);
    text.truncate(length);
    text.push_str(&mark);
    text
}
