//! Failures of the platform's service.

use std::fmt;

/// Why the service gave no usable answer.
#[derive(Debug)]
pub enum Error {
    /// The service did not get the request or refused it: nothing happened.
    Unavailable(http_io::Error),
    /// The answer was lost: the request may have taken effect.
    Uncertain(http_io::Error),
}

impl Error {
    /// Whether a write may have taken effect.
    pub fn is_uncertain(&self) -> bool {
        matches!(self, Error::Uncertain(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unavailable(error) => write!(f, "platform unavailable: {error}"),
            Error::Uncertain(error) => write!(f, "platform's answer lost: {error}"),
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

/// Result of a request to the platform's service.
pub type Result<T> = std::result::Result<T, Error>;
