//! The gateway: forwards callers' requests to endpoints, on a platform that provides a table store
//! and lists the endpoints in it.
//!
//! Invariants, under any failure:
//!
//! - A request that must not be repeated is sent to a second endpoint only after proof that the
//!   first endpoint did not run it. A refusal states that the request did not run only with that
//!   proof; any other failure is reported as an error that leaves open whether the request ran.
//! - An answer is relayed only if it is the endpoint's answer to this request. The caller sees it
//!   as complete only if it is.
//! - The answer of a turn ends only after the turn is committed. Tokens are handed out only within
//!   a committed grant.
//! - An environment is never replaced by an older one.
//!
//! Header, table and key names of the platform do not occur here: [`Dialect`] decodes and encodes
//! the messages, [`Directory`] the rows.

mod accept;
mod attempt;
mod availability;
mod buffers;
mod call;
mod caps;
mod control;
mod crashes;
mod dialect;
mod endpoints;
mod environment;
mod error;
mod exchange;
mod history;
mod introductions;
mod list_copy;
mod losses;
mod peers;
mod programs;
mod prompt;
mod propagation;
mod relay;
mod replica;
mod reply;
mod reservation;
mod resume;
mod roster;
mod rows;
mod server;
mod sniff;
mod sources;
mod state;
mod stop;
mod streams;
mod sweep;
mod turn;

pub use availability::{
    Availability, AvailabilityChange, store_call_deadline, store_wait_deadline,
};
pub use buffers::{Buffer, Buffers};
pub use call::{Call, Directives, Malformed, NamedLimit, PromptPart, ResponseMeta, Sender};
pub use dialect::{Adapter, Dialect, Directory};
pub use endpoints::{Endpoint, EndpointChange, Endpoints};
pub use environment::{Engine, Environment, Limits, Repeat, Route, Service, Share};
pub use error::{Error, Result};
pub use introductions::Introductions;
pub use list_copy::ListCopy;
pub use reply::Refusal;
pub use roster::{Peer, Roster};
pub use server::{Control, run};
pub use sniff::{HeadState, Sniffer};
pub use sources::{Source, Sources};
pub use stop::Stop;
pub use sweep::is_orphaned;
