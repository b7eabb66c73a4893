//! `balsamhold entry`: runs an entry.

use bpaf::Parser;

use crate::commands::serve::{self, Options};
use crate::commands::{Error, Result, listen_error, stop, to_telemetry_format};

pub(crate) fn options() -> impl Parser<Options> {
    serve::options(
        "entry",
        "Runs an entry: the process that callers connect to",
    )
}

pub(crate) fn run(options: &Options) -> Result<()> {
    let mut settings = settings::Entry::load(&options.settings).map_err(Error::Settings)?;
    settings.process.machine = serve::limit_descriptors(settings.process.machine);
    let log = telemetry::stderr(to_telemetry_format(settings.process.log_format));
    let addresses = [
        ("entry", "caller-address", settings.caller_address),
        ("entry", "peer-address", settings.peer_address),
        ("admin", "address", settings.admin.address),
    ];
    let store = &settings.process.platform;
    let client = store::Client::new(platform::Client::new(store.address), store.timeout);
    ::entry::run(settings, client, &log, stop::signal()?).map_err(|error| match error {
        ::entry::Error::Listen(address, reason) => {
            listen_error(&options.settings, &addresses, address, &reason)
        }
        error => Error::Entry(error),
    })
}
