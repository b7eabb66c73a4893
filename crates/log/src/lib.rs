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
    Batch, Heir, State, Writer, batch_key, inherited_key, open_key, open_transaction, seal,
    writer_key,
};
pub use commit::{Commit, Next, Reply};
pub use error::{Error, Result};
pub use event::{
    Answer, Budget, Call, Cause, Created, Event, Intent, Parent, Record, Route, Turn, Usage,
};
pub use history::{Histories, History, inherit};
pub use takeover::{
    Found, Sealing, batches, compact_all, find, heir, histories, inherited, opened, take,
};
pub use token::Token;
pub use trail::{Step, trail};
pub use writer::{Handle, Log, open};
