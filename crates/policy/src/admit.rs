//! Admission control of new programs at peak load.
//!
//! A new program is refused if its expected wait for running programs of the same or a higher
//! precedence exceeds a share of its objective. It is always admitted if no program is running.
//! Programs that have started are never refused. Lower classes are refused first because the work
//! of higher classes runs before theirs.

use std::collections::BTreeMap;

use rand::Rng;
use units::{Rate, Span};

use crate::estimate::Mean;

const INITIAL_WORK: Span = Span::from_ms(2_000);
const WORK_OUTLIER_FACTOR: f64 = 4.0;
const RETRY_WINDOW_MIN: Span = Span::from_ms(1_000);

/// The programs of one precedence: the number running, and the mean slot time of a finished program
/// in microseconds.
#[derive(Clone, Copy, Debug)]
struct Class {
    running: u32,
    work: Mean,
}

/// Running programs of this entry by precedence, on which its admission decisions are based.
#[derive(Clone, Debug, Default)]
pub struct AdmissionControl {
    classes: BTreeMap<u32, Class>,
}

impl AdmissionControl {
    /// Admission control without running programs.
    pub fn new() -> Self {
        AdmissionControl::default()
    }

    fn class(&mut self, precedence: u32) -> &mut Class {
        self.classes.entry(precedence).or_insert(Class {
            running: 0,
            work: Mean::new(INITIAL_WORK.0 as f64, 0.02),
        })
    }

    /// Counts a program as running.
    pub fn begin(&mut self, precedence: u32) {
        self.class(precedence).running += 1;
    }

    /// Stops counting a program that has not ended but no longer runs at this entry.
    pub fn remove(&mut self, precedence: u32) {
        let class = self.class(precedence);
        class.running = class.running.saturating_sub(1);
    }

    /// Records that a program has ended after holding slots for `work`.
    pub fn end(&mut self, precedence: u32, work: Span) {
        self.remove(precedence);
        let class = self.class(precedence);
        class.work.add_limited(work.0 as f64, WORK_OUTLIER_FACTOR);
    }

    /// Expected wait of a new program for running programs of the same or a higher precedence;
    /// `slots` is this entry's share of the slots.
    pub fn expected_wait(&self, precedence: u32, slots: f64) -> Span {
        let ahead: f64 = self
            .classes
            .range(precedence..)
            // Running programs have done half of their work on average.
            .map(|(_, class)| f64::from(class.running) * class.work.value() / 2.0)
            .sum();
        Span((ahead / slots.max(1.0)) as u64)
    }

    /// Admits a new program or returns the delay after which its caller should retry (full jitter).
    ///
    /// # Errors
    /// The retry delay, if the expected wait exceeds `share` of `objective`; never if `share` is 0.
    pub fn admit(
        &mut self,
        precedence: u32,
        slots: f64,
        objective: Span,
        share: Rate,
        rng: &mut impl Rng,
    ) -> Result<(), Span> {
        let limit = objective.0 as f64 * share.0;
        let expected = self.expected_wait(precedence, slots).0 as f64;
        if share.0 == 0.0 || expected <= limit {
            return Ok(());
        }
        let excess = (expected - limit).max(RETRY_WINDOW_MIN.0 as f64);
        Err(Span(rng.random_range(0..excess as u64)))
    }
}
