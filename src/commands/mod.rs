//! The command line: one module a subcommand.

mod ctl;
mod entry;
mod gateway;
mod serve;
mod sidecar;
mod stop;

use std::fmt;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};

/// Exit status for settings, documents or arguments that are not acceptable.
const EXIT_INVALID: u8 = 2;

enum Command {
    Entry(serve::Options),
    Gateway(serve::Options),
    Sidecar(serve::Options),
    Ctl(ctl::Options),
}

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Error {
    /// Settings or a document are not acceptable.
    Settings(settings::Error),
    /// An entry cannot run.
    Entry(::entry::Error),
    /// A gateway cannot run.
    Gateway(::gateway::Error),
    /// A sidecar cannot run.
    Sidecar(::sidecar::Error),
    /// Signals cannot be handled.
    Signals(std::io::Error),
    /// A file cannot be read.
    File(std::io::Error),
    /// A server refused or did not answer.
    Server(http_io::Error),
    /// A server's answer lacks this.
    Answer(&'static str),
    /// A version is not in force at these hosts.
    NotInForce(u64, Vec<String>),
    /// The server is of another environment.
    Environment {
        /// The environment that was asked for.
        expected: String,
        /// The server's environment.
        found: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Settings(error) => error.fmt(f),
            Error::Entry(error) => error.fmt(f),
            Error::Gateway(error) => error.fmt(f),
            Error::Sidecar(error) => error.fmt(f),
            Error::Signals(error) => write!(f, "cannot handle signals: {error}"),
            Error::File(error) => write!(f, "cannot read file: {error}"),
            Error::Server(http_io::Error::Status(status, body)) => refused(f, *status, body),
            Error::Server(error) => error.fmt(f),
            Error::Answer(part) => write!(f, "the server's answer has no {part}"),
            Error::NotInForce(version, hosts) => {
                write!(
                    f,
                    "version {version} is not in force at {}",
                    hosts.join(", ")
                )
            }
            Error::Environment { expected, found } => {
                write!(f, "the server is of environment {found}, not {expected}")
            }
        }
    }
}

/// Writes a server's refusal, with the diff if it has one.
fn refused(f: &mut fmt::Formatter<'_>, status: u16, body: &[u8]) -> fmt::Result {
    let Ok(answer) = serde_json::from_slice::<serde_json::Value>(body) else {
        return write!(f, "status {status}: {}", String::from_utf8_lossy(body));
    };
    let (code, message) = (answer["code"].as_str(), answer["message"].as_str());
    write!(
        f,
        "{}: {}",
        code.unwrap_or("refused"),
        message.unwrap_or_default()
    )?;
    if answer["changed"] == "unknown" {
        f.write_str("; it may have taken effect: repeat the same command to find out")?;
    }
    match answer["diff"].as_str() {
        Some(diff) => write!(f, "\n{diff}"),
        None => Ok(()),
    }
}

/// Result of a command.
pub(crate) type Result<T> = std::result::Result<T, Error>;

fn options() -> OptionParser<Command> {
    let entry = entry::options().map(Command::Entry);
    let gateway = gateway::options().map(Command::Gateway);
    let sidecar = sidecar::options().map(Command::Sidecar);
    let ctl = ctl::options().map(Command::Ctl);
    construct!([entry, gateway, sidecar, ctl])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Schedules agent programs")
}

/// Runs the command that the arguments name.
pub(crate) fn run() -> ExitCode {
    let result = match options().run() {
        Command::Entry(options) => entry::run(&options),
        Command::Gateway(options) => gateway::run(&options),
        Command::Sidecar(options) => sidecar::run(&options),
        Command::Ctl(options) => ctl::run(options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("balsamhold: {error}");
            match error {
                Error::Settings(_) => ExitCode::from(EXIT_INVALID),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

/// An address of the settings: its section, its key and itself.
pub(crate) type Address = (&'static str, &'static str, std::net::SocketAddr);

/// The error for an address that cannot be listened on, with its place in the settings file.
pub(crate) fn unusable(
    file: &str,
    addresses: &[Address],
    address: std::net::SocketAddr,
    why: &std::io::Error,
) -> Error {
    let place = addresses.iter().find(|(.., known)| *known == address);
    let (section, key) = place.map_or(("", ""), |(section, key, _)| (*section, *key));
    let why = format!("cannot be listened on: {why}");
    Error::Settings(settings::unusable_address(
        file,
        section,
        key,
        &address.to_string(),
        &why,
    ))
}

/// The log output that settings ask for.
pub(crate) fn output(format: settings::LogFormat) -> telemetry::LogFormat {
    match format {
        settings::LogFormat::Json => telemetry::LogFormat::Json,
        settings::LogFormat::Terminal => telemetry::LogFormat::Terminal,
    }
}
