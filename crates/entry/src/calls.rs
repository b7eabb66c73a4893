//! The calls of a program: admission, reservation, dispatch and record.

use std::rc::Rc;

use log::{Answer, Call, Event, Intent, Parent, Route, Token, Turn, Usage};
use policy::Candidate;
use program::{Admission, Reserve};
use serde_json::{Value, json};
use slog::warn;
use smol::future::FutureExt;
use telemetry::Trace;
use units::{Digest, Seq, Span, Target, Tokens, Version};
use wire::{Dispatch, Done, Frame, Next, Ran, Reason, Refused, State, Work};

use crate::api::Request;
use crate::live::{Ending, Live};
use crate::refusal::{Refusal, Result};
use crate::reply::{Lines, Reply};
use crate::traffic::Traffic;

const ATTEMPTS_MAX: u32 = 3;
const RECOVERY_TIMEOUT: Span = Span::from_ms(3_000);
const RECOVERY_POLL: Span = Span::from_ms(100);
const TOKEN_TIME_DEFAULT: Span = Span(20_000);
const PREFILL_TIME: Span = Span(200);
const LINK_COST: Span = Span::from_ms(24);

type Running = Rc<wire::Answer<Ending>>;

/// One call that is being run.
struct Run {
    live: Rc<Live>,
    request: program::Request,
    answer: Running,
    trace: Trace,
}

/// Refuses a call whose caller has seen more of the history than is here, or another one.
pub(crate) fn check_after(live: &Live, after: Option<&Token>) -> Result<()> {
    let Some(token) = after else {
        return Ok(());
    };
    let program = live.program.borrow();
    let known = program.turns().len() as u64;
    if token.seq.0 > known || (token.seq.0 == known && token.head != program.head()) {
        return Err(Refusal::Unavailable);
    }
    Ok(())
}

/// Makes a call, or finds the answer to an earlier request for it.
pub(crate) async fn call(
    traffic: &Rc<Traffic>,
    live: &Rc<Live>,
    request: program::Request,
    from: &Request,
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
        Admission::Run => {
            live.program.borrow_mut().begin(&request);
            let answer = live.begin(seq);
            let trace = Trace::below(&from.trace);
            let run = Run {
                live: live.clone(),
                request,
                answer: answer.clone(),
                trace,
            };
            traffic
                .executor
                .spawn(run_call(traffic.clone(), run))
                .detach();
            follow(traffic, answer, 0).await
        }
        Admission::Attach => {
            let answer = live.answer(seq).ok_or(Refusal::Unavailable)?;
            follow(traffic, answer, 0).await
        }
        Admission::Replay(turn) => replay(traffic, live, &turn, 0),
        Admission::Refuse(refusal) => Err(refusal.into()),
    }
}

/// Reads the answer of a call from `offset` on.
pub(crate) async fn read(
    traffic: &Rc<Traffic>,
    live: &Rc<Live>,
    seq: Seq,
    offset: u64,
) -> Result<Reply> {
    if let Some(answer) = live.answer(seq) {
        return follow(traffic, answer, offset as usize).await;
    }
    let turn = live
        .program
        .borrow()
        .turn(seq)
        .cloned()
        .ok_or(Refusal::UnknownCall)?;
    replay(traffic, live, &turn, offset as usize)
}

/// The whole history of a program.
pub(crate) fn history(traffic: &Traffic, live: &Live) -> Reply {
    let program = live.program.borrow();
    let turns: Vec<Value> = program.turns().iter().map(history_turn).collect();
    let after = traffic
        .writer()
        .ok()
        .map(|writer| traffic.seal(&live.token(writer)));
    let ended = program.ended().map(|(cause, _)| cause);
    Reply::Whole(
        200,
        json!({
            "program": live.id.to_string(), "calls": turns, "ended": ended, "after": after,
            "spent_tokens": program.ledger().spent(), "calls_left": program.calls_left(),
        }),
    )
}

fn history_turn(turn: &Turn) -> Value {
    let answer = match &turn.answer {
        Answer::Whole(bytes) => json!(String::from_utf8_lossy(bytes)),
        Answer::Indeterminate => Value::Null,
        Answer::Child(child, _) => json!({"program": child.to_string()}),
    };
    json!({
        "seq": turn.call.seq, "target": turn.call.target, "answer": answer,
        "input": String::from_utf8_lossy(&turn.call.input),
        "indeterminate": turn.answer == Answer::Indeterminate,
    })
}

