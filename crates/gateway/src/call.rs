//! Decoded heads of requests and responses.

use std::fmt;

use compact_str::CompactString;
use units::{Digest, Rate, Span, Tokens};

/// Part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier, equal in all prompts that contain the part.
    pub id: u64,
    /// Length of the part.
    pub tokens: Tokens,
}

/// Decoded head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// Identifier that the caller gave this attempt.
    pub id: CompactString,
    /// Host named by the request.
    pub host: CompactString,
    /// Path without the query.
    pub path: CompactString,
    /// How long the caller waits for the answer, from the arrival of the request.
    pub timeout: Option<Span>,
    /// Program that the request belongs to.
    pub program: Option<CompactString>,
    /// Remaining time until the program should be finished.
    pub finish_within: Option<Span>,
    /// Tokens that all turns of the program together may generate.
    pub budget: Option<Tokens>,
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Most tokens that the request may generate.
    pub max_output_tokens: Tokens,
    /// Parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// Identifier of the turn that this one continues.
    pub previous_turn: Option<CompactString>,
    /// Whether the caller already has the beginning of the stream.
    pub resumes: bool,
    /// Identifier of the attempt that brought the beginning of the stream, as the caller states it.
    pub resumed_attempt: Option<CompactString>,
    /// Object that the request refers to, for routes with object affinity.
    pub object: Option<CompactString>,
    /// Digest of the key that the caller sent.
    pub key: Option<Digest>,
}

impl Call {
    /// Whether the request may be the first turn of a program: it continues no turn, and its prompt has
    /// no parts beside the shared one and its own.
    pub fn is_first_turn(&self) -> bool {
        self.previous_turn.is_none() && self.prompt_parts.len() <= 2
    }
}

/// What an endpoint is told of the sender of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender<'a> {
    /// The environment has no client accounts; the caller's headers stay.
    Unknown,
    /// The request needs no key.
    Anonymous,
    /// The name of the client account.
    Account(&'a str),
}

/// Why the head of a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The identifier is missing or malformed.
    Id,
    /// No host is named.
    Host,
    /// A header that has to hold a number does not; the text says which value it is.
    Number(&'static str),
    /// The identifier of the program is malformed.
    Program,
    /// The identifier of the previous turn is malformed.
    PreviousTurn,
    /// The identifier of the resumed attempt is malformed.
    ResumedAttempt,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Malformed::Id => f.write_str("the request id is missing or malformed"),
            Malformed::Host => f.write_str("the host is missing"),
            Malformed::Number(field) => write!(f, "{field} is not a number"),
            Malformed::Program => f.write_str("the program id is malformed"),
            Malformed::PreviousTurn => f.write_str("the previous turn is malformed"),
            Malformed::ResumedAttempt => f.write_str("the resumed attempt is malformed"),
        }
    }
}

/// Values that the gateway adds to the caller's request for the endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directives<'a> {
    /// Identifier of the endpoint that the request is meant for.
    pub endpoint: &'a str,
    /// Remaining time until the deadline of the request.
    pub remaining: Span,
    /// Rank in the endpoint's queue, 0 first; set for model engines only.
    pub urgency: Option<u8>,
    /// How long the endpoint should keep the prompt in memory after the answer.
    pub pin: Option<Span>,
    /// The sender; the caller's key is never sent.
    pub sender: Sender<'a>,
}

/// The limit that an endpoint's response names for the rate of requests from all hosts together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// The response names no limit.
    #[default]
    Absent,
    /// The limit in requests per second.
    Rate(Rate),
    /// The limit cannot be read.
    Malformed,
}

/// Decoded head of an endpoint's response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseMeta {
    /// The response names this request.
    pub matches_request: bool,
    /// The response has the header that endpoints set on their own answers.
    pub sealed: bool,
    /// The endpoint states that it did not run the request.
    pub not_run: bool,
    /// The endpoint states that it is about to stop and accepts no new requests.
    pub leaving: bool,
    /// The limit that the response names.
    pub limit: NamedLimit,
    /// How long the endpoint keeps the connection open while idle; `None` if it does not say.
    pub keep_alive: Option<Span>,
    /// The connection ends with this response.
    pub connection_close: bool,
}
