//! Points in time and lengths of time.

use std::fmt;
use std::str::FromStr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// A point in time, in microseconds since the Unix epoch.
///
/// Within a process, time never goes back: see [`Clock`]. Decisions take the time as an argument
/// and never read a clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// The time `span` after this one.
    pub fn after(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// A length of time in microseconds; parsed with a suffix `us`, `ms`, `s`, `m` or `h`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Span(pub u64);

impl Span {
    /// A span of `ms` milliseconds.
    pub const fn from_ms(ms: u64) -> Self {
        Span(ms * 1_000)
    }

    /// The span in whole milliseconds.
    pub const fn as_ms(self) -> u64 {
        self.0 / 1_000
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Self {
        Duration::from_micros(span.0)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(1_000_000) {
            write!(f, "{}s", self.0 / 1_000_000)
        } else if self.0.is_multiple_of(1_000) {
            write!(f, "{}ms", self.0 / 1_000)
        } else {
            write!(f, "{}us", self.0)
        }
    }
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let scale: u64 = match &text[digits.len()..] {
            "us" => 1,
            "ms" => 1_000,
            "s" => 1_000_000,
            "m" => 60_000_000,
            "h" => 3_600_000_000,
            _ => return Err(Error::Unit),
        };
        let number: u64 = digits.parse().map_err(|_| Error::Number)?;
        number.checked_mul(scale).map(Span).ok_or(Error::Number)
    }
}

/// Clock of the process: the wall-clock time at start-up plus the elapsed monotonic time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Time,
    start_instant: Instant,
}

impl Clock {
    /// Starts a clock at the current wall-clock time.
    pub fn new() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: Time(wall.as_micros() as u64),
            start_instant: Instant::now(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        Time(self.started_at.0 + self.start_instant.elapsed().as_micros() as u64)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
