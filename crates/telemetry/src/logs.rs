//! Log lines.

use std::sync::Mutex;

use slog::{Drain, Logger, o};

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// For reading at a terminal.
    Terminal,
}

/// Lines that may wait to be written; more are dropped and counted.
const WAITING_MAX: usize = 4_096;

/// A root logger that writes JSON lines to standard output and never makes its caller wait.
///
/// Lines beyond a bound are dropped, and a line says how many. The guard writes what still waits
/// when it is dropped.
pub fn stdout() -> (Logger, slog_async::AsyncGuard) {
    let drain = slog_json::Json::default(std::io::stdout());
    let (drain, guard) = slog_async::Async::new(drain.fuse())
        .chan_size(WAITING_MAX)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.fuse(), o!()), guard)
}

/// The root logger, which writes to standard error.
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
