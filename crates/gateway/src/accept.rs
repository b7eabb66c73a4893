//! Reads a caller's request, and refuses requests that cannot be served.

use std::sync::Arc;

use bytes::Bytes;
use clients::owner::Owner;
use clients::{Account, Standing};
use compact_str::{CompactString, ToCompactString};
use http_body_util::BodyExt;
use http_io::Segments;
use hyper::body::{Body as _, Incoming};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use memory::{Charge, Full, hold};
use policy::Suspect;
use slog::info;
use smol::future::FutureExt;
use units::{Clock, Fingerprint, Span, Time};

use crate::call::Call;
use crate::environment::{Environment, Repeat};
use crate::exchange::Exchange;
use crate::prompt::unit_hash;
use crate::reply::{Body, Refusal, close_connection, hold_request, refusal_response};
use crate::sniff::HeadState;
use crate::state::Shared;

/// Bytes of a request line beside method, path and query: spaces, version, line feed.
const REQUEST_LINE_EXTRA_BYTES: usize = 12;
/// Bytes of a header line beside name and value: colon, space, line feed.
const HEADER_EXTRA_BYTES: usize = 4;
/// Bytes of a body that count as its beginning: fewer than any prompt has that others continue.
const BEGINNING_BYTES: usize = 256;
/// Memory of a request that is served, in lengths of its body: the body, and what is written from it.
const BODY_COPIES: u64 = 2;
/// Age above which an environment may lack routes; an environment that is followed is younger.
const ENVIRONMENT_AGE_MAX: Span = Span::from_ms(2_000);
/// Timeout of a caller that does not state one.
const DEFAULT_CALLER_TIMEOUT: Span = Span::from_ms(30_000);

/// Serves one request: returns the endpoint's answer or a refusal.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    head_state: Arc<HeadState>,
    held: intake::Request,
) -> Response<Body> {
    let started = shared.clock.now();
    let (head, body) = request.into_parts();
    let is_ambiguous = head_state.is_ambiguous();
    let is_chunked = head.headers.contains_key(hyper::header::TRANSFER_ENCODING);
    let call = match shared.adapter.dialect.parse_request(&head) {
        Ok(_) if is_ambiguous => Err((CompactString::default(), Refusal::AmbiguousFraming)),
        Ok(call) => Ok(call),
        Err(error) => Err((CompactString::default(), Refusal::Malformed(error))),
    };
    // Memory of the answer, until it has been sent.
    let mut answer = None;
    let mut response = match call {
        Ok(call) => {
            let timeout = call.timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
            let id = call.id.clone();
            let program = call.program.clone();
            let account = account_name(&shared, &call);
            let accepting = accept(
                shared.clone(),
                (head, body),
                call,
                &head_state,
                &held,
                &mut answer,
                started,
            );
            let result = accepting.await;
            result.unwrap_or_else(|refusal| {
                let elapsed = shared.clock.now().since(started);
                let remaining = Span(timeout.0.saturating_sub(elapsed.0));
                let delay = refusal.retry_delay(remaining, &mut rand::rng());
                let names = (program.as_ref(), account.as_ref());
                log_refusal(&shared, &id, names, &refusal, delay, started);
                refusal_response(&*shared.adapter.dialect, &id, &refusal, delay)
            })
        }
        Err((id, refusal)) => {
            log_refusal(&shared, &id, (None, None), &refusal, None, started);
            let mut response = refusal_response(&*shared.adapter.dialect, &id, &refusal, None);
            close_connection(&mut response);
            response
        }
    };
    // Bytes after a chunked request are never read as another request.
    if shared.is_draining() || is_chunked {
        close_connection(&mut response);
    }
    hold_request(response, held, answer)
}

