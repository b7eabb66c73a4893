//! Results of a run: outcomes of its programs, totals and the measures computed from them.

use hdrhistogram::Histogram;
use serde::Serialize;
use units::{Span, Time};

use crate::workload::{CREST_END, CREST_START, OBJECTIVE, Plan};

const LATENCY_MAX_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcome of one program.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    is_top_class: bool,
    is_straggler: bool,
    is_in_crest: bool,
    latency: Span,
    is_finished: bool,
}

impl Outcome {
    /// Creates the outcome of a program. One that never finished (`None`) counts as late, and its
    /// latency is the objective, after which callers give up.
    pub fn new(plan: &Plan, finished_at: Option<Time>) -> Self {
        let is_in_crest = plan.arrival >= Time(CREST_START.0) && plan.arrival < Time(CREST_END.0);
        Outcome {
            is_top_class: plan.is_top_class,
            is_straggler: plan.is_straggler,
            is_in_crest,
            latency: finished_at.map_or(OBJECTIVE, |at| at.since(plan.arrival)),
            is_finished: finished_at.is_some(),
        }
    }

    fn is_in_time(&self) -> bool {
        self.is_finished && self.latency <= OBJECTIVE
    }
}

/// Outcomes and totals of one run.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// Outcomes of all programs, in order of arrival.
    pub outcomes: Vec<Outcome>,
    /// Number of prompt tokens computed.
    pub computed_prompt_tokens: u64,
    /// Number of prompt tokens computed although they were cached at some endpoint.
    pub wasted_prompt_tokens: u64,
    /// Slot time of all executions at full speed, in microseconds.
    pub work_us: u64,
    /// Slot time of the executions, hedges or originals, whose answer was not used, in microseconds.
    pub extra_work_us: u64,
    /// Number of hedges sent.
    pub hedges: u64,
    /// Number of refusals of new programs; a program counts each time that it is refused.
    pub refusals: u64,
    /// Bytes sent over the link between the regions.
    pub link_bytes: u64,
}

/// Measures of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measures {
    /// Number of programs.
    pub programs: u64,
    /// Median latency of a program, in ms.
    pub p50: f64,
    /// 95th percentile of the latency, in ms.
    pub p95: f64,
    /// 99th percentile of the latency, in ms.
    pub p99: f64,
    /// 99th percentile of the latency without stragglers, in ms.
    pub short_p99: f64,
    /// Share of the top class's programs in the crest that finish in time, without stragglers.
    pub crest_top: f64,
    /// Share of the lower class's programs in the crest that finish in time, without stragglers.
    pub crest_low: f64,
    /// Share of all programs in the crest that finish in time, without stragglers.
    pub crest_all: f64,
    /// Prompt tokens computed although they were cached at some endpoint, in thousands.
    pub wasted: f64,
    /// Extra work caused by hedges, as a share of all work.
    pub extra: f64,
    /// Number of hedges sent.
    pub hedges: f64,
    /// Number of refusals of new programs.
    pub refusals: f64,
    /// Data sent over the link between the regions, in MB.
    pub link: f64,
}

impl Run {
    /// Computes the measures of the run.
    pub fn measures(&self) -> Measures {
        let all = histogram(&self.outcomes, |_| true);
        let short = histogram(&self.outcomes, |outcome| !outcome.is_straggler);
        let quantile_ms =
            |from: &Histogram<u64>, quantile| from.value_at_quantile(quantile) as f64 / 1e3;
        Measures {
            programs: self.outcomes.len() as u64,
            p50: quantile_ms(&all, 0.5),
            p95: quantile_ms(&all, 0.95),
            p99: quantile_ms(&all, 0.99),
            short_p99: quantile_ms(&short, 0.99),
            crest_top: self.crest_share(|outcome| outcome.is_top_class),
            crest_low: self.crest_share(|outcome| !outcome.is_top_class),
            crest_all: self.crest_share(|_| true),
            wasted: self.wasted_prompt_tokens as f64 / 1e3,
            extra: self.extra_work_us as f64 / self.work_us.max(1) as f64,
            hedges: self.hedges as f64,
            refusals: self.refusals as f64,
            link: self.link_bytes as f64 / 1e6,
        }
    }

    /// Share of the crest's programs selected by `filter` that finished in time, without stragglers.
    fn crest_share(&self, filter: impl Fn(&Outcome) -> bool) -> f64 {
        let is_counted =
            |outcome: &&Outcome| outcome.is_in_crest && !outcome.is_straggler && filter(outcome);
        let all = self.outcomes.iter().filter(is_counted).count();
        let in_time = self
            .outcomes
            .iter()
            .filter(is_counted)
            .filter(|outcome| outcome.is_in_time());
        in_time.count() as f64 / all.max(1) as f64
    }
}

fn histogram(outcomes: &[Outcome], filter: impl Fn(&Outcome) -> bool) -> Histogram<u64> {
    let bounds = Histogram::new_with_bounds(1, LATENCY_MAX_US, SIGNIFICANT_DIGITS);
    let mut histogram = bounds.unwrap_or_else(|_| unreachable!("the bounds are constants"));
    for outcome in outcomes.iter().filter(|outcome| filter(outcome)) {
        histogram.saturating_record(outcome.latency.0);
    }
    histogram
}
