//! Policy decisions as pure functions and state machines; time and randomness are arguments.
//!
//! No code in this crate reads a clock or a socket or takes a lock, so a decision seen in
//! production can be reproduced in a test from its inputs alone.

mod admit;
mod estimate;
mod fleet;
mod hedge;
mod idle;
mod limit;
mod order;
mod place;
mod quarantine;
mod reservation;
mod route;
mod settings;
mod urgency;

pub use admit::AdmissionControl;
pub use fleet::{EndpointInfo, Fleet, Usage};
pub use hedge::{HedgeBudget, Stream};
pub use idle::IdleLimit;
pub use limit::{Limit, LimitChange, Sender, Share, Target};
pub use order::{Rank, RankFactors};
pub use place::{
    Balancer, Candidate, Choice, Chunk, Demand, Fault, Observation, PREFILL_US_PER_TOKEN,
    TransferCost,
};
pub use quarantine::{Admission, LOSSES_MAX, Listing, Loss, Probe, Quarantine, Suspect, Verdict};
pub use reservation::{Hold, Reservations};
pub use route::{Reason, Request, Ticket};
pub use settings::{Order, Routing, Settings};
pub use urgency::Urgency;