fn log_refusal(
    shared: &Shared,
    id: &CompactString,
    (program, account): (Option<&CompactString>, Option<&CompactString>),
    refusal: &Refusal,
    delay: Option<Span>,
    started: Time,
) {
    shared.metrics.count_request(refusal.code());
    info!(shared.log, "request refused"; "request" => %id,
        "program" => program.map_or("", CompactString::as_str),
        "account" => account.map_or("", CompactString::as_str),
        "code" => refusal.code(), "status" => refusal.status().as_u16(), "ran" => refusal.ran(),
        "retry_ms" => delay.map_or(0, Span::as_ms),
        "environment" => shared.environment().map_or(0, |environment| environment.version),
        "store_away" => shared.rows.is_all_unavailable(),
        "held_bytes" => shared.limiter.charged().0,
        "after_ms" => shared.clock.now().since(started).as_ms());
}

async fn accept(
    shared: Arc<Shared>,
    (head, body): (Parts, Incoming),
    call: Call,
    head_state: &HeadState,
    held: &intake::Request,
    answer: &mut Option<Charge>,
    started: Time,
) -> Result<Response<Body>, Refusal> {
    let environment = shared.environment().ok_or(Refusal::Starting)?;
    if head_bytes(&head) > environment.limits.max_head.0 {
        return Err(Refusal::HeadTooLarge);
    }
    let route = environment.route(&call.host, &call.path);
    let route = route.ok_or_else(|| unknown_route(&shared))?.clone();
    let timeout = call.timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let requested_deadline = started.after(timeout.min(route.timeout));
    let account = identify(&shared, &environment, route.is_public, &call)?.cloned();
    let deadline = shared.limit_deadline(requested_deadline)?;
    let limit = environment.limits.max_body.0 as usize;
    let body = read_body(&shared, body, limit, deadline).await?;
    head_state.expect_next_head();
    let memory = units::Bytes(body.len() as u64 * BODY_COPIES);
    held.serve(memory).map_err(|_| Refusal::Overloaded)?;
    *answer = Some(reserve_answer(&shared)?);
    let body = if route.retains_turns {
        hold_body(&shared, body)?
    } else {
        body
    };
    // The gateway may have begun to stop while the body arrived.
    let deadline = shared.limit_deadline(requested_deadline)?;
    let owner = account.as_ref().map_or(Owner::Anonymous, |account| {
        Owner::Account(account.name.clone())
    });
    if let Some(account) = &account {
        let standing = if route.repeat == Repeat::Stream && call.is_first_turn() {
            Standing::New
        } else {
            Standing::UnderWay
        };
        let caps = &shared.caps;
        caps.admit(account, environment.version, standing, deadline)
            .await?;
    }
    let program = call.program.as_ref().map(|id| owner.id(id));
    let split_key = program.as_ref().map(ToCompactString::to_compact_string);
    let service = route
        .select_service(unit_hash(split_key.as_ref().unwrap_or(&call.id)))
        .ok_or(Refusal::NoEndpoint)?
        .clone();
    let exchange = Exchange {
        shared,
        environment,
        suspect: suspect(&head, &call, &body),
        is_trial: false,
        reservation: None,
        call,
        account,
        owner,
        program,
        head,
        started,
        deadline,
        route,
        service,
    };
    exchange.run(body).await
}

/// Charges memory for the body of a turn that is retained, as it stays after its request.
///
/// # Errors
/// If there is no room for it.
fn hold_body(shared: &Shared, body: Bytes) -> Result<Bytes, Refusal> {
    let charge = shared.limiter.charge(units::Bytes(body.len() as u64));
    Ok(hold(body, charge.map_err(|Full| Refusal::Overloaded)?))
}

/// Reserves memory for the answer to a request.
///
/// # Errors
/// If there is none. Answers that callers do not read then give way to later requests.
fn reserve_answer(shared: &Shared) -> Result<Charge, Refusal> {
    shared.buffers.reserve().map_err(|Full| {
        shared.gate.evict_stalled();
        Refusal::Overloaded
    })
}

/// Returns the name of the account that holds the key of a request.
fn account_name(shared: &Shared, call: &Call) -> Option<CompactString> {
    let environment = shared.environment()?;
    let account = environment.accounts.by_key(call.key.as_ref()?)?;
    Some(account.name.clone())
}

