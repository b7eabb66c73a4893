//! The gateway process: listeners, background tasks and shutdown.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use intake::{Clients, Connection, Listener, Metered};
use settings::Machine;
use slog::{Logger, info, warn};
use smol::future::FutureExt;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use telemetry::Metrics;
use units::{Incarnation, Span};
use wire::{Identity, Key, Role};

use crate::accept::serve;
use crate::control::{
    FEED_WAIT, apply_endpoint_event, apply_peer_event, follow_table, log_endpoint_change,
};
use crate::dialect::Adapter;
use crate::endpoints::EndpointChange;
use crate::error::{Error, Result};
use crate::list_copy;
use crate::losses;
use crate::peers::{self, Context};
use crate::propagation;
use crate::reply::{Body, full_body, hold_request};
use crate::roster::Peer;
use crate::sniff::Sniffer;
use crate::state::Shared;
use crate::stop::{DRAIN_TIME, Stop};
use crate::sweep;

/// Time between checks for idle programs and expired endpoints and turns.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(300);
/// Idle connections of callers are kept open this much longer than their idle timeout.
const IDLE_SLACK: Duration = Duration::from_secs(3);
/// Idle timeout of callers' connections as long as no environment is in force.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest time for the last writes of the process.
const FINAL_WRITES_TIMEOUT: Span = Span::from_ms(400);
/// Time between checks of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// How long the feed of gateways waits for changes: they are rare, and a delay does no harm.
const PEER_FEED_WAIT: Span = Span::from_ms(10_000);
/// How long the feed of losses waits for changes: they are rare.
const LOSS_FEED_WAIT: Span = Span::from_ms(3_000);
/// Longest head that is read as long as no environment is in force.
const DEFAULT_HEAD_BYTES: u64 = 16 << 10;
/// What is read of a longer head than the environment allows, so that it is refused as too long.
const HEAD_SLACK_BYTES: u64 = 8 << 10;

/// Longest head of a request to the status address.
const STATUS_HEAD_BYTES: usize = 8 << 10;

/// Inputs that control a running gateway.
pub struct Control {
    /// Path of the settings file.
    pub settings_file: String,
    /// What the machine has.
    pub machine: Machine,
    /// Resolves when the gateway is to stop.
    pub stop: Pin<Box<dyn Future<Output = ()> + Send>>,
    /// Receives a message whenever the settings are to be read again.
    pub reloads: async_channel::Receiver<()>,
}

/// Runs a gateway until `control.stop` resolves and the requests have ended.
///
/// # Errors
/// If a listener cannot be bound, the metrics cannot be set up or a thread cannot be started.
pub fn run(
    settings: settings::Gateway,
    adapter: Adapter,
    log: Logger,
    control: Control,
) -> Result<()> {
    let metrics = Metrics::new("gateway").map_err(|error| Error::Metrics(error.to_string()))?;
    let incarnation = Incarnation::random(&mut rand::rng());
    let shared = Arc::new(Shared::new(
        adapter,
        settings,
        control.machine,
        log,
        metrics,
        incarnation,
    ));
    smol::block_on(run_until_stopped(shared, incarnation, control))
}

