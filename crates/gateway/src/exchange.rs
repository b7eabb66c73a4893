//! One request: from its head to the head of its answer.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use http_io::{Lease, Outgoing, Pool, SendError};
use hyper::body::{Body as _, Incoming};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use policy::{Choice, Chunk, Demand};
use slog::info;
use smol::future::FutureExt;
use units::{Span, Time};

use crate::call::{Call, Orders, Receipt};
use crate::environment::{Environment, Repeat, Route};
use crate::relay::{Relay, collect};
use crate::reply::{Body, Refusal, close, refuse, whole};
use crate::sniff::Seen;
use crate::state::Shared;
use crate::turn::{self, Opened, Ticket};

/// Longest time to open a connection: several round trips between regions.
const CONNECT_MAX: Span = Span::from_ms(350);
/// Connections that are tried for one request; none of them has carried a byte of it.
const CONNECTS_MAX: usize = 3;
/// A connection that was idle for longer carries no request, not even one that may be repeated.
const IDLE_MAX_SAFE: Span = Span::from_ms(10_000);
/// How long a connection is kept whose endpoint does not say how long it keeps it: less than a
/// second, as it would say whole seconds.
const KEEP_UNSAID: Span = Span::from_ms(700);
/// Share of the time an endpoint keeps a connection, in percent, that it is used for.
const KEEP_PERCENT: u64 = 70;
/// Wait for an endpoint's own answer at the deadline, which it was told.
const DEADLINE_SLACK: Span = Span::from_ms(40);
/// Answers of plain services up to this length are held until they are whole, so that a cut one can
/// still be an error or a repeat.
const WHOLE_MAX_BYTES: usize = 1 << 20;
/// Patience of a caller that does not tell it.
const PATIENCE_UNSAID: Span = Span::from_ms(30_000);

/// All that belongs to one request.
pub(crate) struct Exchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) environment: Arc<Environment>,
    pub(crate) call: Call,
    pub(crate) head: Parts,
    pub(crate) started: Time,
    pub(crate) deadline: Time,
    pub(crate) route: Route,
    pub(crate) service: CompactString,
}

/// A request at an endpoint, counted there until this is dropped.
pub(crate) struct Visit {
    shared: Arc<Shared>,
    pub(crate) choice: Choice,
    pub(crate) sent: Time,
    pub(crate) begun: bool,
    pub(crate) fault: bool,
}

impl Visit {
    /// Takes in that the first token came.
    pub(crate) fn begin(&mut self) {
        if !std::mem::replace(&mut self.begun, true) {
            let now = self.shared.clock.now();
            let span = now.since(self.sent);
            self.shared.places().first(&self.choice, span, now);
        }
    }
}

impl Drop for Visit {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let mut places = self.shared.places();
        places.finish(&self.choice, self.begun, self.fault, now);
    }
}

/// An answer whose head has come.
struct Arrived {
    response: Response<Incoming>,
    receipt: Receipt,
    lease: Lease,
    pool: Pool,
    visit: Visit,
}

/// What became of one attempt.
enum Attempt {
    Answered(Box<Arrived>),
    /// Nothing was sent.
    Unsent,
    /// The endpoint says that it did not run it.
    NotRun,
    /// It may have run.
    Unknown(Refusal),
}

/// Serves one request.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    seen: Arc<Seen>,
) -> Response<Body> {
    let started = shared.clock.now();
    let (head, body) = request.into_parts();
    let ambiguous = seen.is_ambiguous();
    let chunked = head.headers.contains_key(hyper::header::TRANSFER_ENCODING);
    let call = match shared.adapter.dialect.call(&head) {
        Ok(_) if ambiguous => Err((CompactString::default(), Refusal::Framing)),
        Ok(call) => Ok(call),
        Err(why) => Err((CompactString::default(), Refusal::Malformed(why))),
    };
    let mut response = match call {
        Ok(call) => {
            let patience = call.patience.unwrap_or(PATIENCE_UNSAID);
            let id = call.id.clone();
            let program = call.program.clone();
            let result = accept(shared.clone(), head, call, body, &seen, started).await;
            result.unwrap_or_else(|refusal| {
                let delay = refusal.delay(patience, &mut rand::rng());
                tell_refusal(&shared, &id, program.as_ref(), &refusal, delay, started);
                refuse(&*shared.adapter.dialect, &id, &refusal, delay)
            })
        }
        Err((id, refusal)) => {
            tell_refusal(&shared, &id, None, &refusal, None, started);
            let mut response = refuse(&*shared.adapter.dialect, &id, &refusal, None);
            close(&mut response);
            response
        }
    };
    // Bytes after a chunked request are never taken for another one.
    if shared.is_draining() || chunked {
        close(&mut response);
    }
    response
}

