//! Errors that prevent a sidecar from running.

use std::fmt;
use std::net::SocketAddr;

/// Reason why a sidecar cannot run.
#[derive(Debug)]
pub enum Error {
    /// No listener can be opened on the address.
    Listen(SocketAddr, std::io::Error),
    /// The metrics cannot be registered.
    Metrics(prometheus::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            Error::Metrics(error) => write!(f, "cannot register metrics: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Result of running a sidecar.
pub type Result<T> = std::result::Result<T, Error>;