async fn run_until_stopped(
    shared: Arc<Shared>,
    incarnation: Incarnation,
    control: Control,
) -> Result<()> {
    let callers = listen(shared.settings().caller_address).await?;
    let status = listen(shared.settings().status_address).await?;
    let settings = shared.settings();
    info!(shared.log, "gateway started"; "host" => %settings.host, "incarnation" => %incarnation,
        "zone" => %settings.zone, "callers" => %settings.caller_address,
        "memory_bytes" => shared.machine.memory.0, "descriptors" => shared.machine.descriptors);
    let own = start_peers(&shared, incarnation).await?;
    let (drained_tx, drained_rx) = async_channel::bounded::<()>(1);
    let accepting = smol::spawn(serve_callers(shared.clone(), callers, drained_rx));
    let tasks = [
        smol::spawn(serve_status(shared.clone(), status)),
        smol::spawn(propagation::run(shared.clone(), own.clone())),
        smol::spawn(follow_endpoints(shared.clone())),
        smol::spawn(follow_peers(shared.clone(), own.clone())),
        smol::spawn(list_copy::follow(shared.clone(), own.clone())),
        smol::spawn(follow_losses(shared.clone())),
        smol::spawn(maintain(shared.clone())),
        smol::spawn(shared.caps.clone().run()),
        smol::spawn(sweep::run(shared.clone(), own.clone())),
        smol::spawn(follow_settings(
            shared.clone(),
            control.settings_file,
            control.reloads,
        )),
    ];
    control.stop.await;
    let stop = Stop::new(shared.clock.now(), shared.settings().stop_within);
    let connections = shared.connections.load(Ordering::Acquire);
    info!(shared.log, "gateway stopping"; "connections" => connections);
    shared.request_stop(stop);
    smol::Timer::after(DRAIN_TIME.into()).await;
    release_and_unregister(&shared, &own).await;
    // No connection is accepted any more, so that a count of zero stays zero.
    accepting.cancel().await;
    drop(drained_tx);
    wait_for_connections(&shared, stop).await;
    for task in tasks {
        task.cancel().await;
    }
    Ok(())
}

/// Releases tokens and deletes the gateway's row, for which other hosts may wait, while requests are
/// still served. Gives up after [`FINAL_WRITES_TIMEOUT`].
async fn release_and_unregister(shared: &Shared, own: &Peer) {
    let writes = async {
        shared.programs.release_all(FINAL_WRITES_TIMEOUT).await;
        peers::unregister(&shared.rows, own, &shared.log).await;
    };
    let expire = async {
        smol::Timer::after(FINAL_WRITES_TIMEOUT.into()).await;
    };
    writes.or(expire).await;
}

/// Waits until all connections have ended, or until shortly before the process would be killed.
async fn wait_for_connections(shared: &Shared, stop: Stop) {
    loop {
        let open = shared.connections.load(Ordering::Acquire);
        let now = shared.clock.now();
        if open == 0 || now >= stop.end() {
            info!(shared.log, "gateway stopped"; "connections_cut" => open,
                "left_ms" => stop.end().since(now).as_ms());
            return;
        }
        smol::Timer::after(Duration::from_millis(20)).await;
    }
}

/// Reads the settings again on a reload message, and when the file has changed without one.
async fn follow_settings(shared: Arc<Shared>, file: String, reloads: async_channel::Receiver<()>) {
    let mut text = std::fs::read_to_string(&file).unwrap_or_default();
    loop {
        let forced = async { reloads.recv().await.is_ok() };
        let poll = async {
            smol::Timer::after(SETTINGS_POLL_INTERVAL).await;
            false
        };
        let forced = forced.or(poll).await;
        match std::fs::read_to_string(&file) {
            Ok(current) if forced || current != text => {
                reload(&shared, &file, &current);
                text = current;
            }
            Ok(_) => {}
            Err(error) if forced => warn!(shared.log, "settings cannot be read, the old ones stay";
                "file" => &file, "error" => %error),
            // The file may be missing for a moment while it is replaced.
            Err(_) => {}
        }
    }
}

fn reload(shared: &Shared, file: &str, text: &str) {
    match settings::Gateway::parse(file, text) {
        Ok(new) => {
            let old = shared.settings();
            let needs_restart = new.caller_address != old.caller_address
                || new.status_address != old.status_address
                || new.platform.address != old.platform.address
                || new.zone != old.zone;
            info!(shared.log, "settings read again"; "file" => file,
                "needs_restart" => needs_restart, "zones" => new.zones.len());
            shared.replace_settings(new);
        }
        Err(error) => warn!(shared.log, "settings not accepted, the old ones stay";
            "error" => %error),
    }
}

