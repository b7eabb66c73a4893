//! Rows that cannot be used.

use std::fmt;

use compact_str::CompactString;

/// Why a row of a program is not usable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The bytes are not what this version writes.
    Decode(CompactString),
    /// Some of a turn's rows are missing.
    Incomplete,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Decode(kind) => write!(f, "row cannot be decoded: {kind}"),
            Error::Incomplete => f.write_str("a row of the turn is missing"),
        }
    }
}

impl std::error::Error for Error {}

/// Result of reading rows.
pub type Result<T> = std::result::Result<T, Error>;