fn tell_refusal(
    shared: &Shared,
    id: &CompactString,
    program: Option<&CompactString>,
    refusal: &Refusal,
    delay: Option<Span>,
    started: Time,
) {
    shared.metrics.request(refusal.code());
    info!(shared.log, "request refused"; "request" => %id,
        "program" => program.map_or("", CompactString::as_str),
        "code" => refusal.code(), "status" => refusal.status().as_u16(), "ran" => refusal.ran(),
        "retry_ms" => delay.map_or(0, Span::as_ms),
        "environment" => shared.environment().map_or(0, |environment| environment.version),
        "store_away" => shared.rows.is_all_away(),
        "after_ms" => shared.clock.now().since(started).as_ms());
}

async fn accept(
    shared: Arc<Shared>,
    head: Parts,
    call: Call,
    body: Incoming,
    seen: &Seen,
    started: Time,
) -> Result<Response<Body>, Refusal> {
    let environment = shared.environment().ok_or(Refusal::Starting)?;
    let route = environment.route(&call.host, &call.path);
    let route = route.ok_or(Refusal::NoRoute)?.clone();
    let patience = call.patience.unwrap_or(PATIENCE_UNSAID);
    let deadline = started.after(patience.min(route.timeout));
    let limit = environment.limits.body.0 as usize;
    let body = read_body(&shared, body, limit, deadline).await?;
    seen.next();
    let spread = call.program.as_ref().unwrap_or(&call.id);
    let service = route.service(point(spread)).ok_or(Refusal::Full)?.clone();
    let exchange = Exchange {
        shared,
        environment,
        call,
        head,
        started,
        deadline,
        route,
        service,
    };
    exchange.run(body).await
}

async fn read_body(
    shared: &Shared,
    body: Incoming,
    limit: usize,
    deadline: Time,
) -> Result<Bytes, Refusal> {
    // An announced length is refused before any of it has come.
    if body.size_hint().lower() > limit as u64 {
        return Err(Refusal::TooLarge);
    }
    let read = async {
        match Limited::new(body, limit).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(Refusal::TooLarge),
            Err(_) => Err(Refusal::BodyCut),
        }
    };
    read.or(expire(shared, deadline, Refusal::BodyCut)).await
}

/// Fails with `refusal` at `deadline`.
pub(crate) async fn expire<T>(
    shared: &Shared,
    deadline: Time,
    refusal: Refusal,
) -> Result<T, Refusal> {
    smol::Timer::after(deadline.since(shared.clock.now()).into()).await;
    Err(refusal)
}

impl Exchange {
    async fn run(self, body: Bytes) -> Result<Response<Body>, Refusal> {
        let opened = turn::open(
            &self.shared,
            &self.environment,
            &self.route,
            &self.call,
            &self.service,
            body,
        );
        let opened = opened.or(self.late());
        let (body, opened) = opened.await?;
        let home = || opened.as_ref().map(Opened::home);
        let mut first = self.choose(&body, home(), &[]).ok_or(Refusal::Full)?;
        let before = home();
        let ticket = match &opened {
            None => None,
            Some(opened) => {
                let reserve = opened.reserve(&first.choice.id);
                Some(reserve.or(self.late()).await?)
            }
        };
        // The account may have told where the program ran before.
        if before.is_some_and(|home| home.is_empty()) && home() != Some(first.choice.id.clone()) {
            drop(first);
            first = self.choose(&body, home(), &[]).ok_or(Refusal::Full)?;
        }
        match self.send(&body, first, home()).await? {
            Found::Whole(response) => Ok(response),
            Found::Stream(arrived) => Ok(self.relay(*arrived, ticket)),
        }
    }

    async fn late<T>(&self) -> Result<T, Refusal> {
        expire(&self.shared, self.deadline, Refusal::Late).await
    }

