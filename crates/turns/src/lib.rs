//! Turns and token budgets of programs that several hosts serve without talking to each other.
//!
//! Everything that must survive the loss of every host lies in rows: one account row a program and
//! one or more rows a turn. The invariants, whatever is lost, late or repeated:
//!
//! - A host hands out tokens of a program only within its grant in the account row. All grants of a
//!   program together never exceed its budget.
//! - A write of an account whose answer was lost is repeated under the same condition, so it
//!   happens once.
//! - A turn is found by every host once its rows are committed, and only committed turns have
//!   successors. It is found, with all turns before it, for as long as it is retained.
//!
//! Nothing here reads a clock or a socket.

mod account;
mod age;
mod chain;
mod error;
mod events;
mod key;
mod ledger;
mod write_times;

pub use account::{Account, Grant};
pub use age::VersionAges;
pub use chain::{History, Transcript, Turn};
pub use error::{Error, Result};
pub use events::{EventBatch, EventSplitter};
pub use key::{ACCOUNTS, AccountKey, TURNS, TurnKey, partitions};
pub use ledger::{Admission, Ledger, PlannedWrite};
pub use write_times::{CHAIN_SLACK, WriteTimes};
