//! Failures of requests to the store.

use std::fmt;

/// Why a request to the store has no usable response.
///
/// The `Display` text is part of the administration API's answers.
#[derive(Debug)]
pub enum Error {
    /// The store did not receive the request or refused it; the request had no effect.
    Unavailable(http_io::Error),
    /// The response was lost; the request may have taken effect.
    Uncertain(http_io::Error),
    /// The process has no memory for the response to a read.
    NoMemory,
}

impl Error {
    /// Returns whether the request may have taken effect although it failed.
    pub fn is_uncertain(&self) -> bool {
        matches!(self, Error::Uncertain(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unavailable(error) => write!(f, "platform unavailable: {error}"),
            Error::Uncertain(error) => write!(f, "platform's answer lost: {error}"),
            Error::NoMemory => f.write_str("no memory for the platform's answer"),
        }
    }
}

impl std::error::Error for Error {}

impl From<http_io::Error> for Error {
    fn from(error: http_io::Error) -> Self {
        match &error {
            http_io::Error::Connect(_) => Error::Unavailable(error),
            http_io::Error::Status(429 | 503, _) => Error::Unavailable(error),
            _ => Error::Uncertain(error),
        }
    }
}

/// Result of a request to the store.
pub type Result<T> = std::result::Result<T, Error>;
