//! Log lines.

use std::sync::Mutex;

use slog::{Drain, Logger, o};

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// One JSON object a line.
    Json,
    /// For reading at a terminal.
    Terminal,
}

/// The root logger, which writes to standard error.
pub fn root(output: Output) -> Logger {
    match output {
        Output::Json => {
            let drain = slog_json::Json::default(std::io::stderr());
            Logger::root(Mutex::new(drain).map(slog::Fuse), o!())
        }
        Output::Terminal => {
            let decorator = slog_term::TermDecorator::new().build();
            let drain = slog_term::CompactFormat::new(decorator).build();
            Logger::root(Mutex::new(drain).map(slog::Fuse), o!())
        }
    }
}
