//! The calls of a program: admission, token reservation, dispatch and recording of the result.

use std::cell::Cell;
use std::rc::Rc;

use log::{Answer, Call, Event, Intent, Parent, Route, Token, Turn, Usage};
use memory::Full;
use policy::Stream;
use program::{Admission, Reservation};
use smol::future::FutureExt;
use telemetry::Trace;
use units::{Target, Tokens};
use wire::{Done, Frame, Ran, Reason, Refused, Work};

use crate::answers;
use crate::api::Request;
use crate::dispatch::{self, DispatchOutcome, Plan};
use crate::hedge;
use crate::links;
use crate::live::{CallOutcome, LiveProgram};
use crate::outage;
use crate::refusal::{Refusal, Result};
use crate::reply::Reply;
use crate::routing::{self, Choice};
use crate::traffic::Traffic;

const ATTEMPTS_MAX: u32 = 3;

/// A running call.
pub(crate) struct Run {
    pub(crate) live: Rc<LiveProgram>,
    pub(crate) request: program::Request,
    pub(crate) answer: Rc<wire::Answer<CallOutcome>>,
    pub(crate) trace: Trace,
    /// Progress of the streamed answer, from which the policy decides on hedges.
    pub(crate) stream: Cell<Stream>,
}

/// Refuses a call if its `after` token names a longer history than the one here, or another one.
pub(crate) fn check_after(live: &LiveProgram, after: Option<&Token>) -> Result<()> {
    let Some(token) = after else {
        return Ok(());
    };
    let program = live.program.borrow();
    let turn_count = program.turns().len() as u64;
    if token.seq.0 > turn_count || (token.seq.0 == turn_count && token.head != program.head()) {
        return Err(Refusal::Unavailable);
    }
    Ok(())
}

/// Starts a call, or returns the answer of an earlier request for the same call.
pub(crate) async fn submit(
    traffic: &Rc<Traffic>,
    live: &Rc<LiveProgram>,
    request: program::Request,
    source: &Request,
) -> Result<Reply> {
    let environment = traffic.environment()?;
    let document = &environment.document;
    if let Some(target) = &request.target
        && !document.models.contains_key(target)
        && !document.services.contains_key(target)
    {
        return Err(Refusal::UnknownTarget(target.clone()));
    }
    let now = traffic.shared.clock.now();
    let admission = live
        .program
        .borrow()
        .admit(&request, document.limits.loop_limit, now);
    let seq = request.seq;
    match admission {
        Admission::Run if live.is_ending_or_ended() => Err(program::Refusal::Ended.into()),
        Admission::Run if live.log.is_full() => Err(Refusal::Unready),
        Admission::Run => {
            let charged = live.charge_call(request.input.len());
            charged.map_err(|Full| Refusal::MemoryFull)?;
            live.program.borrow_mut().begin(&request);
            let answer = live.begin_call(seq);
            let trace = Trace::child_of(&source.trace);
            live.trace.set(Some(trace));
            let run = Run {
                live: live.clone(),
                request,
                answer: answer.clone(),
                trace,
                stream: Cell::default(),
            };
            traffic
                .executor
                .spawn(run_call(traffic.clone(), run))
                .detach();
            answers::stream_answer(traffic, answer, 0).await
        }
        Admission::Attach => {
            let answer = live.running_answer(seq).ok_or(Refusal::Unavailable)?;
            answers::stream_answer(traffic, answer, 0).await
        }
        Admission::Replay(_) => answers::replay(traffic, live, seq, 0),
        Admission::Refuse(refusal) => Err(refusal.into()),
    }
}

/// Runs a call to its end.
async fn run_call(traffic: Rc<Traffic>, run: Run) {
    let start = traffic.shared.clock.now();
    let result = match &run.request.target {
        Some(target) => run_at_endpoint(&traffic, &run, target.clone()).await,
        None => create_child(&traffic, &run).await,
    };
    run.trace.finish(
        &traffic.shared.logger,
        "entry",
        start,
        traffic.shared.clock.now(),
    );
    complete_call(&run, result);
}

/// Completes the answer of a call with its result.
pub(crate) fn complete_call(run: &Run, result: Result<Turn>) {
    let outcome = match result {
        Ok(turn) => CallOutcome::Answered {
            token: run.live.token(),
            durable: run.live.is_durable(turn.call.seq),
            turn: Rc::new(turn),
        },
        Err(refusal) => {
            run.live.program.borrow_mut().release(run.request.seq);
            CallOutcome::Refused(refusal)
        }
    };
    run.live.finish_call(&run.answer, outcome);
}

