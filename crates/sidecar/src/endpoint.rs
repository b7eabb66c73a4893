//! Client of the endpoint: streamed completions of an engine, requests to a plain service.

use std::collections::{BTreeMap, BTreeSet};

use http_types::{Body, Method, StatusCode};
use serde::{Deserialize, Serialize};
use settings::{Endpoint, EndpointKind};
use smol::future::FutureExt;
use smol::io::BufReader;
use smol::stream::StreamExt;
use units::{Call, Program, Span, Tokens};
use wire::{Action, Answer, Dispatch, Fence, Order, Ordered, Ran, Reason, Refused, Usage, Work};

use crate::guard::Outcome;

const ORDERS_PATH: &str = "/v1/orders";
const CONFLICT: u16 = 409;
const CONTROL_TIMEOUT: Span = Span::from_ms(2_000);
const ANSWER_MAX_BYTES: usize = 4 << 20;
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Body of a request for a completion.
#[derive(Serialize)]
struct CompletionRequest<'a> {
    model: &'a str,
    prompt: String,
    max_tokens: u64,
    stream: bool,
    priority: u64,
    user: String,
    request_id: String,
}

/// One event of a streamed completion.
#[derive(Deserialize)]
struct CompletionEvent {
    choices: Vec<Choice>,
    usage: Option<TokenCounts>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
}

#[derive(Deserialize)]
struct TokenCounts {
    prompt_tokens: u64,
    completion_tokens: u64,
    #[serde(default)]
    cached_tokens: u64,
}

/// Body of a request that cancels a completion or releases a program.
#[derive(Serialize)]
struct ControlRequest {
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    user: Option<String>,
}

/// Body of a request that sends an order to the engine.
#[derive(Serialize)]
struct OrderRequest<'a> {
    fence: Fence,
    action: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
}

impl<'a> From<&'a Order> for OrderRequest<'a> {
    fn from(order: &'a Order) -> Self {
        let (action, model, adapter, role) = match &order.action {
            Action::Load(model) => ("load", Some(model.as_str()), None, None),
            Action::Adapter(model, adapter) => (
                "adapter",
                Some(model.as_str()),
                Some(adapter.as_str()),
                None,
            ),
            Action::Role(role) => ("role", None, None, Some(role.as_str())),
        };
        OrderRequest {
            fence: order.fence,
            action,
            model,
            adapter,
            role,
        }
    }
}

/// Response with the fencing number of the engine's last order.
#[derive(Deserialize)]
struct LastFence {
    fence: Option<Fence>,
}

/// HTTP client of one endpoint.
#[derive(Debug)]
pub(crate) struct Client {
    kind: EndpointKind,
    timeout: Span,
    control_client: http_io::Client,
    call_client: http_io::Client,
}

impl Client {
    pub(crate) fn new(endpoint: &Endpoint) -> Self {
        Client {
            kind: endpoint.kind,
            timeout: endpoint.timeout,
            control_client: http_io::Client::new(endpoint.address, CONTROL_TIMEOUT.into()),
            call_client: http_io::Client::new(endpoint.address, endpoint.timeout.into()),
        }
    }

    /// Runs a call once and appends the response to `answer` as it arrives.
    pub(crate) async fn run(
        &self,
        dispatch: &Dispatch,
        answer: &Answer<Outcome>,
    ) -> Result<Usage, Refused> {
        match (&dispatch.work, self.kind) {
            (Work::Model { max_tokens }, EndpointKind::Engine) => {
                self.run_completion(dispatch, *max_tokens, answer).await
            }
            (Work::Service { .. }, EndpointKind::Service) => {
                self.run_request(dispatch, answer).await
            }
            _ => Err(Refused {
                ran: Ran::No,
                reason: Reason::Target,
            }),
        }
    }

    async fn run_completion(
        &self,
        dispatch: &Dispatch,
        max_tokens: Tokens,
        answer: &Answer<Outcome>,
    ) -> Result<Usage, Refused> {
        let completion = CompletionRequest {
            model: dispatch.target.as_str(),
            prompt: String::from_utf8_lossy(&dispatch.input).into_owned(),
            max_tokens: max_tokens.0,
            stream: true,
            priority: dispatch.priority,
            user: dispatch.call.program.to_string(),
            request_id: dispatch.call.to_string(),
        };
        let body = serde_json::to_vec(&completion).map_err(|_| maybe_ran())?;
        let mut request = self
            .call_client
            .request(Method::Post, "/v1/completions")
            .map_err(|_| maybe_ran())?;
        request.insert_header("traceparent", dispatch.trace.as_str());
        request.set_body(Body::from_bytes(body));
        let response = self
            .call_client
            .send(request)
            .await
            .map_err(refused_for_error)?;
        if !response.status().is_success() {
            return Err(refused_for_status(response.status()));
        }
        let mut events = async_sse::decode(BufReader::new(http_io::Events::new(
            response,
            EVENT_MAX_BYTES,
        )));
        let mut usage = None;
        while let Some(event) = self.with_timeout(events.next()).await? {
            let async_sse::Event::Message(message) = event.map_err(|_| maybe_ran())? else {
                continue;
            };
            if message.data() == b"[DONE]" {
                return usage.ok_or_else(maybe_ran);
            }
            let event: CompletionEvent =
                serde_json::from_slice(message.data()).map_err(|_| maybe_ran())?;
            for choice in &event.choices {
                answer.push(choice.text.as_bytes());
            }
            usage = event.usage.map(usage_of).or(usage);
            if answer.len() > ANSWER_MAX_BYTES {
                return Err(maybe_ran());
            }
        }
        Err(maybe_ran())
    }

