//! The program log: one mechanism for history, order, budgets and at-most-once.
//!
//! Every start of an entry opens a log of its own in the platform's table: a writer row and one row
//! a batch. Invariants:
//! - A batch is one transaction that inserts its row and moves the writer row from slot n to n+1, so
//!   a log has no gaps and no two batches share a slot.
//! - A sealed writer row never changes again, and it names the one log that may adopt from it. A
//!   writer that was sealed cannot commit, whatever it believes: no lease and no clock is involved.
//! - An append is acknowledged only after its transaction was seen to be committed. If the answer is
//!   lost the rows are read back; the outcome is never guessed.

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
