//! `balsamhold sidecar`.

use bpaf::{Parser, construct, long};

use crate::commands::{Error, Result, output, stop, unusable};

/// Arguments of `balsamhold sidecar`.
pub(crate) struct Options {
    settings: String,
}

pub(crate) fn options() -> impl Parser<Options> {
    let settings = long("settings")
        .help("INI file with the process's settings")
        .argument("FILE");
    construct!(Options { settings })
        .to_options()
        .descr("Runs the sidecar of an endpoint")
        .command("sidecar")
}

pub(crate) fn run(options: &Options) -> Result<()> {
    let settings = settings::Sidecar::load(&options.settings).map_err(Error::Settings)?;
    let log = telemetry::root(output(settings.process.format));
    let addresses = [
        ("sidecar", "peer-address", settings.peers),
        ("sidecar", "status-address", settings.status),
    ];
    ::sidecar::run(settings, &log, stop::signal()?).map_err(|error| match error {
        ::sidecar::Error::Listen(address, why) => {
            unusable(&options.settings, &addresses, address, &why)
        }
        error => Error::Sidecar(error),
    })
}
