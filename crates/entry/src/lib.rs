//! The entry process: serves callers, owns programs and runs their calls at endpoints.
//!
//! The control thread runs the board, the log and the administration API. The traffic thread alone
//! owns the programs, which therefore need no locks. Invariants:
//! - A non-idempotent call is dispatched once, after its intent is durable.
//! - A refusal states that a call did not run only if that is proved.
//! - The end of an answer carries a token and is sent once the turn is in the log or, in a store
//!   outage, held by two sidecars (its witnesses).

mod answers;
mod api;
mod calls;
mod control;
mod dispatch;
mod documents;
mod drain;
mod error;
mod forward;
mod hedge;
mod links;
mod live;
mod operator;
mod outage;
mod owner;
mod programs;
mod quota;
mod refusal;
mod reply;
mod routing;
mod settle;
mod takeover;
mod traffic;

pub use error::{Error, Result};

use std::sync::Arc;

use arc_swap::{ArcSwap, ArcSwapOption};
use board::View;
use intake::{Clients, Gate, Listener, Monitor};
use memory::Limiter;
use settings::Entry;
use slog::{Logger, info, o};
use store::Client;
use telemetry::Metrics;
use units::{Clock, Incarnation};
use wire::{Identity, Role};

/// State shared by the two threads of an entry.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Arc<Entry>,
    pub(crate) identity: Identity,
    pub(crate) view: Arc<ArcSwap<View>>,
    pub(crate) log_handle: Arc<ArcSwapOption<log::Handle>>,
    pub(crate) client: Client,
    pub(crate) metrics: Metrics,
    /// Limits the memory of the programs that this entry owns.
    pub(crate) limiter: Arc<Limiter>,
    pub(crate) logger: Logger,
    pub(crate) clock: Clock,
}

impl Shared {
    /// Accepts connections on a bound listener, within the limits of its clients' share. `port` is its
    /// name in log lines.
    pub(crate) fn listen(
        &self,
        listener: std::net::TcpListener,
        clients: Clients,
        port: &'static str,
    ) -> std::io::Result<Listener> {
        let machine = self.settings.process.machine;
        let limits = clients.limits(machine.memory, machine.descriptors);
        let monitor = Monitor::new(port, self.metrics.clone(), self.logger.clone());
        let gate = Gate::new(limits, self.clock).with_monitor(monitor);
        let listener = smol::net::TcpListener::from(smol::Async::new(listener)?);
        Ok(Listener::new(listener, Arc::new(gate)))
    }
}

/// Runs an entry until `stop` resolves.
///
/// # Errors
/// If an address cannot be listened on, the metrics cannot be registered, or a thread cannot be
/// started or panics. In the first two cases nothing has been started.
pub fn run(
    settings: Entry,
    client: Client,
    logger: &Logger,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let caller_listener = bind(settings.caller_address)?;
    let peer_listener = bind(settings.peer_address)?;
    let admin_listener = bind(settings.admin.address)?;
    let shared = build_shared(settings, client, logger)?;
    let machine = shared.settings.process.machine;
    info!(shared.logger, "limits"; "memory_bytes" => machine.memory.0,
        "descriptors" => machine.descriptors);
    let (observation_sender, observation_receiver) = async_channel::bounded(1_024);
    let (operation_sender, operation_receiver) = async_channel::bounded(64);
    let (stop_sender, stop_receiver) = async_channel::bounded::<()>(1);
    let control = {
        let shared = shared.clone();
        let run = move || {
            control::run(
                shared,
                admin_listener,
                observation_receiver,
                operation_sender,
            )
        };
        std::thread::Builder::new()
            .name("control".into())
            .spawn(run)
            .map_err(Error::Thread)?
    };
    let inputs = traffic::Inputs {
        caller_listener,
        peer_listener,
        observation_sender,
        operation_receiver,
        stop_receiver,
    };
    let traffic = {
        let run = move || traffic::run(shared, inputs);
        std::thread::Builder::new()
            .name("traffic".into())
            .spawn(run)
            .map_err(Error::Thread)?
    };
    smol::block_on(stop);
    drop(stop_sender);
    traffic.join().map_err(|_| Error::Panicked)?;
    control.join().map_err(|_| Error::Panicked)?;
    Ok(())
}

fn bind(address: std::net::SocketAddr) -> Result<std::net::TcpListener> {
    std::net::TcpListener::bind(address).map_err(|error| Error::Listen(address, error))
}

fn build_shared(settings: Entry, client: Client, logger: &Logger) -> Result<Shared> {
    let process = &settings.process;
    let identity = Identity {
        host: process.host.clone(),
        incarnation: Incarnation::random(&mut rand::rng()),
        address: settings.peer_address,
        region: process.region.clone(),
        zone: process.zone.clone(),
        role: Role::Entry,
    };
    let logger = logger.new(o!("host" => identity.host.to_string(),
        "incarnation" => identity.incarnation.to_string()));
    Ok(Shared {
        client,
        view: Arc::new(ArcSwap::from_pointee(View::default())),
        log_handle: Arc::new(ArcSwapOption::empty()),
        metrics: Metrics::new("entry").map_err(Error::Metrics)?,
        limiter: Arc::new(Limiter::of_machine(process.machine.memory)),
        settings: Arc::new(settings),
        clock: Clock::new(),
        identity,
        logger,
    })
}
