//! Counters in the Prometheus text format.

use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder, exponential_buckets,
};

const BUCKET_MIN_SECONDS: f64 = 0.000_5;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKETS: usize = 18;

/// A process's metrics, all named `balsamhold_<area>_<thing>_<unit>`.
///
/// A metric comes into being when it is first used: its name is the area, the thing that the caller
/// names, and the unit of its kind.
#[derive(Clone, Debug)]
pub struct Metrics {
    area: Arc<str>,
    registry: Registry,
    requests: IntCounterVec,
    known: Arc<RwLock<Known>>,
}

/// The metrics used so far, by thing; `None` for a thing that makes no valid name.
#[derive(Debug, Default)]
struct Known {
    counters: HashMap<Box<str>, Option<IntCounter>>,
    gauges: HashMap<Box<str>, Option<IntGauge>>,
    timers: HashMap<Box<str>, Option<Histogram>>,
}

impl Metrics {
    /// The metrics of one area, for example `entry`.
    ///
    /// # Errors
    /// If the area is not a valid part of a metric's name.
    pub fn new(area: &str) -> prometheus::Result<Self> {
        let options = Opts::new(name(area, "requests", "_total"), "Requests by outcome");
        let requests = IntCounterVec::new(options, &["code"])?;
        let registry = Registry::new();
        registry.register(Box::new(requests.clone()))?;
        Ok(Metrics {
            area: area.into(),
            registry,
            requests,
            known: Arc::default(),
        })
    }

    /// Counts one request with this outcome: `answered` or the refusal's code.
    pub fn count_request(&self, code: &str) {
        self.requests.with_label_values(&[code]).inc();
    }

    /// Counts one `thing`, for example `connect-failed`: `<thing>_total`.
    pub fn count(&self, thing: &str) {
        let find = |known: &Known| known.counters.get(thing).cloned();
        let make = |known: &mut Known| {
            let options = Opts::new(name(&self.area, thing, "_total"), thing);
            let made = IntCounter::with_opts(options).ok();
            let made = made.filter(|made| self.registry.register(Box::new(made.clone())).is_ok());
            known.counters.insert(thing.into(), made.clone());
            made
        };
        if let Some(counter) = self.find_or(find, make) {
            counter.inc();
        }
    }

    /// Sets the state `thing`, which names its unit itself, for example `running-calls`.
    pub fn set_gauge(&self, thing: &str, value: i64) {
        let find = |known: &Known| known.gauges.get(thing).cloned();
        let make = |known: &mut Known| {
            let made = IntGauge::with_opts(Opts::new(name(&self.area, thing, ""), thing)).ok();
            let made = made.filter(|made| self.registry.register(Box::new(made.clone())).is_ok());
            known.gauges.insert(thing.into(), made.clone());
            made
        };
        if let Some(gauge) = self.find_or(find, make) {
            gauge.set(value);
        }
    }

    /// Records that `step` took `seconds`: `<step>_seconds`.
    pub fn record_seconds(&self, step: &str, seconds: f64) {
        let find = |known: &Known| known.timers.get(step).cloned();
        let make = |known: &mut Known| {
            let made = timer(name(&self.area, step, "_seconds"), step).ok();
            let made = made.filter(|made| self.registry.register(Box::new(made.clone())).is_ok());
            known.timers.insert(step.into(), made.clone());
            made
        };
        if let Some(timer) = self.find_or(find, make) {
            timer.observe(seconds);
        }
    }

    fn find_or<T>(
        &self,
        find: impl Fn(&Known) -> Option<Option<T>>,
        make: impl Fn(&mut Known) -> Option<T>,
    ) -> Option<T> {
        let known = self.known.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(found) = find(&known) {
            return found;
        }
        drop(known);
        let mut known = self.known.write().unwrap_or_else(PoisonError::into_inner);
        match find(&known) {
            Some(found) => found,
            None => make(&mut known),
        }
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding into memory fails only for an inconsistent registry, which registering rules out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

fn name(area: &str, thing: &str, unit: &str) -> String {
    format!("balsamhold_{area}_{}{unit}", thing.replace('-', "_"))
}

fn timer(name: String, help: &str) -> prometheus::Result<Histogram> {
    let buckets = exponential_buckets(BUCKET_MIN_SECONDS, BUCKET_FACTOR, BUCKETS)?;
    Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets))
}
