//! The program log: one mechanism for history, order, budgets and at-most-once dispatch.
//!
//! Each start of an entry opens a log of its own in the store's table: a writer row and one row per
//! batch. Invariants:
//! - A batch is one transaction that inserts the batch row and moves the writer row from slot n to
//!   n+1, so that a log has no gaps and no two batches share a slot.
//! - A sealed writer row never changes again, and it names the one log that may adopt its programs.
//!   The writer of a sealed log cannot commit; this depends on no lease and no clock.
//! - An append is acknowledged only after its transaction is known to be committed. If the store's
//!   response is lost, the outcome is determined by reading the rows.

mod batch;
mod commit;
mod compact;
mod error;
mod event;
mod history;
mod takeover;
mod token;
mod trail;
mod writer;

pub use batch::{
    Batch, State, Successor, Writer, batch_key, open_key, open_transaction, predecessor_key,
    seal_transaction, writer_key,
};
pub use commit::{Commit, Next, Reply};
pub use error::{Error, Result};
pub use event::{
    Answer, Budget, Call, Cause, Created, Event, Intent, Parent, Record, Route, Turn, Usage,
};
pub use history::{Histories, History, merge_histories};
pub use takeover::{
    SealOutcome, WriterSnapshot, compact_all, open_logs, predecessors, read_batches,
    read_histories, read_successor, read_writer, seal_log,
};
pub use token::Token;
pub use trail::{LoggedEvent, trail};
pub use writer::{Handle, Log, open};
