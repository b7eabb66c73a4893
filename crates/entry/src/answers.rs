//! Answers sent to callers: streamed while a call runs, or replayed from the history.

use std::rc::Rc;

use log::{Answer, Turn};
use serde_json::{Value, json};
use units::{Digest, Seq};
use wire::Next;

use crate::live::{CallOutcome, LiveProgram};
use crate::refusal::{Refusal, Result};
use crate::reply::{Lines, Reply};
use crate::traffic::Traffic;

/// Longest piece of a recorded answer that is sent in one line, so that a caller that does not read holds
/// no whole answers.
const PIECE_MAX_BYTES: usize = 8 << 10;
/// Longest character in UTF-8.
const CHARACTER_MAX_BYTES: usize = 4;

/// Returns the answer of a call from byte `offset` on, whether the call is running or recorded.
pub(crate) async fn read(
    traffic: &Rc<Traffic>,
    live: &Rc<LiveProgram>,
    seq: Seq,
    offset: u64,
) -> Result<Reply> {
    if let Some(answer) = live.running_answer(seq) {
        return stream_answer(traffic, answer, offset as usize).await;
    }
    replay(traffic, live, seq, offset as usize)
}

/// All turns of a program, as JSON.
pub(crate) fn history(traffic: &Traffic, live: &LiveProgram) -> Reply {
    let program = live.program.borrow();
    let turns: Vec<Value> = program.turns().iter().map(history_turn).collect();
    let after = traffic.encode_token(&live.token());
    let ended = program.ended().map(|(cause, _)| cause);
    Reply::Json(
        200,
        json!({
            "program": live.id.to_string(), "calls": turns, "ended": ended, "after": after,
            "spent_tokens": program.ledger().spent(), "calls_left": program.remaining_calls(),
        }),
    )
}

fn history_turn(turn: &Turn) -> Value {
    let answer = match &turn.answer {
        Answer::Complete(bytes) => json!(String::from_utf8_lossy(bytes)),
        Answer::Indeterminate => Value::Null,
        Answer::Child(child, _) => json!({"program": child.to_string()}),
    };
    json!({
        "seq": turn.call.seq, "target": turn.call.target, "answer": answer,
        "input": String::from_utf8_lossy(&turn.call.input),
        "indeterminate": turn.answer == Answer::Indeterminate,
    })
}

/// Streams the answer of a running call; a refusal before its first byte refuses the whole request.
pub(crate) async fn stream_answer(
    traffic: &Rc<Traffic>,
    answer: Rc<wire::Answer<CallOutcome>>,
    offset: usize,
) -> Result<Reply> {
    let mut restarts = answer.restarts();
    let first = answer.next(offset, restarts).await;
    if let Next::End(CallOutcome::Refused(refusal)) = first {
        return Err(refusal);
    }
    let (lines, reply) = Lines::new();
    let task_traffic = traffic.clone();
    let copy = async move {
        let mut offset = offset;
        loop {
            let line = match answer.next(offset, restarts).await {
                Next::Bytes(bytes) => {
                    let line = delta_line(offset, &bytes);
                    offset += bytes.len();
                    line
                }
                Next::Restarted(count) => {
                    restarts = count;
                    offset = 0;
                    json!({"type": "restart"})
                }
                Next::End(outcome) => {
                    lines.send(&final_line(&task_traffic, &outcome)).await;
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

fn delta_line(offset: usize, bytes: &[u8]) -> Value {
    json!({"type": "delta", "offset": offset, "text": String::from_utf8_lossy(bytes)})
}

fn final_line(traffic: &Traffic, outcome: &CallOutcome) -> Value {
    match outcome {
        CallOutcome::Answered {
            turn,
            token,
            durable,
        } => done_line(turn, &traffic.encode_token(token), *durable),
        CallOutcome::Refused(refusal) => refusal.json(),
    }
}

fn done_line(turn: &Turn, after: &str, durable: bool) -> Value {
    let mut line = json!({
        "type": "done", "seq": turn.call.seq, "after": after, "durable": durable,
        "usage": {"tokens": turn.usage.tokens, "cached": turn.usage.cached},
    });
    match &turn.answer {
        Answer::Complete(bytes) => {
            line["length"] = json!(bytes.len());
            line["digest"] = json!(Digest::of(bytes).to_string());
        }
        Answer::Child(child, _) => line["program"] = json!(child.to_string()),
        Answer::Indeterminate => return Refusal::Indeterminate.json(),
    }
    line
}

/// Returns a recorded answer from byte `offset` on.
pub(crate) fn replay(
    traffic: &Rc<Traffic>,
    live: &Rc<LiveProgram>,
    seq: Seq,
    offset: usize,
) -> Result<Reply> {
    let done = {
        let program = live.program.borrow();
        let turn = program.turn(seq).ok_or(Refusal::UnknownCall)?;
        if turn.answer == Answer::Indeterminate {
            return Err(Refusal::Indeterminate);
        }
        done_line(
            turn,
            &traffic.encode_token(&live.token()),
            live.is_durable(seq),
        )
    };
    let (lines, reply) = Lines::new();
    let live = live.clone();
    let copy = async move {
        let mut offset = offset;
        while let Some(piece) = recorded_piece(&live, seq, offset) {
            if !lines.send(&delta_line(offset, &piece)).await {
                return;
            }
            offset += piece.len();
        }
        lines.send(&done).await;
    };
    traffic.executor.spawn(copy).detach();
    Ok(reply)
}

/// Returns the next piece of a recorded answer; `None` at its end.
fn recorded_piece(live: &LiveProgram, seq: Seq, offset: usize) -> Option<Vec<u8>> {
    let program = live.program.borrow();
    let Answer::Complete(bytes) = &program.turn(seq)?.answer else {
        return None;
    };
    let remaining = bytes.get(offset..).filter(|bytes| !bytes.is_empty())?;
    Some(remaining[..piece_length(remaining)].to_vec())
}

/// Returns the length of the first piece of a text. A piece ends between two characters, if the text is
/// UTF-8.
fn piece_length(text: &[u8]) -> usize {
    let is_boundary = |at: &usize| text.get(*at).is_none_or(|byte| byte & 0xC0 != 0x80);
    let longest = text.len().min(PIECE_MAX_BYTES);
    let mut ends = (longest.saturating_sub(CHARACTER_MAX_BYTES) + 1..=longest).rev();
    ends.find(is_boundary).unwrap_or(longest).max(1)
}
