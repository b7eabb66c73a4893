//! Admission of a call: whether it may run, and why not.

use std::fmt;

use log::{Budget, Turn};
use units::{Digest, Seq, Target};

/// A call as requested by the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Position of the call in its program.
    pub seq: Seq,
    /// Model or service that the call addresses; `None` if it creates a sub-agent.
    pub target: Option<Target>,
    /// Input of the caller, which is appended to the history.
    pub input: Vec<u8>,
    /// Most tokens that a model call may generate, or the budget of a sub-agent.
    pub budget: Budget,
}

impl Request {
    /// Digest of the whole request except its position.
    pub fn digest(&self) -> Digest {
        let target = self.target.as_ref().map_or("", |target| target.as_str());
        let head = format!("{target} {} {} ", self.budget.tokens, self.budget.calls);
        Digest::chain(Digest::of(head.as_bytes()), &self.input)
    }
}

/// Result of the admission of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// The call is the next one and may run.
    Run,
    /// The same call is already running; its answer is to be awaited.
    Attach,
    /// The call was answered before; its recorded turn is returned.
    Replay(Box<Turn>),
    /// The call may not run.
    Refuse(Refusal),
}

/// Why a call may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The call is out of order: the program's next position is the given one.
    Gap(Seq),
    /// Another call has the given position.
    Mismatch(Seq),
    /// The call at the given position is still running.
    Busy(Seq),
    /// The program has ended.
    Ended,
    /// The remaining budget of tokens or calls does not cover the call.
    Budget,
    /// The same call has been made too often in a row.
    Loop,
    /// The deadline has passed.
    Deadline,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Gap(next) => write!(f, "the program's next call is {next}"),
            Refusal::Mismatch(seq) => write!(f, "call {seq} was made with other contents"),
            Refusal::Busy(seq) => write!(f, "call {seq} is still running"),
            Refusal::Ended => f.write_str("the program has ended"),
            Refusal::Budget => f.write_str("the program's budget does not cover the call"),
            Refusal::Loop => f.write_str("the same call was made too often in a row"),
            Refusal::Deadline => f.write_str("the program's deadline has passed"),
        }
    }
}
