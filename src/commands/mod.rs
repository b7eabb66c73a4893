//! The command line: one module a subcommand.

mod ctl;
mod entry;
mod sidecar;
mod stop;

use std::fmt;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};

/// Exit status for settings, documents or arguments that are not acceptable.
const EXIT_INVALID: u8 = 2;

enum Command {
    Entry(entry::Options),
    Sidecar(sidecar::Options),
    Ctl(ctl::Options),
}

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Error {
    /// Settings or a document are not acceptable.
    Settings(settings::Error),
    /// An entry cannot run.
    Entry(::entry::Error),
    /// A sidecar cannot run.
    Sidecar(::sidecar::Error),
    /// Signals cannot be handled.
    Signals(std::io::Error),
    /// A file cannot be read.
    File(std::io::Error),
    /// A server refused or did not answer.
    Server(http_io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Settings(error) => error.fmt(f),
            Error::Entry(error) => error.fmt(f),
            Error::Sidecar(error) => error.fmt(f),
            Error::Signals(error) => write!(f, "cannot handle signals: {error}"),
            Error::File(error) => write!(f, "cannot read file: {error}"),
            Error::Server(http_io::Error::Status(status, body)) => {
                write!(f, "status {status}: {}", String::from_utf8_lossy(body))
            }
            Error::Server(error) => error.fmt(f),
        }
    }
}

/// Result of a command.
pub(crate) type Result<T> = std::result::Result<T, Error>;

fn options() -> OptionParser<Command> {
    let entry = entry::options().map(Command::Entry);
    let sidecar = sidecar::options().map(Command::Sidecar);
    let ctl = ctl::options().map(Command::Ctl);
    construct!([entry, sidecar, ctl])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Schedules agent programs")
}

/// Runs the command that the arguments name.
pub(crate) fn run() -> ExitCode {
    let result = match options().run() {
        Command::Entry(options) => entry::run(&options),
        Command::Sidecar(options) => sidecar::run(&options),
        Command::Ctl(options) => ctl::run(options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("balsamhold: {error}");
            let invalid = matches!(
                error,
                Error::Settings(_) | Error::Entry(_) | Error::Sidecar(_)
            );
            if invalid {
                ExitCode::from(EXIT_INVALID)
            } else {
                ExitCode::FAILURE
            }
        }
    }
}

/// The log output that settings ask for.
pub(crate) fn output(format: settings::Format) -> telemetry::Output {
    match format {
        settings::Format::Json => telemetry::Output::Json,
        settings::Format::Terminal => telemetry::Output::Terminal,
    }
}