/// Starts the thread that serves peers and calls them.
async fn start_peers(shared: &Shared, incarnation: Incarnation) -> Result<Peer> {
    let settings = shared.settings();
    let listener = listen(settings.peer_address).await?;
    let listener = shared.listen(listener, Clients::Peers, "peers");
    let own = Peer {
        host: settings.host.clone(),
        incarnation,
        address: settings.peer_address,
        zone: settings.zone.clone(),
        processor: shared.machine.processor,
    };
    let ctx = Context {
        own: own.clone(),
        identity: Identity {
            host: settings.host.clone(),
            incarnation,
            address: settings.peer_address,
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            role: Role::Entry,
        },
        key: Key::new(*settings.key.bytes()),
        rows: shared.rows.clone(),
        peers: shared.peers.clone(),
        replica: shared.replica.clone(),
        programs: shared.programs.clone(),
        caps: shared.caps.clone(),
        clock: shared.clock,
        log: shared.log.clone(),
    };
    std::thread::Builder::new()
        .name("peers".into())
        .spawn(move || peers::run(ctx, listener))
        .map_err(Error::Thread)?;
    Ok(own)
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| Error::Listen(address, error))
}

async fn follow_endpoints(shared: Arc<Shared>) {
    let table = shared.adapter.directory.endpoint_table().into();
    follow_table(shared, table, FEED_WAIT, apply_endpoint_event).await;
}

async fn follow_peers(shared: Arc<Shared>, own: Peer) {
    // The first list should have this gateway, but one that cannot write its row needs the list too.
    let is_registered = peers::try_register(&shared.rows, &own, &shared.log).await;
    let register = async {
        if !is_registered {
            crate::control::retry_pause().await;
            peers::register(&shared.rows, &own, &shared.log).await;
        }
    };
    // A peer may have sent the list.
    let sync = async {
        shared.peers.wait_known().await;
        shared.sync_senders();
    };
    let table = peers::TABLE.into();
    let follow = follow_table(shared.clone(), table, PEER_FEED_WAIT, apply_peer_event);
    futures_util::future::join3(register, sync, follow).await;
}

async fn follow_losses(shared: Arc<Shared>) {
    let table = losses::TABLE.into();
    follow_table(shared, table, LOSS_FEED_WAIT, losses::apply_event).await;
}

/// Removes expired endpoints, programs and turns at regular intervals, and updates the gauges.
async fn maintain(shared: Arc<Shared>) {
    loop {
        smol::Timer::after(MAINTENANCE_INTERVAL).await;
        let expired = shared.endpoints().expire(shared.clock.now());
        for id in &expired {
            log_endpoint_change(&shared, EndpointChange::Removed, id, 0);
            shared.sync_endpoint(id);
        }
        shared.programs.release_and_expire();
        shared.caps.expire();
        shared.histories.drop_expired().await;
        shared
            .metrics
            .set_gauge("history-bytes", shared.histories.size_bytes() as i64);
        shared
            .metrics
            .set_gauge("programs", shared.programs.count() as i64);
        let listed = {
            let roster = shared.peers.roster();
            if roster.is_known() { roster.count() } else { 0 }
        };
        shared.metrics.set_gauge("listed-gateways", listed as i64);
        let connections = shared.connections.load(Ordering::Acquire);
        shared.metrics.set_gauge("connections", connections as i64);
        shared
            .metrics
            .set_gauge("intake-bytes", shared.gate.used().0 as i64);
        shared
            .metrics
            .set_gauge("held-bytes", shared.limiter.charged().0 as i64);
    }
}

async fn serve_callers(
    shared: Arc<Shared>,
    listener: TcpListener,
    drained: async_channel::Receiver<()>,
) {
    let listener = Listener::new(listener, shared.gate.clone());
    loop {
        let (stream, admitted) = listener.accept().await;
        // Counted before the task starts, so that a shutdown waits for the connection.
        let guard = ConnectionGuard::new(shared.clone());
        let task = serve_caller(guard, stream, admitted, drained.clone());
        smol::spawn(task).detach();
    }
}

