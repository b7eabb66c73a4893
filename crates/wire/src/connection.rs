//! The life cycle of a connection as a typestate: `Connecting` → `Open` ⇄ `Suspect` → `Closed`.
//!
//! Each transition consumes the previous state, so that a connection is in one state at a time. It
//! takes the time as an argument, so that a test controls the clock. Invariants:
//! - An open connection that receives no pong becomes suspect at most [`PING_INTERVAL`] +
//!   [`PONG_TIMEOUT`] after the last pong.
//! - A suspect connection is closed or open again at most [`SUSPECT_TIMEOUT`] later.

use units::{Span, Time};

/// Maximum time to open a connection, its handshake included.
pub const CONNECT_TIMEOUT: Span = Span::from_ms(1_000);

/// Time from a pong to the next ping.
pub const PING_INTERVAL: Span = Span::from_ms(400);

/// Maximum time from a ping to its pong before the connection becomes suspect.
pub const PONG_TIMEOUT: Span = Span::from_ms(600);

/// Maximum time for which a connection stays suspect before it is closed.
pub const SUSPECT_TIMEOUT: Span = Span::from_ms(2_000);

/// A connection in state `S`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connection<S> {
    state: S,
}

/// State of a connection whose handshake is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connecting {
    since: Time,
}

/// State of a connection whose peer answers pings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Open {
    /// When the last pong was received.
    last_pong: Time,
    /// When the ping that has no pong yet was sent.
    ping_sent: Option<Time>,
}

/// State of a connection with an overdue pong; frames in transit may be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    since: Time,
}

/// State of a connection on which nothing more is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed {
    at: Time,
}

impl Connection<Connecting> {
    /// Creates the state of a connection whose opening begins at `now`.
    pub fn new(now: Time) -> Self {
        let state = Connecting { since: now };
        Connection { state }
    }

    /// Returns the time at which the attempt to open the connection fails.
    pub fn deadline(&self) -> Time {
        self.state.since.after(CONNECT_TIMEOUT)
    }

    /// Records that the handshake has succeeded.
    pub fn open(self, now: Time) -> Connection<Open> {
        opened(now)
    }

    /// Records that the handshake has failed.
    pub fn close(self, now: Time) -> Connection<Closed> {
        closed(now)
    }
}

impl Connection<Open> {
    /// Returns when the next ping is due; `None` while a ping has no pong.
    pub fn ping_at(&self) -> Option<Time> {
        match self.state.ping_sent {
            Some(_) => None,
            None => Some(self.state.last_pong.after(PING_INTERVAL)),
        }
    }

    /// Returns when the connection becomes suspect without a pong; `None` if no ping awaits one.
    pub fn deadline(&self) -> Option<Time> {
        self.state
            .ping_sent
            .map(|ping_sent| ping_sent.after(PONG_TIMEOUT))
    }

    /// Records that a ping has been sent.
    pub fn ping(mut self, now: Time) -> Self {
        self.state.ping_sent.get_or_insert(now);
        self
    }

    /// Records that a pong has been received.
    pub fn pong(self, now: Time) -> Self {
        opened(now)
    }

    /// Returns the suspect connection as an error if its pong is overdue.
    pub fn check(self, now: Time) -> Result<Self, Connection<Suspect>> {
        if self.deadline().is_some_and(|deadline| now >= deadline) {
            let state = Suspect { since: now };
            Err(Connection { state })
        } else {
            Ok(self)
        }
    }

    /// Closes a connection that is no longer needed or has failed.
    pub fn close(self, now: Time) -> Connection<Closed> {
        closed(now)
    }
}

impl Connection<Suspect> {
    /// Returns when the connection is closed without a pong.
    pub fn deadline(&self) -> Time {
        self.state.since.after(SUSPECT_TIMEOUT)
    }

    /// Records that the overdue pong has been received.
    pub fn pong(self, now: Time) -> Connection<Open> {
        opened(now)
    }

    /// Closes a connection that has been replaced or whose pong was not received.
    pub fn close(self, now: Time) -> Connection<Closed> {
        closed(now)
    }
}

impl Connection<Closed> {
    /// Returns when the connection was closed.
    pub fn closed_at(&self) -> Time {
        self.state.at
    }
}

/// Returns an open connection whose last pong was received at `now`.
fn opened(now: Time) -> Connection<Open> {
    let state = Open {
        last_pong: now,
        ping_sent: None,
    };
    Connection { state }
}

fn closed(now: Time) -> Connection<Closed> {
    let state = Closed { at: now };
    Connection { state }
}
