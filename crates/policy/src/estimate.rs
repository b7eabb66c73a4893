//! Running estimates of observed values.

use units::{Span, Time};

/// An exponentially weighted moving average.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Mean {
    value: f64,
    weight: f64,
    samples: u32,
}

impl Mean {
    /// A mean that starts at `value` and moves towards each sample by `weight` of the difference.
    pub(crate) fn new(value: f64, weight: f64) -> Self {
        Mean {
            value,
            weight,
            samples: 0,
        }
    }

    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        // The first samples are averaged evenly, so that the start value has no lasting influence.
        let weight = self.weight.max(1.0 / f64::from(self.samples));
        self.value += weight * (sample - self.value);
    }

    /// Adds a sample that may be an outlier, clamped to between `1 / outlier_factor` and
    /// `outlier_factor` times the mean.
    pub(crate) fn add_limited(&mut self, sample: f64, outlier_factor: f64) {
        if self.samples == 0 {
            self.add(sample);
        } else {
            self.add(sample.clamp(self.value / outlier_factor, self.value * outlier_factor));
        }
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}

/// A quantile estimated by small steps towards each sample.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Quantile {
    value: f64,
    quantile: f64,
    step: f64,
}

impl Quantile {
    /// An estimate of `quantile` (such as 0.95) that starts at `value` and moves in steps relative
    /// to its value, scaled by `step`.
    pub(crate) fn new(value: f64, quantile: f64, step: f64) -> Self {
        Quantile {
            value,
            quantile,
            step,
        }
    }

    pub(crate) fn add(&mut self, sample: f64) {
        let direction = if sample > self.value {
            self.quantile
        } else {
            self.quantile - 1.0
        };
        self.value *= 1.0 + self.step * direction;
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}

const RISE_WEIGHT: f64 = 0.1;
const FALL_WEIGHT: f64 = 0.05;
const HALF_LIFE: Span = Span::from_ms(2_000);

/// How many times slower an endpoint is than its peers; it rises faster than it falls.
///
/// Without observations the ratio decays to 1, so that an avoided endpoint is tried again with a
/// small amount of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Slowness {
    ratio: f64,
    observed_at: Time,
}

impl Slowness {
    pub(crate) fn new() -> Self {
        Slowness {
            ratio: 1.0,
            observed_at: Time(0),
        }
    }

    /// The ratio at `now`, after decay.
    pub(crate) fn at(&self, now: Time) -> f64 {
        let half_lives = now.since(self.observed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        1.0 + (self.ratio - 1.0) * (-half_lives).exp2()
    }

    /// Adds an observed ratio of the time per token to the mean of all peers.
    pub(crate) fn observe(&mut self, ratio: f64, now: Time) {
        let current = self.at(now);
        let weight = if ratio > current {
            RISE_WEIGHT
        } else {
            FALL_WEIGHT
        };
        self.ratio = (current + weight * (ratio - current)).max(1.0);
        self.observed_at = now;
    }
}
