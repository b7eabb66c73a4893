//! Errors of encoding and decoding rows.

use std::fmt;

use compact_str::CompactString;

/// Why rows of an account or a turn cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The bytes are not in the format that this version writes; says what is wrong with them.
    Decode(CompactString),
    /// Some of a turn's rows are missing.
    Incomplete,
    /// The turn continues a turn of another owner.
    OtherOwner,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Decode(kind) => write!(f, "row cannot be decoded: {kind}"),
            Error::Incomplete => f.write_str("a row of the turn is missing"),
            Error::OtherOwner => f.write_str("the turn continues a turn of another owner"),
        }
    }
}

impl std::error::Error for Error {}

/// Result of encoding or decoding rows.
pub type Result<T> = std::result::Result<T, Error>;
