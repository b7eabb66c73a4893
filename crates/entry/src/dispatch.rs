//! One dispatch of a call to a sidecar, and the recovery of its answer when a connection is lost.

use std::cell::Cell;

use log::Route;
use policy::{Stream, Ticket, Usage};
use slog::warn;
use smol::future::FutureExt;
use units::{Digest, Host, Incarnation, Span, Target, Time, Tokens, Version};
use wire::{Dispatch, Done, Epoch, Frame, Link, Ran, Reason, Refused, State, Work};

use crate::calls::Run;
use crate::links;
use crate::routing;
use crate::traffic::Traffic;

const RECOVERY_TIMEOUT: Span = Span::from_ms(3_000);
/// Longer than for idempotent calls, which are dispatched again instead.
const NON_IDEMPOTENT_RECOVERY_TIMEOUT: Span = Span::from_ms(15_000);
const RECOVERY_POLL_INTERVAL: Span = Span::from_ms(100);
const BYTES_PER_TOKEN: u64 = 4;

/// Parameters that all dispatches of a call share.
pub(crate) struct Plan<'a> {
    pub(crate) target: &'a Target,
    pub(crate) work: &'a Work,
    pub(crate) input: &'a [u8],
    pub(crate) request: &'a policy::Request,
    /// The most tokens that one dispatch can use.
    pub(crate) worst_case: Tokens,
    /// Version of the environment document in force when the call began.
    pub(crate) version: Version,
}

/// How one dispatch ended.
pub(crate) enum DispatchOutcome {
    /// With a complete answer.
    Done(Done),
    /// Without a complete answer.
    Refused(Refused),
}

pub(crate) fn build(
    traffic: &Traffic,
    run: &Run,
    target: &Target,
    work: &Work,
    route: &Route,
    input: &[u8],
) -> Dispatch {
    let program = run.live.program.borrow();
    let created = program.created();
    let (id, seq) = (run.live.id, run.request.seq);
    Dispatch {
        call: units::Call {
            program: id,
            seq,
            attempt: route.attempt,
        },
        sidecar: route.sidecar,
        epoch: last_epoch(traffic, route),
        account: created.account.clone(),
        target: target.clone(),
        work: work.clone(),
        time_remaining: created.deadline.since(traffic.shared.clock.now()),
        priority: routing::rank(traffic, run),
        input: input.to_vec(),
        trace: run.trace.to_string().into(),
        tail: Vec::new(),
    }
}

/// The last epoch received from the sidecar; taken before the intent is recorded, so that the age
/// of the dispatch includes that time.
fn last_epoch(traffic: &Traffic, route: &Route) -> Epoch {
    links::to_process(traffic, route.sidecar).map_or(Epoch::default(), |(_, link)| link.epoch())
}

/// A dispatch that was sent.
struct SentDispatch {
    call: units::Call,
    host: Host,
    sidecar: Incarnation,
    /// The sidecar's epoch when the dispatch was built; `None` if the writer of an adopted log sent
    /// the dispatch: a tombstone of the call after the last recorded one is then always proof.
    epoch: Option<Epoch>,
    deadline: Time,
    recovery_timeout: Span,
}

impl SentDispatch {
    /// Whether a tombstone reported in epoch `current` proves that the call did not run.
    fn tombstone_is_proof(&self, current: Epoch) -> bool {
        self.epoch.is_none_or(|epoch| current <= epoch.next())
    }
}

/// Determines the outcome of a non-idempotent call that the writer of an adopted log dispatched.
pub(crate) async fn recover_adopted(
    traffic: &Traffic,
    run: &Run,
    host: Host,
    call: units::Call,
    route: &Route,
) -> DispatchOutcome {
    let sent = SentDispatch {
        call,
        host,
        sidecar: route.sidecar,
        epoch: None,
        deadline: run.live.program.borrow().created().deadline,
        recovery_timeout: NON_IDEMPOTENT_RECOVERY_TIMEOUT,
    };
    recover(traffic, run, &sent).await
}

/// Sends one dispatch and receives its answer, recovering it if the connection is lost.
pub(crate) async fn send(
    traffic: &Traffic,
    run: &Run,
    route: &Route,
    ticket: Ticket,
    dispatch: Dispatch,
) -> DispatchOutcome {
    let outstanding = Outstanding::new(traffic, ticket);
    let dispatched = follow(traffic, run, route, &outstanding.ticket, dispatch).await;
    let used = match &dispatched {
        DispatchOutcome::Done(done) => Some(Usage {
            prompt: done.usage.prompt,
            cached: done.usage.cached,
            generated: done.usage.generated.max(Tokens(1)),
        }),
        DispatchOutcome::Refused(_) => None,
    };
    outstanding.close(used);
    dispatched
}

