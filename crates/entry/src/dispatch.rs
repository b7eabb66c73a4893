//! One dispatch of a call to a sidecar, and the recovery of its answer when a connection is lost.

use log::Route;
use slog::warn;
use smol::future::FutureExt;
use units::{Digest, Span, Target};
use wire::{Dispatch, Done, Frame, Ran, Reason, Refused, State, Work};

use crate::calls::Run;
use crate::traffic::Traffic;

const RECOVERY_TIMEOUT: Span = Span::from_ms(3_000);
const RECOVERY_POLL: Span = Span::from_ms(100);

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
) -> Dispatch {
    let program = run.live.program.borrow();
    let created = program.created();
    let environment = traffic.shared.view.load().environment.clone();
    let class = environment.and_then(|all| all.document.classes.get(&created.class).cloned());
    let precedence = class.map_or(0, |class| class.precedence);
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
        priority: policy::rank(precedence, program.ledger().spent()),
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
    *traffic
        .outstanding
        .borrow_mut()
        .entry(host.clone())
        .or_default() += 1;
    let (call, time_left) = (dispatch.call, dispatch.time_left);
    let expire = async {
        smol::Timer::after(time_left.into()).await;
        Err(wire::Error::Timeout)
    };
    let request = Frame::Dispatch(dispatch);
    let result = exchange(run, &link, &request).or(expire).await;
    let dispatched = match result {
        Ok(dispatched) => dispatched,
        Err(why) => {
            warn!(traffic.shared.logger, "dispatch broken"; "call" => %call, "error" => %why);
            recover(traffic, run, &host, call, route).await
        }
    };
    if let Some(count) = traffic.outstanding.borrow_mut().get_mut(&host) {
        *count -= 1;
    }
    dispatched
}

/// Sends a request and copies the answer that comes.
async fn exchange(run: &Run, link: &wire::Link, request: &Frame) -> wire::Result<Dispatched> {
    let mut stream = link.open(request).await?;
    stream.finish()?;
    loop {
        match stream.expect().await? {
            Frame::Accepted(_) => {}
            Frame::Delta(delta) if delta.offset == run.answer.len() as u64 => {
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
pub(crate) async fn recover(
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
        if let Ok(dispatched) = exchange(run, &link, &resume).await {
            return dispatched;
        }
    }
    unknown
}
