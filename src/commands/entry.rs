//! `balsamhold entry`.

use bpaf::{Parser, construct, long};

use crate::commands::{Error, Result, output, stop, unusable};

/// Arguments of `balsamhold entry`.
pub(crate) struct Options {
    settings: String,
}

pub(crate) fn options() -> impl Parser<Options> {
    let settings = long("settings")
        .help("INI file with the process's settings")
        .argument("FILE");
    construct!(Options { settings })
        .to_options()
        .descr("Runs an entry: the process before the callers")
        .command("entry")
}

pub(crate) fn run(options: &Options) -> Result<()> {
    let settings = settings::Entry::load(&options.settings).map_err(Error::Settings)?;
    let log = telemetry::root(output(settings.process.format));
    let addresses = [
        ("entry", "caller-address", settings.callers),
        ("entry", "peer-address", settings.peers),
        ("admin", "address", settings.admin.address),
    ];
    ::entry::run(settings, &log, stop::signal()?).map_err(|error| match error {
        ::entry::Error::Listen(address, why) => {
            unusable(&options.settings, &addresses, address, &why)
        }
        error => Error::Entry(error),
    })
}
