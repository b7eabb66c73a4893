//! One attempt of a request at one endpoint, and whether it proves that the request did not run.

use std::sync::Arc;

use http_io::{BufferedRequest, Lease, Payload, Pool, SendError};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use policy::{Choice, Fault, LimitChange};
use slog::{info, warn};
use smol::future::FutureExt;
use units::{Span, Time};

use crate::accept::expire;
use crate::call::{Directives, NamedLimit, ResponseMeta};
use crate::crashes::{self, EndpointStart, LossKind};
use crate::exchange::{BUFFERED_MAX_BYTES, DEADLINE_SLACK, Exchange};
use crate::prompt::{chunks, urgency};
use crate::relay::collect;
use crate::reply::Refusal;
use crate::state::Shared;

/// Longest time to open a connection: several round trips between regions.
const CONNECT_TIMEOUT: Span = Span::from_ms(350);
/// How long the next attempt of a request waits for news of a crash: a round trip between regions.
const CRASH_WAIT: Span = Span::from_ms(50);
/// Longest idle time after which a connection is reused for an idempotent request. The limit for
/// other requests, [`Shared::idle_limit`], is lower.
const IDEMPOTENT_IDLE_MAX: Span = Span::from_ms(10_000);
/// How long a connection is kept if the endpoint sends no keep-alive time: less than one second, as
/// endpoints state whole seconds.
const DEFAULT_KEEP_ALIVE: Span = Span::from_ms(700);
/// Share of an endpoint's keep-alive time, in percent, for which a connection is reused.
const KEEP_ALIVE_PERCENT: u64 = 70;

/// A request at an endpoint; the load balancer counts it there until this is dropped.
pub(crate) struct Placement {
    pub(crate) shared: Arc<Shared>,
    pub(crate) choice: Choice,
    /// Set when the request is sent.
    pub(crate) endpoint_start: Option<EndpointStart>,
    pub(crate) sent_at: Time,
    /// Time from sending to the first token.
    pub(crate) first_token: Option<Span>,
    pub(crate) fault: Fault,
}

impl Placement {
    /// Records the time of the first token, or of the answer of a plain service.
    pub(crate) fn record_first_token(&mut self) {
        if self.first_token.is_none() {
            let now = self.shared.clock.now();
            let latency = now.since(self.sent_at);
            self.first_token = Some(latency);
            self.shared
                .balancer()
                .record_first_token(&self.choice, latency, now);
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let mut balancer = self.shared.balancer();
        balancer.finish(&self.choice, self.first_token.is_some(), self.fault, now);
    }
}

/// An endpoint's response whose head has arrived.
pub(crate) struct EndpointResponse {
    pub(crate) response: Response<Incoming>,
    pub(crate) meta: ResponseMeta,
    pub(crate) lease: Lease,
    pub(crate) pool: Pool,
    pub(crate) placement: Placement,
}

/// Outcome of one attempt.
pub(crate) enum AttemptOutcome {
    Answered(Box<EndpointResponse>),
    /// No byte of the request was sent.
    NotSent,
    /// The endpoint states that it did not run the request.
    NotRun,
    /// The request may have run; holds the refusal for the caller.
    Unknown(Refusal),
}

impl Exchange {
    pub(crate) async fn attempt(
        &self,
        body: &Payload,
        mut placement: Placement,
        deadline: Time,
    ) -> AttemptOutcome {
        let now = self.shared.clock.now();
        let limit_wait = placement.choice.allowed_at.since(now);
        if limit_wait > Span(0) {
            self.shared.metrics.count("limit-waits");
            smol::Timer::after(limit_wait.into()).await;
            if self.shared.has_answered() {
                return AttemptOutcome::NotSent;
            }
        }
        placement.sent_at = self.shared.clock.now();
        let is_allowed = self.shared.balancer().try_send(
            &mut placement.choice,
            &chunks(&self.call),
            placement.sent_at,
        );
        if !is_allowed {
            return AttemptOutcome::NotSent;
        }
        let pool = {
            let endpoints = self.shared.endpoints();
            endpoints
                .get(&placement.choice.id)
                .map(|member| member.pool.clone())
        };
        let Some(pool) = pool else {
            return AttemptOutcome::NotSent;
        };
        placement.endpoint_start = Some(EndpointStart {
            id: placement.choice.id.clone(),
            start_id: placement.choice.start_id(),
            address: pool.address(),
        });
        let send = self.send_once(body, &placement.choice, &pool);
        let expire = expire(&self.shared, deadline, Refusal::EndpointTimedOut);
        let result = async { Ok(send.await) }.or(expire).await;
        let (response, lease) = match result {
            Ok(Ok(received)) => received,
            Ok(Err(SendError::NotSent(error))) => {
                placement.fault = Fault::Failed;
                self.shared.metrics.count("connects-failed");
                self.log_failed_attempt(&placement, "not sent", &error.to_string());
                return AttemptOutcome::NotSent;
            }
            Ok(Err(SendError::MaybeSent(error))) => {
                placement.fault = Fault::Failed;
                self.log_failed_attempt(&placement, "connection lost", &error.to_string());
                self.investigate(&placement, LossKind::BrokenOff).await;
                return AttemptOutcome::Unknown(Refusal::EndpointFailed);
            }
            Err(refusal) => {
                if self.route.is_idempotent() {
                    placement.fault = Fault::Failed;
                }
                // The connection may have fallen silent, and the idle ones with it.
                pool.close_idle_before(placement.sent_at);
                self.log_failed_attempt(&placement, "no answer in time", refusal.code());
                crashes::investigate(&self.shared, &placement, self.suspect, LossKind::TimedOut);
                return AttemptOutcome::Unknown(refusal);
            }
        };
        let (head, incoming) = response.into_parts();
        let meta = self
            .shared
            .adapter
            .dialect
            .parse_response(&head, &self.call.id);
        let response = Response::from_parts(head, incoming);
        if meta.matches_request && response.status() != StatusCode::MISDIRECTED_REQUEST {
            self.record_limit(&placement, meta.limit);
            if meta.leaving {
                self.record_leaving(&placement);
            }
        }
        self.classify(EndpointResponse {
            response,
            meta,
            lease,
            pool,
            placement,
        })
        .await
    }

