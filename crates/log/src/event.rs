//! What happens to programs.

use serde::{Deserialize, Serialize};
use units::{
    Account, Calls, Class, Digest, Endpoint, Host, Incarnation, Program, Seq, Slot, Target, Time,
    Tokens, Version,
};

use crate::batch::{decode, encode};
use crate::error::Result;

/// One event of one program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The program.
    pub program: Program,
    /// What happened.
    pub event: Event,
}

/// What happened to a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// It began.
    Created(Created),
    /// So many more tokens of its budget may be spent.
    Tranche(Tokens),
    /// A non-idempotent call is about to be dispatched, once.
    Intent(Intent),
    /// The dispatch announced for this call was proved not to have run and never to run.
    Withdrawn(Seq),
    /// A call has its answer.
    Turn(Turn),
    /// A call had its answer, which the last owner could not record; witnesses held it.
    Recovered(Turn),
    /// A child returned what it left over of its budget.
    Returned {
        /// The child.
        child: Program,
        /// The tokens left over.
        tokens: Tokens,
    },
    /// It ended.
    Ended {
        /// Why.
        cause: Cause,
        /// When.
        at: Time,
    },
    /// This log took it over from a sealed one.
    Adopted {
        /// The sealed log's writer.
        from: Incarnation,
        /// When.
        at: Time,
    },
    /// This log gives it to another writer.
    HandedOver {
        /// The other writer.
        to: Incarnation,
        /// When.
        at: Time,
    },
}

/// The start of a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Created {
    /// The account that owns it.
    pub account: Account,
    /// Its class.
    pub class: Class,
    /// What it may use.
    pub budget: Budget,
    /// When it must be done.
    pub deadline: Time,
    /// The call that created it, for a sub-agent.
    pub parent: Option<Parent>,
    /// The environment document in force.
    pub document: Version,
    /// The entry's host.
    pub entry: Host,
    /// When.
    pub at: Time,
}

/// What a program may use, its sub-agents included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Tokens of prompts and answers.
    pub tokens: Tokens,
    /// Calls.
    pub calls: Calls,
}

/// The call that created a sub-agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parent {
    /// The parent program.
    pub program: Program,
    /// The call within the parent.
    pub seq: Seq,
}

/// A call as the caller made it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Its position.
    pub seq: Seq,
    /// Digest of what it asks for.
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
    /// Where it goes.
    pub route: Route,
}

/// Where a call went and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The entry that routed it.
    pub entry: Host,
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The endpoint's sidecar.
    pub sidecar: Incarnation,
    /// The dispatch's number within the call.
    pub attempt: u32,
    /// The environment document in force.
    pub document: Version,
    /// Why this endpoint, in the policy's words.
    pub why: String,
    /// When it was dispatched.
    pub at: Time,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Turn {
    /// The call.
    pub call: Call,
    /// Its answer.
    pub answer: Answer,
    /// What it used.
    pub usage: Usage,
    /// Where it ran; `None` for a sub-agent.
    pub route: Option<Route>,
    /// When the answer was complete.
    pub at: Time,
}

impl Turn {
    /// Encodes turns for witnesses.
    ///
    /// # Errors
    /// [`Error::Encode`] if they are too long.
    pub fn encode_all(turns: &[Turn]) -> Result<Vec<u8>> {
        encode(&turns)
    }

    /// Reads what [`Turn::encode_all`] wrote.
    ///
    /// # Errors
    /// [`Error::Corrupt`] if it is something else.
    pub fn decode_all(bytes: &[u8]) -> Result<Vec<Turn>> {
        decode(bytes, Slot(0))
    }
}

/// What a call used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens that count against the budget.
    pub tokens: Tokens,
    /// Tokens of the prompt and the answer together, as the engine counts them.
    pub context: Tokens,
    /// Tokens of the prompt found in a cache.
    pub cached: Tokens,
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The whole answer.
    Complete(Vec<u8>),
    /// Nobody can tell whether the call ran; it is never dispatched again.
    Indeterminate,
    /// A sub-agent was created with this budget carved out.
    Child(Program, Budget),
}

/// Why a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Its caller ended it.
    Caller,
    /// An operator ended it.
    Operator,
    /// It had no request for the idle timeout.
    Idle,
    /// Its deadline passed.
    Deadline,
    /// Its parent ended.
    Parent,
}
