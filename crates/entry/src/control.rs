//! The control thread: board, log and administration API.

use std::rc::Rc;
use std::sync::Arc;

use admin::{Admin, Ask};
use async_channel::{Receiver, Sender};
use board::{Board, Observation};
use log::Writer;
use slog::{error, info, warn};
use smol::LocalExecutor;
use smol::future::FutureExt;
use smol::net::TcpListener;
use units::{Incarnation, Span};

use crate::Shared;

const LOG_RETRY_DELAY: Span = Span::from_ms(500);

/// Runs the control thread until the traffic thread has gone.
pub(crate) fn run(
    shared: Shared,
    admin: std::net::TcpListener,
    observed: Receiver<Observation>,
    asks: Sender<Ask>,
) {
    let executor = Rc::new(LocalExecutor::new());
    let (local, documents) = async_channel::bounded(64);
    executor
        .spawn(keep_log(shared.clone(), local.clone()))
        .detach();
    executor
        .spawn(poll_hosts(shared.clone(), local.clone()))
        .detach();
    executor
        .spawn(poll_document(shared.clone(), local.clone()))
        .detach();
    let inputs = AdminInputs {
        listener: admin,
        asks,
        observations: local,
    };
    executor
        .spawn(serve_admin(executor.clone(), shared.clone(), inputs))
        .detach();
    smol::block_on(executor.run(keep_board(shared, observed, documents)));
}

/// Applies observations to the board and publishes its view.
async fn keep_board(shared: Shared, observed: Receiver<Observation>, local: Receiver<Observation>) {
    let mut board = Board::new(shared.identity.host.clone());
    loop {
        let next = observed.recv().or(local.recv()).await;
        let Ok(observation) = next else {
            return;
        };
        let version = board.version();
        observe(&shared, &mut board, observation);
        while let Ok(observation) = observed.try_recv().or_else(|_| local.try_recv()) {
            observe(&shared, &mut board, observation);
        }
        if board.version() != version {
            info!(shared.logger, "document in force"; "version" => %board.version());
        }
        shared.view.store(Arc::new(board.view()));
    }
}

fn observe(shared: &Shared, board: &mut Board, observation: Observation) {
    if let Err(why) = board.observe(observation, shared.clock.now()) {
        shared.metrics.count("document-invalid");
        error!(shared.logger, "received document is invalid"; "error" => %why);
    }
}

/// Keeps a log open and commits to it.
///
/// The first log has the process's incarnation as its writer, so that peers find its owner without a
/// read. A log that was sealed by another is followed by a new one.
async fn keep_log(shared: Shared, observations: Sender<Observation>) {
    let mut writer = shared.identity.incarnation;
    loop {
        let (log, handle) = open_log(&shared, writer).await;
        info!(shared.logger, "log open"; "writer" => %writer);
        shared.log_handle.store(Some(Arc::new(handle)));
        // The control thread ends only with the process.
        let _ = observations.send(Observation::LogOpen(true)).await;
        let end = log.run().await;
        shared.log_handle.store(None);
        let _ = observations.send(Observation::LogOpen(false)).await;
        match end {
            Ok(()) => {
                info!(shared.logger, "log closed"; "writer" => %writer);
                return;
            }
            Err(why) => {
                error!(shared.logger, "log ended"; "writer" => %writer, "error" => %why);
                shared.metrics.count("log-ended");
            }
        }
        writer = Incarnation::random(&mut rand::rng());
    }
}

/// Opens a log, as soon as the platform's service is there.
async fn open_log(shared: &Shared, writer: Incarnation) -> (log::Log, log::Handle) {
    let identity = &shared.identity;
    let row = Writer::new(
        identity.incarnation,
        identity.host.clone(),
        identity.address,
    );
    loop {
        match log::open(shared.client.clone(), writer, row.clone()).await {
            Ok(open) => return open,
            Err(why) => {
                warn!(shared.logger, "log not open"; "error" => %why);
                smol::Timer::after(LOG_RETRY_DELAY.into()).await;
            }
        }
    }
}

async fn poll_hosts(shared: Shared, observations: Sender<Observation>) {
    loop {
        match shared.client.hosts().await {
            Ok(hosts) => {
                if observations.send(Observation::Hosts(hosts)).await.is_err() {
                    return;
                }
            }
            Err(_) => shared.metrics.count("hosts-unavailable"),
        }
        smol::Timer::after(shared.settings.process.timing.hosts_poll.into()).await;
    }
}

/// Reads the accepted version at a steady interval, and the document when it is higher than the one
/// in force.
async fn poll_document(shared: Shared, observations: Sender<Observation>) {
    loop {
        match read_document(&shared).await {
            Ok(observation) => {
                if observations.send(observation).await.is_err() {
                    return;
                }
            }
            Err(_) => shared.metrics.count("document-unavailable"),
        }
        smol::Timer::after(shared.settings.process.timing.document_poll.into()).await;
    }
}

/// The accepted version, and the document if it is higher than the one in force.
async fn read_document(shared: &Shared) -> admin::Result<Observation> {
    let environment = shared.settings.process.environment.as_str();
    let version = admin::version(&shared.client, environment).await?;
    if version <= shared.view.load().replica.version() {
        return Ok(Observation::VersionReceived(version));
    }
    let accepted = admin::current(&shared.client, environment).await?;
    Ok(
        accepted.map_or(Observation::VersionReceived(version), |accepted| {
            Observation::Document(accepted.version, accepted.text)
        }),
    )
}

/// What the administration API is started with.
struct AdminInputs {
    listener: std::net::TcpListener,
    asks: Sender<Ask>,
    observations: Sender<Observation>,
}

async fn serve_admin(executor: Rc<LocalExecutor<'static>>, shared: Shared, inputs: AdminInputs) {
    let process = &shared.settings.process;
    let admin = Admin {
        settings: shared.settings.admin.clone(),
        own: process.host.clone(),
        environment: process.environment.to_string(),
        stale_after: process.timing.stale_after,
        client: shared.client.clone(),
        view: shared.view.clone(),
        asks: inputs.asks,
        observations: inputs.observations,
        metrics: shared.metrics.clone(),
        clock: shared.clock,
    };
    let handler = move |request| admin.clone().answer(request);
    let served = match listen(inputs.listener) {
        Ok(listener) => http_io::serve(executor, listener, handler).await,
        Err(why) => Err(why),
    };
    if let Err(why) = served {
        error!(shared.logger, "administration API ended"; "error" => %why);
    }
}

/// Makes a bound listener asynchronous.
pub(crate) fn listen(listener: std::net::TcpListener) -> std::io::Result<TcpListener> {
    Ok(TcpListener::from(smol::Async::new(listener)?))
}
