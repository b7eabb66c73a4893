//! Answers while the platform's store is unavailable.
//!
//! The end of an answer normally waits until its turn is in the log. If that takes longer than the
//! document's `commit-wait`, the end is sent as soon as two sidecars, the witnesses, hold all turns
//! of the program that are not yet in the log. The witnesses are in different availability zones if
//! possible. The token names them; a later owner collects the turns from them or refuses to
//! continue from the shorter history.

use std::collections::HashMap;
use std::rc::Rc;

use async_channel::Receiver;
use futures_util::future::join_all;
use log::{Event, Token, Turn};
use smol::future::FutureExt;
use units::{Incarnation, Program, Seq, Span, Zone};
use wire::{Frame, Link, Role, Tail};

use crate::live::LiveProgram;
use crate::refusal::{Refusal, Result};
use crate::traffic::Traffic;

const WITNESS_COUNT: usize = 2;
/// Maximum size of the turns of one program that witnesses hold; with more, answers wait for the
/// log.
const TAIL_MAX_BYTES: usize = 1 << 20;
const SIDECAR_TIMEOUT: Span = Span::from_ms(1_000);
const HOLD_RETRY_DELAY: Span = Span::from_ms(200);

/// Applies a turn once it is in the log or held by witnesses.
pub(crate) async fn record_turn(
    traffic: &Rc<Traffic>,
    live: &Rc<LiveProgram>,
    turn: &Turn,
) -> Result<()> {
    let appended = append_in_background(traffic, live, turn);
    let commit_wait = traffic.environment()?.document.limits.commit_wait;
    let commit_timeout = async {
        smol::Timer::after(commit_wait.into()).await;
        None
    };
    let mut witnesses = Vec::new();
    let append_result = match wait_for(&appended).or(commit_timeout).await {
        Some(result) => Some(result),
        None => {
            let hold = async {
                witnesses = hold_with_retry(traffic, live, turn).await;
                None
            };
            wait_for(&appended).or(hold).await
        }
    };
    if let Some(result) = append_result.or_else(|| appended.try_recv().ok()) {
        result?;
    } else {
        traffic.shared.metrics.count("answered-undurable");
        let mut tail = live.tail.borrow_mut();
        tail.turns.push(turn.clone());
        tail.witnesses = witnesses;
    }
    let event = Event::Turn(turn.clone());
    live.program.borrow_mut().apply(&event);
    Ok(())
}

async fn wait_for(appended: &Receiver<Result<()>>) -> Option<Result<()>> {
    Some(appended.recv().await.unwrap_or(Err(Refusal::Unavailable)))
}

/// Appends a turn in the background; the channel receives the result.
fn append_in_background(
    traffic: &Rc<Traffic>,
    live: &Rc<LiveProgram>,
    turn: &Turn,
) -> Receiver<Result<()>> {
    let (result_sender, appended) = async_channel::bounded(1);
    let event = Event::Turn(turn.clone());
    let seq = turn.call.seq;
    let (traffic, live) = (traffic.clone(), live.clone());
    let executor = traffic.executor.clone();
    let append = async move {
        let result = traffic.commit(&live, &[event]).await;
        if result.is_ok() {
            remove_committed(&traffic, &live, seq);
        }
        // The receiver is already dropped if witnesses held the turn first.
        let _ = result_sender.send(result).await;
    };
    executor.spawn(append).detach();
    appended
}

/// Removes the turns up to `seq`, which are now in the log, from the tail.
fn remove_committed(traffic: &Rc<Traffic>, live: &LiveProgram, seq: Seq) {
    let mut tail = live.tail.borrow_mut();
    if tail.turns.is_empty() {
        return;
    }
    tail.turns.retain(|turn| turn.call.seq > seq);
    if tail.turns.is_empty() {
        tail.witnesses.clear();
        notify_committed(traffic, vec![live.id]);
    }
}

/// Notifies all sidecars that the tails of these programs are in the log.
pub(crate) fn notify_committed(traffic: &Rc<Traffic>, programs: Vec<Program>) {
    if programs.is_empty() {
        return;
    }
    let links = sidecars(traffic);
    let frame = Frame::Committed(programs);
    let notify = async move {
        // A sidecar that misses this keeps turns that are also in the log, which is harmless.
        join_all(links.iter().map(|link| call_with_timeout(link, &frame))).await;
    };
    traffic.executor.spawn(notify).detach();
}