/// Creates a sub-agent; one append makes its creation and its share of the budget durable.
async fn create_child(traffic: &Traffic, run: &Run) -> Result<Turn> {
    let budget = run.request.budget;
    reserve(traffic, run, budget.tokens).await?;
    if budget.calls.0 >= run.live.program.borrow().remaining_calls().0 {
        return Err(program::Refusal::Budget.into());
    }
    let parent = Parent {
        program: run.live.id,
        seq: run.request.seq,
    };
    let created = traffic.child_creation(&run.live, parent, budget)?;
    let log = run.live.log.clone();
    let child = program::Program::new(created.clone());
    let child = LiveProgram::new(traffic.next_id(&log), child, log.clone());
    let turn = Turn {
        call: Call::from(&run.request),
        answer: Answer::Child(child.id, budget),
        usage: Usage {
            tokens: run.live.program.borrow().written_off(),
            ..Usage::default()
        },
        route: None,
        at: traffic.shared.clock.now(),
    };
    let event = Event::Turn(turn.clone());
    let records = vec![
        run.live.record(event.clone()),
        child.record(Event::Created(created)),
    ];
    traffic.append_records(&log, records).await?;
    run.live.program.borrow_mut().apply(&event);
    traffic.add_program(child);
    Ok(turn)
}

/// Reserves tokens for a dispatch, making further grants durable as needed.
pub(crate) async fn reserve(traffic: &Traffic, run: &Run, worst_case: Tokens) -> Result<()> {
    let tranche = traffic.environment()?.document.limits.tranche;
    loop {
        if run.live.is_ending_or_ended() {
            // The unused tokens may have been returned to the parent already.
            return Err(program::Refusal::Ended.into());
        }
        let reservation = run.live.program.borrow_mut().reserve(worst_case, tranche);
        match reservation {
            Reservation::Granted => return Ok(()),
            Reservation::Exhausted => return Err(program::Refusal::Budget.into()),
            Reservation::Tranche(tokens) => {
                traffic
                    .append(&run.live, vec![Event::Tranche(tokens)])
                    .await?;
            }
        }
    }
}

/// Runs a call at an endpoint, and after a failure at another one if that is safe.
async fn run_at_endpoint(traffic: &Rc<Traffic>, run: &Run, target: Target) -> Result<Turn> {
    let environment = traffic.environment()?;
    let work = work_of(run, environment.document.services.get(&target));
    let (input, worst_case) = prepare_input(run, &work);
    let is_model = matches!(work, Work::Model { .. });
    let request = routing::policy_request(run, &target, is_model);
    let may_hedge =
        work.is_idempotent() && environment.document.policy.settings.hedge_budget.0 > 0.0;
    let plan = Plan {
        target: &target,
        work: &work,
        input: &input,
        request: &request,
        worst_case,
        version: environment.version,
    };
    let mut reason = Reason::Unreachable;
    let mut failed_host = None;
    // Stays `Unknown` once any attempt may have run.
    let mut ran = Ran::No;
    for _ in 0..ATTEMPTS_MAX {
        let to_refusal = |refusal| final_refusal(ran, reason, refusal);
        reserve(traffic, run, worst_case)
            .await
            .map_err(to_refusal)?;
        let chosen = routing::choose(traffic, run, &request, failed_host.as_ref(), plan.version);
        let chosen = chosen.await.map_err(to_refusal)?;
        failed_host = Some(chosen.ticket.host.clone());
        let (route, dispatched) = attempt(traffic, run, &plan, chosen, may_hedge).await?;
        let refused = match dispatched {
            DispatchOutcome::Done(done) => {
                return record_answer(traffic, run, &work, route, &done).await;
            }
            DispatchOutcome::Refused(refused) => refused,
        };
        if refused.ran != Ran::No {
            if !work.is_idempotent() {
                return record_indeterminate(traffic, run, route).await;
            }
            ran = Ran::Unknown;
        }
        charge_failed_attempt(traffic, run, &plan, &refused).await?;
        reason = refused.reason;
        if !run.answer.is_empty() {
            run.answer.restart();
        }
    }
    Err(Refusal::Endpoint(ran, reason))
}

/// The work of a call: for a service if the document defines it, else for a model.
fn work_of(run: &Run, service: Option<&settings::Service>) -> Work {
    match service {
        Some(service) => Work::Service {
            idempotent: service.idempotent,
        },
        None => Work::Model {
            max_tokens: run.request.budget.tokens,
        },
    }
}

/// Dispatches a call once, or with a hedge; a non-idempotent call only after its intent is durable.
async fn attempt(
    traffic: &Rc<Traffic>,
    run: &Run,
    plan: &Plan<'_>,
    chosen: Choice,
    may_hedge: bool,
) -> Result<(Route, DispatchOutcome)> {
    let route = chosen.route.clone();
    let dispatch = dispatch::build(traffic, run, plan.target, plan.work, &route, plan.input);
    if may_hedge {
        return Ok(hedge::send(traffic, run, plan, chosen, dispatch).await);
    }
    if !plan.work.is_idempotent() {
        let call = Call::from(&run.request);
        let route = route.clone();
        record_intent(traffic, run, Event::Intent(Intent { call, route })).await?;
    }
    let dispatched = dispatch::send(traffic, run, &route, chosen.ticket, dispatch).await;
    Ok((route, dispatched))
}

