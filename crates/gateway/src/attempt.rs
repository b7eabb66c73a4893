//! One attempt of a request at one endpoint, and what its outcome proves.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use http_io::{Lease, Outgoing, Pool, SendError};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use policy::{Choice, Fault};
use slog::info;
use smol::future::FutureExt;
use units::{Span, Time};

use crate::accept::expire;
use crate::call::{Directives, ResponseMeta};
use crate::exchange::{DEADLINE_SLACK, Exchange, WHOLE_MAX_BYTES};
use crate::prompt::{chunks, urgency};
use crate::relay::collect;
use crate::reply::Refusal;
use crate::state::Shared;

/// Longest time to open a connection: several round trips between regions.
const CONNECT_MAX: Span = Span::from_ms(350);
/// A connection that was idle for longer carries no request, not even one that may be repeated.
const IDLE_MAX_SAFE: Span = Span::from_ms(10_000);
/// How long a connection is kept whose endpoint does not say how long it keeps it: less than a
/// second, as it would say whole seconds.
const KEEP_UNSAID: Span = Span::from_ms(700);
/// Share of the time an endpoint keeps a connection, in percent, that it is used for.
const KEEP_PERCENT: u64 = 70;

/// A request at an endpoint, counted there until this is dropped.
pub(crate) struct Visit {
    pub(crate) shared: Arc<Shared>,
    pub(crate) choice: Choice,
    pub(crate) sent: Time,
    pub(crate) begun: bool,
    pub(crate) fault: Fault,
}

impl Visit {
    /// Takes in that the first token came.
    pub(crate) fn begin(&mut self) {
        if !std::mem::replace(&mut self.begun, true) {
            let now = self.shared.clock.now();
            let span = now.since(self.sent);
            self.shared
                .places()
                .record_first_token(&self.choice, span, now);
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
pub(crate) struct Arrived {
    pub(crate) response: Response<Incoming>,
    pub(crate) receipt: ResponseMeta,
    pub(crate) lease: Lease,
    pub(crate) pool: Pool,
    pub(crate) visit: Visit,
}

/// What became of one attempt.
pub(crate) enum Attempt {
    Answered(Box<Arrived>),
    /// Nothing was sent.
    Unsent,
    /// The endpoint says that it did not run it.
    NotRun,
    /// It may have run.
    Unknown(Refusal),
}

impl Exchange {
    pub(crate) async fn attempt(&self, body: &Bytes, mut visit: Visit, until: Time) -> Attempt {
        visit.sent = self.shared.clock.now();
        self.shared
            .places()
            .record_sent(&visit.choice, &chunks(&self.call), visit.sent);
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
        let expire = expire(&self.shared, until, Refusal::EndpointTimedOut);
        let result = async { Ok(exchange.await) }.or(expire).await;
        let (response, lease) = match result {
            Ok(Ok(arrived)) => arrived,
            Ok(Err(SendError::NotSent(error))) => {
                visit.fault = Fault::Failed;
                self.shared.metrics.count("connects-failed");
                self.tell_attempt(&visit, "not sent", &error.to_string());
                return Attempt::Unsent;
            }
            Ok(Err(SendError::Broken(error))) => {
                visit.fault = Fault::Failed;
                self.tell_attempt(&visit, "connection broke", &error.to_string());
                return Attempt::Unknown(Refusal::EndpointFailed);
            }
            Err(refusal) => {
                if self.route.is_idempotent() {
                    visit.fault = Fault::Failed;
                }
                self.tell_attempt(&visit, "no answer in time", refusal.code());
                return Attempt::Unknown(refusal);
            }
        };
        let (head, incoming) = response.into_parts();
        let receipt = self
            .shared
            .adapter
            .dialect
            .parse_response(&head, &self.call.id);
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
        let idle_max = if self.route.is_idempotent() {
            IDLE_MAX_SAFE
        } else {
            self.shared.idle(&self.service).limit()
        };
        if let Some(mut lease) = pool.take(idle_max, self.shared.clock.now()) {
            let idle = lease.idle.unwrap_or_default();
            match lease.send(self.request(body, choice)).await {
                Ok(response) => {
                    self.shared
                        .note_idle(&self.service, |limit| limit.record_reuse(idle));
                    return Ok((response, lease));
                }
                Err(SendError::NotSent(_)) => {}
                Err(error) => {
                    self.shared
                        .note_idle(&self.service, |limit| limit.record_loss(idle));
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
        let directives = Directives {
            endpoint: &choice.id,
            remaining: self.deadline.since(self.shared.clock.now()),
            urgency: model.then(|| urgency(&self.route, &self.call)),
            pin: None,
        };
        let mut request = Request::new(Full::new(body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self
            .shared
            .adapter
            .dialect
            .request_headers(&self.head, &directives);
        request
    }

    /// Decides what an answer's head means.
    async fn judge(&self, mut arrived: Arrived) -> Attempt {
        let status = arrived.response.status();
        let receipt = arrived.receipt;
        if !receipt.matches_request {
            arrived.visit.fault = Fault::Failed;
            self.tell_attempt(&arrived.visit, "answer of another request", status.as_str());
            return Attempt::Unknown(Refusal::EndpointFailed);
        }
        if receipt.not_run || status == StatusCode::MISDIRECTED_REQUEST {
            arrived.visit.fault = Fault::Minor;
            self.tell_attempt(&arrived.visit, "not run", status.as_str());
            self.recycle(arrived).await;
            return Attempt::NotRun;
        }
        let promises = matches!(status.as_u16(), 402 | 408 | 421 | 429 | 503);
        if promises || (status.is_success() && !receipt.sealed) {
            // It would promise what is not certain, or is not the endpoint's answer.
            arrived.visit.fault = Fault::Failed;
            self.tell_attempt(&arrived.visit, "unusable answer", status.as_str());
            return Attempt::Unknown(Refusal::EndpointFailed);
        }
        if status.is_server_error() {
            arrived.visit.fault = Fault::Minor;
        }
        Attempt::Answered(Box::new(arrived))
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
    pub(crate) fn keep(&self, lease: Lease, pool: &Pool, receipt: ResponseMeta) {
        if receipt.connection_close {
            return;
        }
        let keep = receipt
            .keep_alive
            .map_or(KEEP_UNSAID, |keep| Span(keep.0 * KEEP_PERCENT / 100));
        pool.put(lease, keep, self.shared.clock.now());
    }

    fn tell_idle(&self, choice: &Choice, idle: Span) {
        let limit = self.shared.idle(&self.service).limit();
        info!(self.shared.log, "kept connection broke"; "request" => %self.call.id,
            "endpoint" => %choice.id, "service" => %self.service, "idle_ms" => idle.as_ms(),
            "limit_ms" => limit.as_ms());
    }

    pub(crate) fn tell_attempt(&self, visit: &Visit, outcome: &'static str, why: &str) {
        let shared = &self.shared;
        shared.metrics.count("attempts-failed");
        info!(shared.log, "attempt failed"; "request" => %self.call.id, "outcome" => outcome,
            "why" => why, "route" => %self.route.name, "endpoint" => %visit.choice.id,
            "after_ms" => shared.clock.now().since(visit.sent).as_ms());
    }
}
