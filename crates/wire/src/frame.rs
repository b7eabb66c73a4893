//! The frames.

use std::fmt;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use units::{
    Account, Bytes, Call, Digest, Endpoint, Host, Incarnation, Program, Region, Seq, Span, Target,
    Tokens, Version, Zone,
};

use crate::list::bounded;
use crate::order::{Order, Ordered};
use crate::relay::{Relay, Relayed};

/// One message of an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of a connection, from either end.
    Hello {
        /// Who sends it.
        identity: Identity,
        /// Random bytes that the other end must authenticate.
        nonce: [u8; 32],
        /// Authenticator of the other end's nonce; all zero from the client, which has none yet.
        proof: Digest,
    },
    /// The client's authenticator of the server's nonce.
    Proof(Digest),
    /// The server has accepted the connection.
    Welcome,
    /// Runs a call at the sidecar's endpoint. Answered by `Accepted`, `Delta`s and `Done`, or by
    /// `Refused`.
    Dispatch(Dispatch),
    /// The call is queued or running.
    Accepted(Accepted),
    /// A part of the answer.
    Delta(Delta),
    /// The whole answer has been sent.
    Done(Done),
    /// There is no whole answer.
    Refused(Refused),
    /// Continues the answer of a call from an offset; answered like `Dispatch`.
    Resume(Resume),
    /// Stops a call whose answer nobody wants; answered by `Ack`.
    Cancel(Call),
    /// Asks what became of a call; answered by `State`.
    Query(Call),
    /// What the sidecar knows of a call.
    State(State),
    /// These answers are durable elsewhere and need not be retained; answered by `Ack`.
    Saved(#[serde(deserialize_with = "bounded")] Vec<Call>),
    /// The program has ended: its engine memory is to be freed; answered by `Ack`.
    Release(Program),
    /// Has the endpoint's engine do something; answered by `Ordered`.
    Order(Order),
    /// What became of an order.
    Ordered(Ordered),
    /// Subscribes to a sidecar's reports; answered by `Epoch`, `Load` and `Held` frames without end.
    Watch,
    /// Programs that are held at a sidecar and that no entry claims. An entry claims those that it
    /// owns and releases those that have ended.
    Held(#[serde(deserialize_with = "bounded")] Vec<Program>),
    /// The sender owns these programs; answered by `Ack`.
    Claim(#[serde(deserialize_with = "bounded")] Vec<Program>),
    /// The sidecar's epoch, sent before its first load report and whenever it changes.
    Epoch(Epoch),
    /// A load report of a sidecar.
    Load(Load),
    /// A caller's request that another entry owns; answered by `Head` and `Body` frames.
    Forward(Forward),
    /// The status of the answer to a forwarded request.
    Head(Head),
    /// A part of the answer to a forwarded request; the stream's end ends it.
    Body(Body),
    /// An environment document in force at the sender; answered by `InForce`.
    Document {
        /// The document's version.
        version: Version,
        /// The document's INI text.
        text: String,
    },
    /// The request was carried out.
    Ack,
    /// The version of the environment document in force at the sender, 0 for none; answered by
    /// `InForce`, or by `Document` if the receiver has a higher one.
    InForce(Version),
    /// The log of this writer was sealed in favour of the receiver's, which is to adopt its programs;
    /// answered by `Ack`.
    Adopt(Incarnation),
    /// Asks an entry for an operator; answered by `Body` with JSON, or by `Ack` if it knows nothing.
    Ask(EntryRequest),
    /// The process is to leave: it takes no new work and finishes what it has; answered by `Ack`.
    Drain,
    /// Has a sidecar hold turns that their owner cannot record now; answered by `Ack`, or by
    /// `Refused` for want of room.
    Hold(Tail),
    /// Asks for the tails of these writers' programs; answered by `Tails`.
    Collect(#[serde(deserialize_with = "bounded")] Vec<Incarnation>),
    /// The tails that the sidecar holds.
    Tails(#[serde(deserialize_with = "bounded")] Vec<Tail>),
    /// The tails of these programs are in the log and need not be held; answered by `Ack`.
    Committed(#[serde(deserialize_with = "bounded")] Vec<Program>),
    /// Has a peer call the store; answered by `Relayed`.
    Relay(Relay),
    /// What came of the call.
    Relayed(Relayed),
}

impl Frame {
    /// The frame's kind, for error messages.
    pub fn kind(&self) -> &'static str {
        match self {
            Frame::Hello { .. } => "Hello",
            Frame::Proof(_) => "Proof",
            Frame::Welcome => "Welcome",
            Frame::Dispatch(_) => "Dispatch",
            Frame::Accepted(_) => "Accepted",
            Frame::Delta(_) => "Delta",
            Frame::Done(_) => "Done",
            Frame::Refused(_) => "Refused",
            Frame::Resume(_) => "Resume",
            Frame::Cancel(_) => "Cancel",
            Frame::Query(_) => "Query",
            Frame::State(_) => "State",
            Frame::Saved(_) => "Saved",
            Frame::Release(_) => "Release",
            Frame::Order(_) => "Order",
            Frame::Ordered(_) => "Ordered",
            Frame::Watch => "Watch",
            Frame::Held(_) => "Held",
            Frame::Claim(_) => "Claim",
            Frame::Epoch(_) => "Epoch",
            Frame::Load(_) => "Load",
            Frame::Forward(_) => "Forward",
            Frame::Head(_) => "Head",
            Frame::Body(_) => "Body",
            Frame::Document { .. } => "Document",
            Frame::Ack => "Ack",
            Frame::InForce(_) => "InForce",
            Frame::Adopt(_) => "Adopt",
            Frame::Ask(_) => "Ask",
            Frame::Drain => "Drain",
            Frame::Hold(_) => "Hold",
            Frame::Collect(_) => "Collect",
            Frame::Tails(_) => "Tails",
            Frame::Committed(_) => "Committed",
            Frame::Relay(_) => "Relay",
            Frame::Relayed(_) => "Relayed",
        }
    }
}

/// What an entry is asked for an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryRequest {
    /// What it knows of a program that it owns.
    Explain(Program),
    /// The usage of each account by the programs that it owns.
    Usage,
    /// Whether it has ended a program that it owns, as an operator wants.
    End(Program),
}

/// What a process does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// An entry.
    Entry,
    /// The sidecar of an endpoint.
    Sidecar {
        /// The endpoint.
        endpoint: Endpoint,
        /// The models or services that the endpoint serves.
        serves: Vec<Target>,
        /// Calls that the endpoint runs at a time.
        slots: u32,
    },
}

/// Who a process is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The host it runs on.
    pub host: Host,
    /// This start of the process.
    pub incarnation: Incarnation,
    /// The address at which it accepts peers.
    pub address: SocketAddr,
    /// The host's region.
    pub region: Region,
    /// The host's availability zone.
    pub zone: Zone,
    /// What it does.
    pub role: Role,
}

/// A stretch of a sidecar's time; the first is 0. It dates dispatches without comparing clocks.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch after this one.
    pub fn next(self) -> Self {
        Epoch(self.0 + 1)
    }
}