/// Sends a growing answer; a call refused before its first byte is a refusal of the request.
async fn follow(traffic: &Rc<Traffic>, answer: Running, offset: usize) -> Result<Reply> {
    let mut restarts = answer.restarts();
    let first = answer.next(offset, restarts).await;
    if let Next::End(Ending::Refused(refusal)) = first {
        return Err(refusal);
    }
    let (lines, reply) = Lines::new();
    let shared = traffic.clone();
    let copy = async move {
        let mut offset = offset;
        loop {
            let line = match answer.next(offset, restarts).await {
                Next::Bytes(bytes) => {
                    let line = delta(offset, &bytes);
                    offset += bytes.len();
                    line
                }
                Next::Restarted(count) => {
                    restarts = count;
                    offset = 0;
                    json!({"type": "restart"})
                }
                Next::End(ending) => {
                    lines.send(&end_line(&shared, &ending)).await;
                    return;
                }
            };
            if !lines.send(&line).await {
                return;
            }
        }
    };
    traffic.executor.spawn(copy).detach();
    Ok(reply)
}

fn delta(offset: usize, bytes: &[u8]) -> Value {
    json!({"type": "delta", "offset": offset, "text": String::from_utf8_lossy(bytes)})
}

fn end_line(traffic: &Traffic, ending: &Ending) -> Value {
    match ending {
        Ending::Turn(turn, token) => done_line(turn, &traffic.seal(token)),
        Ending::Refused(refusal) => refusal.json(),
    }
}

fn done_line(turn: &Turn, after: &str) -> Value {
    let mut line = json!({
        "type": "done", "seq": turn.call.seq, "after": after, "durable": true,
        "usage": {"tokens": turn.usage.tokens, "cached": turn.usage.cached},
    });
    match &turn.answer {
        Answer::Whole(bytes) => {
            line["length"] = json!(bytes.len());
            line["digest"] = json!(Digest::of(bytes).to_string());
        }
        Answer::Child(child, _) => line["program"] = json!(child.to_string()),
        Answer::Indeterminate => return Refusal::Indeterminate.json(),
    }
    line
}

/// Sends an answer that is in the history.
fn replay(traffic: &Rc<Traffic>, live: &Live, turn: &Turn, offset: usize) -> Result<Reply> {
    if turn.answer == Answer::Indeterminate {
        return Err(Refusal::Indeterminate);
    }
    let done = done_line(turn, &traffic.seal(&live.token(traffic.writer()?)));
    let rest = match &turn.answer {
        Answer::Whole(bytes) => bytes.get(offset..).unwrap_or_default().to_vec(),
        Answer::Child(..) | Answer::Indeterminate => Vec::new(),
    };
    let (lines, reply) = Lines::new();
    let copy = async move {
        if rest.is_empty() || lines.send(&delta(offset, &rest)).await {
            lines.send(&done).await;
        }
    };
    traffic.executor.spawn(copy).detach();
    Ok(reply)
}

/// Runs a call to its end.
async fn run_call(traffic: Rc<Traffic>, run: Run) {
    let start = traffic.shared.clock.now();
    let result = match &run.request.target {
        Some(target) => run_target(&traffic, &run, target.clone()).await,
        None => run_child(&traffic, &run).await,
    };
    run.trace.finish(
        &traffic.shared.logger,
        "entry",
        start,
        traffic.shared.clock.now(),
    );
    let ending = match result {
        Ok(turn) => match traffic.writer() {
            Ok(writer) => Ending::Turn(Rc::new(turn), run.live.token(writer)),
            Err(refusal) => Ending::Refused(refusal),
        },
        Err(refusal) => {
            run.live.program.borrow_mut().release(run.request.seq);
            Ending::Refused(refusal)
        }
    };
    run.live.finish(&run.answer, ending);
}

