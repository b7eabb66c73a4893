//! `balsamhold sidecar`: runs a sidecar.

use bpaf::Parser;

use crate::commands::serve::{self, Options};
use crate::commands::{Error, Result, listen_error, stop, to_telemetry_format};

pub(crate) fn options() -> impl Parser<Options> {
    serve::options("sidecar", "Runs the sidecar of an endpoint")
}

pub(crate) fn run(options: &Options) -> Result<()> {
    let mut settings = settings::Sidecar::load(&options.settings).map_err(Error::Settings)?;
    settings.process.machine = serve::limit_descriptors(settings.process.machine);
    let log = telemetry::stderr(to_telemetry_format(settings.process.log_format));
    let addresses = [
        ("sidecar", "peer-address", settings.peer_address),
        ("sidecar", "status-address", settings.status_address),
    ];
    ::sidecar::run(settings, &log, stop::signal()?).map_err(|error| match error {
        ::sidecar::Error::Listen(address, reason) => {
            listen_error(&options.settings, &addresses, address, &reason)
        }
        error => Error::Sidecar(error),
    })
}
