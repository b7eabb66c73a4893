//! Policies on the same arrivals, over several seeds: the median and spread of each measure and of
//! its ratio to the better baseline of the same seed.

use std::path::Path;

use serde::Serialize;

use crate::outcome::Measures;
use crate::real;
use crate::variant::Variant;
use crate::workload::{Conditions, Shape, Workload};

/// Median, mean and spread over the seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Smallest value.
    pub min: f64,
    /// Median.
    pub median: f64,
    /// Mean.
    pub mean: f64,
    /// Largest value.
    pub max: f64,
}

impl Spread {
    /// The spread of `values`.
    pub fn new(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or_default();
        Spread {
            min: at(0),
            median: at(values.len() / 2),
            mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
            max: at(values.len().saturating_sub(1)),
        }
    }
}

/// The measures of one policy under one seed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sample {
    /// With stragglers and slowed endpoints.
    pub full: Measures,
    /// Without slowed endpoints.
    pub unslowed: Measures,
    /// Without stragglers.
    pub uniform: Measures,
}

/// One line of the table: a measure of one policy.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The measure.
    pub measure: &'static str,
    /// The policy.
    pub variant: String,
    /// The measure itself.
    pub value: Spread,
    /// Its ratio to the better baseline of the same seed.
    pub ratio: Option<Spread>,
}

/// A measure that is compared.
struct Measure {
    name: &'static str,
    read: fn(&Sample) -> f64,
    ratio: bool,
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

const fn measure(name: &'static str, read: fn(&Sample) -> f64, ratio: bool) -> Measure {
    Measure { name, read, ratio }
}

/// The conditions of the three runs of a sample: full, unslowed, and unslowed without stragglers.
pub const CONDITIONS: [Conditions; 3] = [
    Conditions {
        stragglers: true,
        slowed: true,
    },
    Conditions {
        stragglers: true,
        slowed: false,
    },
    Conditions {
        stragglers: false,
        slowed: false,
    },
];

/// Samples of all policies by the model: `[variant][seed]`.
pub fn by_model(shape: &Shape, variants: &[Variant], seeds: &[u64]) -> Vec<Vec<Sample>> {
    let one = |variant: &Variant, seed: u64| {
        let [full, unslowed, uniform] = CONDITIONS.map(|conditions| {
            let workload = Workload::new(shape, conditions, seed);
            crate::model::run(shape, &workload, &variant.knobs, seed).measures()
        });
        Sample {
            full,
            unslowed,
            uniform,
        }
    };
    let all = |variant: &Variant| -> Vec<Sample> {
        seeds.iter().map(|seed| one(variant, *seed)).collect()
    };
    std::thread::scope(|scope| {
        let runs = variants.iter().map(|variant| scope.spawn(|| all(variant)));
        // Collected first, so that the variants run side by side.
        let runs: Vec<_> = runs.collect();
        runs.into_iter()
            .map(|run| run.join().unwrap_or_default())
            .collect()
    })
}

/// Samples of all policies over real processes, interleaved on the same arrivals: `[variant][seed]`.
/// Only the first of the conditions is run where `full_only`, as each run takes its time.
///
/// # Errors
/// If processes cannot be started.
pub fn by_processes(
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
            let at = |index: usize| measures.get(index).cloned().unwrap_or_default();
            samples[index].push(Sample {
                full: at(0),
                unslowed: at(1),
                uniform: at(2),
            });
        }
    }
    Ok(samples)
}

/// The table; the baselines are the variants that route by none of the estimates.
pub fn rows(variants: &[Variant], samples: &[Vec<Sample>]) -> Vec<Row> {
    let baselines: Vec<usize> = (0..variants.len())
        .filter(|index| !variants[*index].name.starts_with("default"))
        .collect();
    let mut rows = Vec::new();
    for measure in MEASURES {
        for (variant, samples_of) in variants.iter().zip(samples) {
            let values: Vec<f64> = samples_of.iter().map(measure.read).collect();
            let better = |seed: usize| {
                let of = |index: &usize| (measure.read)(&samples[*index][seed]);
                baselines.iter().map(of).fold(f64::INFINITY, f64::min)
            };
            let ratios = values.iter().enumerate();
            let ratios = ratios.map(|(seed, value)| value / better(seed)).collect();
            let has_ratio = measure.ratio && !baselines.is_empty();
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
