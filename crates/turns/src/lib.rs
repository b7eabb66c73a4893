//! Turns and token budgets of programs that several hosts serve without communicating.
//!
//! State that must survive the loss of all hosts is kept in rows of the store: one account row for
//! each program, one or more rows for each turn, and one for each stream that may be resumed. These invariants hold even if hosts are lost
//! and writes or responses are lost, delayed or repeated:
//!
//! - A host hands out tokens of a program only within its grant in the account row. All grants of a
//!   program together exceed its budget by at most the maximum of one turn.
//! - A write of an account whose response was lost is repeated under the same condition, so it
//!   takes effect once.
//! - An account is dropped only if no host has served or refused a turn of its program for as long as
//!   the program may return.
//! - Every host finds a turn once its rows are committed, and only committed turns have successors.
//!   A turn and all turns before it can be read for as long as the turn is retained.
//! - A stream is resumed only at the release that began it, as its row says.
//!
//! The crate does no I/O and reads no clock.

mod account;
mod age;
mod chain;
mod error;
mod events;
mod key;
mod ledger;
mod lifetime;
mod origin;
mod row;
mod write_times;

pub use account::{Account, Grant};
pub use age::VersionAges;
pub use chain::{History, ReadTurn, Transcript, Turn, text_max_bytes};
pub use error::{Error, Result};
pub use events::{EventBatch, EventSplitter};
pub use key::{ACCOUNTS, AccountKey, STREAMS, StreamKey, TURNS, TurnKey, partitions};
pub use ledger::{Admission, Ledger, PlannedWrite};
pub use lifetime::Lifetime;
pub use origin::Origin;
pub use write_times::{CHAIN_SLACK, WriteTimes};
