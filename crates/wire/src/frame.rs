//! The frames of the protocol and the types that they carry.

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
        /// Identity of the sender.
        identity: Identity,
        /// Random bytes that the receiver must authenticate.
        nonce: [u8; 32],
        /// Authenticator of the receiver's nonce; all zero from the client, which sends first.
        proof: Digest,
    },
    /// Authenticator of the server's nonce, sent by the client.
    Proof(Digest),
    /// Accepts the connection; sent by the server.
    Welcome,
    /// Runs a call at the sidecar's endpoint; answered by `Accepted`, `Delta`s and `Done`, or by
    /// `Refused`.
    Dispatch(Dispatch),
    /// Reports that the call is queued or running.
    Accepted(Accepted),
    /// A chunk of the answer.
    Delta(Delta),
    /// Ends an answer that has been sent completely.
    Done(Done),
    /// Ends an exchange whose request was refused or whose answer is incomplete.
    Refused(Refused),
    /// Requests the answer to a call from an offset on; answered by `Delta`s and `Done`, or by
    /// `Refused`.
    Resume(Resume),
    /// Stops a call whose answer is no longer needed; answered by `Ack`.
    Cancel(Call),
    /// Requests the state of a call at the sidecar; answered by `State`.
    Query(Call),
    /// The state of a call at the sidecar.
    State(State),
    /// Reports that the answers to these calls are durable in a log, so that the sidecar need not
    /// retain them; answered by `Ack`.
    Saved(#[serde(deserialize_with = "bounded")] Vec<Call>),
    /// Reports that a program has ended and its engine memory can be freed; answered by `Ack`.
    Release(Program),
    /// Orders an action of the endpoint's engine; answered by `Ordered`.
    Order(Order),
    /// The outcome of an order.
    Ordered(Ordered),
    /// Subscribes to a sidecar's reports; answered by `Epoch`, `Load` and `Held` frames until the
    /// exchange ends.
    Watch,
    /// Programs whose engine memory is held at a sidecar and that no entry claims. An entry claims
    /// those that it owns and releases those that have ended.
    Held(#[serde(deserialize_with = "bounded")] Vec<Program>),
    /// Reports that the sender owns these programs; answered by `Ack`.
    Claim(#[serde(deserialize_with = "bounded")] Vec<Program>),
    /// The sidecar's epoch, sent before its first load report and whenever it changes.
    Epoch(Epoch),
    /// The load of a sidecar's endpoint.
    Load(Load),
    /// A caller's request, forwarded to the program's owner; answered by `Head` and `Body` frames.
    Forward(Forward),
    /// The status of the response to a forwarded request.
    Head(Head),
    /// A chunk of the response to a forwarded request; the end of the stream ends the response.
    Body(Body),
    /// An environment document in force at the sender; answered by `InForce`.
    Document {
        /// The document's version.
        version: Version,
        /// The document's INI text.
        text: String,
    },
    /// Confirms that the request was carried out.
    Ack,
    /// The version of the environment document in force at the sender, 0 for none; answered by
    /// `InForce`, or by `Document` if the receiver has a higher version in force.
    InForce(Version),
    /// Reports that this writer's log was sealed in favour of the receiver, which must adopt its
    /// programs; answered by `Ack`.
    Adopt(Incarnation),
    /// Sends a request of one entry to another; answered by `Body` with JSON, or by `Ack` if the
    /// receiver has nothing to return.
    Ask(EntryRequest),
    /// Drains the receiver, which then finishes its work and accepts no more; answered by `Ack`.
    Drain,
    /// Requests that a sidecar hold turns that their owner cannot write to its log at present;
    /// answered by `Ack`, or by `Refused` if the sidecar has no room.
    Hold(Tail),
    /// Requests the tails of these writers' programs; answered by `Tails`.
    Collect(#[serde(deserialize_with = "bounded")] Vec<Incarnation>),
    /// The tails that the sidecar holds.
    Tails(#[serde(deserialize_with = "bounded")] Vec<Tail>),
    /// Reports that the tails of these programs are in the log, so that the sidecar need not hold
    /// them; answered by `Ack`.
    Committed(#[serde(deserialize_with = "bounded")] Vec<Program>),
    /// Requests that a peer call the store for the sender; answered by `Relayed`.
    Relay(Relay),
    /// The outcome of the call to the store.
    Relayed(Relayed),
}

impl Frame {
    /// Returns the name of the frame's kind, for error messages.
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

/// A request of one entry to another, for an operator or for account quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryRequest {
    /// Describes a program that the receiver owns.
    Explain(Program),
    /// Returns the usage of each account by the programs that the receiver owns.
    Usage,
    /// Ends a program that the receiver owns, on behalf of an operator.
    End(Program),
}

/// The function of a process in the environment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// An entry, which accepts callers and owns programs.
    Entry,
    /// The sidecar of an endpoint.
    Sidecar {
        /// The endpoint.
        endpoint: Endpoint,
        /// The models or services that the endpoint serves.
        serves: Vec<Target>,
        /// Maximum number of calls that the endpoint runs at a time.
        slots: u32,
    },
}

/// Identity of a process. Its `Debug` form is authenticated in the handshake.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The host on which the process runs.
    pub host: Host,
    /// Number of this start of the process.
    pub incarnation: Incarnation,
    /// The address at which the process accepts peers.
    pub address: SocketAddr,
    /// The host's region.
    pub region: Region,
    /// The host's availability zone.
    pub zone: Zone,
    /// The function of the process.
    pub role: Role,
}

/// Number of a period in a sidecar's lifetime, from 0; dates dispatches without comparing clocks.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the epoch after this one.
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
    /// A request to a service.
    Service {
        /// Whether the request may be sent more than once.
        idempotent: bool,
    },
}

impl Work {
    /// Returns whether the work may be run more than once.
    pub fn is_idempotent(&self) -> bool {
        !matches!(self, Work::Service { idempotent: false })
    }
}

/// A request to run a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The call to run, which is the idempotency key.
    pub call: Call,
    /// Incarnation of the receiving sidecar; a sidecar of another incarnation rejects the dispatch.
    pub sidecar: Incarnation,
    /// The last epoch received from the sidecar before the call's intent was recorded. The sidecar
    /// rejects a dispatch that is two epochs old.
    pub epoch: Epoch,
    /// The client account that is charged.
    pub account: Account,
    /// The model or service that is called.
    pub target: Target,
    /// The kind of work.
    pub work: Work,
    /// Time until the caller's deadline.
    pub time_remaining: Span,
    /// Rank in queues; lower numbers go first.
    pub priority: u64,
    /// The complete prompt for a model, or the request body for a service.
    pub input: Vec<u8>,
    /// The W3C trace context.
    pub trace: CompactString,
    /// Encoded events that are not durable yet; unused and always empty (see [`Frame::Hold`]).
    pub tail: Vec<u8>,
}

/// Acceptance of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Number of calls in the sidecar's queue.
    pub queued: u32,
}