/// The work of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A completion by a model.
    Model {
        /// Tokens that may be generated at most.
        max_tokens: Tokens,
    },
    /// A request to a plain service.
    Service {
        /// Whether the request may be sent again.
        idempotent: bool,
    },
}

impl Work {
    /// Whether the work may be run more than once.
    pub fn is_idempotent(&self) -> bool {
        !matches!(self, Work::Service { idempotent: false })
    }
}

/// An order to run a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The call, which is the idempotency key.
    pub call: Call,
    /// The sidecar's incarnation that the dispatch is meant for; any other rejects it.
    pub sidecar: Incarnation,
    /// The sidecar's epoch as last heard before the call's intent was recorded; a dispatch that is
    /// two epochs old is rejected.
    pub epoch: Epoch,
    /// The account that pays.
    pub account: Account,
    /// The model or service.
    pub target: Target,
    /// The work.
    pub work: Work,
    /// Time until the caller's deadline.
    pub time_remaining: Span,
    /// Rank in queues; lower goes first.
    pub priority: u64,
    /// Model: the whole prompt. Service: the request body.
    pub input: Vec<u8>,
    /// The W3C trace context.
    pub trace: CompactString,
    /// Encoded events not yet durable, to be retained until they are.
    pub tail: Vec<u8>,
}