/// Accounts for the tokens of an attempt without an answer, before the next attempt.
async fn charge_failed_attempt(
    traffic: &Traffic,
    run: &Run,
    plan: &Plan<'_>,
    refused: &Refused,
) -> Result<()> {
    if refused.ran != Ran::No {
        run.live.program.borrow_mut().write_off(plan.worst_case);
        return Ok(());
    }
    if !plan.work.is_idempotent() {
        withdraw_intent(traffic, run).await?;
    }
    run.live.program.borrow_mut().unreserve(plan.worst_case);
    Ok(())
}

/// Records an intent; fails at the program's deadline.
async fn record_intent(traffic: &Rc<Traffic>, run: &Run, intent: Event) -> Result<()> {
    let deadline = run.live.program.borrow().created().deadline;
    let time_remaining = deadline.since(traffic.shared.clock.now());
    let timeout = async {
        smol::Timer::after(time_remaining.into()).await;
        Err(program::Refusal::Deadline.into())
    };
    let recorded = traffic.append(&run.live, vec![intent]).or(timeout).await;
    if recorded == Err(program::Refusal::Deadline.into()) {
        // The intent may still become durable. The next record states that it was not dispatched.
        let withdrawn = run.live.record(Event::Withdrawn(run.request.seq));
        let (traffic, log) = (traffic.clone(), run.live.log.clone());
        let executor = traffic.executor.clone();
        let withdraw = async move {
            // This fails if the log was sealed. The log then holds neither record, or its successor
            // queries the sidecar about the intent.
            let _ = traffic.append_records(&log, vec![withdrawn]).await;
        };
        executor.spawn(withdraw).detach();
    }
    recorded
}

/// The refusal when no attempt follows; it must not hide that an earlier attempt may have run.
fn final_refusal(ran: Ran, reason: Reason, refusal: Refusal) -> Refusal {
    match ran {
        Ran::No => refusal,
        ran => Refusal::Endpoint(ran, reason),
    }
}

/// Records that the intended dispatch provably did not run and never will.
pub(crate) async fn withdraw_intent(traffic: &Traffic, run: &Run) -> Result<()> {
    let withdrawn = Event::Withdrawn(run.request.seq);
    traffic.append(&run.live, vec![withdrawn]).await
}

/// The input for the endpoint and the most tokens that the call can use.
fn prepare_input(run: &Run, work: &Work) -> (Vec<u8>, Tokens) {
    let program = run.live.program.borrow();
    match work {
        Work::Model { max_tokens } => {
            let mut prompt = program.prompt();
            prompt.extend_from_slice(&run.request.input);
            let worst_case = program.worst_case(run.request.input.len() as u64, *max_tokens);
            (prompt, worst_case)
        }
        Work::Service { .. } => (run.request.input.clone(), Tokens(0)),
    }
}

/// Records a complete answer and notifies the sidecar, which then frees its copy.
pub(crate) async fn record_answer(
    traffic: &Rc<Traffic>,
    run: &Run,
    work: &Work,
    route: Route,
    done: &Done,
) -> Result<Turn> {
    let context = match work {
        Work::Model { .. } => done.usage.total(),
        Work::Service { .. } => Tokens(0),
    };
    let usage = Usage {
        tokens: done.usage.total(),
        context,
        cached: done.usage.cached,
    };
    let answer = Answer::Complete(run.answer.bytes());
    let turn = record_turn(traffic, run, Some(route.clone()), answer, usage).await?;
    let (program, seq) = (run.live.id, run.request.seq);
    let saved_call = units::Call {
        program,
        seq,
        attempt: route.attempt,
    };
    if let Some((_, link)) = links::to_process(traffic, route.sidecar) {
        let notify = async move {
            // If this fails, the sidecar frees its copy at the program's next answer or end.
            let _ = link.call(&Frame::Saved(vec![saved_call])).await;
        };
        traffic.executor.spawn(notify).detach();
    }
    Ok(turn)
}

/// Records that it cannot be determined whether a non-idempotent call ran.
pub(crate) async fn record_indeterminate(
    traffic: &Rc<Traffic>,
    run: &Run,
    route: Route,
) -> Result<Turn> {
    traffic.shared.metrics.count("indeterminate");
    record_turn(
        traffic,
        run,
        Some(route),
        Answer::Indeterminate,
        Usage::default(),
    )
    .await?;
    Err(Refusal::Indeterminate)
}

/// Records the turn of a call, in the log or at witnesses.
async fn record_turn(
    traffic: &Rc<Traffic>,
    run: &Run,
    route: Option<Route>,
    answer: Answer,
    mut usage: Usage,
) -> Result<Turn> {
    let call = Call::from(&run.request);
    usage.tokens = usage.tokens.plus(run.live.program.borrow().written_off());
    let turn = Turn {
        call,
        answer,
        usage,
        route,
        at: traffic.shared.clock.now(),
    };
    // The call was dispatched, so the refusal must not state that it did not run.
    let recorded = outage::record_turn(traffic, &run.live, &turn).await;
    recorded.map_err(|_| Refusal::Unrecorded)?;
    Ok(turn)
}
