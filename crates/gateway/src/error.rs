//! Why a gateway cannot run.

use std::fmt;
use std::net::SocketAddr;

/// Why a gateway stops.
#[derive(Debug)]
pub enum Error {
    /// An address cannot be listened on.
    Listen(SocketAddr, std::io::Error),
    /// A thread cannot be started.
    Thread(std::io::Error),
    /// Metrics cannot be set up.
    Metrics(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            Error::Thread(error) => write!(f, "cannot start a thread: {error}"),
            Error::Metrics(error) => write!(f, "cannot set up metrics: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Result of running a gateway.
pub type Result<T> = std::result::Result<T, Error>;
