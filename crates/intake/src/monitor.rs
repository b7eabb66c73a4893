//! Metrics and log lines of what a gate decides.

use std::io::Error;
use std::sync::{Mutex, PoisonError};

use slog::{Logger, info, warn};
use telemetry::Metrics;
use units::{Bytes, Span, Time};

/// Shortest time between two log lines of one kind, so that a crowd does not fill the log.
const LINE_INTERVAL: Span = Span::from_ms(1_000);

/// Counts events, and decides which of them get a log line.
#[derive(Debug, Default)]
pub struct Tally {
    /// Events since the latest line.
    count: u64,
    line_at: Option<Time>,
}

impl Tally {
    /// Records `count` events; returns the number of events since the latest line if a line is due.
    pub fn record(&mut self, count: u64, now: Time) -> Option<u64> {
        self.count += count;
        let is_due = self
            .line_at
            .is_none_or(|line_at| now.since(line_at) >= LINE_INTERVAL);
        if self.count == 0 || !is_due {
            return None;
        }
        self.line_at = Some(now);
        Some(std::mem::take(&mut self.count))
    }
}

/// Reports the decisions on the connections of one port.
#[derive(Debug)]
pub struct Monitor {
    port: &'static str,
    metrics: Metrics,
    log: Logger,
    refused: Mutex<Tally>,
    evicted: Mutex<Tally>,
    failed: Mutex<Tally>,
}

impl Monitor {
    /// Creates the monitor of the port that log lines call `port`.
    pub fn new(port: &'static str, metrics: Metrics, log: Logger) -> Self {
        Monitor {
            port,
            metrics,
            log,
            refused: Mutex::default(),
            evicted: Mutex::default(),
            failed: Mutex::default(),
        }
    }

    /// Reports a connection that was not admitted.
    pub(crate) fn refuse(&self, held: Bytes, now: Time) {
        self.metrics.count("connections-refused");
        if let Some(count) = record(&self.refused, 1, now) {
            info!(self.log, "connection refused"; "port" => self.port, "held_bytes" => held.0,
                "count" => count);
        }
    }

    /// Reports connections that gave way to others.
    pub(crate) fn evict(&self, connections: usize, held: Bytes, now: Time) {
        for _ in 0..connections {
            self.metrics.count("connections-evicted");
        }
        if let Some(count) = record(&self.evicted, connections as u64, now) {
            info!(self.log, "connection gave way to others"; "port" => self.port,
                "held_bytes" => held.0, "count" => count);
        }
    }

    /// Reports an accept that failed.
    pub(crate) fn fail(&self, error: &Error, held: Bytes, now: Time) {
        self.metrics.count("accepts-failed");
        if let Some(count) = record(&self.failed, 1, now) {
            warn!(self.log, "connection not accepted"; "port" => self.port, "error" => %error,
                "held_bytes" => held.0, "count" => count);
        }
    }
}

fn record(tally: &Mutex<Tally>, count: u64, now: Time) -> Option<u64> {
    let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    tally.record(count, now)
}
