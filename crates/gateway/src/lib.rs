//! The gateway: callers' requests to endpoints, on a platform that keeps rows and lists endpoints.
//!
//! What it keeps to, whatever fails:
//!
//! - A request that must not be repeated is sent to a second endpoint only after proof that the
//!   first did not run it. A refusal is sent only with that proof; all else is an error that
//!   promises nothing.
//! - An answer is relayed only if it is the endpoint's answer to this request, and looks complete
//!   only if it is.
//! - A turn's answer ends only once the turn is committed. Tokens are handed out only within a
//!   grant that is committed.
//! - An environment never gives way to an older one.
//!
//! The gateway knows no names of the platform: [`Dialect`] reads and writes the messages,
//! [`Directory`] the rows.

mod accept;
mod attempt;
mod availability;
mod call;
mod control;
mod dialect;
mod endpoints;
mod environment;
mod error;
mod exchange;
mod history;
mod peers;
mod programs;
mod prompt;
mod relay;
mod reply;
mod rows;
mod server;
mod sniff;
mod state;
mod sweep;
mod turn;

pub use availability::{
    Availability, AvailabilityChange, store_call_deadline, store_wait_deadline,
};
pub use call::{Call, Directives, Malformed, PromptPart, ResponseMeta};
pub use dialect::{Adapter, Dialect, Directory};
pub use endpoints::{Endpoint, EndpointChange, Endpoints};
pub use environment::{Engine, Environment, Limits, Repeat, Route, Service, Share};
pub use error::{Error, Result};
pub use peers::{Peer, Roster};
pub use reply::Refusal;
pub use server::{Control, run};
pub use sniff::{HeadState, Sniffer};
pub use sweep::is_orphaned;
