//! `balsamhold gateway`: runs a gateway.

use bpaf::{Parser, construct, long};
use settings::Machine;
use units::Bytes;

use crate::commands::serve::{limit_descriptors, settings_file};
use crate::commands::{Error, Result, listen_error, stop};

/// Bounds of the memory, in megabytes: less does not hold the process, more is a mistake.
const MEMORY_MEGABYTES: std::ops::RangeInclusive<u64> = 32..=1_000_000;
/// Bounds of the processor time in cores.
const PROCESSOR_CORES: std::ops::RangeInclusive<f64> = 0.0..=1_000.0;

/// Arguments of the command.
pub(crate) struct Options {
    settings: String,
    machine: Machine,
}

pub(crate) fn options() -> impl Parser<Options> {
    let settings = settings_file();
    let machine = machine();
    construct!(Options { settings, machine })
        .to_options()
        .descr("Runs a gateway: an entry on a platform that lists endpoints")
        .command("gateway")
}

/// Returns the parser of what the machine has.
fn machine() -> impl Parser<Machine> {
    let default = Machine::default();
    let memory = long("memory-megabytes")
        .help("Memory of the machine; a quarter of it is for what callers hold [88]")
        .argument::<u64>("NUMBER")
        .guard(|number| MEMORY_MEGABYTES.contains(number), "32 to 1000000")
        .map(|number| Bytes(number << 20))
        .fallback(default.memory);
    let descriptors = long("descriptors")
        .help(
            "Descriptors that the process may open, at most its limit; half are for callers [4096]",
        )
        .argument::<usize>("NUMBER")
        .guard(
            |number| Machine::DESCRIPTORS.contains(number),
            "256 to 10000000",
        )
        .fallback(default.descriptors);
    let processor = long("processor-cores")
        .help("Processor time of the machine in cores; 0 if unknown [0]")
        .argument::<f64>("NUMBER")
        .guard(|cores| PROCESSOR_CORES.contains(cores), "0 to 1000")
        .map(|cores| (cores * 1e3) as u32)
        .fallback(default.processor);
    construct!(Machine {
        memory,
        descriptors,
        processor
    })
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
        machine: limit_descriptors(options.machine),
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
