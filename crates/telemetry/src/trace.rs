//! Spans and their W3C trace context.

use std::fmt;
use std::str::FromStr;

use opentelemetry::trace::{SpanId, TraceId};
use slog::{Logger, info};
use units::{Error, Result, Span, Time};

/// One span of a trace; its text form is a `traceparent` that names it as the parent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trace {
    trace: TraceId,
    span: SpanId,
    parent: Option<SpanId>,
}

impl Trace {
    /// The first span of a new trace.
    pub fn new() -> Self {
        Trace {
            trace: TraceId::from_bytes(rand::random()),
            span: SpanId::from_bytes(rand::random()),
            parent: None,
        }
    }

    /// The span below the one that a `traceparent` names, or a new trace if it is malformed.
    pub fn below(parent: &str) -> Self {
        parent
            .parse()
            .map_or_else(|_| Trace::new(), |parent: Trace| parent.child())
    }

    /// A span below this one.
    pub fn child(&self) -> Self {
        let span = SpanId::from_bytes(rand::random());
        Trace {
            trace: self.trace,
            span,
            parent: Some(self.span),
        }
    }

    /// Writes the finished span as a log line of its own.
    pub fn finish(&self, log: &Logger, hop: &'static str, start: Time, end: Time) {
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
        write!(f, "00-{}-{}-01", self.trace, self.span)
    }
}

impl FromStr for Trace {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut fields = text.splitn(4, '-');
        let mut field = || fields.next().ok_or(Error::Number);
        field()?;
        let trace = TraceId::from_hex(field()?).map_err(|_| Error::Number)?;
        let span = SpanId::from_hex(field()?).map_err(|_| Error::Number)?;
        Ok(Trace {
            trace,
            span,
            parent: None,
        })
    }
}
