//! Estimates that follow observations.

use units::{Span, Time};

/// A mean that follows its samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Mean {
    value: f64,
    weight: f64,
    samples: u32,
}

impl Mean {
    /// A mean that starts at `value` and moves by `weight` of the difference of each sample.
    pub(crate) fn new(value: f64, weight: f64) -> Self {
        Mean {
            value,
            weight,
            samples: 0,
        }
    }

    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        // The first samples count in full, so that the start value is soon forgotten.
        let weight = self.weight.max(1.0 / f64::from(self.samples));
        self.value += weight * (sample - self.value);
    }

    /// Follows a sample that may be an outlier: it counts as at most `limit` times the mean.
    pub(crate) fn add_limited(&mut self, sample: f64, limit: f64) {
        if self.samples == 0 {
            self.add(sample);
        } else {
            self.add(sample.clamp(self.value / limit, self.value * limit));
        }
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}

/// A quantile that follows its samples by small steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Quantile {
    value: f64,
    share: f64,
    step: f64,
}

impl Quantile {
    pub(crate) fn new(value: f64, share: f64, step: f64) -> Self {
        Quantile { value, share, step }
    }

    pub(crate) fn add(&mut self, sample: f64) {
        let up = if sample > self.value {
            self.share
        } else {
            self.share - 1.0
        };
        self.value *= 1.0 + self.step * up;
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}

const UP_WEIGHT: f64 = 0.1;
const DOWN_WEIGHT: f64 = 0.05;
const HALF_LIFE: Span = Span::from_ms(2_000);

/// How many times slower an endpoint is than its peers: fast up, slow down.
///
/// Without observations it decays to one, so that a shunned endpoint is tried again with little work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Slowness {
    ratio: f64,
    at: Time,
}

impl Slowness {
    pub(crate) fn new() -> Self {
        Slowness {
            ratio: 1.0,
            at: Time(0),
        }
    }

    pub(crate) fn at(&self, now: Time) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        1.0 + (self.ratio - 1.0) * (-half_lives).exp2()
    }

    pub(crate) fn observe(&mut self, ratio: f64, now: Time) {
        let old = self.at(now);
        let weight = if ratio > old { UP_WEIGHT } else { DOWN_WEIGHT };
        self.ratio = (old + weight * (ratio - old)).max(1.0);
        self.at = now;
    }
}