    /// Investigates whether the endpoint of a lost attempt crashed. If another attempt may follow,
    /// waits for the result, at most [`CRASH_WAIT`].
    pub(crate) async fn investigate(&self, placement: &Placement, kind: LossKind) {
        let decided = crashes::investigate(&self.shared, placement, self.suspect, kind);
        let Some(decided) = decided.filter(|_| self.route.is_idempotent()) else {
            return;
        };
        let decide = async {
            // Nothing is ever sent: the channel closes when the question is decided.
            let _ = decided.recv().await;
        };
        let expire = async {
            smol::Timer::after(CRASH_WAIT.into()).await;
        };
        decide.or(expire).await;
    }

    /// Sends the request on an idle connection of the pool, or on a new one.
    async fn send_once(
        &self,
        body: &Payload,
        choice: &Choice,
        pool: &Pool,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        let idle_max = if self.route.is_idempotent() {
            IDEMPOTENT_IDLE_MAX
        } else {
            self.shared.idle_limit(&self.service).limit()
        };
        if let Some(mut lease) = pool.take(idle_max, self.shared.clock.now()) {
            let idle = lease.idle_time.unwrap_or_default();
            match lease.send(self.build_request(body, choice)).await {
                Ok(response) => {
                    self.shared
                        .update_idle_limit(&self.service, |limit| limit.record_reuse(idle));
                    return Ok((response, lease));
                }
                Err(SendError::NotSent(_)) => {}
                Err(error) => {
                    self.shared
                        .update_idle_limit(&self.service, |limit| limit.record_loss(idle));
                    self.log_idle_failure(choice, idle);
                    return Err(error);
                }
            }
        }
        self.shared.metrics.count("connections-opened");
        let mut lease = pool.connect(CONNECT_TIMEOUT.into()).await?;
        let response = lease.send(self.build_request(body, choice)).await?;
        Ok((response, lease))
    }

    fn build_request(&self, body: &Payload, choice: &Choice) -> BufferedRequest {
        let is_model = self
            .environment
            .services
            .get(&self.service)
            .is_some_and(|service| service.engine.is_some());
        let directives = Directives {
            endpoint: &choice.id,
            remaining: self.deadline.since(self.shared.clock.now()),
            urgency: is_model.then(|| {
                let account = self.account.as_ref();
                let urgency = urgency(&self.route, account, &self.call, choice.missing);
                if self.shared.settings().long_prompts_yield {
                    urgency.level()
                } else {
                    urgency.without_yielding().level()
                }
            }),
            pin: None,
            sender: self.sender(),
        };
        let mut request = Request::new(body.clone());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self
            .shared
            .adapter
            .dialect
            .request_headers(&self.head, &directives);
        request
    }

    /// Records that the endpoint of `placement` stated that it stops.
    fn record_leaving(&self, placement: &Placement) {
        let shared = &self.shared;
        let (id, start_id) = (&placement.choice.id, placement.choice.start_id());
        let change = shared.endpoints().record_leaving(id, start_id);
        if let Some(change) = change {
            shared.metrics.count("endpoint-changes");
            info!(shared.log, "{}", change.as_str(); "endpoint" => %id, "start" => start_id,
                "request" => %self.call.id);
            shared.sync_endpoint(id);
        }
    }

