//! Errors of connections and exchanges.

use std::fmt;

/// Why an exchange with a peer failed.
#[derive(Debug)]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    Connect(std::io::Error),
    /// The connection was lost before the exchange was opened; nothing was sent.
    Unopened(h2::Error),
    /// The connection or the stream failed.
    Http2(h2::Error),
    /// The peer has not proved that it holds the shared key.
    Authentication,
    /// A received frame cannot be decoded.
    Decode(bincode::error::DecodeError),
    /// A frame to send cannot be encoded.
    Encode(bincode::error::EncodeError),
    /// The frame's payload, of this many bytes, exceeds the limit.
    TooLarge(usize),
    /// The peer uses this other version of the protocol.
    Version(u8),
    /// The stream ended before the exchange was complete.
    Ended,
    /// A frame of this kind was received where the protocol does not allow it.
    Unexpected(&'static str),
    /// The peer did not respond in time.
    Timeout,
}

impl Error {
    /// Returns whether the exchange was not served and never will be, because it was not opened or
    /// the draining peer rejected it.
    pub fn is_unserved(&self) -> bool {
        match self {
            Error::Connect(_) | Error::Unopened(_) => true,
            Error::Http2(error) => error.is_go_away() && error.is_remote(),
            _ => false,
        }
    }

    /// Returns the metrics label for a connection that ended with this error.
    pub fn label(&self) -> &'static str {
        match self {
            Error::Authentication => "peer-unauthenticated",
            Error::Timeout => "peer-silent",
            Error::Decode(_) | Error::TooLarge(_) | Error::Version(_) => "peer-malformed",
            _ => "peer-broken",
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connect(error) => write!(f, "cannot connect: {error}"),
            Error::Unopened(error) => write!(
                f,
                "connection was lost before the exchange was opened: {error}"
            ),
            Error::Http2(error) => write!(f, "connection failed: {error}"),
            Error::Authentication => f.write_str("peer does not hold the shared key"),
            Error::Decode(error) => write!(f, "cannot decode frame: {error}"),
            Error::Encode(error) => write!(f, "cannot encode frame: {error}"),
            Error::TooLarge(size) => write!(f, "frame of {size} bytes is too large"),
            Error::Version(version) => write!(f, "unknown protocol version {version}"),
            Error::Ended => f.write_str("stream ended early"),
            Error::Unexpected(kind) => write!(f, "unexpected frame {kind}"),
            Error::Timeout => f.write_str("peer did not respond in time"),
        }
    }
}

impl std::error::Error for Error {}

impl From<h2::Error> for Error {
    fn from(error: h2::Error) -> Self {
        Error::Http2(error)
    }
}

/// Result of an operation on a connection or an exchange.
pub type Result<T> = std::result::Result<T, Error>;
