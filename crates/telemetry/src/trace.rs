//! Spans and their W3C trace context.

use std::fmt;
use std::str::FromStr;

use opentelemetry::trace::{SpanId, TraceFlags, TraceId};
use slog::{Logger, info};
use units::{Error, Rate, Result, Span, Time};

/// One span of a trace; its text form is a `traceparent` that names it as the parent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trace {
    trace: TraceId,
    span: SpanId,
    parent: Option<SpanId>,
    sampled: bool,
}

impl Trace {
    /// The first span of a new trace, which is written.
    pub fn new() -> Self {
        Trace {
            trace: TraceId::from_bytes(rand::random()),
            span: SpanId::from_bytes(rand::random()),
            parent: None,
            sampled: true,
        }
    }

    /// Writes only this share of new traces, chosen by their identifier.
    pub fn with_sampled_share(mut self, share: Rate) -> Self {
        let [a, b, c, d, ..] = self.trace.to_bytes();
        let position = f64::from(u32::from_be_bytes([a, b, c, d])) / 2_f64.powi(32);
        self.sampled = position < share.0;
        self
    }

    /// The span below the one that a `traceparent` names, or a new trace if it is malformed.
    pub fn child_of(parent: &str) -> Self {
        parent
            .parse()
            .map_or_else(|_| Trace::new(), |parent: Trace| parent.child())
    }

    /// A span below this one.
    pub fn child(&self) -> Self {
        Trace {
            span: SpanId::from_bytes(rand::random()),
            parent: Some(self.span),
            ..*self
        }
    }

    /// Writes the finished span as a log line of its own, if its trace is sampled.
    pub fn finish(&self, log: &Logger, hop: &'static str, start: Time, end: Time) {
        if !self.sampled {
            return;
        }
        let parent = self
            .parent
            .map_or_else(String::new, |parent| parent.to_string());
        let length: Span = end.since(start);
        info!(log, "span"; "hop" => hop, "trace" => %self.trace, "span" => %self.span,
            "parent" => parent, "start" => %start, "length_us" => length.0);
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
        write!(f, "00-{}-{}-{flags:02x}", self.trace, self.span)
    }
}

impl FromStr for Trace {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut fields = text.splitn(5, '-');
        let mut field = || fields.next().ok_or(Error::Number);
        field()?;
        let trace = TraceId::from_hex(field()?).map_err(|_| Error::Number)?;
        let span = SpanId::from_hex(field()?).map_err(|_| Error::Number)?;
        let flags = u8::from_str_radix(field()?, 16).map_err(|_| Error::Number)?;
        if trace == TraceId::INVALID || span == SpanId::INVALID {
            return Err(Error::Number);
        }
        Ok(Trace {
            trace,
            span,
            parent: None,
            sampled: TraceFlags::new(flags).is_sampled(),
        })
    }
}
