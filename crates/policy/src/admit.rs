//! Admission of new programs at the crest of a demand swing.
//!
//! A new program is refused when it would wait for the work under way that goes before it for more
//! than a share of its objective; with nothing under way it is always admitted. Programs under way are never refused, and lower classes are refused first because the
//! work of higher ones goes before theirs.

use std::collections::BTreeMap;

use rand::Rng;
use units::{Rate, Span};

use crate::estimate::Mean;

const WORK_START: Span = Span::from_ms(2_000);
const WORK_LIMIT: f64 = 4.0;
const RETRY_MIN: Span = Span::from_ms(1_000);

/// What is known of the programs of one precedence.
#[derive(Clone, Copy, Debug)]
struct Class {
    live: u32,
    work: Mean,
}

/// Programs under way by precedence.
#[derive(Clone, Debug, Default)]
pub struct AdmissionControl {
    classes: BTreeMap<u32, Class>,
}

impl AdmissionControl {
    /// No programs under way.
    pub fn new() -> Self {
        AdmissionControl::default()
    }

    fn class(&mut self, precedence: u32) -> &mut Class {
        self.classes.entry(precedence).or_insert(Class {
            live: 0,
            work: Mean::new(WORK_START.0 as f64, 0.02),
        })
    }

    /// Counts a program as under way.
    pub fn begin(&mut self, precedence: u32) {
        self.class(precedence).live += 1;
    }

    /// Takes in that a program is no longer under way here, though it has not ended.
    pub fn remove(&mut self, precedence: u32) {
        let class = self.class(precedence);
        class.live = class.live.saturating_sub(1);
    }

    /// Takes in that a program ended after holding slots for `work`.
    pub fn end(&mut self, precedence: u32, work: Span) {
        self.remove(precedence);
        let class = self.class(precedence);
        class.work.add_limited(work.0 as f64, WORK_LIMIT);
    }

    /// Expected wait of a new program for the work under way that goes before it; `slots` is this
    /// entry's part of the slots.
    pub fn expected_wait(&self, precedence: u32, slots: f64) -> Span {
        let ahead: f64 = self
            .classes
            .range(precedence..)
            // Programs under way have done half of their work on average.
            .map(|(_, class)| f64::from(class.live) * class.work.value() / 2.0)
            .sum();
        Span((ahead / slots.max(1.0)) as u64)
    }

    /// Admits a new program, or tells after how long its caller should try again (full jitter).
    ///
    /// # Errors
    /// The delay, if the program would wait for more than `share` of `objective`.
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
        let excess = (expected - limit).max(RETRY_MIN.0 as f64);
        Err(Span(rng.random_range(0..excess as u64)))
    }
}
