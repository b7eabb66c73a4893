//! The process beside an endpoint, and the only one that talks to it.
//!
//! Invariants:
//! - A call is handed to the endpoint at most once by this incarnation, however often it is
//!   dispatched; a call declared as never to run never runs.
//! - The endpoint never has more calls than its slots; the rest wait here by rank.
//! - An answer is retained until an entry says that it is durable.
//! - An endpoint that ignores fencing numbers gets no order with a lower one than before.
//! - The endpoint holds no memory of programs that have ended or that no entry answers for.

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
pub use guard::{End, Guard, Verdict};
pub use orders::Gate;
pub use queue::Queue;

use std::rc::Rc;

use settings::Sidecar;
use slog::{Logger, info, o};
use smol::LocalExecutor;
use smol::net::TcpListener;
use telemetry::Metrics;
use units::{Clock, Incarnation};
use wire::{Drain, Identity, Key, Role};

use crate::calls::Calls;

/// Runs a sidecar until it is told to stop; `stop` resolves then.
pub fn run(
    settings: Sidecar,
    log: &Logger,
    stop: impl Future<Output = ()> + 'static,
) -> Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let run = sidecar(executor.clone(), settings, log.clone(), stop);
    smol::block_on(executor.run(run))
}

async fn sidecar(
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
    let handler = {
        let calls = calls.clone();
        move |peer, stream| server::exchange(calls.clone(), peer, stream)
    };
    let refused = {
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
        refused,
        connections.clone(),
    );
    executor.spawn(async move { drop(serve.await) }).detach();
    let epochs = calls.clone();
    executor
        .spawn(async move { epochs.count_epochs().await })
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
