//! The control thread: board, log and administration API.

use std::rc::Rc;
use std::sync::Arc;

use admin::{Admin, OperationRequest};
use async_channel::{Receiver, Sender};
use board::{Board, Observation};
use intake::Clients;
use log::Writer;
use slog::{error, info, warn};
use smol::LocalExecutor;
use smol::future::FutureExt;
use units::{Incarnation, Span};

use crate::Shared;

const LOG_RETRY_DELAY: Span = Span::from_ms(500);

/// Runs the control thread until the traffic thread has ended.
pub(crate) fn run(
    shared: Shared,
    admin_listener: std::net::TcpListener,
    traffic_observations: Receiver<Observation>,
    operation_sender: Sender<OperationRequest>,
) {
    let executor = Rc::new(LocalExecutor::new());
    let (local_sender, local_observations) = async_channel::bounded(64);
    executor
        .spawn(run_log(shared.clone(), local_sender.clone()))
        .detach();
    executor
        .spawn(poll_hosts(shared.clone(), local_sender.clone()))
        .detach();
    executor
        .spawn(poll_document(shared.clone(), local_sender.clone()))
        .detach();
    let inputs = AdminInputs {
        listener: admin_listener,
        operation_sender,
        observations: local_sender,
    };
    executor
        .spawn(serve_admin(executor.clone(), shared.clone(), inputs))
        .detach();
    smol::block_on(executor.run(run_board(shared, traffic_observations, local_observations)));
}

/// Applies observations to the board and publishes its view.
async fn run_board(
    shared: Shared,
    traffic_observations: Receiver<Observation>,
    local_observations: Receiver<Observation>,
) {
    let mut board = Board::new(shared.identity.host.clone());
    loop {
        let next = traffic_observations
            .recv()
            .or(local_observations.recv())
            .await;
        let Ok(observation) = next else {
            return;
        };
        let version = board.version();
        apply_observation(&shared, &mut board, observation);
        while let Ok(observation) = traffic_observations
            .try_recv()
            .or_else(|_| local_observations.try_recv())
        {
            apply_observation(&shared, &mut board, observation);
        }
        if board.version() != version {
            info!(shared.logger, "document in force"; "version" => %board.version());
        }
        shared.view.store(Arc::new(board.view()));
    }
}

fn apply_observation(shared: &Shared, board: &mut Board, observation: Observation) {
    if let Err(error) = board.observe(observation, shared.clock.now()) {
        shared.metrics.count("document-invalid");
        error!(shared.logger, "received document is invalid"; "error" => %error);
    }
}

/// Opens a log and commits to it; opens a new one after a failure or a seal by another entry.
///
/// The writer of the first log is the process's incarnation, so that peers find its owner without
/// reading the store.
async fn run_log(shared: Shared, observations: Sender<Observation>) {
    let mut writer = shared.identity.incarnation;
    loop {
        let (log, handle) = open_log(&shared, writer).await;
        info!(shared.logger, "log open"; "writer" => %writer);
        shared.log_handle.store(Some(Arc::new(handle)));
        // The channel closes only when the process ends.
        let _ = observations.send(Observation::LogOpen(true)).await;
        let end = log.run().await;
        shared.log_handle.store(None);
        let _ = observations.send(Observation::LogOpen(false)).await;
        match end {
            Ok(()) => {
                info!(shared.logger, "log closed"; "writer" => %writer);
                return;
            }
            Err(error) => {
                error!(shared.logger, "log ended"; "writer" => %writer, "error" => %error);
                shared.metrics.count("log-ended");
            }
        }
        writer = Incarnation::random(&mut rand::rng());
    }
}

/// Opens a log, retrying until the platform's store is available.
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
            Err(error) => {
                warn!(shared.logger, "log not open"; "error" => %error);
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

/// Polls the accepted version of the environment document at a fixed interval, and reads the
/// document when that version is higher than the one in force.
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

/// The accepted version, with the document if that version is higher than the one in force.
async fn read_document(shared: &Shared) -> admin::Result<Observation> {
    let environment = shared.settings.process.environment.as_str();
    let version = admin::accepted_version(&shared.client, environment).await?;
    if version <= shared.view.load().replica.version() {
        return Ok(Observation::VersionReceived(version));
    }
    let accepted = admin::accepted_document(&shared.client, environment).await?;
    Ok(
        accepted.map_or(Observation::VersionReceived(version), |accepted| {
            Observation::Document(accepted.version, accepted.text)
        }),
    )
}

/// Listener and channels of the administration API.
struct AdminInputs {
    listener: std::net::TcpListener,
    operation_sender: Sender<OperationRequest>,
    observations: Sender<Observation>,
}

async fn serve_admin(executor: Rc<LocalExecutor<'static>>, shared: Shared, inputs: AdminInputs) {
    let process = &shared.settings.process;
    let admin = Admin {
        settings: shared.settings.admin.clone(),
        host: process.host.clone(),
        environment: process.environment.to_string(),
        stale_after: process.timing.stale_after,
        client: shared.client.clone(),
        view: shared.view.clone(),
        requests: inputs.operation_sender,
        observations: inputs.observations,
        metrics: shared.metrics.clone(),
        clock: shared.clock,
    };
    let handler = move |request| admin.clone().handle(request);
    match shared.listen(inputs.listener, Clients::Operators, "admin") {
        Ok(listener) => http_io::serve(executor, listener, handler).await,
        Err(error) => error!(shared.logger, "administration API not served"; "error" => %error),
    }
}
