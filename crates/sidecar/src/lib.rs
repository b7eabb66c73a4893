//! The sidecar: the process beside an endpoint and the endpoint's only client.
//!
//! Invariants:
//! - An incarnation of the sidecar sends a call to the endpoint at most once, however often the
//!   call is dispatched. A call that was declared as never to run never runs.
//! - The endpoint never runs more calls than it has slots; other calls wait here by rank.
//! - An answer is retained until an entry reports that it is durable.
//! - An endpoint that ignores fencing numbers receives no order with a lower number than before.
//! - The endpoint holds no memory of programs that have ended or that no entry claims.

mod calls;
pub mod claims;
mod document;
mod endpoint;
mod error;
mod guard;
mod orders;
mod queue;
mod reconcile;
mod server;
mod status;
mod witness;

pub use claims::Claims;
pub use error::{Error, Result};
pub use guard::{Guard, Outcome, Verdict};
pub use orders::FenceCheck;
pub use queue::Queue;

use std::rc::Rc;
use std::sync::Arc;

use intake::{Clients, Gate, Listener, Monitor};
use settings::Sidecar;
use slog::{Logger, info, o};
use smol::LocalExecutor;
use smol::net::TcpListener;
use telemetry::Metrics;
use units::{Clock, Incarnation};
use wire::{Drain, Identity, Key, Role};

use crate::calls::Calls;

/// Runs a sidecar until `stop` resolves, then drains it.
///
/// # Errors
/// If a listener cannot be opened or the metrics cannot be registered.
pub fn run(
    settings: Sidecar,
    log: &Logger,
    stop: impl Future<Output = ()> + 'static,
) -> Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let run = run_sidecar(executor.clone(), settings, log.clone(), stop);
    smol::block_on(executor.run(run))
}

async fn run_sidecar(
    executor: Rc<LocalExecutor<'static>>,
    settings: Sidecar,
    log: Logger,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let peers = bind(settings.peer_address).await?;
    let status = bind(settings.status_address).await?;
    let identity = identity(&settings);
    let log = log.new(o!("host" => identity.host.to_string(),
        "incarnation" => identity.incarnation.to_string()));
    let metrics = Metrics::new("sidecar").map_err(Error::Metrics)?;
    let key = Key::new(*settings.process.key.bytes());
    let calls = Calls::new(
        executor.clone(),
        &settings,
        identity.incarnation,
        metrics,
        log.clone(),
        Clock::new(),
    );
    let machine = settings.process.machine;
    info!(log, "limits"; "memory_bytes" => machine.memory.0, "descriptors" => machine.descriptors);
    let listener = |listener, clients: Clients, port| {
        let limits = clients.limits(machine.memory, machine.descriptors);
        let monitor = Monitor::new(port, calls.metrics.clone(), log.clone());
        let gate = Gate::new(limits, calls.clock).with_monitor(monitor);
        Listener::new(listener, Arc::new(gate))
    };
    let peers = listener(peers, Clients::Peers, "peers");
    let status = listener(status, Clients::Operators, "status");
    let handler = {
        let calls = calls.clone();
        move |peer, stream| server::exchange(calls.clone(), peer, stream)
    };
    let record_refusal = {
        let calls = calls.clone();
        move |error: &wire::Error| calls.metrics.count(error.label())
    };
    let connections = Drain::new();
    let serve = wire::serve(
        executor.clone(),
        peers,
        key,
        identity,
        handler,
        record_refusal,
        connections.clone(),
    );
    executor.spawn(serve).detach();
    let epoch_calls = calls.clone();
    executor
        .spawn(async move { epoch_calls.advance_epochs().await })
        .detach();
    executor.spawn(reconcile::run(calls.clone())).detach();
    executor
        .spawn(status::serve(executor.clone(), status, calls.clone()))
        .detach();
    info!(log, "ready"; "peers" => %settings.peer_address, "endpoint" => %settings.endpoint.name);
    stop.await;
    info!(log, "draining");
    calls.drain(&connections).await;
    info!(log, "stopped");
    Ok(())
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| Error::Listen(address, error))
}

fn identity(settings: &Sidecar) -> Identity {
    Identity {
        host: settings.process.host.clone(),
        incarnation: Incarnation::random(&mut rand::rng()),
        address: settings.peer_address,
        region: settings.process.region.clone(),
        zone: settings.process.zone.clone(),
        role: Role::Sidecar {
            endpoint: settings.endpoint.name.clone(),
            serves: settings.endpoint.serves.clone(),
            slots: settings.endpoint.slots,
        },
    }
}
