//! Errors of the log.

use std::fmt;

use units::{Incarnation, Slot};

/// Why an operation on the log failed.
#[derive(Debug)]
pub enum Error {
    /// The store gave no usable response.
    Platform(store::Error),
    /// The log was sealed at this slot in favour of this successor, so that its writer is fenced.
    Sealed(Slot, Incarnation),
    /// The row of this slot or the writer row was written by another process.
    Foreign(Slot),
    /// A row does not match its checksum or cannot be decoded.
    Corrupt(Slot),
    /// A row cannot be encoded.
    Encode(bincode::error::EncodeError),
    /// The token is malformed or was not issued by this environment.
    Token,
    /// The log named as the successor is not open.
    SuccessorNotOpen(Incarnation),
    /// The log has ended and accepts no more requests.
    Closed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Platform(error) => error.fmt(f),
            Error::Sealed(slot, successor) => {
                write!(f, "log sealed at slot {slot} in favour of {successor}")
            }
            Error::Foreign(slot) => write!(f, "slot {slot} was written by another process"),
            Error::Corrupt(slot) => write!(f, "slot {slot} is corrupt"),
            Error::Encode(error) => write!(f, "cannot encode row: {error}"),
            Error::Token => f.write_str("token is invalid"),
            Error::SuccessorNotOpen(writer) => write!(f, "successor log {writer} is not open"),
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
