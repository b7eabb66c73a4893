//! A second dispatch of an idempotent call whose first one is late; the first answer wins.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use log::Route;
use policy::Ticket;
use smol::future::FutureExt;
use units::Span;
use wire::{Answer, Dispatch, Frame, Ran, Refused};

use crate::calls::{Run, reserve};
use crate::dispatch::{self, Dispatched, Plan};
use crate::routing::{self, Chosen};
use crate::traffic::Traffic;

const CHECK_INTERVAL: Span = Span::from_ms(20);

enum Winner {
    First(Dispatched),
    Second(Dispatched),
}

/// Sends a dispatch and, when it is late and the budget allows, a second one to another endpoint; the
/// route of the one that counts, and how it ended.
pub(crate) async fn send(
    traffic: &Traffic,
    run: &Run,
    call: &Plan<'_>,
    chosen: Chosen,
    order: Dispatch,
) -> (Route, Dispatched) {
    let Chosen { route, ticket } = chosen;
    let first_call = order.call;
    let first_order = dispatch::send(traffic, run, &route, ticket.clone(), order);
    let mut first = pin!(first_order);
    let alone = async { Some((&mut first).await) };
    let late = async {
        wait_until_late(traffic, run, call, &ticket).await;
        None
    };
    if let Some(dispatched) = alone.or(late).await {
        return (route.clone(), dispatched);
    }
    let second = second(traffic, run, call, &ticket).await;
    let Some(Chosen {
        route: other,
        ticket,
    }) = second
    else {
        let dispatched = first.await;
        return (route.clone(), dispatched);
    };
    traffic.shared.metrics.count("hedged");
    let copy = shadow(run);
    let order = make(traffic, &copy, call, &other);
    let second_call = order.call;
    let mut second = pin!(dispatch::send(traffic, &copy, &other, ticket, order));
    let winner = async { Winner::First((&mut first).await) };
    let winner = winner.or(async { Winner::Second((&mut second).await) });
    match winner.await {
        Winner::First(dispatched @ Dispatched::Done(_)) => {
            cancel(traffic, &other, second_call);
            run.live.program.borrow_mut().write_off(call.worst);
            (route.clone(), dispatched)
        }
        Winner::Second(dispatched @ Dispatched::Done(_)) => {
            cancel(traffic, &route, first_call);
            run.live.program.borrow_mut().write_off(call.worst);
            take_over(run, &copy);
            (other.clone(), dispatched)
        }
        Winner::First(Dispatched::Refused(why)) => {
            let dispatched = second.await;
            take_over(run, &copy);
            (other.clone(), settle(run, call, &why, dispatched))
        }
        Winner::Second(Dispatched::Refused(why)) => {
            let dispatched = first.await;
            (route.clone(), settle(run, call, &why, dispatched))
        }
    }
}

/// Accounts for the dispatch that was refused first. If both are refused, one that may have run makes
/// it uncertain whether the call ran.
fn settle(run: &Run, call: &Plan<'_>, why: &Refused, other: Dispatched) -> Dispatched {
    let mut program = run.live.program.borrow_mut();
    if why.ran == Ran::No {
        program.unreserve(call.worst);
        return other;
    }
    program.write_off(call.worst);
    match other {
        Dispatched::Refused(last) => Dispatched::Refused(Refused {
            ran: Ran::Unknown,
            reason: last.reason,
        }),
        done @ Dispatched::Done(_) => done,
    }
}

/// Returns once a second dispatch is worth its work.
async fn wait_until_late(traffic: &Traffic, run: &Run, call: &Plan<'_>, ticket: &Ticket) {
    loop {
        smol::Timer::after(CHECK_INTERVAL.into()).await;
        let now = traffic.shared.clock.now();
        let stream = run.stream.get();
        let mut rng = traffic.routing.rng.borrow_mut();
        let mut fleet = traffic.routing.fleet.borrow_mut();
        let other = fleet.route(call.request, Some(&ticket.host), now, &mut *rng);
        let Some(other) = other else {
            continue;
        };
        let mut budget = traffic.routing.budget.borrow_mut();
        if fleet.is_hedge_worthwhile(call.request, ticket, &stream, &other, now)
            && budget.try_spend(fleet.hedge_cost(ticket, &stream, &other))
        {
            return;
        }
    }
}

/// Chooses the endpoint of the second dispatch and reserves its tokens.
async fn second(traffic: &Traffic, run: &Run, call: &Plan<'_>, ticket: &Ticket) -> Option<Chosen> {
    let host = Some(&ticket.host);
    let other = routing::try_choose(traffic, run, call.request, host, call.version).ok()?;
    if other.ticket.host == ticket.host {
        return None;
    }
    reserve(traffic, run, call.worst).await.ok()?;
    Some(other)
}

/// A copy of the call with an answer of its own.
fn shadow(run: &Run) -> Run {
    Run {
        live: run.live.clone(),
        request: run.request.clone(),
        answer: Rc::new(Answer::new()),
        trace: run.trace,
        stream: Cell::default(),
    }
}

fn make(traffic: &Traffic, run: &Run, call: &Plan<'_>, route: &Route) -> Dispatch {
    dispatch::make(traffic, run, call.target, call.work, route, call.input)
}

/// Replaces the answer so far by that of the second dispatch.
fn take_over(run: &Run, copy: &Run) {
    if !run.answer.is_empty() {
        run.answer.restart();
    }
    run.answer.push(&copy.answer.bytes());
}

/// Stops the dispatch that lost.
fn cancel(traffic: &Traffic, route: &Route, call: units::Call) {
    let view = traffic.shared.view.load_full();
    let endpoint = view
        .endpoints
        .iter()
        .find(|endpoint| endpoint.incarnation == route.sidecar);
    let Some(link) = endpoint.and_then(|endpoint| traffic.link(&endpoint.host)) else {
        return;
    };
    let notify = async move {
        // A dispatch that cannot be cancelled ends by itself; its answer is freed with `Saved`.
        let _ = link.call(&Frame::Cancel(call)).await;
        let _ = link.call(&Frame::Saved(vec![call])).await;
    };
    traffic.executor.spawn(notify).detach();
}
