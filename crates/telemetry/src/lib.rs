//! Log lines, metrics and spans.
//!
//! Events are counted as metrics; a log line is written only when something changes state. Every hop
//! of a call is a span of the caller's trace, whose context is passed on as a W3C `traceparent`.

mod logs;
mod metrics;
mod trace;

pub use logs::{LogFormat, stderr, stdout};
pub use metrics::Metrics;
pub use trace::Trace;