/// Returns the client account that sent a request; `None` if it needs none.
///
/// # Errors
/// If the request has no key of an account. A host that has lost touch may not have a new key yet.
fn identify<'a>(
    shared: &Shared,
    environment: &'a Environment,
    is_public: bool,
    call: &Call,
) -> Result<Option<&'a Account>, Refusal> {
    if is_public || environment.accounts.is_empty() {
        return Ok(None);
    }
    let key = call.key.as_ref();
    match key.and_then(|key| environment.accounts.by_key(key)) {
        Some(account) => Ok(Some(account)),
        None if shared.replica.age() > ENVIRONMENT_AGE_MAX => Err(Refusal::StaleEnvironment),
        None => Err(Refusal::UnknownKey),
    }
}

/// Returns the refusal of a request without a route: whether a route is unknown is a statement on the
/// newest environment, which a host that has lost touch may not have.
fn unknown_route(shared: &Shared) -> Refusal {
    if shared.replica.age() > ENVIRONMENT_AGE_MAX {
        Refusal::StaleEnvironment
    } else {
        Refusal::NoRoute
    }
}

/// Returns the fingerprints of a request: of what callers repeat in each attempt, without the headers.
fn suspect(head: &Parts, call: &Call, body: &[u8]) -> Suspect {
    let target = head.uri.path_and_query();
    let target = target.map_or(call.path.as_str(), |target| target.as_str());
    let parts = [head.method.as_str(), &call.host, target];
    let [method, host, target] = parts.map(str::as_bytes);
    let beginning = &body[..body.len().min(BEGINNING_BYTES)];
    let [whole, beginning] =
        [body, beginning].map(|body| Fingerprint::new(&[method, host, target, body]));
    Suspect { whole, beginning }
}

/// Returns the length of a head in bytes, with the separators and line ends.
fn head_bytes(head: &Parts) -> u64 {
    let request_line =
        head.method.as_str().len() + head.uri.path().len() + REQUEST_LINE_EXTRA_BYTES;
    let query = head.uri.query().map_or(0, str::len);
    let headers = head.headers.iter();
    let headers =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_EXTRA_BYTES);
    (request_line + query + headers.sum::<usize>()) as u64
}

async fn read_body(
    shared: &Shared,
    body: Incoming,
    limit: usize,
    deadline: Time,
) -> Result<Bytes, Refusal> {
    // A declared length above the limit is refused before the body is read.
    if body.size_hint().lower() > limit as u64 {
        return Err(Refusal::TooLarge);
    }
    let read = collect_body(body, limit).or(expire(shared, deadline, Refusal::BodyIncomplete));
    match read.await {
        Err(Refusal::BodyIncomplete) if shared.has_answered() => Err(Refusal::Stopping),
        read => read,
    }
}

/// Collects a body: chunks may be as small as a byte, and each would keep a buffer.
async fn collect_body(mut body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let announced = body
        .size_hint()
        .exact()
        .map_or(limit, |bytes| bytes as usize);
    let mut collected = Segments::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::BodyIncomplete)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if collected.len() + data.len() > limit {
            return Err(Refusal::TooLarge);
        }
        collected.push(data, announced.saturating_sub(collected.len()));
    }
    Ok(collected.into_bytes())
}

/// Waits until `deadline`.
pub(crate) async fn wait_until(clock: Clock, deadline: Time) {
    smol::Timer::after(deadline.since(clock.now()).into()).await;
}

/// Waits until `deadline`, or until the last answers of a stopping gateway are due, then fails with
/// `refusal`.
pub(crate) async fn expire<T>(
    shared: &Shared,
    deadline: Time,
    refusal: Refusal,
) -> Result<T, Refusal> {
    let expire = wait_until(shared.clock, deadline);
    expire.or(shared.answers_end()).await;
    Err(refusal)
}