    /// Records the limit that the endpoint of `placement` named in its answer.
    fn record_limit(&self, placement: &Placement, limit: NamedLimit) {
        let shared = &self.shared;
        let endpoint = &placement.choice.id;
        let rate = match limit {
            NamedLimit::Absent => None,
            NamedLimit::Rate(rate) => Some(rate),
            NamedLimit::Malformed => {
                warn!(shared.log, "endpoint's limit cannot be read, the previous one stays";
                    "request" => %self.call.id, "endpoint" => %endpoint);
                return;
            }
        };
        let now = shared.clock.now();
        let change =
            shared
                .balancer()
                .record_limit(&placement.choice, rate, placement.sent_at, now);
        match change {
            None => {}
            Some(LimitChange::Set(rate, share)) => {
                shared.metrics.count("limit-changes");
                info!(shared.log, "endpoint limited"; "request" => %self.call.id,
                    "endpoint" => %endpoint, "limit" => %rate, "share" => %share,
                    "hosts" => shared.peers.roster().count());
            }
            Some(LimitChange::Lifted(rate)) => {
                shared.metrics.count("limit-changes");
                info!(shared.log, "endpoint no longer limited"; "request" => %self.call.id,
                    "endpoint" => %endpoint, "limit" => %rate);
            }
        }
    }

    /// Determines the outcome from the head of the response.
    async fn classify(&self, mut received: EndpointResponse) -> AttemptOutcome {
        let status = received.response.status();
        let meta = received.meta;
        if !meta.matches_request {
            received.placement.fault = Fault::Failed;
            self.log_failed_attempt(
                &received.placement,
                "response to another request",
                status.as_str(),
            );
            return AttemptOutcome::Unknown(Refusal::EndpointFailed);
        }
        if meta.not_run || status == StatusCode::MISDIRECTED_REQUEST {
            received.placement.fault = Fault::Minor;
            self.log_failed_attempt(&received.placement, "not run", status.as_str());
            self.discard_body(received).await;
            return AttemptOutcome::NotRun;
        }
        let promises_not_run = matches!(status.as_u16(), 402 | 408 | 421 | 429 | 503);
        let is_final = (200..600).contains(&status.as_u16());
        if promises_not_run || !is_final || (status.is_success() && !meta.sealed) {
            // The caller would take the status as proof that the request did not run; a success
            // that is not sealed is not the endpoint's own answer, and a status outside the classes
            // of final ones is no answer.
            received.placement.fault = Fault::Failed;
            self.log_failed_attempt(&received.placement, "unusable response", status.as_str());
            return AttemptOutcome::Unknown(Refusal::EndpointFailed);
        }
        if status.is_server_error() {
            received.placement.fault = Fault::Minor;
        }
        AttemptOutcome::Answered(Box::new(received))
    }

    /// Reads the body of a response that is not relayed, so that its connection can be kept.
    async fn discard_body(&self, mut received: EndpointResponse) {
        let body = received.response.body_mut();
        let deadline = self.shared.clock.now().after(DEADLINE_SLACK);
        if collect(&self.shared, body, BUFFERED_MAX_BYTES, deadline)
            .await
            .is_ok()
        {
            self.keep_connection(received.lease, &received.pool, received.meta);
        }
    }

    /// Returns a connection to its pool after its response has been read completely.
    pub(crate) fn keep_connection(&self, lease: Lease, pool: &Pool, meta: ResponseMeta) {
        if meta.connection_close {
            return;
        }
        let keep = meta.keep_alive.map_or(DEFAULT_KEEP_ALIVE, |keep| {
            Span(keep.0 * KEEP_ALIVE_PERCENT / 100)
        });
        pool.put(lease, keep, self.shared.clock.now());
    }

    fn log_idle_failure(&self, choice: &Choice, idle: Span) {
        let limit = self.shared.idle_limit(&self.service).limit();
        info!(self.shared.log, "reused connection lost"; "request" => %self.call.id,
            "endpoint" => %choice.id, "service" => %self.service, "idle_ms" => idle.as_ms(),
            "limit_ms" => limit.as_ms());
    }

    pub(crate) fn log_failed_attempt(
        &self,
        placement: &Placement,
        outcome: &'static str,
        reason: &str,
    ) {
        let shared = &self.shared;
        shared.metrics.count("attempts-failed");
        info!(shared.log, "attempt failed"; "request" => %self.call.id, "outcome" => outcome,
            "why" => reason, "route" => %self.route.name, "endpoint" => %placement.choice.id,
            "fingerprint" => %self.suspect.whole,
            "after_ms" => shared.clock.now().since(placement.sent_at).as_ms());
    }
}
