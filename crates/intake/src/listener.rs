//! A listener whose connections share the limits of a gate.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use smol::net::{TcpListener, TcpStream};
use units::Clock;

use crate::gate::{Connection, Gate};
use crate::ledger::Limits;

/// Time until a failed accept is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A listening socket. It accepts connections until it is dropped.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    gate: Arc<Gate>,
}

impl Listener {
    /// Accepts connections on `listener` within the limits of `gate`.
    pub fn new(listener: TcpListener, gate: Arc<Gate>) -> Self {
        Listener { listener, gate }
    }

    /// Accepts all connections on `listener`, for servers whose clients are trusted.
    pub fn unlimited(listener: TcpListener) -> Self {
        Listener::new(listener, Arc::new(Gate::new(Limits::NONE, Clock::new())))
    }

    /// Returns the next connection that is admitted.
    ///
    /// A failed accept is tried again, as most failures pass. If the process has no descriptor left, the
    /// costliest connection is closed for the next one.
    pub async fn accept(&self) -> (TcpStream, Connection) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    if let Ok(connection) = self.gate.open() {
                        // Best effort: without TCP_NODELAY, responses are only slower.
                        let _ = stream.set_nodelay(true);
                        return (stream, connection);
                    }
                }
                // The client has gone.
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    self.gate.report_failed_accept(&error);
                    smol::Timer::after(RETRY_DELAY).await;
                }
            }
        }
    }
}
