//! `overhead`: what an entry and a sidecar add to a call, against the same engine stand-in directly.
//!
//! Direct calls and calls through balsamhold alternate in one run, so that both meet the same
//! machine. Processor time is read from the processes themselves and does not depend on what else
//! the machine does. The time of the store's commits is reported apart.

mod environment;
mod measure;

use bpaf::Bpaf;

use crate::environment::Environment;
use crate::measure::{Error, latency, memory, throughput};

/// Measures what balsamhold adds to a call.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Pairs of calls in the latency part
    #[bpaf(fallback(1_000))]
    pairs: u32,
    /// Callers at a time in the throughput part
    #[bpaf(fallback(64))]
    callers: u32,
    /// Calls of each caller in the throughput part
    #[bpaf(fallback(100))]
    calls: u32,
}

fn main() -> Result<(), Error> {
    let options = options().run();
    let environment = Environment::start()?;
    smol::block_on(async {
        memory(&environment, "idle")?;
        latency(&environment, options.pairs).await?;
        throughput(
            &environment,
            "short calls",
            options.callers,
            options.calls,
            8,
        )
        .await?;
        throughput(
            &environment,
            "long answers",
            options.callers,
            options.calls / 10,
            500,
        )
        .await?;
        memory(&environment, "after the load")
    })
}
