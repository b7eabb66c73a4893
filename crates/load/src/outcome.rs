//! What a run gave.

use hdrhistogram::Histogram;
use serde::Serialize;
use units::{Span, Time};

use crate::workload::{CREST_FROM, CREST_TO, OBJECTIVE, Plan};

const LATENCY_MAX_US: u64 = 3_600_000_000;
const DIGITS: u8 = 3;

/// How one program went.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    top: bool,
    straggler: bool,
    crest: bool,
    latency: Span,
    served: bool,
}

impl Outcome {
    /// The outcome of a program that was done at `served`, if it was. A program that was refused to
    /// the end counts as late, with the time in which its caller gave up.
    pub fn new(plan: &Plan, served: Option<Time>) -> Self {
        let crest = plan.at >= Time(CREST_FROM.0) && plan.at < Time(CREST_TO.0);
        Outcome {
            top: plan.top,
            straggler: plan.straggler,
            crest,
            latency: served.map_or(OBJECTIVE, |at| at.since(plan.at)),
            served: served.is_some(),
        }
    }

    fn in_time(&self) -> bool {
        self.served && self.latency <= OBJECTIVE
    }
}

/// Everything that one run gave.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// All programs.
    pub outcomes: Vec<Outcome>,
    /// Prompt tokens computed.
    pub prefilled: u64,
    /// Prompt tokens computed that were cached at some endpoint.
    pub wasted: u64,
    /// Slot time of all calls, in microseconds at full speed.
    pub work: u64,
    /// Slot time of cancelled hedges and originals.
    pub extra: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// New programs refused, each time.
    pub refusals: u64,
    /// Bytes over the link between the regions.
    pub link_bytes: u64,
}

/// The measures of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measures {
    /// Programs.
    pub programs: u64,
    /// Program latency, median, in ms.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99th percentile without stragglers.
    pub short_p99: f64,
    /// Share of the crest's programs of the top class done in time, without stragglers.
    pub crest_top: f64,
    /// The same of the lower class.
    pub crest_low: f64,
    /// The same of both.
    pub crest_all: f64,
    /// Prompt tokens computed that were cached at some endpoint, in thousands.
    pub wasted: f64,
    /// Extra work by hedges, as a share.
    pub extra: f64,
    /// Hedges sent.
    pub hedges: f64,
    /// Refusals of new programs.
    pub refusals: f64,
    /// Bytes over the link between the regions, in MB.
    pub link: f64,
}

impl Run {
    /// The measures.
    pub fn measures(&self) -> Measures {
        let all = histogram(&self.outcomes, |_| true);
        let short = histogram(&self.outcomes, |outcome| !outcome.straggler);
        let quantile = |from: &Histogram<u64>, at| from.value_at_quantile(at) as f64 / 1e3;
        Measures {
            programs: self.outcomes.len() as u64,
            p50: quantile(&all, 0.5),
            p95: quantile(&all, 0.95),
            p99: quantile(&all, 0.99),
            short_p99: quantile(&short, 0.99),
            crest_top: self.crest(|outcome| outcome.top),
            crest_low: self.crest(|outcome| !outcome.top),
            crest_all: self.crest(|_| true),
            wasted: self.wasted as f64 / 1e3,
            extra: self.extra as f64 / self.work.max(1) as f64,
            hedges: self.hedges as f64,
            refusals: self.refusals as f64,
            link: self.link_bytes as f64 / 1e6,
        }
    }

    fn crest(&self, class: impl Fn(&Outcome) -> bool) -> f64 {
        let counted = |outcome: &&Outcome| outcome.crest && !outcome.straggler && class(outcome);
        let all = self.outcomes.iter().filter(counted).count();
        let in_time = self
            .outcomes
            .iter()
            .filter(counted)
            .filter(|outcome| outcome.in_time());
        in_time.count() as f64 / all.max(1) as f64
    }
}

fn histogram(outcomes: &[Outcome], of: impl Fn(&Outcome) -> bool) -> Histogram<u64> {
    let bounds = Histogram::new_with_bounds(1, LATENCY_MAX_US, DIGITS);
    let mut histogram = bounds.unwrap_or_else(|_| unreachable!("the bounds are constants"));
    for outcome in outcomes.iter().filter(|outcome| of(outcome)) {
        histogram.saturating_record(outcome.latency.0);
    }
    histogram
}
