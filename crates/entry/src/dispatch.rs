//! One dispatch of a call to a sidecar, and the recovery of its answer when a connection is lost.

use std::cell::Cell;

use log::Route;
use policy::{Stream, Ticket, Used};
use slog::warn;
use smol::future::FutureExt;
use units::{Digest, Span, Target, Tokens};
use wire::{Dispatch, Done, Frame, Ran, Reason, Refused, State, Work};

use crate::calls::Run;
use crate::routing;
use crate::traffic::Traffic;

const RECOVERY_TIMEOUT: Span = Span::from_ms(3_000);
const RECOVERY_POLL: Span = Span::from_ms(100);
const TOKEN_BYTES: u64 = 4;

/// How one dispatch ended.
pub(crate) enum Dispatched {
    /// With a whole answer.
    Done(Done),
    /// Without one.
    Refused(Refused),
}

pub(crate) fn make(
    traffic: &Traffic,
    run: &Run,
    target: &Target,
    work: &Work,
    route: &Route,
    input: &[u8],
    request: &policy::Request,
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
        account: created.account.clone(),
        target: target.clone(),
        work: work.clone(),
        time_left: created.deadline.since(traffic.shared.clock.now()),
        priority: routing::rank(traffic, run, request),
        input: input.to_vec(),
        trace: run.trace.child().to_string().into(),
        tail: Vec::new(),
    }
}

/// Sends one dispatch and follows its answer, through a lost connection if need be.
pub(crate) async fn send(
    traffic: &Traffic,
    run: &Run,
    route: &Route,
    ticket: Ticket,
    dispatch: Dispatch,
) -> Dispatched {
    let outstanding = Outstanding::new(traffic, ticket);
    let dispatched = follow(traffic, run, route, &outstanding.ticket, dispatch).await;
    let used = match &dispatched {
        Dispatched::Done(done) => Some(Used {
            prompt: done.usage.prompt,
            cached: done.usage.cached,
            generated: done.usage.generated.max(Tokens(1)),
        }),
        Dispatched::Refused(_) => None,
    };
    outstanding.close(used);
    dispatched
}

/// A call that counts as outstanding until it is closed or, when its future is dropped, given up.
struct Outstanding<'a> {
    traffic: &'a Traffic,
    ticket: Ticket,
    used: Option<Used>,
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

    fn close(mut self, used: Option<Used>) {
        let routing = &self.traffic.routing;
        let share = routing.fleet.borrow().knobs().hedge_budget;
        if used.is_some() {
            routing.budget.borrow_mut().earn(self.ticket.service, share);
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
) -> Dispatched {
    let view = traffic.shared.view.load_full();
    let endpoint = view
        .endpoints
        .iter()
        .find(|endpoint| endpoint.incarnation == route.sidecar);
    let unreachable = Refused {
        ran: Ran::No,
        reason: Reason::Unreachable,
    };
    let Some(host) = endpoint.map(|endpoint| endpoint.host.clone()) else {
        return Dispatched::Refused(unreachable);
    };
    let Some(link) = traffic.link(&host) else {
        return Dispatched::Refused(unreachable);
    };
    let (call, time_left) = (dispatch.call, dispatch.time_left);
    let expire = async {
        smol::Timer::after(time_left.into()).await;
        Err(wire::Error::Timeout)
    };
    let request = Frame::Dispatch(dispatch);
    let mut meter = Meter::new(traffic, ticket, &run.stream);
    let result = exchange(run, &link, &request, Some(&mut meter))
        .or(expire)
        .await;
    match result {
        Ok(dispatched) => dispatched,
        Err(why) => {
            warn!(traffic.shared.logger, "dispatch broken"; "call" => %call, "error" => %why);
            recover(traffic, run, &host, call, route).await
        }
    }
}

/// Shows the policy the times of a stream.
struct Meter<'a> {
    traffic: &'a Traffic,
    ticket: &'a Ticket,
    stream: &'a Cell<Stream>,
}

impl<'a> Meter<'a> {
    fn new(traffic: &'a Traffic, ticket: &'a Ticket, stream: &'a Cell<Stream>) -> Self {
        stream.set(Stream {
            since: traffic.shared.clock.now(),
            ..Stream::default()
        });
        Meter {
            traffic,
            ticket,
            stream,
        }
    }

    /// Takes in that so many bytes of the answer came.
    fn observe(&mut self, bytes: usize) {
        let now = self.traffic.shared.clock.now();
        let mut fleet = self.traffic.routing.fleet.borrow_mut();
        let tokens = Tokens((bytes as u64).div_ceil(TOKEN_BYTES));
        let mut stream = self.stream.get();
        match stream.last {
            Some(last) => fleet.progress(self.ticket, tokens, now.since(last), now),
            None => fleet.first_token(self.ticket, now.since(stream.since), now),
        }
        stream.last = Some(now);
        stream.received = stream.received.plus(tokens);
        self.stream.set(stream);
    }
}

/// Sends a request and copies the answer that comes.
async fn exchange(
    run: &Run,
    link: &wire::Link,
    request: &Frame,
    mut meter: Option<&mut Meter<'_>>,
) -> wire::Result<Dispatched> {
    let mut stream = link.open(request).await?;
    stream.finish()?;
    loop {
        match stream.expect().await? {
            Frame::Accepted(_) => {}
            Frame::Delta(delta) if delta.offset == run.answer.len() as u64 => {
                if let Some(meter) = &mut meter {
                    meter.observe(delta.bytes.len());
                }
                run.answer.push(&delta.bytes);
            }
            Frame::Done(done) => {
                let whole = done.digest == Digest::of(&run.answer.bytes());
                return if whole {
                    Ok(Dispatched::Done(done))
                } else {
                    Err(wire::Error::Unexpected("digest"))
                };
            }
            Frame::Refused(refused) => return Ok(Dispatched::Refused(refused)),
            other => return Err(wire::Error::Unexpected(other.kind())),
        }
    }
}

/// Finds out on a new connection what became of a call and fetches the rest of its answer.
async fn recover(
    traffic: &Traffic,
    run: &Run,
    host: &units::Host,
    call: units::Call,
    route: &Route,
) -> Dispatched {
    let unknown = Dispatched::Refused(Refused {
        ran: Ran::Unknown,
        reason: Reason::Unreachable,
    });
    let start = traffic.shared.clock.now();
    while traffic.shared.clock.now().since(start) < RECOVERY_TIMEOUT {
        smol::Timer::after(RECOVERY_POLL.into()).await;
        let Some(link) = traffic.link(host) else {
            continue;
        };
        if link.peer().incarnation != route.sidecar {
            return unknown;
        }
        let Ok(Frame::State(state)) = link.call(&Frame::Query(call)).await else {
            continue;
        };
        match state {
            State::Tombstone => {
                return Dispatched::Refused(Refused {
                    ran: Ran::No,
                    reason: Reason::Tombstone,
                });
            }
            State::Refused(refused) => return Dispatched::Refused(refused),
            State::Retained(_) | State::Running => {}
        }
        let offset = run.answer.len() as u64;
        let resume = Frame::Resume(wire::Resume { call, offset });
        if let Ok(dispatched) = exchange(run, &link, &resume, None).await {
            return dispatched;
        }
    }
    unknown
}
