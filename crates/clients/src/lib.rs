//! Client accounts: their keys, the identifiers that their callers choose, and the limits that all
//! hosts together keep.
//!
//! The requests of an account come through all hosts, a few through each, and those of one program
//! through one or two at a time. So a limit is kept in one place: a host, the [`Meter`] of the account,
//! counts the requests of all hosts. The others obtain [`Credit`] from it, for the requests that wait
//! and some that are expected.
//!
//! No host has to be the only one that meters. Each host obtains its credit from one meter at a time,
//! and a meter grants the part of a limit that is the part of the listed hosts attached to it. So
//! meters that do not know of each other, as a link between them is cut, keep the limit together.

mod account;
mod credit;
mod error;
mod meter;
pub mod owner;

pub use account::{Account, Accounts, Limit};
pub use credit::{Credit, Standing};
pub use error::{Error, Result};
pub use meter::{Granted, Meter, Want};
