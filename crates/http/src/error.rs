//! Errors of HTTP requests.

use std::fmt;

/// Reason why a request has no usable response.
#[derive(Debug)]
pub enum Error {
    /// The connection could not be opened; nothing was sent.
    Connect(std::io::Error),
    /// The request failed after bytes may have been sent.
    Exchange(http_types::Error),
    /// The response did not arrive within the timeout.
    Timeout,
    /// The body is longer than its limit in bytes.
    TooLarge(u64),
    /// The requests that are being served leave no room for this one, which was not served.
    Overloaded,
    /// A body cannot be encoded as JSON, or is not JSON of the expected type.
    Decode(serde_json::Error),
    /// The server responded with this status and body.
    Status(u16, Vec<u8>),
}

impl Error {
    /// Returns whether the server may have processed the request.
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
            Error::Overloaded => f.write_str("requests take all the memory that they may"),
            Error::Decode(error) => write!(f, "cannot decode body: {error}"),
            Error::Status(status, _) => write!(f, "status {status}"),
        }
    }
}

impl std::error::Error for Error {}

/// Result of an HTTP operation.
pub type Result<T> = std::result::Result<T, Error>;