/// A call was taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Calls that go before it.
    pub queued: u32,
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Bytes of the answer that come before this part.
    pub offset: u64,
    /// The part.
    pub bytes: Vec<u8>,
}

/// What a call used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of the prompt found in the engine's cache.
    pub cached: Tokens,
    /// Tokens generated.
    pub generated: Tokens,
}

impl Usage {
    /// Tokens that count against a budget.
    pub fn total(&self) -> Tokens {
        self.prompt.plus(self.generated)
    }
}

/// An answer is complete.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Done {
    /// Length of the whole answer.
    pub length: Bytes,
    /// Digest of the whole answer.
    pub digest: Digest,
    /// What the call used.
    pub usage: Usage,
    /// The endpoint's load now.
    pub load: Load,
}

/// Whether a call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It did not run and never will.
    No,
    /// It ran or may yet run, or not: nobody can tell.
    Unknown,
    /// It ran.
    Yes,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ran::No => "no",
            Ran::Unknown => "unknown",
            Ran::Yes => "yes",
        })
    }
}

/// Why a sidecar gave no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The dispatch was meant for another incarnation.
    Incarnation,
    /// The call was declared as never to run.
    Tombstone,
    /// The sidecar accepts no new work.
    Leaving,
    /// The queue is full.
    Full,
    /// The deadline passed in the queue.
    Deadline,
    /// The endpoint cannot be reached.
    Unreachable,
    /// The endpoint broke off or refused.
    Endpoint,
    /// The endpoint does not serve the target.
    Target,
    /// The call was cancelled.
    Cancelled,
    /// Nothing is known of the call.
    Unretained,
    /// The dispatch was made too long ago.
    Stale,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Incarnation => "the sidecar was restarted",
            Reason::Tombstone => "the call was declared as never to run",
            Reason::Leaving => "the endpoint is leaving",
            Reason::Full => "the endpoint's queue is full",
            Reason::Deadline => "the deadline passed in the queue",
            Reason::Unreachable => "the endpoint cannot be reached",
            Reason::Endpoint => "the endpoint broke off or refused",
            Reason::Target => "the endpoint does not serve the target",
            Reason::Cancelled => "the call was cancelled",
            Reason::Unretained => "nothing is known of the call",
            Reason::Stale => "the dispatch was made too long ago",
        })
    }
}

/// A call without a whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Whether the call ran.
    pub ran: Ran,
    /// Why there is no answer.
    pub reason: Reason,
}

/// The end of a program's history that is not in its log yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tail {
    /// The program.
    pub program: Program,
    /// The writer of its log.
    pub writer: Incarnation,
    /// The turns, encoded by the log.
    pub turns: Vec<u8>,
}

/// A request for the rest of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The call.
    pub call: Call,
    /// Bytes of the answer that the requester has.
    pub offset: u64,
}

/// What a sidecar knows of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// The answer is retained; `Resume` reads it.
    Retained(Done),
    /// The call is queued or running.
    Running,
    /// The call did not run and never will.
    Tombstone,
    /// There was a dispatch, with this end.
    Refused(Refused),
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Calls running at the endpoint.
    pub running: u32,
    /// Calls waiting at the sidecar.
    pub queued: u32,
    /// Prompt and output tokens still to be worked off, estimated.
    pub backlog: Tokens,
    /// Time per generated token in the recent past; zero if unknown.
    pub token_time: Span,
    /// Whether the sidecar accepts no new work.
    pub leaving: bool,
}

/// A caller's request passed on to the entry that owns the program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The authenticated account.
    pub account: Account,
    /// The program.
    pub program: Program,
    /// The HTTP method.
    pub method: CompactString,
    /// The path below the program, for example `calls`.
    pub path: CompactString,
    /// The query offset, if there is one.
    pub offset: u64,
    /// The call addressed by the path, if there is one.
    pub seq: Option<Seq>,
    /// The request body.
    pub body: Vec<u8>,
    /// The W3C trace context.
    pub trace: CompactString,
    /// Entries that passed it on so far.
    pub hops: u8,
}

/// The status of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// The part's bytes.
    pub bytes: Vec<u8>,
}
