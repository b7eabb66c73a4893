//! The endpoint's own protocol: streamed completions of an engine, requests to a plain service.

use std::collections::{BTreeMap, BTreeSet};

use http_types::{Body, Method, StatusCode};
use serde::{Deserialize, Serialize};
use settings::{Endpoint, EndpointKind};
use smol::future::FutureExt;
use smol::io::BufReader;
use smol::stream::StreamExt;
use units::{Call, Program, Span, Tokens};
use wire::{Action, Answer, Dispatch, Fence, Order, Ordered, Ran, Reason, Refused, Usage, Work};

use crate::guard::End;

const ORDERS: &str = "/v1/orders";
const CONFLICT: u16 = 409;
const CONTROL_TIMEOUT: Span = Span::from_ms(2_000);
const ANSWER_MAX_BYTES: usize = 4 << 20;

/// A request for a completion.
#[derive(Serialize)]
struct Completion<'a> {
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
struct Event {
    choices: Vec<Choice>,
    usage: Option<Used>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
}

#[derive(Deserialize)]
struct Used {
    prompt_tokens: u64,
    completion_tokens: u64,
    #[serde(default)]
    cached_tokens: u64,
}

#[derive(Serialize)]
struct Named {
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    user: Option<String>,
}

/// An order as the engine takes it.
#[derive(Serialize)]
struct Command<'a> {
    fence: Fence,
    action: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
}

impl<'a> From<&'a Order> for Command<'a> {
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
        Command {
            fence: order.fence,
            action,
            model,
            adapter,
            role,
        }
    }
}

/// The number of the engine's last order.
#[derive(Deserialize)]
struct Fenced {
    fence: Option<Fence>,
}

/// The client of one endpoint.
#[derive(Debug)]
pub(crate) struct Client {
    kind: EndpointKind,
    timeout: Span,
    control: http_io::Client,
    calls: http_io::Client,
}

impl Client {
    pub(crate) fn new(endpoint: &Endpoint) -> Self {
        Client {
            kind: endpoint.kind,
            timeout: endpoint.timeout,
            control: http_io::Client::new(endpoint.address, CONTROL_TIMEOUT.into()),
            calls: http_io::Client::new(endpoint.address, endpoint.timeout.into()),
        }
    }

    /// Runs a call once, writing its answer as it comes.
    pub(crate) async fn run(
        &self,
        dispatch: &Dispatch,
        answer: &Answer<End>,
    ) -> Result<Usage, Refused> {
        match (&dispatch.work, self.kind) {
            (Work::Model { max_tokens }, EndpointKind::Engine) => {
                self.complete(dispatch, *max_tokens, answer).await
            }
            (Work::Service { .. }, EndpointKind::Service) => self.request(dispatch, answer).await,
            _ => Err(Refused {
                ran: Ran::No,
                reason: Reason::Target,
            }),
        }
    }

    async fn complete(
        &self,
        dispatch: &Dispatch,
        max_tokens: Tokens,
        answer: &Answer<End>,
    ) -> Result<Usage, Refused> {
        let completion = Completion {
            model: dispatch.target.as_str(),
            prompt: String::from_utf8_lossy(&dispatch.input).into_owned(),
            max_tokens: max_tokens.0,
            stream: true,
            priority: dispatch.priority,
            user: dispatch.call.program.to_string(),
            request_id: dispatch.call.to_string(),
        };
        let body = serde_json::to_vec(&completion).map_err(|_| broken())?;
        let mut request = self
            .calls
            .request(Method::Post, "/v1/completions")
            .map_err(|_| broken())?;
        request.insert_header("traceparent", dispatch.trace.as_str());
        request.set_body(Body::from_bytes(body));
        let response = self.calls.send(request).await.map_err(refused)?;
        if !response.status().is_success() {
            return Err(refused_by_engine(response.status()));
        }
        let mut events = async_sse::decode(BufReader::new(response));
        let mut usage = None;
        while let Some(event) = self.in_time(events.next()).await? {
            let async_sse::Event::Message(message) = event.map_err(|_| broken())? else {
                continue;
            };
            if message.data() == b"[DONE]" {
                return usage.ok_or_else(broken);
            }
            let event: Event = serde_json::from_slice(message.data()).map_err(|_| broken())?;
            for choice in &event.choices {
                answer.push(choice.text.as_bytes());
            }
            usage = event.usage.map(usage_of).or(usage);
            if answer.len() > ANSWER_MAX_BYTES {
                return Err(broken());
            }
        }
        Err(broken())
    }