/// Counts a connection until this is dropped.
struct ConnectionGuard(Arc<Shared>);

impl ConnectionGuard {
    fn new(shared: Arc<Shared>) -> Self {
        shared.connections.fetch_add(1, Ordering::AcqRel);
        ConnectionGuard(shared)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn serve_caller(
    guard: ConnectionGuard,
    stream: TcpStream,
    admitted: Connection,
    drained: async_channel::Receiver<()>,
) {
    let shared = guard.0.clone();
    let environment = shared.environment();
    let limits = environment.as_ref().map(|environment| environment.limits);
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout.into());
    let head_max = limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.max_head.0);
    let sniffer = Sniffer::new(Metered::new(stream, admitted.clone()));
    let head_state = sniffer.head_state();
    let handler = service_fn(|request: Request<Incoming>| {
        let (shared, head_state) = (shared.clone(), head_state.clone());
        let held = admitted.request();
        async move {
            let response = serve(shared, request, head_state, held).await;
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(idle + IDLE_SLACK)
        .max_buf_size((head_max + HEAD_SLACK_BYTES) as usize)
        .serve_connection(FuturesIo::new(sniffer), handler);
    let mut connection = std::pin::pin!(connection);
    let drained = async {
        // The channel is closed when the gateway accepts no more connections.
        let _ = drained.recv().await;
        false
    };
    let served = async {
        // An error means that the caller disconnected or sent no HTTP, or that its answer was aborted.
        drop(connection.as_mut().await);
        true
    };
    let evicted = || async {
        admitted.evicted().await;
        true
    };
    if !served.or(evicted()).or(drained).await {
        connection.as_mut().graceful_shutdown();
        let served = async {
            drop(connection.await);
            true
        };
        served.or(evicted()).await;
    }
}

async fn serve_status(shared: Arc<Shared>, listener: TcpListener) {
    let listener = shared.listen(listener, Clients::Operators, "status");
    loop {
        let (stream, admitted) = listener.accept().await;
        let shared = shared.clone();
        let task = async move {
            let stream = Metered::new(stream, admitted.clone());
            let handler = service_fn(|request: Request<Incoming>| {
                let held = admitted.request();
                let response = status_response(&shared, request.uri().path());
                let response = hold_request(response, held, None);
                async move { Ok::<_, std::convert::Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(SmolTimer::new())
                .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
                .max_buf_size(STATUS_HEAD_BYTES)
                .serve_connection(FuturesIo::new(stream), handler);
            let served = async {
                // After an error, the client repeats its request.
                drop(connection.await);
            };
            served.or(admitted.evicted()).await;
        };
        smol::spawn(task).detach();
    }
}

fn status_response(shared: &Shared, path: &str) -> Response<Body> {
    let (status, body) = match path {
        "/metrics" => (StatusCode::OK, shared.metrics.render()),
        "/live" => (StatusCode::OK, Vec::new()),
        "/accounts" => (StatusCode::OK, shared.caps.describe()),
        "/endpoints" => {
            let observations = shared.balancer().describe(shared.clock.now());
            // Plain data always encodes.
            let body = serde_json::to_vec(&observations).unwrap_or_default();
            (StatusCode::OK, body)
        }
        path if path == shared.adapter.dialect.ready_path() || path == "/ready" => {
            if shared.is_ready() {
                (StatusCode::OK, Vec::new())
            } else {
                (StatusCode::SERVICE_UNAVAILABLE, Vec::new())
            }
        }
        _ => (StatusCode::NOT_FOUND, Vec::new()),
    };
    let mut response = Response::new(full_body(bytes::Bytes::from(body)));
    *response.status_mut() = status;
    response
}
