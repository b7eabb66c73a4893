//! Programs that this entry owns, with the state of their running calls.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use log::{Event, Handle, Record, Token, Turn};
use memory::{Charge, Full, Limiter, Size};
use program::Program;
use telemetry::Trace;
use units::{Bytes, Incarnation, Seq};
use wire::Answer;

use crate::refusal::Refusal;

/// Memory of a running call as a multiple of its input: the call, its record for the log, and the
/// dispatch to the endpoint with its frame.
const CALL_COPIES: u64 = 4;

/// How a call ended.
#[derive(Clone, Debug)]
pub(crate) enum CallOutcome {
    /// The call was answered.
    Answered {
        turn: Rc<Turn>,
        /// Token for the head of the history after this turn.
        token: Token,
        /// Whether the turn is in the log; otherwise witnesses hold it.
        durable: bool,
    },
    /// The call was refused.
    Refused(Refusal),
}

/// Turns that were answered during a store outage, and the sidecars that hold them.
#[derive(Debug, Default)]
pub(crate) struct Tail {
    pub(crate) turns: Vec<Turn>,
    pub(crate) witnesses: Vec<Incarnation>,
}

/// A program that this entry owns.
#[derive(Debug)]
pub(crate) struct LiveProgram {
    pub(crate) id: units::Program,
    pub(crate) program: RefCell<Program>,
    /// The log that holds the program. Once it is sealed, this state must no longer be used.
    pub(crate) log: Arc<Handle>,
    running: RefCell<Option<(Seq, Rc<Answer<CallOutcome>>)>>,
    /// Turns that were answered but are not yet in the log.
    pub(crate) tail: RefCell<Tail>,
    /// Whether the end of the program is being recorded.
    pub(crate) ending: Cell<bool>,
    /// Span of the running call, the parent of the spans of its appends.
    pub(crate) trace: Cell<Option<Trace>>,
    memory: RefCell<Memory>,
}

/// Memory that a program is charged for.
#[derive(Debug, Default)]
struct Memory {
    charge: Option<Charge>,
    /// Inputs and answers of the history.
    history: Bytes,
}

impl LiveProgram {
    pub(crate) fn new(id: units::Program, program: Program, log: Arc<Handle>) -> Rc<Self> {
        Rc::new(LiveProgram {
            id,
            program: RefCell::new(program),
            log,
            running: RefCell::default(),
            tail: RefCell::default(),
            ending: Cell::new(false),
            trace: Cell::new(None),
            memory: RefCell::default(),
        })
    }

    /// Charges memory for the history of a program that is added. It is held already.
    pub(crate) fn charge_history(&self, limiter: &Arc<Limiter>) {
        let program = self.program.borrow();
        let history = program.turns().iter().map(Turn::text_bytes).sum::<usize>();
        let history = Bytes(history as u64);
        *self.memory.borrow_mut() = Memory {
            charge: Some(limiter.charge_anyway(history)),
            history,
        };
    }

    /// Charges memory for a call that begins.
    ///
    /// # Errors
    /// If there is none. The call must not begin.
    pub(crate) fn charge_call(&self, input: usize) -> Result<(), Full> {
        let call = Bytes(input as u64 * CALL_COPIES);
        let Memory { charge, history } = &mut *self.memory.borrow_mut();
        let total = Bytes(history.0 + call.0);
        match charge {
            Some(charge) => charge.resize(total, Size::of(call)),
            None => Ok(()),
        }
    }

    /// Ends the charge for the running call; `turn` is in the history now.
    fn settle_call(&self, turn: Option<&Turn>) {
        let Memory { charge, history } = &mut *self.memory.borrow_mut();
        history.0 += turn.map_or(0, Turn::text_bytes) as u64;
        if let Some(charge) = charge {
            charge.resize_anyway(*history);
        }
    }

    /// Whether the program has ended or its end is being recorded.
    pub(crate) fn is_ending_or_ended(&self) -> bool {
        self.ending.get() || self.program.borrow().ended().is_some()
    }

    /// Starts a call with an empty answer.
    pub(crate) fn begin_call(&self, seq: Seq) -> Rc<Answer<CallOutcome>> {
        let answer = Rc::new(Answer::new());
        *self.running.borrow_mut() = Some((seq, answer.clone()));
        answer
    }

    /// The answer of a call, if it is running.
    pub(crate) fn running_answer(&self, seq: Seq) -> Option<Rc<Answer<CallOutcome>>> {
        let running = self.running.borrow();
        running
            .as_ref()
            .filter(|(running_seq, _)| *running_seq == seq)
            .map(|(_, answer)| answer.clone())
    }

    /// Ends the running call and completes its answer.
    pub(crate) fn finish_call(&self, answer: &Answer<CallOutcome>, outcome: CallOutcome) {
        self.running.borrow_mut().take();
        self.trace.take();
        self.settle_call(match &outcome {
            CallOutcome::Answered { turn, .. } => Some(turn),
            CallOutcome::Refused(_) => None,
        });
        answer.finish(outcome);
    }

    /// A log record of this program.
    pub(crate) fn record(&self, event: Event) -> Record {
        Record {
            program: self.id,
            event,
        }
    }

    /// Whether the turn of an answered call is in the log.
    pub(crate) fn is_durable(&self, seq: Seq) -> bool {
        let tail = self.tail.borrow();
        tail.turns.iter().all(|turn| turn.call.seq != seq)
    }

    /// The token for the head of the history.
    pub(crate) fn token(&self) -> Token {
        let program = self.program.borrow();
        let seq = Seq(program.turns().len() as u64);
        Token {
            program: self.id,
            seq,
            head: program.head(),
            writer: self.log.writer(),
            witnesses: self.tail.borrow().witnesses.clone(),
        }
    }
}