/// Creates a sub-agent: the carved budget and the child's start are durable together.
async fn run_child(traffic: &Traffic, run: &Run) -> Result<Turn> {
    let budget = run.request.budget;
    reserve(traffic, run, budget.tokens).await?;
    if budget.calls.0 >= run.live.program.borrow().calls_left().0 {
        return Err(program::Refusal::Budget.into());
    }
    let parent = Parent {
        program: run.live.id,
        seq: run.request.seq,
    };
    let created = traffic.child(&run.live, parent, budget)?;
    let child = Live::new(traffic.next_id()?, program::Program::new(created.clone()));
    let turn = Turn {
        call: Call::from(&run.request),
        answer: Answer::Child(child.id, budget),
        usage: Usage::default(),
        route: None,
        at: traffic.shared.clock.now(),
    };
    let event = Event::Turn(turn.clone());
    let records = vec![
        run.live.record(event.clone()),
        child.record(Event::Created(created)),
    ];
    traffic.append_records(records).await?;
    run.live.program.borrow_mut().apply(&event);
    traffic.adopt(child);
    Ok(turn)
}

/// Reserves tokens for a dispatch, asking for more durable grants as needed.
async fn reserve(traffic: &Traffic, run: &Run, worst: Tokens) -> Result<()> {
    let tranche = traffic.environment()?.document.limits.tranche;
    loop {
        let answer = run.live.program.borrow_mut().reserve(worst, tranche);
        match answer {
            Reserve::Granted => return Ok(()),
            Reserve::Exhausted => return Err(program::Refusal::Budget.into()),
            Reserve::Tranche(tokens) => {
                traffic
                    .append(&run.live, vec![Event::Tranche(tokens)])
                    .await?;
            }
        }
    }
}

/// How one dispatch ended.
enum Dispatched {
    Done(Done),
    Refused(Refused),
}

/// Runs a call at an endpoint, again elsewhere if that is safe.
async fn run_target(traffic: &Traffic, run: &Run, target: Target) -> Result<Turn> {
    let environment = traffic.environment()?;
    let service = environment.document.services.get(&target);
    let work = match service {
        Some(service) => Work::Service {
            idempotent: service.idempotent,
        },
        None => Work::Model {
            max_tokens: run.request.budget.tokens,
        },
    };
    let (input, worst) = prepare(run, &work);
    let mut lost = Tokens(0);
    let mut refused = Refused {
        ran: Ran::No,
        reason: Reason::Unreachable,
    };
    for attempt in 0..ATTEMPTS_MAX {
        reserve(traffic, run, worst).await?;
        let route = choose(traffic, run, &target, worst, attempt, environment.version)?;
        let dispatch = make_dispatch(traffic, run, &target, &work, &route, &input);
        if !work.idempotent() {
            let call = Call::from(&run.request);
            let intent = Event::Intent(Intent {
                call,
                route: route.clone(),
            });
            traffic.append(&run.live, vec![intent]).await?;
        }
        match dispatch_once(traffic, run, &route, dispatch).await {
            Dispatched::Done(done) => return finish(traffic, run, &work, route, &done, lost).await,
            Dispatched::Refused(why) if work.idempotent() => {
                // Nobody knows what a broken dispatch used: it counts in full.
                lost = if why.ran == Ran::No {
                    lost
                } else {
                    lost.plus(worst)
                };
                refused = why;
            }
            Dispatched::Refused(why) if why.ran == Ran::No => {
                traffic
                    .append(&run.live, vec![Event::Withdrawn(run.request.seq)])
                    .await?;
                refused = why;
            }
            Dispatched::Refused(_) => return give_up(traffic, run, route).await,
        }
        if !run.answer.is_empty() {
            run.answer.restart();
        }
    }
    Err(Refusal::Endpoint(refused.ran, refused.reason))
}

/// The input of the endpoint and the most tokens that the call can use.
fn prepare(run: &Run, work: &Work) -> (Vec<u8>, Tokens) {
    let program = run.live.program.borrow();
    match work {
        Work::Model { max_tokens } => {
            let mut prompt = program.prompt();
            prompt.extend_from_slice(&run.request.input);
            let worst = program.worst_case(run.request.input.len() as u64, *max_tokens);
            (prompt, worst)
        }
        Work::Service { .. } => (run.request.input.clone(), Tokens(0)),
    }
}