    async fn request(&self, dispatch: &Dispatch, answer: &Answer<End>) -> Result<Usage, Refused> {
        let path = format!("/{}", dispatch.target);
        let mut request = self
            .calls
            .request(Method::Post, &path)
            .map_err(|_| broken())?;
        request.insert_header("idempotency-key", dispatch.call.to_string());
        request.insert_header("traceparent", dispatch.trace.as_str());
        request.set_body(Body::from_bytes(dispatch.input.clone()));
        let mut response = self.calls.send(request).await.map_err(refused)?;
        let read = async { response.body_bytes().await.map_err(|_| broken()) };
        let bytes = self.in_time(read).await??;
        if !response.status().is_success() {
            return Err(Refused {
                ran: Ran::Unknown,
                reason: Reason::Endpoint,
            });
        }
        answer.push(&bytes);
        Ok(Usage::default())
    }

    /// Bounds one wait by the endpoint's timeout.
    async fn in_time<T>(&self, wait: impl Future<Output = T>) -> Result<T, Refused> {
        let expire = async {
            smol::Timer::after(self.timeout.into()).await;
            Err(broken())
        };
        async { Ok(wait.await) }.or(expire).await
    }

    /// Stops a completion that nobody wants.
    pub(crate) async fn cancel(&self, call: Call) -> http_io::Result<()> {
        let named = Named {
            request_id: Some(call.to_string()),
            user: None,
        };
        self.order("/v1/cancel", &named).await
    }

    /// Frees the memory held for a program.
    pub(crate) async fn release(&self, program: Program) -> http_io::Result<()> {
        let named = Named {
            request_id: None,
            user: Some(program.to_string()),
        };
        self.order("/v1/kv/release", &named).await
    }

    /// Sends an order to the engine.
    pub(crate) async fn carry_out(&self, order: &Order) -> Ordered {
        if self.kind == EndpointKind::Service {
            return Ordered::Refused(Refused {
                ran: Ran::No,
                reason: Reason::Target,
            });
        }
        let sent: http_io::Result<Fenced> = self
            .control
            .json(Method::Post, ORDERS, Some(&Command::from(order)))
            .await;
        match sent {
            Ok(_) => Ordered::Done,
            Err(http_io::Error::Status(CONFLICT, body)) => match serde_json::from_slice(&body) {
                Ok(Fenced { fence: Some(fence) }) => Ordered::Fenced(fence),
                _ => Ordered::Refused(broken()),
            },
            Err(error) => Ordered::Refused(refused(error)),
        }
    }

    /// The number of the engine's last order.
    pub(crate) async fn last_order(&self) -> http_io::Result<Option<Fence>> {
        let none = None::<&Named>;
        let last: Fenced = self.control.json(Method::Get, ORDERS, none).await?;
        Ok(last.fence)
    }

    /// The programs for which the endpoint holds memory.
    pub(crate) async fn held(&self) -> http_io::Result<BTreeSet<Program>> {
        if self.kind == EndpointKind::Service {
            return Ok(BTreeSet::new());
        }
        let path = "/v1/kv";
        let none = None::<&Named>;
        let held: BTreeMap<String, u64> = self.control.json(Method::Get, path, none).await?;
        // Names that are no programs are not ours to free.
        Ok(held.keys().filter_map(|name| name.parse().ok()).collect())
    }

    async fn order(&self, path: &str, named: &Named) -> http_io::Result<()> {
        if self.kind == EndpointKind::Service {
            return Ok(());
        }
        let _: serde_json::Value = self.control.json(Method::Post, path, Some(named)).await?;
        Ok(())
    }
}

/// The refusal for an exchange that broke off: the call may have run.
fn broken() -> Refused {
    Refused {
        ran: Ran::Unknown,
        reason: Reason::Endpoint,
    }
}

/// The refusal for an engine's error: only one that blames the request or says that the engine is full
/// proves that nothing was generated.
fn refused_by_engine(status: StatusCode) -> Refused {
    let refused = status.is_client_error() || status == StatusCode::ServiceUnavailable;
    Refused {
        ran: if refused { Ran::No } else { Ran::Unknown },
        reason: Reason::Endpoint,
    }
}

fn refused(error: http_io::Error) -> Refused {
    if error.may_have_run() {
        broken()
    } else {
        Refused {
            ran: Ran::No,
            reason: Reason::Unreachable,
        }
    }
}

fn usage_of(used: Used) -> Usage {
    Usage {
        prompt: Tokens(used.prompt_tokens),
        cached: Tokens(used.cached_tokens),
        generated: Tokens(used.completion_tokens),
    }
}