/// A chunk of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Number of bytes of the answer before this chunk.
    pub offset: u64,
    /// The bytes of the chunk.
    pub bytes: Vec<u8>,
}

/// Tokens that a call used.
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
    /// Returns the tokens that count against a budget.
    pub fn total(&self) -> Tokens {
        self.prompt.plus(self.generated)
    }
}

/// End of a complete answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Done {
    /// Length of the complete answer.
    pub length: Bytes,
    /// Digest of the complete answer.
    pub digest: Digest,
    /// Tokens that the call used.
    pub usage: Usage,
    /// The endpoint's load at the end of the call.
    pub load: Load,
}

/// Whether a call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The call did not run and never will.
    No,
    /// The call may have run or may still run; this cannot be determined.
    Unknown,
    /// The call ran.
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

/// Why a sidecar gave no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The dispatch names another incarnation of the sidecar.
    Incarnation,
    /// A tombstone declares that the call must never run.
    Tombstone,
    /// The sidecar drains and accepts no new work.
    Leaving,
    /// The sidecar's queue or its room for retained answers is full.
    Full,
    /// The caller's deadline passed while the call was queued.
    Deadline,
    /// The endpoint cannot be reached.
    Unreachable,
    /// The endpoint refused the request or ended its response early.
    Endpoint,
    /// The endpoint does not serve the target.
    Target,
    /// The call was cancelled.
    Cancelled,
    /// No answer to the call is retained: the answer was removed, or the call was never accepted.
    Unretained,
    /// The dispatch is two epochs old or older.
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

/// End of a call without a complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Whether the call ran.
    pub ran: Ran,
    /// Why there is no complete answer.
    pub reason: Reason,
}

/// The last turns of a program, which are not in its log yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tail {
    /// The program.
    pub program: Program,
    /// The writer of the program's log.
    pub writer: Incarnation,
    /// The turns, as encoded by the `program-log` crate.
    pub turns: Vec<u8>,
}

/// A request for the remainder of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The call.
    pub call: Call,
    /// Number of bytes of the answer that the requester already has.
    pub offset: u64,
}

/// State of a call at a sidecar.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// The answer is retained; `Resume` reads it.
    Retained(Done),
    /// The call is queued or running.
    Running,
    /// A tombstone declares that the call did not run and never will.
    Tombstone,
    /// The call ended without a complete answer, or the record of it has been removed.
    Refused(Refused),
}

/// Load of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of calls running at the endpoint.
    pub running: u32,
    /// Number of calls waiting at the sidecar.
    pub queued: u32,
    /// Estimate of the prompt and output tokens still to be processed; unused and always 0.
    pub backlog: Tokens,
    /// Recent time per generated token; zero if unknown.
    pub token_time: Span,
    /// Whether the sidecar drains and accepts no new work.
    pub leaving: bool,
}

/// A caller's request, forwarded to the entry that owns the program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The authenticated client account.
    pub account: Account,
    /// The program.
    pub program: Program,
    /// The HTTP method.
    pub method: CompactString,
    /// The path below the program, for example `calls`.
    pub path: CompactString,
    /// The answer offset of the query; 0 if the query has none.
    pub offset: u64,
    /// The call addressed by the path, if there is one.
    pub seq: Option<Seq>,
    /// The request body.
    pub body: Vec<u8>,
    /// The W3C trace context.
    pub trace: CompactString,
    /// Number of entries that have forwarded the request so far.
    pub hops: u8,
}

/// Head of the response to a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
}

/// A chunk of a response body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// The bytes of the chunk.
    pub bytes: Vec<u8>,
}
