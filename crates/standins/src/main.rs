//! `standins`: runs one stand-in as a process of its own, for examples and load tests.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use standins::{engine, platform, service};

/// Runs one stand-in until it is ended.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// A model engine.
    #[bpaf(command)]
    Engine {
        /// Where it listens
        address: SocketAddr,
        /// Completions at a time
        #[bpaf(fallback(8))]
        slots: u32,
        /// Microseconds per generated token
        #[bpaf(fallback(2_000))]
        token_us: u64,
    },
    /// A plain service.
    #[bpaf(command)]
    Service {
        /// Where it listens
        address: SocketAddr,
        /// Milliseconds that a call takes
        #[bpaf(fallback(5))]
        delay_ms: u64,
    },
    /// The platform's service.
    #[bpaf(command)]
    Platform {
        /// Where it listens
        address: SocketAddr,
        /// A JSON file with the host list
        hosts: PathBuf,
    },
}

fn main() -> std::io::Result<()> {
    match command().run() {
        Command::Engine {
            address,
            slots,
            token_us,
        } => {
            let config = engine::Config {
                slots,
                token_us,
                ..engine::Config::default()
            };
            wait(engine::start(address, config)?)
        }
        Command::Service { address, delay_ms } => wait(service::start(address, delay_ms)?),
        Command::Platform { address, hosts } => {
            let hosts = serde_json::from_slice(&std::fs::read(hosts)?)?;
            wait(platform::start(address, hosts)?)
        }
    }
}

/// Keeps a stand-in until the process is ended.
fn wait<S>(_running: standins::Handle<S>) -> std::io::Result<()> {
    loop {
        std::thread::park();
    }
}