/// Counts a call as outstanding; a drop without `close` counts it as ended without an answer.
struct Outstanding<'a> {
    traffic: &'a Traffic,
    ticket: Ticket,
    used: Option<Usage>,
}

impl<'a> Outstanding<'a> {
    fn new(traffic: &'a Traffic, ticket: Ticket) -> Self {
        traffic.routing.fleet.borrow_mut().start(&ticket);
        Outstanding {
            traffic,
            ticket,
            used: None,
        }
    }

    fn close(mut self, used: Option<Usage>) {
        let routing = &self.traffic.routing;
        let share = routing.fleet.borrow().settings().hedge_budget;
        if used.is_some() {
            routing
                .hedge_budget
                .borrow_mut()
                .refill(self.ticket.service_time, share);
        }
        self.used = used;
    }
}

impl Drop for Outstanding<'_> {
    fn drop(&mut self) {
        let now = self.traffic.shared.clock.now();
        let mut fleet = self.traffic.routing.fleet.borrow_mut();
        fleet.finish(&self.ticket, self.used, now);
    }
}

async fn follow(
    traffic: &Traffic,
    run: &Run,
    route: &Route,
    ticket: &Ticket,
    dispatch: Dispatch,
) -> DispatchOutcome {
    let Some((host, link)) = links::to_process(traffic, route.sidecar) else {
        return DispatchOutcome::Refused(refused(Ran::No, Reason::Unreachable));
    };
    if link.epoch() > dispatch.epoch {
        // Recording the intent took so long that the sidecar would reject the dispatch now or soon.
        return DispatchOutcome::Refused(refused(Ran::No, Reason::Stale));
    }
    let sent = SentDispatch {
        call: dispatch.call,
        host: host.clone(),
        sidecar: route.sidecar,
        epoch: Some(dispatch.epoch),
        deadline: traffic.shared.clock.now().after(dispatch.time_remaining),
        recovery_timeout: if dispatch.work.is_idempotent() {
            RECOVERY_TIMEOUT
        } else {
            NON_IDEMPOTENT_RECOVERY_TIMEOUT
        },
    };
    let request = Frame::Dispatch(dispatch);
    let mut meter = Meter::new(traffic, ticket, &run.stream);
    let pending = exchange(run, &link, &request, Some(&mut meter));
    let dispatched = match with_deadline(traffic, sent.deadline, pending).await {
        Ok(dispatched) => dispatched,
        Err(error) if error.is_unserved() => {
            DispatchOutcome::Refused(refused(Ran::No, Reason::Leaving))
        }
        Err(error) => {
            warn!(traffic.shared.logger, "dispatch broken"; "call" => %sent.call, "error" => %error);
            recover(traffic, run, &sent).await
        }
    };
    if let DispatchOutcome::Refused(refused) = &dispatched
        && refused.reason == Reason::Leaving
    {
        // The next attempt must avoid this endpoint even if the board's view still offers it.
        link.record_leaving();
        traffic.routing.invalidate();
    }
    dispatched
}

/// Reports the arrival times of a streamed answer to the policy.
struct Meter<'a> {
    traffic: &'a Traffic,
    ticket: &'a Ticket,
    stream: &'a Cell<Stream>,
}

impl<'a> Meter<'a> {
    fn new(traffic: &'a Traffic, ticket: &'a Ticket, stream: &'a Cell<Stream>) -> Self {
        stream.set(Stream {
            dispatched_at: traffic.shared.clock.now(),
            ..Stream::default()
        });
        Meter {
            traffic,
            ticket,
            stream,
        }
    }

    /// Records that `bytes` bytes of the answer arrived.
    fn record_bytes(&mut self, bytes: usize) {
        let now = self.traffic.shared.clock.now();
        let mut fleet = self.traffic.routing.fleet.borrow_mut();
        let tokens = Tokens((bytes as u64).div_ceil(BYTES_PER_TOKEN));
        let mut stream = self.stream.get();
        match stream.last_received_at {
            Some(last) => fleet.record_progress(self.ticket, tokens, now.since(last), now),
            None => fleet.record_first_token(self.ticket, now.since(stream.dispatched_at), now),
        }
        stream.last_received_at = Some(now);
        stream.received = stream.received.plus(tokens);
        self.stream.set(stream);
    }
}

