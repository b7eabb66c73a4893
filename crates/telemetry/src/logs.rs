//! Creates the root loggers of a process, which write to standard output or standard error.

use std::sync::Mutex;

use slog::{Drain, Logger, o};

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Text for reading at a terminal.
    Terminal,
}

/// Largest number of lines in the queue to the writing thread.
const QUEUE_MAX_LINES: usize = 4_096;

/// Returns a root logger that writes JSON lines to standard output and never blocks its caller.
///
/// Lines that do not fit into the queue are dropped, and a log line reports how many. Dropping the
/// guard writes the lines that are still queued.
pub fn stdout() -> (Logger, slog_async::AsyncGuard) {
    let drain = slog_json::Json::default(std::io::stdout());
    let (drain, guard) = slog_async::Async::new(drain.fuse())
        .chan_size(QUEUE_MAX_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.fuse(), o!()), guard)
}

/// Returns a root logger that writes to standard error and blocks its caller while it writes.
pub fn stderr(format: LogFormat) -> Logger {
    match format {
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr());
            Logger::root(Mutex::new(drain).map(slog::Fuse), o!())
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().build();
            let drain = slog_term::CompactFormat::new(decorator).build();
            Logger::root(Mutex::new(drain).map(slog::Fuse), o!())
        }
    }
}
