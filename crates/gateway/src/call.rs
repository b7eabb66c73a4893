//! A request and its answer, decoded.

use std::fmt;

use compact_str::CompactString;
use units::{Span, Tokens};

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its identity.
    pub id: u64,
    /// Its length.
    pub tokens: Tokens,
}

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// Identifies this attempt of the caller.
    pub id: CompactString,
    /// The host that it names.
    pub host: CompactString,
    /// Its path without the query.
    pub path: CompactString,
    /// How long the caller will wait, from the request's arrival.
    pub timeout: Option<Span>,
    /// The program that it belongs to.
    pub program: Option<CompactString>,
    /// Time left until the program should be finished.
    pub finish_within: Option<Span>,
    /// Tokens that all turns of the program may generate.
    pub budget: Option<Tokens>,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens that may be generated at most.
    pub max_output_tokens: Tokens,
    /// The parts of the prompt in order.
    pub prompt_parts: Vec<PromptPart>,
    /// The turn that this one goes on from.
    pub previous_turn: Option<CompactString>,
    /// Whether the caller has the beginning of the stream already.
    pub resumes: bool,
    /// The object that it concerns.
    pub object: Option<CompactString>,
}

/// Why a request's head cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// It has no identifier, or one that cannot be one.
    Id,
    /// It names no host.
    Host,
    /// A number is none.
    Number(&'static str),
    /// The previous turn cannot be read.
    PreviousTurn,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Malformed::Id => f.write_str("the request id is missing or malformed"),
            Malformed::Host => f.write_str("the host is missing"),
            Malformed::Number(field) => write!(f, "{field} is not a number"),
            Malformed::PreviousTurn => f.write_str("the previous turn is malformed"),
        }
    }
}

/// What the gateway tells an endpoint beside the caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directives<'a> {
    /// The endpoint that is meant.
    pub endpoint: &'a str,
    /// Time that is left.
    pub remaining: Span,
    /// Rank in the endpoint's queue, 0 first; only for model engines.
    pub urgency: Option<u8>,
    /// How long the prompt should stay in memory after the answer.
    pub pin: Option<Span>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseMeta {
    /// It answers this request.
    pub matches_request: bool,
    /// It bears the mark of the endpoint's own answers.
    pub sealed: bool,
    /// The endpoint states that it did not run the request.
    pub not_run: bool,
    /// How long the endpoint keeps the connection idle, as far as it says.
    pub keep_alive: Option<Span>,
    /// The connection ends with this answer.
    pub connection_close: bool,
}