/// Has two sidecars hold the program's tail with `turn`; retries until both do.
async fn hold_with_retry(traffic: &Traffic, live: &LiveProgram, turn: &Turn) -> Vec<Incarnation> {
    loop {
        if let Some(witnesses) = try_hold(traffic, live, turn).await {
            return witnesses;
        }
        smol::Timer::after(HOLD_RETRY_DELAY.into()).await;
    }
}

async fn try_hold(traffic: &Traffic, live: &LiveProgram, turn: &Turn) -> Option<Vec<Incarnation>> {
    let mut turns = live.tail.borrow().turns.clone();
    turns.push(turn.clone());
    let turns = Turn::encode_all(&turns).ok()?;
    if turns.len() > TAIL_MAX_BYTES {
        traffic.shared.metrics.count("tail-too-long");
        return None;
    }
    let frame = Frame::Hold(Tail {
        program: live.id,
        writer: live.log.writer(),
        turns,
    });
    let mut witnesses: Vec<Link> = Vec::new();
    let mut candidates = sidecars(traffic);
    while witnesses.len() < WITNESS_COUNT && !candidates.is_empty() {
        let used_zones: Vec<Zone> = witnesses.iter().map(zone).collect();
        let other_zone = candidates
            .iter()
            .position(|link| !used_zones.contains(&zone(link)));
        let link = candidates.remove(other_zone.unwrap_or(0));
        if let Some(Frame::Ack) = call_with_timeout(&link, &frame).await {
            witnesses.push(link);
        }
    }
    let incarnations = witnesses.iter().map(|link| link.peer().incarnation);
    (witnesses.len() == WITNESS_COUNT).then(|| incarnations.collect())
}

fn zone(link: &Link) -> Zone {
    link.peer().zone.clone()
}

/// The connected sidecars, in no particular order.
fn sidecars(traffic: &Traffic) -> Vec<Link> {
    let links = traffic.links.borrow();
    let open = links.values().filter(|link| !link.is_closed());
    open.filter(|link| link.peer().role != Role::Entry)
        .cloned()
        .collect()
}

async fn call_with_timeout(link: &Link, frame: &Frame) -> Option<Frame> {
    let answer = async { link.call(frame).await.ok() };
    let timeout = async {
        smol::Timer::after(SIDECAR_TIMEOUT.into()).await;
        None
    };
    answer.or(timeout).await
}

/// Collects the turns that connected sidecars hold for programs in the logs of `writers`; of each
/// program the longest tail.
pub(crate) async fn collect_tails(
    traffic: &Traffic,
    writers: Vec<Incarnation>,
) -> HashMap<Program, Vec<Turn>> {
    let links = sidecars(traffic);
    let frame = Frame::Collect(writers);
    let answers = join_all(links.iter().map(|link| call_with_timeout(link, &frame))).await;
    let mut tails: HashMap<Program, Vec<Turn>> = HashMap::new();
    for answer in answers.into_iter().flatten() {
        let Frame::Tails(held) = answer else {
            continue;
        };
        for tail in held {
            let Ok(turns) = Turn::decode_all(&tail.turns) else {
                traffic.shared.metrics.count("tail-broken");
                continue;
            };
            let longest = tails.entry(tail.program).or_default();
            if last_seq(&turns) > last_seq(longest) {
                *longest = turns;
            }
        }
    }
    tails
}

fn last_seq(turns: &[Turn]) -> Option<Seq> {
    turns.last().map(|turn| turn.call.seq)
}

/// Recovers turns that the caller has seen and this entry lacks, if witnesses hold them.
pub(crate) async fn catch_up(traffic: &Rc<Traffic>, live: &Rc<LiveProgram>, after: Option<&Token>) {
    let Some(token) = after.filter(|token| !token.witnesses.is_empty()) else {
        return;
    };
    let is_behind = || live.program.borrow().next_seq() <= token.seq;
    if !is_behind() || live.program.borrow().is_running() {
        return;
    }
    let tails = collect_tails(traffic, vec![token.writer]).await;
    let missing = tails.get(&live.id).into_iter().flatten();
    for turn in missing {
        let next = live.program.borrow().next_seq();
        let is_running = live.program.borrow().is_running();
        if turn.call.seq == next && !is_running && is_behind() {
            let event = Event::Recovered(turn.clone());
            if traffic.append(live, vec![event]).await.is_err() {
                return;
            }
        }
    }
    notify_committed(traffic, vec![live.id]);
}
