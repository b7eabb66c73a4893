//! The events in the history of a program.

use serde::{Deserialize, Serialize};
use units::{
    Account, Calls, Class, Digest, Endpoint, Host, Incarnation, Program, Seq, Slot, Target, Time,
    Tokens, Version,
};

use crate::batch::{decode, encode};
use crate::error::Result;

/// One event of one program, as stored in a batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The program.
    pub program: Program,
    /// The event.
    pub event: Event,
}

/// An event in the history of a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The program was created.
    Created(Created),
    /// This many more tokens of the program's budget may be spent.
    Tranche(Tokens),
    /// A non-idempotent call is about to be dispatched, once.
    Intent(Intent),
    /// The dispatch announced by this call's intent has not run and never will.
    Withdrawn(Seq),
    /// A call was answered.
    Turn(Turn),
    /// A call was answered, but its turn was only held by witnesses when this log took the program
    /// over.
    Recovered(Turn),
    /// A sub-agent returned the unused part of its budget.
    Returned {
        /// The sub-agent's program.
        child: Program,
        /// The unused tokens.
        tokens: Tokens,
    },
    /// The program ended.
    Ended {
        /// Why it ended.
        cause: Cause,
        /// When it ended.
        at: Time,
    },
    /// This log took the program over from a sealed log.
    Adopted {
        /// The sealed log's writer.
        from: Incarnation,
        /// When the program was adopted.
        at: Time,
    },
    /// This log hands the program over to another writer.
    HandedOver {
        /// The other writer.
        to: Incarnation,
        /// When the program was handed over.
        at: Time,
    },
}

/// Returns the length of the inputs and answers in records.
pub(crate) fn text_bytes(records: &[Record]) -> usize {
    records.iter().map(|record| record.event.text_bytes()).sum()
}

impl Event {
    /// Returns the length of the input and the answer in the event.
    fn text_bytes(&self) -> usize {
        match self {
            Event::Intent(intent) => intent.call.input.len(),
            Event::Turn(turn) | Event::Recovered(turn) => turn.text_bytes(),
            _ => 0,
        }
    }
}

/// Creation of a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Created {
    /// The client account that owns the program.
    pub account: Account,
    /// The program's class, which sets its precedence.
    pub class: Class,
    /// What the program may use, its sub-agents included.
    pub budget: Budget,
    /// When the program must have ended.
    pub deadline: Time,
    /// The call that created the program; `None` unless it is a sub-agent.
    pub parent: Option<Parent>,
    /// The version of the environment document in force.
    pub document: Version,
    /// The host of the entry that created the program.
    pub entry: Host,
    /// When the program was created.
    pub at: Time,
}

/// What a program may use, its sub-agents included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Tokens of prompts and answers.
    pub tokens: Tokens,
    /// Number of calls.
    pub calls: Calls,
}

/// The call that created a sub-agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parent {
    /// The parent program.
    pub program: Program,
    /// The sequence number of the call within the parent.
    pub seq: Seq,
}

/// A call as the caller made it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The call's sequence number within the program.
    pub seq: Seq,
    /// Digest of the request.
    pub digest: Digest,
    /// The model or service; `None` for a sub-agent.
    pub target: Option<Target>,
    /// The caller's input.
    pub input: Vec<u8>,
}

/// The announcement of the only dispatch of a non-idempotent call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Intent {
    /// The call.
    pub call: Call,
    /// Where the call is dispatched to.
    pub route: Route,
}

/// Where a call was dispatched to and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The host of the entry that routed the call.
    pub entry: Host,
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The incarnation of the endpoint's sidecar.
    pub sidecar: Incarnation,
    /// Number of the dispatch within the call.
    pub attempt: u32,
    /// The version of the environment document in force.
    pub document: Version,
    /// Why this endpoint was chosen, as text from the policy.
    pub why: String,
    /// When the call was dispatched.
    pub at: Time,
}

/// A call with its answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Turn {
    /// The call.
    pub call: Call,
    /// The answer.
    pub answer: Answer,
    /// What the call used.
    pub usage: Usage,
    /// Where the call ran; `None` for a sub-agent.
    pub route: Option<Route>,
    /// When the answer was complete.
    pub at: Time,
}

impl Turn {
    /// Returns the length of the input and the answer.
    pub fn text_bytes(&self) -> usize {
        let answer = match &self.answer {
            Answer::Complete(answer) => answer.len(),
            Answer::Indeterminate | Answer::Child(..) => 0,
        };
        self.call.input.len() + answer
    }

    /// Encodes turns for storage at witnesses.
    ///
    /// # Errors
    /// [`crate::Error::Encode`] if the encoding is too long.
    pub fn encode_all(turns: &[Turn]) -> Result<Vec<u8>> {
        encode(&turns)
    }

    /// Decodes turns from the output of [`Turn::encode_all`].
    ///
    /// # Errors
    /// [`crate::Error::Corrupt`] if `bytes` is no such output.
    pub fn decode_all(bytes: &[u8]) -> Result<Vec<Turn>> {
        decode(bytes, Slot(0))
    }
}

/// What a call used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens that count against the budget.
    pub tokens: Tokens,
    /// Tokens of the prompt and the answer together, as counted by the engine.
    pub context: Tokens,
    /// Tokens of the prompt found in the engine's cache.
    pub cached: Tokens,
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The complete answer.
    Complete(Vec<u8>),
    /// It is unknown whether the call ran; the call is never dispatched again.
    Indeterminate,
    /// A sub-agent was created, with this part of the parent's budget.
    Child(Program, Budget),
}

/// Why a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The caller ended the program.
    Caller,
    /// An operator ended the program.
    Operator,
    /// The program received no request within the idle timeout.
    Idle,
    /// The program's deadline passed.
    Deadline,
    /// The program's parent ended.
    Parent,
}
