//! How much of the response to a call has arrived, and how long the call may take.
//!
//! The time limit of a call applies to the head of its response. A response that arrives may take any
//! time, as its size is unknown and other traffic may use the same network.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock, PoisonError};

use memory::{Charge, Size};
use smol::future::FutureExt;
use units::{Bytes, Clock, Span, Time};

use crate::error::{Error, Result};

/// Longest pause between two pieces of a response: a network that is congested delays each of them.
const PAUSE_MAX: Span = Span::from_ms(1_000);

/// Memory of a response, in lengths of it: the response, and what is decoded from it.
const RESPONSE_COPIES: u64 = 3;

/// What has arrived of the response to a call.
#[derive(Debug)]
pub struct Progress {
    clock: Clock,
    bytes: AtomicU64,
    first: OnceLock<Time>,
    last: AtomicU64,
    is_accepted: AtomicBool,
    /// Memory of the response; `None` if it is not charged.
    charge: Option<Mutex<Charge>>,
    /// Whether the response is received also if there is no room for it.
    is_essential: bool,
}

impl Progress {
    /// Returns the state before the first byte.
    pub fn new(clock: Clock) -> Self {
        Progress {
            clock,
            bytes: AtomicU64::new(0),
            first: OnceLock::new(),
            last: AtomicU64::new(0),
            is_accepted: AtomicBool::new(false),
            charge: None,
            is_essential: false,
        }
    }

    /// Charges the memory of the response with `charge`, which grows as the response arrives and ends with
    /// this.
    pub fn with_charge(mut self, charge: Charge) -> Self {
        self.charge = Some(Mutex::new(charge));
        self
    }

    /// Has the response received also if there is no room for it, as the process needs it to go on.
    pub fn with_priority(mut self) -> Self {
        self.is_essential = true;
        self
    }

    /// Charges memory for `bytes` bytes more of the body.
    ///
    /// # Errors
    /// [`Error::NoMemory`] if there is no room.
    pub fn admit(&self, bytes: usize) -> Result<()> {
        let Some(charge) = &self.charge else {
            return Ok(());
        };
        let mut charge = charge.lock().unwrap_or_else(PoisonError::into_inner);
        let length = self.bytes() + bytes as u64;
        let needed = charge.bytes().max(Bytes(length * RESPONSE_COPIES));
        if self.is_essential {
            charge.resize_anyway(needed);
            return Ok(());
        }
        let resized = charge.resize(needed, Size::of(needed));
        resized.map_err(|_| Error::NoMemory)
    }

    /// Records the arrival of the head of the response; `is_accepted` says whether the call was
    /// made, rather than refused.
    pub fn record_head(&self, is_accepted: bool) {
        self.is_accepted.store(is_accepted, Ordering::Release);
        self.record(0);
    }

    /// Records the arrival of `bytes` bytes of the body.
    pub fn record(&self, bytes: usize) {
        let now = self.clock.now();
        self.last.store(now.0, Ordering::Release);
        self.first.get_or_init(|| now);
        self.bytes.fetch_add(bytes as u64, Ordering::AcqRel);
    }

    /// Returns the bytes of the body that have arrived.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Acquire)
    }

    /// Returns when the head arrived, if it has.
    pub fn first(&self) -> Option<Time> {
        self.first.get().copied()
    }

    /// Returns when anything arrived last, if anything has.
    pub fn last(&self) -> Option<Time> {
        self.first()?;
        Some(Time(self.last.load(Ordering::Acquire)))
    }

    /// Returns the time from the head of the response to its latest piece.
    pub fn arrival_time(&self) -> Span {
        match (self.first(), self.last()) {
            (Some(first), Some(last)) => last.since(first),
            _ => Span(0),
        }
    }

    /// Returns when anything of the result arrived last; `None` if the call was refused.
    pub fn last_of_result(&self) -> Option<Time> {
        self.last()
            .filter(|_| self.is_accepted.load(Ordering::Acquire))
    }

    /// Returns when a call that began at `started` is given up, as far as is known now. `limit` is the
    /// time limit for the head.
    pub fn deadline(&self, started: Time, limit: Span) -> Time {
        let deadline = started.after(limit);
        self.last()
            .map_or(deadline, |piece| deadline.max(piece.after(PAUSE_MAX)))
    }

    /// Awaits a call that records its progress here; `limit` is the time limit for the head.
    ///
    /// # Errors
    /// [`Error::Uncertain`] if the call is given up.
    pub async fn limit<T>(&self, limit: Span, call: impl Future<Output = Result<T>>) -> Result<T> {
        let started = self.clock.now();
        let expire = async {
            loop {
                let remaining = self.deadline(started, limit).since(self.clock.now());
                if remaining == Span(0) {
                    return Err(Error::Uncertain(http_io::Error::Timeout));
                }
                smol::Timer::after(remaining.into()).await;
            }
        };
        call.or(expire).await
    }
}