/// Chooses an endpoint for the call.
fn choose(
    traffic: &Traffic,
    run: &Run,
    target: &Target,
    worst: Tokens,
    attempt: u32,
    document: Version,
) -> Result<Route> {
    let view = traffic.shared.view.load();
    let serving = |endpoint: &&board::Endpoint| {
        endpoint.serves.contains(target) && traffic.link(&endpoint.host).is_some()
    };
    let endpoints: Vec<&board::Endpoint> = view.endpoints.iter().filter(serving).collect();
    let candidates: Vec<Candidate> = endpoints
        .iter()
        .map(|endpoint| candidate(traffic, run, endpoint))
        .collect();
    let generated = run.request.budget.tokens;
    let request = policy::Request {
        prompt: worst.minus(generated),
        generated,
    };
    let choice = policy::route(&request, &candidates, &mut *traffic.rng.borrow_mut());
    let choice = choice.ok_or(Refusal::NoEndpoint)?;
    let endpoint = endpoints[choice.index];
    Ok(Route {
        entry: traffic.shared.identity.host.clone(),
        endpoint: endpoint.name.clone(),
        sidecar: endpoint.incarnation,
        attempt,
        document,
        why: choice.why.to_string(),
        at: traffic.shared.clock.now(),
    })
}

/// An endpoint as the policy sees it.
fn candidate(traffic: &Traffic, run: &Run, endpoint: &board::Endpoint) -> Candidate {
    let program = run.live.program.borrow();
    let routes = program
        .turns()
        .iter()
        .rev()
        .filter_map(|turn| turn.route.as_ref());
    let last = routes
        .clone()
        .next()
        .filter(|route| route.endpoint == endpoint.name);
    let outstanding = traffic
        .outstanding
        .borrow()
        .get(&endpoint.host)
        .copied()
        .unwrap_or(0);
    let token_time = endpoint.load.token_time;
    let own = &traffic.shared.identity.region;
    Candidate {
        slots: endpoint.slots,
        outstanding,
        reported: endpoint.load.running + endpoint.load.queued,
        cached: last.map_or(Tokens(0), |_| program.context()),
        token_time: if token_time == Span(0) {
            TOKEN_TIME_DEFAULT
        } else {
            token_time
        },
        prefill_time: PREFILL_TIME,
        link_cost: if endpoint.region == *own {
            Span(0)
        } else {
            LINK_COST
        },
    }
}

fn make_dispatch(
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
async fn dispatch_once(
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
        if let Ok(dispatched) = exchange(run, &link, &resume).await {
            return dispatched;
        }
    }
    unknown
}

/// Records a whole answer and lets the sidecar free it.
async fn finish(
    traffic: &Traffic,
    run: &Run,
    work: &Work,
    route: Route,
    done: &Done,
    lost: Tokens,
) -> Result<Turn> {
    let context = match work {
        Work::Model { .. } => done.usage.total(),
        Work::Service { .. } => Tokens(0),
    };
    let usage = Usage {
        tokens: done.usage.total().plus(lost),
        context,
        cached: done.usage.cached,
    };
    let answer = Answer::Whole(run.answer.bytes());
    let turn = record(traffic, run, Some(route.clone()), answer, usage).await?;
    let (program, seq) = (run.live.id, run.request.seq);
    let saved = units::Call {
        program,
        seq,
        attempt: route.attempt,
    };
    let view = traffic.shared.view.load_full();
    let endpoint = view
        .endpoints
        .iter()
        .find(|endpoint| endpoint.incarnation == route.sidecar);
    if let Some(link) = endpoint.and_then(|endpoint| traffic.link(&endpoint.host)) {
        let notify = async move {
            // A sidecar that is not told frees the answer when it needs the room.
            let _ = link.call(&Frame::Saved(vec![saved])).await;
        };
        traffic.executor.spawn(notify).detach();
    }
    Ok(turn)
}

/// Records that nobody can tell whether a non-idempotent call ran.
async fn give_up(traffic: &Traffic, run: &Run, route: Route) -> Result<Turn> {
    traffic.shared.metrics.count("indeterminate");
    record(
        traffic,
        run,
        Some(route),
        Answer::Indeterminate,
        Usage::default(),
    )
    .await?;
    Err(Refusal::Indeterminate)
}

/// Appends the turn of a call.
async fn record(
    traffic: &Traffic,
    run: &Run,
    route: Option<Route>,
    answer: Answer,
    usage: Usage,
) -> Result<Turn> {
    let call = Call::from(&run.request);
    let turn = Turn {
        call,
        answer,
        usage,
        route,
        at: traffic.shared.clock.now(),
    };
    traffic
        .append(&run.live, vec![Event::Turn(turn.clone())])
        .await?;
    Ok(turn)
}
