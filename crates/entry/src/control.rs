//! The control thread: board, log and administration API.

use std::rc::Rc;
use std::sync::Arc;

use admin::{Admin, Ask};
use async_channel::{Receiver, Sender};
use board::{Board, Observation};
use log::Writer;
use settings::Document;
use slog::{error, info, warn};
use smol::LocalExecutor;
use smol::future::FutureExt;
use smol::net::TcpListener;
use units::{Incarnation, Span};

use crate::Shared;

const POLL_INTERVAL: Span = Span::from_ms(500);

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
        .spawn(poll_document(shared.clone(), local))
        .detach();
    executor
        .spawn(serve_admin(executor.clone(), shared.clone(), admin, asks))
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
        board.observe(observation, shared.clock.now());
        if board.version() != version {
            info!(shared.logger, "document in force"; "version" => %board.version());
        }
        shared.view.store(Arc::new(board.view()));
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
        let _ = observations.send(Observation::Log(true)).await;
        let end = log.run().await;
        shared.log_handle.store(None);
        let _ = observations.send(Observation::Log(false)).await;
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
                smol::Timer::after(POLL_INTERVAL.into()).await;
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
        smol::Timer::after(POLL_INTERVAL.into()).await;
    }
}

async fn poll_document(shared: Shared, observations: Sender<Observation>) {
    let environment = shared.settings.process.environment.as_str();
    loop {
        match admin::current(&shared.client, environment).await {
            Ok(Some(accepted)) => match Document::parse("document", &accepted.text) {
                Ok(document) => {
                    let observation =
                        Observation::Document(accepted.version, accepted.text, Box::new(document));
                    if observations.send(observation).await.is_err() {
                        return;
                    }
                }
                Err(why) => {
                    error!(shared.logger, "accepted document is invalid"; "error" => %why);
                }
            },
            Ok(None) => {}
            Err(_) => shared.metrics.count("document-unavailable"),
        }
        smol::Timer::after(POLL_INTERVAL.into()).await;
    }
}

async fn serve_admin(
    executor: Rc<LocalExecutor<'static>>,
    shared: Shared,
    listener: std::net::TcpListener,
    asks: Sender<Ask>,
) {
    let admin = Admin {
        settings: shared.settings.admin.clone(),
        environment: shared.settings.process.environment.to_string(),
        client: shared.client.clone(),
        view: shared.view.clone(),
        asks,
        metrics: shared.metrics.clone(),
        clock: shared.clock,
    };
    let handler = move |request| admin.clone().answer(request);
    let served = match listen(listener) {
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
