//! Failures of a request.

use std::fmt;

/// Why a request has no usable response.
#[derive(Debug)]
pub enum Error {
    /// No connection could be opened: nothing was sent.
    Connect(std::io::Error),
    /// The exchange failed after bytes may have been sent.
    Exchange(http_types::Error),
    /// No answer came in time.
    Timeout,
    /// The body is longer than its limit in bytes.
    TooLarge(u64),
    /// The body is not what was expected.
    Decode(serde_json::Error),
    /// The peer answered with this status and body.
    Status(u16, Vec<u8>),
}

impl Error {
    /// Whether the peer may have acted on the request.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Error::Connect(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connect(error) => write!(f, "cannot connect: {error}"),
            Error::Exchange(error) => write!(f, "exchange failed: {error}"),
            Error::Timeout => f.write_str("timed out"),
            Error::TooLarge(limit) => write!(f, "body is longer than {limit} bytes"),
            Error::Decode(error) => write!(f, "cannot decode body: {error}"),
            Error::Status(status, _) => write!(f, "status {status}"),
        }
    }
}

impl std::error::Error for Error {}

/// Result of a request.
pub type Result<T> = std::result::Result<T, Error>;
