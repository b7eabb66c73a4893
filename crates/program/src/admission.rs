//! Whether a call may run.

use std::fmt;

use log::{Budget, Turn};
use units::{Digest, Seq, Target};

/// A call as the caller asks for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its position.
    pub seq: Seq,
    /// The model or service; `None` for a sub-agent.
    pub target: Option<Target>,
    /// The caller's input.
    pub input: Vec<u8>,
    /// What else the call asks for: tokens to generate, or a sub-agent's budget.
    pub budget: Budget,
}

impl Request {
    /// Digest of all that the call asks for but its position.
    pub fn digest(&self) -> Digest {
        let target = self.target.as_ref().map_or("", |target| target.as_str());
        let head = format!("{target} {} {} ", self.budget.tokens, self.budget.calls);
        Digest::chain(Digest::of(head.as_bytes()), &self.input)
    }
}

/// What to do with a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// Run it.
    Run,
    /// It is running: wait for its answer.
    Attach,
    /// It has its answer.
    Replay(Box<Turn>),
    /// It may not run.
    Refuse(Refusal),
}

/// Why a call may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its position is not the next; the next is this.
    Gap(Seq),
    /// Another call has this position.
    Mismatch(Seq),
    /// The call before it is still running.
    Busy(Seq),
    /// The program has ended.
    Ended,
    /// The budget of tokens or calls does not cover it.
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