    /// Sends the request, first to the endpoint of `first`, until it has an answer, within what may
    /// be repeated.
    async fn send(
        &self,
        body: &Bytes,
        first: Visit,
        home: Option<CompactString>,
    ) -> Result<Found, Refusal> {
        let mut first = Some(first);
        let mut tried: Vec<CompactString> = Vec::new();
        let (mut sent, mut connects) = (0, 0);
        let mut unknown = None;
        while sent < self.route.attempts.max(1) && connects < CONNECTS_MAX {
            let now = self.shared.clock.now();
            if now >= self.deadline {
                return Err(unknown.unwrap_or(Refusal::Late));
            }
            let next = || self.choose(body, home.clone(), &tried);
            let Some(visit) = first.take().or_else(next) else {
                break;
            };
            tried.push(visit.choice.id.clone());
            let until = self.attempt_deadline(sent, now);
            let attempt = self.attempt(body, visit, until).await;
            let outcome = match attempt {
                Attempt::Answered(arrived) => self.take(*arrived).await,
                other => Err(other),
            };
            match outcome {
                Ok(found) => return Ok(found),
                Err(Attempt::Unsent) => connects += 1,
                Err(Attempt::NotRun) => sent += 1,
                Err(Attempt::Unknown(refusal)) if self.route.may_run_again() => {
                    sent += 1;
                    unknown = Some(refusal);
                }
                Err(Attempt::Unknown(refusal)) => return Err(refusal),
                Err(Attempt::Answered(_)) => return Err(Refusal::Broken),
            }
        }
        Err(unknown.unwrap_or(Refusal::Full))
    }

    fn choose(
        &self,
        body: &Bytes,
        home: Option<CompactString>,
        tried: &[CompactString],
    ) -> Option<Visit> {
        let now = self.shared.clock.now();
        let chunks = chunks(&self.call);
        let object = self.call.object.as_ref().filter(|_| self.route.sticky);
        let key = object.or(self.call.program.as_ref());
        let demand = Demand {
            service: &self.service,
            chunks: &chunks,
            bytes: body.len() as u64,
            home: home.as_deref().unwrap_or(""),
            key: hash(key.unwrap_or(&self.call.id)),
        };
        let choice = self.shared.places().choose(&demand, tried, now)?;
        Some(Visit {
            shared: self.shared.clone(),
            choice,
            sent: now,
            begun: false,
            fault: false,
        })
    }

    /// When an attempt is given up: a request that may be repeated leaves time for the repeat.
    fn attempt_deadline(&self, sent: u32, now: Time) -> Time {
        let left = self.route.attempts.saturating_sub(sent);
        if self.route.may_run_again() && left > 1 {
            now.after(Span(self.deadline.since(now).0 / 2))
        } else {
            self.deadline.after(DEADLINE_SLACK)
        }
    }

    async fn attempt(&self, body: &Bytes, mut visit: Visit, until: Time) -> Attempt {
        visit.sent = self.shared.clock.now();
        self.shared
            .places()
            .sent(&visit.choice, &chunks(&self.call), visit.sent);
        let pool = {
            let endpoints = self.shared.endpoints();
            endpoints
                .get(&visit.choice.id)
                .map(|member| member.pool.clone())
        };
        let Some(pool) = pool else {
            return Attempt::Unsent;
        };
        let exchange = self.exchange(body, &visit.choice, &pool);
        let expire = expire(&self.shared, until, Refusal::TimedOut);
        let result = async { Ok(exchange.await) }.or(expire).await;
        let (response, lease) = match result {
            Ok(Ok(arrived)) => arrived,
            Ok(Err(SendError::NotSent(error))) => {
                visit.fault = true;
                self.shared.metrics.count("connects-failed");
                self.tell_attempt(&visit, "not sent", &error.to_string());
                return Attempt::Unsent;
            }
            Ok(Err(SendError::Broken(error))) => {
                visit.fault = true;
                self.tell_attempt(&visit, "connection broke", &error.to_string());
                return Attempt::Unknown(Refusal::Broken);
            }
            Err(refusal) => {
                visit.fault = self.route.may_run_again();
                self.tell_attempt(&visit, "no answer in time", refusal.code());
                return Attempt::Unknown(refusal);
            }
        };
        let (head, incoming) = response.into_parts();
        let receipt = self.shared.adapter.dialect.receipt(&head, &self.call.id);
        let response = Response::from_parts(head, incoming);
        self.judge(Arrived {
            response,
            receipt,
            lease,
            pool,
            visit,
        })
        .await
    }

