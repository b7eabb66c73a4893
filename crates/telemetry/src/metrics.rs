//! Counters in the Prometheus text format.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// A process's metrics, all named `balsamhold_<area>_<thing>_<unit>`.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    counters: IntCounterVec,
    gauges: IntGaugeVec,
    seconds: HistogramVec,
}

impl Metrics {
    /// The metrics of one area, for example `entry`.
    ///
    /// # Errors
    /// If the area is not a valid metric name.
    pub fn new(area: &str) -> prometheus::Result<Self> {
        let name = |thing: &str| format!("balsamhold_{area}_{thing}");
        let counters =
            IntCounterVec::new(Opts::new(name("events_total"), "Events by kind"), &["kind"])?;
        let gauges = IntGaugeVec::new(Opts::new(name("state_count"), "State by kind"), &["kind"])?;
        let options = HistogramOpts::new(name("duration_seconds"), "Durations by step");
        let seconds = HistogramVec::new(options, &["step"])?;
        let registry = Registry::new();
        registry.register(Box::new(counters.clone()))?;
        registry.register(Box::new(gauges.clone()))?;
        registry.register(Box::new(seconds.clone()))?;
        Ok(Metrics {
            registry,
            counters,
            gauges,
            seconds,
        })
    }

    /// Counts one event of `kind`.
    pub fn count(&self, kind: &str) {
        self.counters.with_label_values(&[kind]).inc();
    }

    /// Sets the gauge `kind`.
    pub fn set(&self, kind: &str, value: i64) {
        self.gauges.with_label_values(&[kind]).set(value);
    }

    /// Records that `step` took `seconds`.
    pub fn time(&self, step: &str, seconds: f64) {
        self.seconds.with_label_values(&[step]).observe(seconds);
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding into memory fails only for an inconsistent registry, which `new` rules out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
