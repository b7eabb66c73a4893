//! `overhead`: measures what an entry and a sidecar add to a call, compared with direct calls of the
//! same engine stand-in.
//!
//! Direct calls and calls through balsamhold alternate in one run, so that other load of the machine
//! affects both alike. Processor time is that of the entry and the sidecar alone, whatever else the
//! machine runs. The time of the store's commits is printed separately.

mod environment;
mod measure;

use bpaf::Bpaf;

use crate::environment::Environment;
use crate::measure::{Error, measure_latency, measure_throughput, print_memory};

/// Measures what balsamhold adds to a call.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Pairs of calls in the latency measurement
    #[bpaf(fallback(1_000))]
    pairs: u32,
    /// Concurrent callers in the throughput measurement
    #[bpaf(fallback(64))]
    callers: u32,
    /// Calls per caller in the throughput measurement
    #[bpaf(fallback(100))]
    calls: u32,
}

fn main() -> Result<(), Error> {
    let options = options().run();
    let environment = Environment::start()?;
    smol::block_on(async {
        print_memory(&environment, "idle")?;
        measure_latency(&environment, options.pairs).await?;
        measure_throughput(
            &environment,
            "short calls",
            options.callers,
            options.calls,
            8,
        )
        .await?;
        measure_throughput(
            &environment,
            "long answers",
            options.callers,
            options.calls / 10,
            500,
        )
        .await?;
        print_memory(&environment, "after the load")
    })
}
