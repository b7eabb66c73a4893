//! Spans of a call and their W3C trace context.

use std::fmt;
use std::str::FromStr;

use opentelemetry::trace::{SpanId, TraceFlags, TraceId};
use slog::{Logger, info};
use units::{Error, Rate, Result, Span, Time};

/// One span of a trace. Its `Display` form is the `traceparent` for its child spans; parsing one
/// gives the parent span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trace {
    trace_id: TraceId,
    span_id: SpanId,
    parent_id: Option<SpanId>,
    sampled: bool,
}

impl Trace {
    /// Starts a new trace, which is sampled, and returns its first span.
    pub fn new() -> Self {
        Trace {
            trace_id: TraceId::from_bytes(rand::random()),
            span_id: SpanId::from_bytes(rand::random()),
            parent_id: None,
            sampled: true,
        }
    }

    /// Samples the trace only if its identifier falls into this share (0 to 1) of all identifiers.
    pub fn with_sampled_share(mut self, share: Rate) -> Self {
        let [a, b, c, d, ..] = self.trace_id.to_bytes();
        let position = f64::from(u32::from_be_bytes([a, b, c, d])) / 2_f64.powi(32);
        self.sampled = position < share.0;
        self
    }

    /// Returns a child of the span that a `traceparent` names, or starts a new trace if the
    /// `traceparent` is malformed.
    pub fn child_of(parent: &str) -> Self {
        parent
            .parse()
            .map_or_else(|_| Trace::new(), |parent: Trace| parent.child())
    }

    /// Returns a new span whose parent is this one.
    pub fn child(&self) -> Self {
        Trace {
            span_id: SpanId::from_bytes(rand::random()),
            parent_id: Some(self.span_id),
            ..*self
        }
    }

    /// Writes the finished span as a log line, if its trace is sampled.
    pub fn finish(&self, log: &Logger, hop: &'static str, start: Time, end: Time) {
        if !self.sampled {
            return;
        }
        let parent_id = self
            .parent_id
            .map_or_else(String::new, |parent_id| parent_id.to_string());
        let length: Span = end.since(start);
        info!(log, "span"; "hop" => hop, "trace" => %self.trace_id, "span" => %self.span_id,
            "parent" => parent_id, "start" => %start, "length_us" => length.0);
    }
}

impl Default for Trace {
    fn default() -> Self {
        Trace::new()
    }
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(f, "00-{}-{}-{flags:02x}", self.trace_id, self.span_id)
    }
}

impl FromStr for Trace {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut fields = text.splitn(5, '-');
        let mut field = || fields.next().ok_or(Error::Number);
        field()?;
        let trace_id = TraceId::from_hex(field()?).map_err(|_| Error::Number)?;
        let span_id = SpanId::from_hex(field()?).map_err(|_| Error::Number)?;
        let flags = u8::from_str_radix(field()?, 16).map_err(|_| Error::Number)?;
        if trace_id == TraceId::INVALID || span_id == SpanId::INVALID {
            return Err(Error::Number);
        }
        Ok(Trace {
            trace_id,
            span_id,
            parent_id: None,
            sampled: TraceFlags::new(flags).is_sampled(),
        })
    }
}
