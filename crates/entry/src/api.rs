//! The callers' HTTP API.

use std::rc::Rc;

use compact_str::CompactString;
use http_types::{Method, Response};
use log::{Budget, Token};
use serde::Deserialize;
use serde_json::json;
use telemetry::Trace;
use units::{Account, Calls, Class, Digest, Program, Seq, Span, Target, Tokens};
use wire::Forward;

use crate::answers;
use crate::calls;
use crate::drain;
use crate::forward;
use crate::live::LiveProgram;
use crate::outage;
use crate::owner::Owner;
use crate::refusal::{Refusal, Result};
use crate::reply::{Reply, respond};
use crate::traffic::Traffic;

const HOPS_MAX: u8 = 3;
/// Memory of a request as a multiple of its body: the body, the input of the call, its record for the
/// log, and the frame for a peer.
const BODY_COPIES: u64 = 4;
/// The lowest HTTP status of a refusal.
const STATUS_REFUSED_MIN: u16 = 400;

/// A request of an authenticated caller.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) account: Account,
    pub(crate) program: Option<Program>,
    pub(crate) method: Method,
    pub(crate) path: CompactString,
    pub(crate) seq: Option<Seq>,
    /// First byte of the answer to send.
    pub(crate) offset: u64,
    pub(crate) body: Vec<u8>,
    pub(crate) trace: CompactString,
    /// Number of times that an entry has forwarded the request.
    pub(crate) hops: u8,
}

impl Request {
    /// The frame that forwards the request to another entry.
    pub(crate) fn forward(&self) -> Forward {
        Forward {
            account: self.account.clone(),
            program: self.program.unwrap_or_default(),
            method: self.method.as_ref().into(),
            path: self.path.clone(),
            offset: self.offset,
            seq: self.seq,
            body: self.body.clone(),
            trace: self.trace.clone(),
            hops: self.hops + 1,
        }
    }

    /// Restores a request that another entry forwarded.
    pub(crate) fn from_forward(forward: Forward) -> Result<Self> {
        let method = forward.method.parse();
        Ok(Request {
            account: forward.account,
            // A request that creates a program has an empty path and no identifier yet.
            program: (!forward.path.is_empty()).then_some(forward.program),
            method: method.map_err(|_| Refusal::UnknownPath)?,
            path: forward.path,
            seq: forward.seq,
            offset: forward.offset,
            body: forward.body,
            trace: forward.trace,
            hops: forward.hops,
        })
    }
}

/// JSON body of a request that creates a program.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CreateBody {
    class: Class,
    tokens: Tokens,
    calls: Calls,
    deadline_ms: Option<u64>,
}

/// JSON body of a call; exactly one of `model`, `service` and `program` must be set.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CallBody {
    seq: Seq,
    after: Option<String>,
    model: Option<Target>,
    service: Option<Target>,
    program: Option<ChildBody>,
    #[serde(default)]
    input: String,
    max_tokens: Option<Tokens>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChildBody {
    tokens: Tokens,
    calls: Calls,
}

/// Handles one HTTP request of a caller.
pub(crate) async fn handle(traffic: Rc<Traffic>, mut request: http_types::Request) -> Response {
    let start = traffic.shared.clock.now();
    let in_flight = traffic.requests_in_flight.clone();
    let result = async {
        let request = read_request(&traffic, &mut request).await?;
        serve(&traffic, &request).await
    };
    let result = result.await;
    let code = result.as_ref().map_or_else(Refusal::code, |_| "answered");
    traffic.shared.metrics.count_request(code);
    let duration = traffic.shared.clock.now().since(start);
    traffic
        .shared
        .metrics
        .record_seconds("request", duration.as_secs_f64());
    let mut response = respond(&traffic.executor, result);
    let body = response.take_body();
    response.set_body(http_io::attach_token(body, in_flight));
    response
}

