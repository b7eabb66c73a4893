//! Metrics of a process in the Prometheus text format.

use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder, exponential_buckets,
};

const BUCKET_MIN_SECONDS: f64 = 0.000_5;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKET_COUNT: usize = 18;

/// The metrics of a process, all named `balsamhold_<area>_<subject>_<unit>`.
///
/// A metric is registered when it is first used. The caller passes the subject, for example
/// `connect-failed`; the kind of the metric decides the unit.
#[derive(Clone, Debug)]
pub struct Metrics {
    area: Arc<str>,
    registry: Registry,
    requests: IntCounterVec,
    registered: Arc<RwLock<Registered>>,
}

/// The metrics used so far, by subject; `None` if the name is invalid or could not be registered.
#[derive(Debug, Default)]
struct Registered {
    counters: HashMap<Box<str>, Option<IntCounter>>,
    gauges: HashMap<Box<str>, Option<IntGauge>>,
    histograms: HashMap<Box<str>, Option<Histogram>>,
}

impl Metrics {
    /// Creates the metrics of one area, for example `entry`.
    ///
    /// # Errors
    /// If the area contains a character that is not allowed in a metric's name.
    pub fn new(area: &str) -> prometheus::Result<Self> {
        let options = Opts::new(
            metric_name(area, "requests", "_total"),
            "Requests by outcome",
        );
        let requests = IntCounterVec::new(options, &["code"])?;
        let registry = Registry::new();
        registry.register(Box::new(requests.clone()))?;
        Ok(Metrics {
            area: area.into(),
            registry,
            requests,
            registered: Arc::default(),
        })
    }

    /// Counts one request by its outcome: `answered` or the refusal's code.
    pub fn count_request(&self, code: &str) {
        self.requests.with_label_values(&[code]).inc();
    }

    /// Increments the counter `<subject>_total`, for example of `connect-failed`.
    pub fn count(&self, subject: &str) {
        let find = |registered: &Registered| registered.counters.get(subject).cloned();
        let register = |registered: &mut Registered| {
            let options = Opts::new(metric_name(&self.area, subject, "_total"), subject);
            let metric = IntCounter::with_opts(options).ok();
            let metric =
                metric.filter(|metric| self.registry.register(Box::new(metric.clone())).is_ok());
            registered.counters.insert(subject.into(), metric.clone());
            metric
        };
        if let Some(counter) = self.find_or_register(find, register) {
            counter.inc();
        }
    }

    /// Sets the gauge `<subject>`; the subject includes the unit, for example `running-calls`.
    pub fn set_gauge(&self, subject: &str, value: i64) {
        let find = |registered: &Registered| registered.gauges.get(subject).cloned();
        let register = |registered: &mut Registered| {
            let metric =
                IntGauge::with_opts(Opts::new(metric_name(&self.area, subject, ""), subject)).ok();
            let metric =
                metric.filter(|metric| self.registry.register(Box::new(metric.clone())).is_ok());
            registered.gauges.insert(subject.into(), metric.clone());
            metric
        };
        if let Some(gauge) = self.find_or_register(find, register) {
            gauge.set(value);
        }
    }

    /// Records a duration of `step` in the histogram `<step>_seconds`.
    pub fn record_seconds(&self, step: &str, seconds: f64) {
        let find = |registered: &Registered| registered.histograms.get(step).cloned();
        let register = |registered: &mut Registered| {
            let metric = new_histogram(metric_name(&self.area, step, "_seconds"), step).ok();
            let metric =
                metric.filter(|metric| self.registry.register(Box::new(metric.clone())).is_ok());
            registered.histograms.insert(step.into(), metric.clone());
            metric
        };
        if let Some(histogram) = self.find_or_register(find, register) {
            histogram.observe(seconds);
        }
    }

    fn find_or_register<T>(
        &self,
        find: impl Fn(&Registered) -> Option<Option<T>>,
        register: impl Fn(&mut Registered) -> Option<T>,
    ) -> Option<T> {
        let registered = self
            .registered
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(found) = find(&registered) {
            return found;
        }
        drop(registered);
        let mut registered = self
            .registered
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        match find(&registered) {
            Some(found) => found,
            None => register(&mut registered),
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding into memory fails only for an inconsistent registry; registration prevents that.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

fn metric_name(area: &str, subject: &str, unit: &str) -> String {
    format!("balsamhold_{area}_{}{unit}", subject.replace('-', "_"))
}

fn new_histogram(name: String, help: &str) -> prometheus::Result<Histogram> {
    let buckets = exponential_buckets(BUCKET_MIN_SECONDS, BUCKET_FACTOR, BUCKET_COUNT)?;
    Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets))
}