    async fn run_request(
        &self,
        dispatch: &Dispatch,
        answer: &Answer<Outcome>,
    ) -> Result<Usage, Refused> {
        let path = format!("/{}", dispatch.target);
        let mut request = self
            .call_client
            .request(Method::Post, &path)
            .map_err(|_| maybe_ran())?;
        request.insert_header("idempotency-key", dispatch.call.to_string());
        request.insert_header("traceparent", dispatch.trace.as_str());
        request.set_body(Body::from_bytes(dispatch.input.clone()));
        let mut response = self
            .call_client
            .send(request)
            .await
            .map_err(refused_for_error)?;
        let read = http_io::read_response(&mut response, ANSWER_MAX_BYTES as u64);
        let bytes = self.with_timeout(read).await?.map_err(|_| maybe_ran())?;
        if !response.status().is_success() {
            return Err(Refused {
                ran: Ran::Unknown,
                reason: Reason::Endpoint,
            });
        }
        answer.push(&bytes);
        Ok(Usage::default())
    }

    /// Limits a wait to the endpoint's timeout.
    async fn with_timeout<T>(&self, wait: impl Future<Output = T>) -> Result<T, Refused> {
        let time_out = async {
            smol::Timer::after(self.timeout.into()).await;
            Err(maybe_ran())
        };
        async { Ok(wait.await) }.or(time_out).await
    }

    /// Stops a completion whose answer is no longer needed.
    pub(crate) async fn cancel(&self, call: Call) -> http_io::Result<()> {
        let body = ControlRequest {
            request_id: Some(call.to_string()),
            user: None,
        };
        self.post_control("/v1/cancel", &body).await
    }

    /// Frees the engine memory of a program.
    pub(crate) async fn release(&self, program: Program) -> http_io::Result<()> {
        let body = ControlRequest {
            request_id: None,
            user: Some(program.to_string()),
        };
        self.post_control("/v1/kv/release", &body).await
    }

    /// Sends an order to the engine.
    pub(crate) async fn send_order(&self, order: &Order) -> Ordered {
        if self.kind == EndpointKind::Service {
            return Ordered::Refused(Refused {
                ran: Ran::No,
                reason: Reason::Target,
            });
        }
        let response: http_io::Result<LastFence> = self
            .control_client
            .send_json(Method::Post, ORDERS_PATH, Some(&OrderRequest::from(order)))
            .await;
        match response {
            Ok(_) => Ordered::Done,
            Err(http_io::Error::Status(CONFLICT, body)) => match serde_json::from_slice(&body) {
                Ok(LastFence { fence: Some(fence) }) => Ordered::Fenced(fence),
                _ => Ordered::Refused(maybe_ran()),
            },
            Err(error) => Ordered::Refused(refused_for_error(error)),
        }
    }

    /// Reads the fencing number of the engine's last order; `None` if the engine has had no order.
    pub(crate) async fn last_fence(&self) -> http_io::Result<Option<Fence>> {
        let no_body = None::<&ControlRequest>;
        let last: LastFence = self
            .control_client
            .send_json(Method::Get, ORDERS_PATH, no_body)
            .await?;
        Ok(last.fence)
    }

    /// Reads which programs the engine holds memory for; none for a plain service.
    pub(crate) async fn held_programs(&self) -> http_io::Result<BTreeSet<Program>> {
        if self.kind == EndpointKind::Service {
            return Ok(BTreeSet::new());
        }
        let path = "/v1/kv";
        let no_body = None::<&ControlRequest>;
        let held: BTreeMap<String, u64> = self
            .control_client
            .send_json(Method::Get, path, no_body)
            .await?;
        // Skips names that are not program identifiers: their memory must not be freed.
        Ok(held.keys().filter_map(|name| name.parse().ok()).collect())
    }

    async fn post_control(&self, path: &str, body: &ControlRequest) -> http_io::Result<()> {
        if self.kind == EndpointKind::Service {
            return Ok(());
        }
        let _: serde_json::Value = self
            .control_client
            .send_json(Method::Post, path, Some(body))
            .await?;
        Ok(())
    }
}

/// Returns the refusal for a request that failed after it may have run.
fn maybe_ran() -> Refused {
    Refused {
        ran: Ran::Unknown,
        reason: Reason::Endpoint,
    }
}

/// Returns the refusal for an engine's error status. Only a client error (4xx) or 503, which an
/// overloaded engine returns, proves that nothing was generated.
fn refused_for_status(status: StatusCode) -> Refused {
    let did_not_run = status.is_client_error() || status == StatusCode::ServiceUnavailable;
    Refused {
        ran: if did_not_run { Ran::No } else { Ran::Unknown },
        reason: Reason::Endpoint,
    }
}

fn refused_for_error(error: http_io::Error) -> Refused {
    if error.may_have_run() {
        maybe_ran()
    } else {
        Refused {
            ran: Ran::No,
            reason: Reason::Unreachable,
        }
    }
}

fn usage_of(counts: TokenCounts) -> Usage {
    Usage {
        prompt: Tokens(counts.prompt_tokens),
        cached: Tokens(counts.cached_tokens),
        generated: Tokens(counts.completion_tokens),
    }
}
