//! Errors of a gateway process.

use std::fmt;
use std::net::SocketAddr;

/// Error that prevents a gateway from starting.
#[derive(Debug)]
pub enum Error {
    /// Binding a listener to the address failed.
    Listen(SocketAddr, std::io::Error),
    /// Starting a thread failed.
    Thread(std::io::Error),
    /// Setting up the metrics failed.
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