/// Reads and authenticates a request.
async fn read_request(traffic: &Traffic, request: &mut http_types::Request) -> Result<Request> {
    let header = |name: &str| {
        request
            .header(name)
            .map(|values| values.as_str().to_owned())
    };
    let trace = header("traceparent").unwrap_or_else(|| {
        let share = traffic.shared.settings.process.trace_share;
        Trace::new().with_sampled_share(share).to_string()
    });
    let authorization = header("authorization").ok_or(Refusal::Unauthorized)?;
    let token = authorization
        .strip_prefix("Bearer ")
        .ok_or(Refusal::Unauthorized)?;
    let environment = traffic.environment()?;
    let account = environment
        .document
        .account_by_token(&Digest::of(token.as_bytes()));
    let account = account.ok_or(Refusal::Unauthorized)?.clone();
    let url = request.url().clone();
    let offset = url.query_pairs().find(|(key, _)| key == "offset");
    let offset = offset.map_or(Ok(0), |(_, value)| value.parse());
    let offset = offset.map_err(|_| Refusal::Malformed("offset is not a number".into()))?;
    let (program, path, seq) = parse_path(url.path())?;
    let limit = traffic.shared.settings.body_max.0;
    let body = http_io::read_copied_body(request, limit, BODY_COPIES)
        .await
        .map_err(|error| match error {
            http_io::Error::TooLarge(limit) => Refusal::TooLarge(limit),
            http_io::Error::Overloaded => Refusal::MemoryFull,
            error => Refusal::Malformed(error.to_string()),
        })?;
    let (method, trace) = (request.method(), trace.into());
    Ok(Request {
        account,
        program,
        method,
        path,
        seq,
        offset,
        body,
        trace,
        hops: 0,
    })
}

fn parse_path(path: &str) -> Result<(Option<Program>, CompactString, Option<Seq>)> {
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let (id, remaining) = match segments.as_slice() {
        ["v1", "programs"] => return Ok((None, CompactString::default(), None)),
        ["v1", "programs", id, remaining @ ..] => (*id, remaining),
        _ => return Err(Refusal::UnknownPath),
    };
    let program = id.parse().map_err(|_| Refusal::UnknownProgram)?;
    match remaining {
        [name] => Ok((Some(program), (*name).into(), None)),
        [name, seq] => {
            let seq = seq.parse().map_err(|_| Refusal::UnknownCall)?;
            Ok((Some(program), (*name).into(), Some(seq)))
        }
        _ => Err(Refusal::UnknownPath),
    }
}

/// Serves a request here or forwards it to the program's owner.
pub(crate) async fn serve(traffic: &Rc<Traffic>, request: &Request) -> Result<Reply> {
    let Some(id) = request.program else {
        return create(traffic, request).await;
    };
    let after = read_after(traffic, request)?;
    let forwarded = request.hops > 0;
    match find_owner(traffic, request, id, after.as_ref(), forwarded).await? {
        Owner::Local(live) => serve_locally(traffic, request, &live, after.as_ref()).await,
        Owner::Remote(_) if request.hops >= HOPS_MAX => Err(Refusal::Unavailable),
        Owner::Remote(link) => match forward::send(traffic, &link, request).await {
            Err(Refusal::Indeterminate) if !forwarded => {
                retry_at_successor(traffic, request, id, after.as_ref()).await
            }
            result => result,
        },
    }
}

/// Finds the owner of a program; a change during a handover waits for the new owner.
async fn find_owner(
    traffic: &Rc<Traffic>,
    request: &Request,
    id: Program,
    after: Option<&Token>,
    forwarded: bool,
) -> Result<Owner> {
    let owner = traffic.find_owner(id, after, forwarded).await?;
    match &owner {
        Owner::Local(live) if request.method == Method::Post => {
            drain::wait_for_handover(traffic, live).await;
            traffic.find_owner(id, after, forwarded).await
        }
        _ => Ok(owner),
    }
}

