//! The life cycle of a connection as a typestate: `Connecting` → `Open` ⇄ `Suspect` → `Closed`.
//!
//! Each transition takes the time as an argument and consumes the state before it, so that a
//! connection is in one state at a time and nothing is decided by a clock that a test cannot set.
//! Invariants:
//! - An open connection without a pong is suspected at most [`PING_INTERVAL`] + [`PONG_TIMEOUT`]
//!   after the last one.
//! - A suspected connection is closed or open again at most [`SUSPECT_TIMEOUT`] later.

use units::{Span, Time};

/// Time that opening a connection may take, with its handshake.
pub const CONNECT_TIMEOUT: Span = Span::from_ms(1_000);

/// Time from a pong to the next ping.
pub const PING_INTERVAL: Span = Span::from_ms(400);

/// Time that a pong may take before the connection is suspected.
pub const PONG_TIMEOUT: Span = Span::from_ms(600);

/// Time for which a suspected connection is kept.
pub const SUSPECT_TIMEOUT: Span = Span::from_ms(2_000);

/// A connection in state `S`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connection<S> {
    state: S,
}

/// The handshake is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connecting {
    since: Time,
}

/// The peer answers pings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Open {
    /// When the last pong came.
    heard: Time,
    /// When the ping went out that has no pong yet.
    pinged: Option<Time>,
}

/// A ping has gone unanswered: what is on the connection may never arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    since: Time,
}

/// Nothing more is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed {
    at: Time,
}

impl Connection<Connecting> {
    /// A connection that is being opened.
    pub fn new(now: Time) -> Self {
        let state = Connecting { since: now };
        Connection { state }
    }

    /// When opening it is given up.
    pub fn deadline(&self) -> Time {
        self.state.since.after(CONNECT_TIMEOUT)
    }

    /// The handshake has succeeded.
    pub fn open(self, now: Time) -> Connection<Open> {
        opened(now)
    }

    /// The handshake has failed.
    pub fn close(self, now: Time) -> Connection<Closed> {
        closed(now)
    }
}

impl Connection<Open> {
    /// When the next ping is due; there is at most one without a pong.
    pub fn ping_at(&self) -> Option<Time> {
        match self.state.pinged {
            Some(_) => None,
            None => Some(self.state.heard.after(PING_INTERVAL)),
        }
    }

    /// When the connection is to be suspected unless a pong comes.
    pub fn deadline(&self) -> Option<Time> {
        self.state.pinged.map(|pinged| pinged.after(PONG_TIMEOUT))
    }

    /// A ping has been sent.
    pub fn ping(mut self, now: Time) -> Self {
        self.state.pinged.get_or_insert(now);
        self
    }

    /// A pong has come.
    pub fn pong(self, now: Time) -> Self {
        opened(now)
    }

    /// Suspects the connection if its pong is overdue.
    pub fn check(self, now: Time) -> Result<Self, Connection<Suspect>> {
        if self.deadline().is_some_and(|deadline| now >= deadline) {
            let state = Suspect { since: now };
            Err(Connection { state })
        } else {
            Ok(self)
        }
    }

    /// The connection is no longer needed, or broke.
    pub fn close(self, now: Time) -> Connection<Closed> {
        closed(now)
    }
}

impl Connection<Suspect> {
    /// When the connection is closed unless a pong comes.
    pub fn deadline(&self) -> Time {
        self.state.since.after(SUSPECT_TIMEOUT)
    }

    /// The pong has come after all.
    pub fn pong(self, now: Time) -> Connection<Open> {
        opened(now)
    }

    /// Another connection has taken its place, or the pong never came.
    pub fn close(self, now: Time) -> Connection<Closed> {
        closed(now)
    }
}

impl Connection<Closed> {
    /// When it was closed.
    pub fn closed_at(&self) -> Time {
        self.state.at
    }
}

/// A connection from which the peer was heard at `now`.
fn opened(now: Time) -> Connection<Open> {
    let state = Open {
        heard: now,
        pinged: None,
    };
    Connection { state }
}

fn closed(now: Time) -> Connection<Closed> {
    let state = Closed { at: now };
    Connection { state }
}
