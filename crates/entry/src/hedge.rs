//! Hedging: a second dispatch of an idempotent call whose first one is late; the first answer wins.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use log::Route;
use policy::Ticket;
use smol::future::FutureExt;
use units::Span;
use wire::{Answer, Dispatch, Frame, Ran, Refused};

use crate::calls::{Run, reserve};
use crate::dispatch::{self, DispatchOutcome, Plan};
use crate::routing::{self, Choice};
use crate::traffic::Traffic;

const CHECK_INTERVAL: Span = Span::from_ms(20);

enum Winner {
    First(DispatchOutcome),
    Second(DispatchOutcome),
}

/// Sends a dispatch, and a second one to another endpoint if the first is late and the hedge budget
/// allows it. Returns the route and the outcome of the dispatch that counts.
pub(crate) async fn send(
    traffic: &Traffic,
    run: &Run,
    plan: &Plan<'_>,
    chosen: Choice,
    dispatch: Dispatch,
) -> (Route, DispatchOutcome) {
    let Choice { route, ticket } = chosen;
    let first_call = dispatch.call;
    let first_dispatch = dispatch::send(traffic, run, &route, ticket.clone(), dispatch);
    let mut first = pin!(first_dispatch);
    let finished = async { Some((&mut first).await) };
    let late = async {
        wait_until_late(traffic, run, plan, &ticket).await;
        None
    };
    if let Some(dispatched) = finished.or(late).await {
        return (route.clone(), dispatched);
    }
    let second = choose_second(traffic, run, plan, &ticket).await;
    let Some(Choice {
        route: second_route,
        ticket,
    }) = second
    else {
        let dispatched = first.await;
        return (route.clone(), dispatched);
    };
    traffic.shared.metrics.count("hedged");
    let second_run = with_empty_answer(run);
    let dispatch = build_dispatch(traffic, &second_run, plan, &second_route);
    let second_call = dispatch.call;
    let mut second = pin!(dispatch::send(
        traffic,
        &second_run,
        &second_route,
        ticket,
        dispatch
    ));
    let winner = async { Winner::First((&mut first).await) };
    let winner = winner.or(async { Winner::Second((&mut second).await) });
    match winner.await {
        Winner::First(dispatched @ DispatchOutcome::Done(_)) => {
            cancel(traffic, &second_route, second_call);
            run.live.program.borrow_mut().write_off(plan.worst_case);
            (route.clone(), dispatched)
        }
        Winner::Second(dispatched @ DispatchOutcome::Done(_)) => {
            cancel(traffic, &route, first_call);
            run.live.program.borrow_mut().write_off(plan.worst_case);
            replace_answer(run, &second_run);
            (second_route.clone(), dispatched)
        }
        Winner::First(DispatchOutcome::Refused(refused)) => {
            let dispatched = second.await;
            replace_answer(run, &second_run);
            (
                second_route.clone(),
                account_for_refused(run, plan, &refused, dispatched),
            )
        }
        Winner::Second(DispatchOutcome::Refused(refused)) => {
            let dispatched = first.await;
            (
                route.clone(),
                account_for_refused(run, plan, &refused, dispatched),
            )
        }
    }
}

/// Accounts for the dispatch that was refused first. If that dispatch may have run and `other` was
/// refused as well, it is unknown whether the call ran.
fn account_for_refused(
    run: &Run,
    plan: &Plan<'_>,
    refused: &Refused,
    other: DispatchOutcome,
) -> DispatchOutcome {
    let mut program = run.live.program.borrow_mut();
    if refused.ran == Ran::No {
        program.unreserve(plan.worst_case);
        return other;
    }
    program.write_off(plan.worst_case);
    match other {
        DispatchOutcome::Refused(last) => DispatchOutcome::Refused(Refused {
            ran: Ran::Unknown,
            reason: last.reason,
        }),
        done @ DispatchOutcome::Done(_) => done,
    }
}

/// Waits until a second dispatch is worth its cost, and takes the cost from the hedge budget.
async fn wait_until_late(traffic: &Traffic, run: &Run, plan: &Plan<'_>, ticket: &Ticket) {
    loop {
        smol::Timer::after(CHECK_INTERVAL.into()).await;
        let now = traffic.shared.clock.now();
        let stream = run.stream.get();
        let mut rng = traffic.routing.rng.borrow_mut();
        let mut fleet = traffic.routing.fleet.borrow_mut();
        let other = fleet.route(plan.request, Some(&ticket.host), now, &mut *rng);
        let Some(other) = other else {
            continue;
        };
        let mut budget = traffic.routing.hedge_budget.borrow_mut();
        if fleet.is_hedge_worthwhile(plan.request, ticket, &stream, &other, now)
            && budget.try_spend(fleet.hedge_cost(ticket, &stream, &other))
        {
            return;
        }
    }
}

/// Chooses the endpoint of the second dispatch and reserves the tokens.
async fn choose_second(
    traffic: &Traffic,
    run: &Run,
    plan: &Plan<'_>,
    ticket: &Ticket,
) -> Option<Choice> {
    let host = Some(&ticket.host);
    let other = routing::try_choose(traffic, run, plan.request, host, plan.version).ok()?;
    if other.ticket.host == ticket.host {
        return None;
    }
    reserve(traffic, run, plan.worst_case).await.ok()?;
    Some(other)
}

/// A copy of the run with an empty answer.
fn with_empty_answer(run: &Run) -> Run {
    Run {
        live: run.live.clone(),
        request: run.request.clone(),
        answer: Rc::new(Answer::new()),
        trace: run.trace,
        stream: Cell::default(),
    }
}

fn build_dispatch(traffic: &Traffic, run: &Run, plan: &Plan<'_>, route: &Route) -> Dispatch {
    dispatch::build(traffic, run, plan.target, plan.work, route, plan.input)
}

/// Replaces the answer so far by the answer of the second dispatch.
fn replace_answer(run: &Run, second_run: &Run) {
    if !run.answer.is_empty() {
        run.answer.restart();
    }
    run.answer.push(&second_run.answer.bytes());
}

/// Cancels the dispatch that lost.
fn cancel(traffic: &Traffic, route: &Route, call: units::Call) {
    let view = traffic.shared.view.load_full();
    let endpoint = view
        .endpoints
        .iter()
        .find(|endpoint| endpoint.incarnation == route.sidecar);
    let Some(link) = endpoint.and_then(|endpoint| traffic.link_to_host(&endpoint.host)) else {
        return;
    };
    let notify = async move {
        // A dispatch that cannot be cancelled ends by itself; the second frame frees its answer.
        let _ = link.call(&Frame::Cancel(call)).await;
        let _ = link.call(&Frame::Saved(vec![call])).await;
    };
    traffic.executor.spawn(notify).detach();
}
