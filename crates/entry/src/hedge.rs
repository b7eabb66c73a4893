//! A second dispatch of an idempotent call whose first one is late; the first answer wins.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use log::Route;
use policy::Ticket;
use smol::future::FutureExt;
use units::{Span, Target, Tokens, Version};
use wire::{Answer, Dispatch, Frame, Work};

use crate::calls::{Run, reserve};
use crate::dispatch::{self, Dispatched};
use crate::routing::{self, Chosen};
use crate::traffic::Traffic;

const CHECK_INTERVAL: Span = Span::from_ms(20);
const HEDGE_ATTEMPT: u32 = 1 << 16;

/// A call that may be dispatched twice.
pub(crate) struct Hedged<'a> {
    pub(crate) target: &'a Target,
    pub(crate) work: &'a Work,
    pub(crate) input: &'a [u8],
    pub(crate) request: &'a policy::Request,
    pub(crate) worst: Tokens,
    pub(crate) version: Version,
}

/// How a call ended that may have been dispatched twice.
pub(crate) struct Ended {
    pub(crate) route: Route,
    pub(crate) dispatched: Dispatched,
    /// Tokens that the dispatch which lost may have used.
    pub(crate) lost: Tokens,
}

enum Winner {
    First(Dispatched),
    Second(Dispatched),
}

/// Sends a dispatch and, when it is late and the budget allows, a second one to another endpoint.
pub(crate) async fn send(
    traffic: &Traffic,
    run: &Run,
    call: &Hedged<'_>,
    chosen: Chosen,
    order: Dispatch,
) -> Ended {
    let Chosen { route, ticket } = chosen;
    let first_call = order.call;
    let mut first = pin!(dispatch::send(traffic, run, &route, ticket.clone(), order));
    let alone = async { Err((&mut first).await) };
    let late = async { Ok(wait_until_late(traffic, run, call, &ticket).await) };
    let second = match alone.or(late).await {
        Ok(second) => second,
        Err(dispatched) => return ended(route.clone(), dispatched, Tokens(0)),
    };
    if reserve(traffic, run, call.worst).await.is_err() {
        let dispatched = first.await;
        return ended(route.clone(), dispatched, Tokens(0));
    }
    traffic.shared.metrics.count("hedged");
    let copy = shadow(run);
    let Chosen {
        route: other,
        ticket,
    } = second;
    let order = make(traffic, &copy, call, &other);
    let second_call = order.call;
    let mut second = pin!(dispatch::send(traffic, &copy, &other, ticket, order));
    let winner = async { Winner::First((&mut first).await) };
    let winner = winner.or(async { Winner::Second((&mut second).await) });
    match winner.await {
        Winner::First(dispatched @ Dispatched::Done(_)) => {
            cancel(traffic, &other, second_call);
            ended(route.clone(), dispatched, call.worst)
        }
        Winner::Second(dispatched @ Dispatched::Done(_)) => {
            cancel(traffic, &route, first_call);
            take_over(run, &copy);
            ended(other.clone(), dispatched, call.worst)
        }
        Winner::First(Dispatched::Refused(_)) => {
            let dispatched = second.await;
            take_over(run, &copy);
            ended(other.clone(), dispatched, call.worst)
        }
        Winner::Second(Dispatched::Refused(_)) => {
            let dispatched = first.await;
            ended(route.clone(), dispatched, call.worst)
        }
    }
}

fn ended(route: Route, dispatched: Dispatched, lost: Tokens) -> Ended {
    Ended {
        route,
        dispatched,
        lost,
    }
}

/// Returns once a second dispatch is worth its work, with its endpoint.
async fn wait_until_late(
    traffic: &Traffic,
    run: &Run,
    call: &Hedged<'_>,
    ticket: &Ticket,
) -> Chosen {
    loop {
        smol::Timer::after(CHECK_INTERVAL.into()).await;
        let host = Some(&ticket.host);
        let Ok(other) = routing::choose(traffic, call.request, host, HEDGE_ATTEMPT, call.version)
        else {
            continue;
        };
        let now = traffic.shared.clock.now();
        let stream = run.stream.get();
        let fleet = traffic.routing.fleet.borrow();
        let is_worth = other.ticket.host != ticket.host
            && fleet.worth_hedging(call.request, ticket, &stream, &other.ticket, now);
        let mut budget = traffic.routing.budget.borrow_mut();
        if is_worth && budget.take(other.ticket.service) {
            return other;
        }
    }
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

fn make(traffic: &Traffic, run: &Run, call: &Hedged<'_>, route: &Route) -> Dispatch {
    dispatch::make(
        traffic,
        run,
        call.target,
        call.work,
        route,
        call.input,
        call.request,
    )
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
