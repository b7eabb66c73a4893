//! Arguments shared by the commands that run a process.

use bpaf::{Parser, construct, long};
use nix::sys::resource::{Resource, getrlimit};
use settings::Machine;

/// Arguments of a command that runs a process.
pub(crate) struct Options {
    /// The INI file with the process's settings.
    pub(crate) settings: String,
}

/// Returns the parser of the settings file.
pub(crate) fn settings_file() -> impl Parser<String> {
    long("settings")
        .help("INI file with the process's settings")
        .argument("FILE")
}

/// Returns the parser of the subcommand `name`.
pub(crate) fn options(name: &'static str, description: &'static str) -> impl Parser<Options> {
    let settings = settings_file();
    construct!(Options { settings })
        .to_options()
        .descr(description)
        .command(name)
}

/// Lowers the descriptors of a machine to what this process may open. The system may not say.
pub(crate) fn limit_descriptors(machine: Machine) -> Machine {
    let Ok((descriptors_max, _)) = getrlimit(Resource::RLIMIT_NOFILE) else {
        return machine;
    };
    machine.with_descriptors_max(usize::try_from(descriptors_max).unwrap_or(usize::MAX))
}
