//! `standins`: runs one stand-in as a separate process, for examples and load tests.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use standins::{engine, platform, service};

/// Runs one stand-in until the process is ended.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// A model engine.
    #[bpaf(command)]
    Engine {
        /// Address to listen on
        address: SocketAddr,
        /// Completions that run at a time
        #[bpaf(fallback(8))]
        slots: u32,
        /// Microseconds per generated token
        #[bpaf(fallback(2_000))]
        token_us: u64,
    },
    /// A plain service.
    #[bpaf(command)]
    Service {
        /// Address to listen on
        address: SocketAddr,
        /// Milliseconds per call
        #[bpaf(fallback(5))]
        delay_ms: u64,
    },
    /// The platform's store.
    #[bpaf(command)]
    Platform {
        /// Address to listen on
        address: SocketAddr,
        /// JSON file with the list of hosts
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
            run_forever(engine::start(address, config)?)
        }
        Command::Service { address, delay_ms } => run_forever(service::start(address, delay_ms)?),
        Command::Platform { address, hosts } => {
            let hosts = serde_json::from_slice(&std::fs::read(hosts)?)?;
            run_forever(platform::start(address, hosts)?)
        }
    }
}

/// Keeps a stand-in running until the process is ended.
fn run_forever<S>(_handle: standins::Handle<S>) -> std::io::Result<()> {
    loop {
        std::thread::park();
    }
}
