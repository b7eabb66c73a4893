//! Errors that stop an entry.

use std::fmt;
use std::net::SocketAddr;

/// Why an entry cannot start or continue.
#[derive(Debug)]
pub enum Error {
    /// The address cannot be listened on.
    Listen(SocketAddr, std::io::Error),
    /// A thread cannot be started.
    Thread(std::io::Error),
    /// The metrics cannot be registered.
    Metrics(prometheus::Error),
    /// A thread panicked.
    Panicked,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            Error::Thread(error) => write!(f, "cannot start a thread: {error}"),
            Error::Metrics(error) => write!(f, "cannot register metrics: {error}"),
            Error::Panicked => f.write_str("a thread panicked"),
        }
    }
}

impl std::error::Error for Error {}

/// Result of running an entry.
pub type Result<T> = std::result::Result<T, Error>;