    /// Sends the request over a kept connection, or a new one.
    async fn exchange(
        &self,
        body: &Bytes,
        choice: &Choice,
        pool: &Pool,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        let idle_max = if self.route.may_run_again() {
            IDLE_MAX_SAFE
        } else {
            self.shared.idle(&self.service).limit()
        };
        if let Some(mut lease) = pool.take(idle_max, self.shared.clock.now()) {
            let idle = lease.idle.unwrap_or_default();
            match lease.send(self.request(body, choice)).await {
                Ok(response) => {
                    self.shared
                        .note_idle(&self.service, |limit| limit.held(idle));
                    return Ok((response, lease));
                }
                Err(SendError::NotSent(_)) => {}
                Err(error) => {
                    self.shared
                        .note_idle(&self.service, |limit| limit.broke(idle));
                    self.tell_idle(choice, idle);
                    return Err(error);
                }
            }
        }
        self.shared.metrics.count("connections-opened");
        let mut lease = pool.connect(CONNECT_MAX.into()).await?;
        let response = lease.send(self.request(body, choice)).await?;
        Ok((response, lease))
    }

    fn request(&self, body: &Bytes, choice: &Choice) -> Outgoing {
        let model = self
            .environment
            .services
            .get(&self.service)
            .is_some_and(|service| service.engine.is_some());
        let orders = Orders {
            endpoint: &choice.id,
            left: self.deadline.since(self.shared.clock.now()),
            urgency: model.then(|| urgency(&self.route, &self.call)),
            pin: None,
        };
        let mut request = Request::new(Full::new(body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.shared.adapter.dialect.forward(&self.head, &orders);
        request
    }

    /// Decides what an answer's head means.
    async fn judge(&self, mut arrived: Arrived) -> Attempt {
        let status = arrived.response.status();
        let receipt = arrived.receipt;
        if !receipt.matches {
            arrived.visit.fault = true;
            self.tell_attempt(&arrived.visit, "answer of another request", status.as_str());
            return Attempt::Unknown(Refusal::Broken);
        }
        if receipt.not_run || status == StatusCode::MISDIRECTED_REQUEST {
            self.tell_attempt(&arrived.visit, "not run", status.as_str());
            self.recycle(arrived).await;
            return Attempt::NotRun;
        }
        let promises = matches!(status.as_u16(), 402 | 408 | 421 | 429 | 503);
        if promises || (status.is_success() && !receipt.sealed) {
            // It would promise what is not certain, or is not the endpoint's answer.
            arrived.visit.fault = true;
            self.tell_attempt(&arrived.visit, "unusable answer", status.as_str());
            return Attempt::Unknown(Refusal::Broken);
        }
        Attempt::Answered(Box::new(arrived))
    }

    /// Takes an answer: a stream as it is, any other whole.
    async fn take(&self, mut arrived: Arrived) -> Result<Found, Attempt> {
        let streams = self.route.repeat == Repeat::Stream && arrived.response.status().is_success();
        if streams {
            return Ok(Found::Stream(Box::new(arrived)));
        }
        arrived.visit.begin();
        let headers = self
            .shared
            .adapter
            .dialect
            .answer(&head_of(&arrived.response));
        let status = arrived.response.status();
        let body = arrived.response.body_mut();
        let until = self.deadline.after(DEADLINE_SLACK);
        match collect(&self.shared, body, WHOLE_MAX_BYTES, until).await {
            Ok(bytes) => {
                self.keep(arrived.lease, &arrived.pool, arrived.receipt);
                self.tell_answer(&arrived.visit, status, "answered");
                let mut response = Response::new(whole(bytes));
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                Ok(Found::Whole(response))
            }
            Err(refusal) => {
                arrived.visit.fault = true;
                self.tell_attempt(&arrived.visit, "answer cut", refusal.code());
                Err(Attempt::Unknown(refusal))
            }
        }
    }

    fn relay(self, arrived: Arrived, ticket: Option<Ticket>) -> Response<Body> {
        let head = head_of(&arrived.response);
        let mut headers = self.shared.adapter.dialect.answer(&head);
        // The end of the answer is the end of the stream, and that may have to wait.
        headers.remove(hyper::header::CONTENT_LENGTH);
        let incoming = arrived.response.into_body();
        let relay = Relay::new(self, incoming, arrived.visit, ticket).with_connection(
            arrived.lease,
            arrived.pool,
            arrived.receipt,
        );
        let mut response = Response::new(relay.into_body());
        *response.status_mut() = head.status;
        *response.headers_mut() = headers;
        response
    }

    /// Reads the rest of an answer that is not passed on, so that its connection can be kept.
    async fn recycle(&self, mut arrived: Arrived) {
        let body = arrived.response.body_mut();
        let until = self.shared.clock.now().after(DEADLINE_SLACK);
        if collect(&self.shared, body, WHOLE_MAX_BYTES, until)
            .await
            .is_ok()
        {
            self.keep(arrived.lease, &arrived.pool, arrived.receipt);
        }
    }

    /// Keeps a connection whose answer was read whole.
    pub(crate) fn keep(&self, lease: Lease, pool: &Pool, receipt: Receipt) {
        if receipt.last {
            return;
        }
        let keep = receipt
            .keep
            .map_or(KEEP_UNSAID, |keep| Span(keep.0 * KEEP_PERCENT / 100));
        pool.put(lease, keep, self.shared.clock.now());
    }

    fn tell_idle(&self, choice: &Choice, idle: Span) {
        let limit = self.shared.idle(&self.service).limit();
        info!(self.shared.log, "kept connection broke"; "request" => %self.call.id,
            "endpoint" => %choice.id, "service" => %self.service, "idle_ms" => idle.as_ms(),
            "limit_ms" => limit.as_ms());
    }

    pub(crate) fn tell_answer(&self, visit: &Visit, status: StatusCode, outcome: &'static str) {
        let shared = &self.shared;
        let now = shared.clock.now();
        let took = now.since(self.started);
        shared.metrics.request(outcome);
        shared.metrics.time("request", took.as_secs_f64());
        info!(shared.log, "request ended"; "request" => %self.call.id, "outcome" => outcome,
            "program" => self.call.program.as_deref().unwrap_or(""),
            "route" => %self.route.name, "service" => %self.service,
            "endpoint" => %visit.choice.id, "status" => status.as_u16(),
            "environment" => self.environment.version,
            "expected_ms" => visit.choice.expected.as_ms(), "missing" => visit.choice.missing.0,
            "compared" => visit.choice.compared,
            "sent_ms" => visit.sent.since(self.started).as_ms(),
            "took_ms" => took.as_ms(), "left_ms" => self.deadline.since(now).as_ms());
    }

    fn tell_attempt(&self, visit: &Visit, outcome: &'static str, why: &str) {
        let shared = &self.shared;
        shared.metrics.count("attempts-failed");
        info!(shared.log, "attempt failed"; "request" => %self.call.id, "outcome" => outcome,
            "why" => why, "route" => %self.route.name, "endpoint" => %visit.choice.id,
            "after_ms" => shared.clock.now().since(visit.sent).as_ms());
    }
}

/// An answer for the caller.
enum Found {
    Whole(Response<Body>),
    Stream(Box<Arrived>),
}

fn head_of(response: &Response<Incoming>) -> hyper::http::response::Parts {
    let mut head = Response::new(()).into_parts().0;
    head.status = response.status();
    head.headers = response.headers().clone();
    head
}

/// The rank of a request in an endpoint's queue: by route, and programs under way before new ones.
fn urgency(route: &Route, call: &Call) -> u8 {
    let under_way = u8::from(call.previous.is_none() && call.parts.len() <= 2);
    (2 * route.rank.min(3) + under_way + 1).min(9)
}

/// The prompt's parts, each identified together with those before it.
fn chunks(call: &Call) -> Vec<Chunk> {
    let mut before = 0;
    call.parts
        .iter()
        .map(|part| {
            before = mix(before, part.id);
            Chunk {
                id: before,
                tokens: part.tokens,
            }
        })
        .collect()
}

fn mix(before: u64, id: u64) -> u64 {
    let mixed = (before ^ id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 32)
}

/// A hash that is the same at each host.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        mix(hash, u64::from(byte))
    })
}

/// A point from 0 to 1 for a text.
fn point(text: &str) -> f64 {
    hash(text) as f64 / u64::MAX as f64
}