/// Bounds an exchange by a deadline.
async fn with_deadline<T>(
    traffic: &Traffic,
    deadline: Time,
    exchange: impl Future<Output = wire::Result<T>>,
) -> wire::Result<T> {
    let timeout = async {
        let time_remaining = deadline.since(traffic.shared.clock.now());
        smol::Timer::after(time_remaining.into()).await;
        Err(wire::Error::Timeout)
    };
    exchange.or(timeout).await
}

/// Sends a request and appends the streamed response to the answer.
async fn exchange(
    run: &Run,
    link: &Link,
    request: &Frame,
    mut meter: Option<&mut Meter<'_>>,
) -> wire::Result<DispatchOutcome> {
    let mut stream = link.open(request).await?;
    stream.finish()?;
    loop {
        match stream.expect().await? {
            Frame::Accepted(_) => {}
            Frame::Delta(delta) if delta.offset == run.answer.len() as u64 => {
                if let Some(meter) = &mut meter {
                    meter.record_bytes(delta.bytes.len());
                }
                run.answer.push(&delta.bytes);
            }
            Frame::Done(done) => {
                let is_complete = done.digest == Digest::of(&run.answer.bytes());
                return if is_complete {
                    Ok(DispatchOutcome::Done(done))
                } else {
                    Err(wire::Error::Unexpected("Done with wrong digest"))
                };
            }
            Frame::Refused(refused) => return Ok(DispatchOutcome::Refused(refused)),
            other => return Err(wire::Error::Unexpected(other.kind())),
        }
    }
}

/// Queries the sidecar for the outcome of a call, on whichever connection is open, and fetches the
/// remainder of the answer. A call past its deadline is cancelled.
async fn recover(traffic: &Traffic, run: &Run, sent: &SentDispatch) -> DispatchOutcome {
    let unknown = DispatchOutcome::Refused(refused(Ran::Unknown, Reason::Unreachable));
    let clock = traffic.shared.clock;
    let recovery_end = clock.now().after(sent.recovery_timeout);
    while clock.now() < recovery_end {
        let Some(link) = traffic.link_to_host(&sent.host) else {
            smol::Timer::after(RECOVERY_POLL_INTERVAL.into()).await;
            continue;
        };
        if link.peer().incarnation != sent.sidecar {
            return unknown;
        }
        match query_outcome(traffic, run, sent, &link, recovery_end).await {
            Ok(Some(dispatched)) => return dispatched,
            Ok(None) => return unknown,
            Err(_) => {}
        }
        smol::Timer::after(RECOVERY_POLL_INTERVAL.into()).await;
    }
    unknown
}

/// Queries the outcome of a call once; `None` if it remains unknown.
async fn query_outcome(
    traffic: &Traffic,
    run: &Run,
    sent: &SentDispatch,
    link: &Link,
    recovery_end: Time,
) -> wire::Result<Option<DispatchOutcome>> {
    let is_past_deadline = traffic.shared.clock.now() >= sent.deadline;
    if is_past_deadline {
        with_deadline(traffic, recovery_end, link.call(&Frame::Cancel(sent.call))).await?;
    }
    let query = Frame::Query(sent.call);
    let Frame::State(state) = with_deadline(traffic, recovery_end, link.call(&query)).await? else {
        return Err(wire::Error::Unexpected("other than State"));
    };
    match state {
        State::Tombstone if sent.tombstone_is_proof(link.epoch()) => Ok(Some(
            DispatchOutcome::Refused(refused(Ran::No, Reason::Tombstone)),
        )),
        // The sidecar may have run the call and no longer have a record of it.
        State::Tombstone => Ok(None),
        State::Refused(refused) => Ok(Some(DispatchOutcome::Refused(refused))),
        State::Running if is_past_deadline => Ok(None),
        State::Retained(_) | State::Running => {
            let call = sent.call;
            let offset = run.answer.len() as u64;
            let resume = Frame::Resume(wire::Resume { call, offset });
            let resume_end = sent.deadline.max(recovery_end);
            with_deadline(traffic, resume_end, exchange(run, link, &resume, None))
                .await
                .map(Some)
        }
    }
}

fn refused(ran: Ran, reason: Reason) -> Refused {
    Refused { ran, reason }
}
