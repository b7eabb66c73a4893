//! `balsamhold gateway`: runs a gateway.

use bpaf::Parser;

use crate::commands::serve::{self, Options};
use crate::commands::{Error, Result, listen_error, stop};

pub(crate) fn options() -> impl Parser<Options> {
    serve::options(
        "gateway",
        "Runs a gateway: an entry on a platform that lists endpoints",
    )
}

pub(crate) fn run(options: &Options) -> Result<()> {
    let settings = settings::Gateway::load(&options.settings).map_err(Error::Settings)?;
    let (log, _flush) = telemetry::stdout();
    let addresses = [
        ("gateway", "caller-address", settings.caller_address),
        ("gateway", "status-address", settings.status_address),
        ("gateway", "peer-address", settings.peer_address),
    ];
    let adapter = platform::adapter(&settings);
    let control = ::gateway::Control {
        settings_file: options.settings.clone(),
        stop: Box::pin(stop::signal()?),
        reloads: stop::reloads()?,
    };
    ::gateway::run(settings, adapter, log, control).map_err(|error| match error {
        ::gateway::Error::Listen(address, reason) => {
            listen_error(&options.settings, &addresses, address, &reason)
        }
        error => Error::Gateway(error),
    })
}
