//! Newtypes shared by all crates: identifiers, sizes, rates and times.
//!
//! Identifiers and quantities are never passed as bare integers or strings, so a slot cannot be
//! mistaken for a sequence number or a millisecond for a microsecond. They appear in settings,
//! URLs, logs and wire frames, so `Display` and `FromStr` round-trip for all types that have both.

mod digest;
mod fingerprint;
mod id;
mod name;
mod quantity;
mod time;

pub use digest::Digest;
pub use fingerprint::Fingerprint;
pub use id::{Call, Incarnation, Program, Seq, Slot, Version};
pub use name::{Account, Class, Endpoint, Host, Model, Region, Target, Zone};
pub use quantity::{Bytes, Calls, Rate, Tokens};
pub use time::{Clock, Span, Time};

use std::fmt;

/// Reason for which a text cannot be parsed as one of this crate's types.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The text is empty.
    Empty,
    /// The text is longer than the type allows.
    TooLong,
    /// A character is not allowed in this type.
    Character,
    /// The number is missing, malformed or out of range.
    Number,
    /// The unit suffix is unknown.
    Unit,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Empty => "is empty",
            Error::TooLong => "is too long (at most 64 characters)",
            Error::Character => "has a character other than a-z, 0-9, '-', '_' and '.'",
            Error::Number => "is not a number in range",
            Error::Unit => "has an unknown unit",
        })
    }
}

impl std::error::Error for Error {}

/// Result of parsing one of this crate's types.
pub type Result<T> = std::result::Result<T, Error>;
