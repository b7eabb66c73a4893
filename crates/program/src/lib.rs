//! Call order, budget and life cycle of a program, as a pure state machine.
//!
//! Invariants:
//! - Calls run one at a time and in the order of their sequence numbers. A repeated call with the
//!   same digest gets the answer of the first one; a repeated call with another digest is refused.
//! - Durable state changes only by [`Program::apply`] of durable events. The running call is kept
//!   apart from it and is lost with the process.
//! - Tokens spent and reserved together never exceed the granted tranches, and the granted tranches
//!   never exceed the budget.

mod admission;
mod budget;
mod program;

pub use admission::{Admission, Refusal, Request};
pub use budget::{Ledger, Reservation};
pub use program::Program;
