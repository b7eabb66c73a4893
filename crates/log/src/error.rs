//! Failures of the log.

use std::fmt;

use units::{Incarnation, Slot};

/// Why the log did not do what was asked.
#[derive(Debug)]
pub enum Error {
    /// The platform's service gave no usable answer.
    Platform(store::Error),
    /// The log was sealed at this slot by this successor: the writer is fenced.
    Sealed(Slot, Incarnation),
    /// A row is there that this writer did not write.
    Foreign(Slot),
    /// A row does not match its checksum or cannot be decoded.
    Corrupt(Slot),
    /// The row cannot be encoded.
    Encode(bincode::error::EncodeError),
    /// The token is malformed or was not issued by this environment.
    Token,
    /// The log that was to be the successor is not open.
    SuccessorNotOpen(Incarnation),
    /// The log has been closed.
    Closed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Platform(error) => error.fmt(f),
            Error::Sealed(slot, by) => write!(f, "log sealed at slot {slot} by {by}"),
            Error::Foreign(slot) => write!(f, "slot {slot} was written by somebody else"),
            Error::Corrupt(slot) => write!(f, "slot {slot} is corrupt"),
            Error::Encode(error) => write!(f, "cannot encode batch: {error}"),
            Error::Token => f.write_str("token is invalid"),
            Error::SuccessorNotOpen(writer) => write!(f, "log {writer} is not open"),
            Error::Closed => f.write_str("log is closed"),
        }
    }
}

impl std::error::Error for Error {}

impl From<store::Error> for Error {
    fn from(error: store::Error) -> Self {
        Error::Platform(error)
    }
}

/// Result of an operation on the log.
pub type Result<T> = std::result::Result<T, Error>;
