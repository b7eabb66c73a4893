//! The command line, with one module for each subcommand.

mod ctl;
mod entry;
mod gateway;
mod serve;
mod sidecar;
mod stop;

use std::fmt;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};

/// Exit status if settings or a document are invalid.
const EXIT_INVALID: u8 = 2;

enum Command {
    Entry(serve::Options),
    Gateway(gateway::Options),
    Sidecar(serve::Options),
    Ctl(ctl::Options),
}

/// Error of a command.
#[derive(Debug)]
pub(crate) enum Error {
    /// Settings or a document are invalid.
    Settings(settings::Error),
    /// The entry could not start, or stopped with an error.
    Entry(::entry::Error),
    /// The gateway could not start, or stopped with an error.
    Gateway(::gateway::Error),
    /// The sidecar could not start, or stopped with an error.
    Sidecar(::sidecar::Error),
    /// The signal handler could not be set up.
    Signals(std::io::Error),
    /// A file or standard input could not be read.
    File(std::io::Error),
    /// A server refused a request or did not respond.
    Server(http_io::Error),
    /// A server's response lacks a field or is unusable; holds the field's name or the fault.
    Response(&'static str),
    /// A version is not in force at these hosts, each of which is given with its state.
    NotInForce(u64, Vec<String>),
    /// The server belongs to another environment.
    Environment {
        /// Name of the environment in the command line.
        expected: String,
        /// Name that the server reports.
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
            Error::Server(http_io::Error::Status(status, body)) => write_refusal(f, *status, body),
            Error::Server(error) => error.fmt(f),
            Error::Response(part) => write!(f, "the server's answer has no {part}"),
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

/// Writes a refusal by a server, with its diff if the response contains one.
fn write_refusal(f: &mut fmt::Formatter<'_>, status: u16, body: &[u8]) -> fmt::Result {
    let Ok(refusal) = serde_json::from_slice::<serde_json::Value>(body) else {
        return write!(f, "status {status}: {}", String::from_utf8_lossy(body));
    };
    let (code, message) = (refusal["code"].as_str(), refusal["message"].as_str());
    write!(
        f,
        "{}: {}",
        code.unwrap_or("refused"),
        message.unwrap_or_default()
    )?;
    if refusal["changed"] == "unknown" {
        f.write_str("; it may have taken effect: repeat the same command to find out")?;
    }
    match refusal["diff"].as_str() {
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

/// Parses the arguments, runs the command and returns its exit status.
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

/// Address in the settings, with its section and key.
pub(crate) type Address = (&'static str, &'static str, std::net::SocketAddr);

/// Returns the error for an address that cannot be listened on; names its section and key.
pub(crate) fn listen_error(
    file: &str,
    addresses: &[Address],
    address: std::net::SocketAddr,
    reason: &std::io::Error,
) -> Error {
    let setting = addresses.iter().find(|(.., listed)| *listed == address);
    let (section, key) = setting.map_or(("", ""), |(section, key, _)| (*section, *key));
    let reason = format!("cannot be listened on: {reason}");
    Error::Settings(settings::unusable_address(
        file,
        section,
        key,
        &address.to_string(),
        &reason,
    ))
}

/// Converts the log format of the settings into that of the logger.
pub(crate) fn to_telemetry_format(format: settings::LogFormat) -> telemetry::LogFormat {
    match format {
        settings::LogFormat::Json => telemetry::LogFormat::Json,
        settings::LogFormat::Terminal => telemetry::LogFormat::Terminal,
    }
}