/// Retries a request at the owner's successor after the connection to the owner was lost.
///
/// A call has a number, so a retry makes no second call. The lost owner may have started the call,
/// though: only an answer is returned, as no refusal proves that the call did not run.
async fn retry_at_successor(
    traffic: &Rc<Traffic>,
    request: &Request,
    id: Program,
    after: Option<&Token>,
) -> Result<Reply> {
    let served = async {
        match find_owner(traffic, request, id, after, true).await? {
            Owner::Local(live) => serve_locally(traffic, request, &live, after).await,
            Owner::Remote(link) => forward::send(traffic, &link, request).await,
        }
    };
    served
        .await
        .ok()
        .filter(|reply| reply.status() < STATUS_REFUSED_MIN)
        .ok_or(Refusal::Indeterminate)
}

/// Serves a request for a program that this entry owns.
async fn serve_locally(
    traffic: &Rc<Traffic>,
    request: &Request,
    live: &Rc<LiveProgram>,
    after: Option<&Token>,
) -> Result<Reply> {
    if live.program.borrow().created().account != request.account {
        return Err(Refusal::UnknownProgram);
    }
    live.program
        .borrow_mut()
        .record_activity(traffic.shared.clock.now());
    match (request.method, request.path.as_str(), request.seq) {
        (Method::Post, "calls", None) => {
            let call = parse_call(request)?;
            outage::catch_up(traffic, live, after).await;
            calls::check_after(live, after)?;
            calls::submit(traffic, live, call, request).await
        }
        (Method::Get, "calls", Some(seq)) => {
            answers::read(traffic, live, seq, request.offset).await
        }
        (Method::Get, "history", None) => Ok(answers::history(traffic, live)),
        (Method::Post, "end", None) => {
            traffic.end(live, log::Cause::Caller).await?;
            Ok(Reply::Json(
                200,
                json!({"program": live.id.to_string(), "ended": true}),
            ))
        }
        _ => Err(Refusal::UnknownPath),
    }
}

/// Decodes the `after` token in the body of a call, if there is one.
fn read_after(traffic: &Traffic, request: &Request) -> Result<Option<Token>> {
    #[derive(Deserialize)]
    struct After {
        after: Option<String>,
    }
    if request.path != "calls" || request.method != Method::Post {
        return Ok(None);
    }
    let after: After = decode(&request.body)?;
    let Some(text) = after.after else {
        return Ok(None);
    };
    let key = traffic.shared.settings.process.key;
    let token = Token::decode(&text, key.bytes()).map_err(|_| Refusal::InvalidToken)?;
    if Some(token.program) == request.program {
        Ok(Some(token))
    } else {
        Err(Refusal::InvalidToken)
    }
}

fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Refusal::Malformed(error.to_string()))
}

async fn create(traffic: &Rc<Traffic>, request: &Request) -> Result<Reply> {
    if request.method != Method::Post {
        return Err(Refusal::UnknownPath);
    }
    if let Some(link) = drain::substitute_entry(traffic, request) {
        return forward::send(traffic, &link, request).await;
    }
    let body: CreateBody = decode(&request.body)?;
    let budget = Budget {
        tokens: body.tokens,
        calls: body.calls,
    };
    let deadline = body.deadline_ms.map(Span::from_ms);
    let live = traffic
        .create(&request.account, body.class, budget, deadline)
        .await?;
    let after = traffic.encode_token(&live.token());
    Ok(Reply::Json(
        201,
        json!({"program": live.id.to_string(), "after": after}),
    ))
}

fn parse_call(request: &Request) -> Result<program::Request> {
    let body: CallBody = decode(&request.body)?;
    // `read_after` has checked the token already.
    drop(body.after);
    let budget = |tokens, calls| Budget { tokens, calls };
    let (target, budget) = match (body.model, body.service, body.program) {
        (Some(model), None, None) => {
            let max_tokens = body.max_tokens.unwrap_or(Tokens(256));
            (Some(model), budget(max_tokens, Calls(0)))
        }
        (None, Some(service), None) => (Some(service), Budget::default()),
        (None, None, Some(child)) => (None, budget(child.tokens, child.calls)),
        _ => {
            let message = "exactly one of model, service and program is needed";
            return Err(Refusal::Malformed(message.into()));
        }
    };
    Ok(program::Request {
        seq: body.seq,
        target,
        input: body.input.into_bytes(),
        budget,
    })
}
