//! Compares policies on the same arrivals over several seeds, by the median and spread of each
//! measure and of its ratio to the better baseline of the same seed.

use std::path::Path;

use serde::Serialize;

use crate::outcome::Measures;
use crate::real;
use crate::variant::Variant;
use crate::workload::{Conditions, Shape, Workload};

/// Smallest, median, mean and largest value over the seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Smallest value.
    pub min: f64,
    /// Median; the upper one of an even number of values.
    pub median: f64,
    /// Arithmetic mean.
    pub mean: f64,
    /// Largest value.
    pub max: f64,
}

impl Spread {
    /// Computes the spread of `values`; all fields are 0 if there are none.
    pub fn new(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let value_at = |index: usize| values.get(index).copied().unwrap_or_default();
        Spread {
            min: value_at(0),
            median: value_at(values.len() / 2),
            mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
            max: value_at(values.len().saturating_sub(1)),
        }
    }
}

/// Measures of one policy under one seed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sample {
    /// Measures with stragglers and slow endpoints.
    pub full: Measures,
    /// Measures with stragglers, without slow endpoints.
    pub unslowed: Measures,
    /// Measures without stragglers and without slow endpoints.
    pub uniform: Measures,
}

/// One line of the table: a measure of one policy.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the measure.
    pub measure: &'static str,
    /// Text of the policy, `PRESET[,KEY=VALUE...]`.
    pub variant: String,
    /// Values of the measure.
    pub value: Spread,
    /// Ratios to the better baseline of the same seed; `None` for a measure without ratio.
    pub ratio: Option<Spread>,
}

/// A measure in the table; only measures whose smaller values are better have a ratio.
struct Measure {
    name: &'static str,
    read: fn(&Sample) -> f64,
    has_ratio: bool,
}

const MEASURES: &[Measure] = &[
    measure("crest in time, top class", |s| s.full.crest_top, false),
    measure("crest in time, lower class", |s| s.full.crest_low, false),
    measure("crest in time, all", |s| s.full.crest_all, false),
    measure(
        "crest in time, top class, unslowed",
        |s| s.unslowed.crest_top,
        false,
    ),
    measure("program p50 ms", |s| s.full.p50, true),
    measure("program p95 ms", |s| s.full.p95, true),
    measure("program p99 ms", |s| s.full.p99, true),
    measure("short program p99 ms", |s| s.full.short_p99, true),
    measure(
        "p99 slowed / unslowed",
        |s| s.full.p99 / s.unslowed.p99,
        false,
    ),
    measure(
        "short p99 slowed / unslowed",
        |s| s.full.short_p99 / s.unslowed.short_p99,
        false,
    ),
    measure(
        "short p99 with / without stragglers",
        |s| s.unslowed.short_p99 / s.uniform.short_p99,
        false,
    ),
    measure("wasted cache, k tokens", |s| s.full.wasted, true),
    measure("extra work by hedges", |s| s.full.extra, false),
    measure("hedges", |s| s.full.hedges, false),
    measure("refusals of new programs", |s| s.full.refusals, false),
    measure("link MB", |s| s.full.link, true),
];

const fn measure(name: &'static str, read: fn(&Sample) -> f64, has_ratio: bool) -> Measure {
    Measure {
        name,
        read,
        has_ratio,
    }
}

/// Conditions of the three runs of a sample, in the order of the fields of [`Sample`].
pub const CONDITIONS: [Conditions; 3] = [
    Conditions {
        has_stragglers: true,
        has_slow_periods: true,
    },
    Conditions {
        has_stragglers: true,
        has_slow_periods: false,
    },
    Conditions {
        has_stragglers: false,
        has_slow_periods: false,
    },
];

/// Runs all policies over the model, one thread for each; returns samples as `[variant][seed]`.
pub fn run_model(shape: &Shape, variants: &[Variant], seeds: &[u64]) -> Vec<Vec<Sample>> {
    let run_seed = |variant: &Variant, seed: u64| {
        let [full, unslowed, uniform] = CONDITIONS.map(|conditions| {
            let workload = Workload::new(shape, conditions, seed);
            crate::model::run(shape, &workload, &variant.settings, seed).measures()
        });
        Sample {
            full,
            unslowed,
            uniform,
        }
    };
    let run_variant = |variant: &Variant| -> Vec<Sample> {
        seeds.iter().map(|seed| run_seed(variant, *seed)).collect()
    };
    std::thread::scope(|scope| {
        let threads = variants
            .iter()
            .map(|variant| scope.spawn(|| run_variant(variant)));
        // All threads are started before the first is joined, so that they run concurrently.
        let threads: Vec<_> = threads.collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap_or_default())
            .collect()
    })
}

/// Runs all policies over real processes, in turn for each seed; returns samples as
/// `[variant][seed]`. A run takes as long as its arrivals last; `full_only` skips the second and
/// third of [`CONDITIONS`], whose measures are then 0.
///
/// # Errors
/// If the processes cannot be started, refuse the environment document, or are not ready in time.
pub fn run_processes(
    binary: &Path,
    shape: &Shape,
    variants: &[Variant],
    seeds: &[u64],
    full_only: bool,
) -> real::Result<Vec<Vec<Sample>>> {
    let mut samples = vec![Vec::new(); variants.len()];
    for seed in seeds {
        for (index, variant) in variants.iter().enumerate() {
            let mut measures = Vec::new();
            for conditions in &CONDITIONS[..if full_only { 1 } else { CONDITIONS.len() }] {
                let workload = Workload::new(shape, *conditions, *seed);
                let run = real::run(binary, shape, &workload, variant)?;
                measures.push(run.measures());
                eprintln!("seed {seed}, {}: {:?}", variant.name, run.measures());
            }
            let measures_at = |index: usize| measures.get(index).cloned().unwrap_or_default();
            samples[index].push(Sample {
                full: measures_at(0),
                unslowed: measures_at(1),
                uniform: measures_at(2),
            });
        }
    }
    Ok(samples)
}

/// Returns the rows of the table. The baselines are the variants of a preset other than `default`,
/// which use no estimates for routing.
pub fn rows(variants: &[Variant], samples: &[Vec<Sample>]) -> Vec<Row> {
    let baselines: Vec<usize> = (0..variants.len())
        .filter(|index| !variants[*index].name.starts_with("default"))
        .collect();
    let mut rows = Vec::new();
    for measure in MEASURES {
        for (variant, variant_samples) in variants.iter().zip(samples) {
            let values: Vec<f64> = variant_samples.iter().map(measure.read).collect();
            let better_baseline = |seed: usize| {
                let value = |index: &usize| (measure.read)(&samples[*index][seed]);
                baselines.iter().map(value).fold(f64::INFINITY, f64::min)
            };
            let ratios = values.iter().enumerate();
            let ratios = ratios
                .map(|(seed, value)| value / better_baseline(seed))
                .collect();
            let has_ratio = measure.has_ratio && !baselines.is_empty();
            rows.push(Row {
                measure: measure.name,
                variant: variant.name.clone(),
                value: Spread::new(values),
                ratio: has_ratio.then(|| Spread::new(ratios)),
            });
        }
    }
    rows
}
