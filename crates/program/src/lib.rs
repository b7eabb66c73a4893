//! A program's order, budget and life cycle, as a pure state machine.
//!
//! Invariants:
//! - Calls run one at a time and in the order of their sequence numbers; a repeat of a call with the
//!   same digest gets the one answer, with another digest it is refused.
//! - State changes by [`Program::apply`] of durable events only; what is running is kept apart and is
//!   lost with the process.
//! - Tokens spent and reserved together never exceed what tranches have granted, and tranches never
//!   exceed the budget.

mod admission;
mod budget;
mod program;

pub use admission::{Admission, Refusal, Request};
pub use budget::{Ledger, Reservation};
pub use program::Program;
