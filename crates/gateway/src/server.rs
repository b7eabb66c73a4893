//! The process: its listeners, its tasks, its end.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use slog::{Logger, info, warn};
use smol::future::FutureExt;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use telemetry::Metrics;
use units::{Incarnation, Span, Time};
use wire::{Identity, Key, Role};

use crate::accept::serve;
use crate::control::{FEED_WAIT, endpoint_news, environment_news, follow, peer_news, tell};
use crate::dialect::Adapter;
use crate::endpoints::EndpointChange;
use crate::error::{Error, Result};
use crate::peers::{self, Peer, Side};
use crate::reply::{Body, whole};
use crate::sniff::Sniffer;
use crate::state::Shared;
use crate::sweep;

/// Time between looks at what has become idle or overdue.
const TICK: Duration = Duration::from_millis(300);
/// Idle connections of callers are kept this much longer than they may be used.
const IDLE_SLACK: Duration = Duration::from_secs(3);
/// How long an idle connection is kept before the environment is known.
const IDLE_UNKNOWN: Duration = Duration::from_secs(15);
/// Least time that a stopping gateway takes new requests: the balancer asks each second and needs
/// two refusals, and the news has to travel.
const DRAIN_MIN: Span = Span::from_ms(2_800);
/// Time that a stopping gateway leaves before it would be killed, for its last writes.
const DRAIN_SLACK: Span = Span::from_ms(600);
/// Longest time for the last writes.
const GOODBYE_MAX: Span = Span::from_ms(400);
/// Time between looks at the settings file: it may change without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);
/// How long the feed of gateways waits: they change seldom, and a late word does no harm.
const PEERS_WAIT: Span = Span::from_ms(10_000);
/// Longest head that is read; operators set less.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// How a gateway is controlled from outside.
pub struct Control {
    /// Its settings file.
    pub settings_file: String,
    /// Resolves when it is to stop.
    pub stop: Pin<Box<dyn Future<Output = ()> + Send>>,
    /// A message whenever the settings are to be read again.
    pub reloads: async_channel::Receiver<()>,
}

/// Runs a gateway until it is told to stop and its requests have ended.
///
/// # Errors
/// If an address cannot be listened on.
pub fn run(
    settings: settings::Gateway,
    adapter: Adapter,
    log: Logger,
    control: Control,
) -> Result<()> {
    let metrics = Metrics::new("gateway").map_err(|error| Error::Metrics(error.to_string()))?;
    let me = Incarnation::random(&mut rand::rng());
    let shared = Arc::new(Shared::new(adapter, settings, log, metrics, me));
    smol::block_on(live(shared, me, control))
}

async fn live(shared: Arc<Shared>, me: Incarnation, control: Control) -> Result<()> {
    let callers = listen(shared.settings().callers).await?;
    let status = listen(shared.settings().status).await?;
    let settings = shared.settings();
    info!(shared.log, "gateway started"; "host" => %settings.host, "incarnation" => %me,
        "zone" => %settings.zone, "callers" => %settings.callers);
    let own = start_peers(&shared, me).await?;
    let (end, ended) = async_channel::bounded::<()>(1);
    let accepting = smol::spawn(serve_callers(shared.clone(), callers, ended));
    let tasks = [
        smol::spawn(serve_status(shared.clone(), status)),
        smol::spawn(follow_environment(shared.clone())),
        smol::spawn(follow_endpoints(shared.clone())),
        smol::spawn(follow_peers(shared.clone(), own.clone())),
        smol::spawn(tick(shared.clone())),
        smol::spawn(sweep::run(shared.clone(), own.clone())),
        smol::spawn(follow_settings(
            shared.clone(),
            control.settings_file,
            control.reloads,
        )),
    ];
    control.stop.await;
    let start = shared.clock.now();
    let connections = shared.connections.load(Ordering::Acquire);
    info!(shared.log, "gateway stops"; "connections" => connections);
    shared.draining.store(true, Ordering::Release);
    smol::Timer::after(DRAIN_MIN.into()).await;
    say_goodbye(&shared, &own).await;
    // From here on nothing new is accepted, so that a count of zero stays zero.
    accepting.cancel().await;
    drop(end);
    finish(&shared, start).await;
    for task in tasks {
        task.cancel().await;
    }
    Ok(())
}

/// Writes what others wait for, while requests are still served. A stop does not wait long for it.
async fn say_goodbye(shared: &Shared, own: &Peer) {
    let goodbye = async {
        shared.programs.give_back(GOODBYE_MAX).await;
        peers::unregister(&shared.rows, own, &shared.log).await;
    };
    let late = async {
        smol::Timer::after(GOODBYE_MAX.into()).await;
    };
    goodbye.or(late).await;
}

/// Waits until all connections have ended, or the process would be killed.
async fn finish(shared: &Shared, start: Time) {
    let limit = shared
        .settings()
        .stop_within
        .0
        .saturating_sub(DRAIN_SLACK.0);
    loop {
        let left = shared.connections.load(Ordering::Acquire);
        let took = shared.clock.now().since(start);
        if left == 0 || took.0 >= limit {
            info!(shared.log, "gateway stopped"; "connections_cut" => left,
                "after_ms" => took.as_ms());
            return;
        }
        smol::Timer::after(Duration::from_millis(20)).await;
    }
}

/// Reads the settings again when told to, and when the file has changed without a word.
async fn follow_settings(shared: Arc<Shared>, file: String, reloads: async_channel::Receiver<()>) {
    let mut text = std::fs::read_to_string(&file).unwrap_or_default();
    loop {
        let told = async { reloads.recv().await.is_ok() };
        let look = async {
            smol::Timer::after(SETTINGS_LOOK).await;
            false
        };
        let told = told.or(look).await;
        match std::fs::read_to_string(&file) {
            Ok(now) if told || now != text => {
                reload(&shared, &file, &now);
                text = now;
            }
            Ok(_) => {}
            Err(error) if told => warn!(shared.log, "settings cannot be read, the old ones stay";
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
            let restart = new.callers != old.callers
                || new.status != old.status
                || new.platform.address != old.platform.address
                || new.zone != old.zone;
            info!(shared.log, "settings read again"; "file" => file,
                "needs_restart" => restart, "zones" => new.zones.len());
            shared.adopt_settings(new);
        }
        Err(error) => warn!(shared.log, "settings not accepted, the old ones stay";
            "error" => %error),
    }
}

/// Starts the thread that talks with peers.
async fn start_peers(shared: &Shared, me: Incarnation) -> Result<Peer> {
    let settings = shared.settings();
    let listener = listen(settings.peers).await?;
    let own = Peer {
        host: settings.host.clone(),
        incarnation: me,
        address: settings.peers,
        zone: settings.zone.clone(),
    };
    let side = Side {
        own: own.clone(),
        identity: Identity {
            host: settings.host.clone(),
            incarnation: me,
            address: settings.peers,
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            role: Role::Entry,
        },
        key: Key::new(*settings.key.bytes()),
        rows: shared.rows.clone(),
        clock: shared.clock,
        log: shared.log.clone(),
    };
    let peers = shared.peers.clone();
    std::thread::Builder::new()
        .name("peers".into())
        .spawn(move || peers::run(side, peers, listener))
        .map_err(Error::Thread)?;
    Ok(own)
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| Error::Listen(address, error))
}

async fn follow_environment(shared: Arc<Shared>) {
    let table = shared.adapter.directory.environment_table().into();
    follow(shared, table, FEED_WAIT, environment_news).await;
}

async fn follow_endpoints(shared: Arc<Shared>) {
    let table = shared.adapter.directory.endpoint_table().into();
    follow(shared, table, FEED_WAIT, endpoint_news).await;
}

async fn follow_peers(shared: Arc<Shared>, own: Peer) {
    peers::register(&shared.rows, &own, &shared.log).await;
    follow(shared, peers::TABLE.into(), PEERS_WAIT, peer_news).await;
}

/// Expires and counts what this process itself keeps.
async fn tick(shared: Arc<Shared>) {
    loop {
        smol::Timer::after(TICK).await;
        let gone = shared.endpoints().expire(shared.clock.now());
        if !gone.is_empty() {
            for id in &gone {
                tell(&shared, EndpointChange::Removed, id, 0);
            }
            shared.sync_places();
        }
        shared.programs.sweep();
        shared.histories.drop_expired().await;
        shared
            .metrics
            .set("history-bytes", shared.histories.size() as i64);
        shared
            .metrics
            .set("programs", shared.programs.count() as i64);
        let connections = shared.connections.load(Ordering::Acquire);
        shared.metrics.set("connections", connections as i64);
    }
}

async fn serve_callers(
    shared: Arc<Shared>,
    listener: TcpListener,
    ended: async_channel::Receiver<()>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Counted before anything else can happen.
                let counted = Counted::new(shared.clone());
                let task = serve_caller(counted, stream, ended.clone());
                smol::spawn(task).detach();
            }
            Err(error) => {
                warn!(shared.log, "connection not accepted"; "error" => %error);
                smol::Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Counts a connection while it lives.
struct Counted(Arc<Shared>);

impl Counted {
    fn new(shared: Arc<Shared>) -> Self {
        shared.connections.fetch_add(1, Ordering::AcqRel);
        Counted(shared)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn serve_caller(counted: Counted, stream: TcpStream, ended: async_channel::Receiver<()>) {
    let shared = counted.0.clone();
    // Without it answers are only slower.
    drop(stream.set_nodelay(true));
    let idle = shared.environment().map_or(IDLE_UNKNOWN, |environment| {
        environment.limits.idle_timeout.into()
    });
    let sniffer = Sniffer::new(stream);
    let head_state = sniffer.head_state();
    let handler = service_fn(|request: Request<Incoming>| {
        let (shared, head_state) = (shared.clone(), head_state.clone());
        async move { Ok::<_, std::convert::Infallible>(serve(shared, request, head_state).await) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(idle + IDLE_SLACK)
        .max_buf_size(HEAD_MAX_BYTES)
        .serve_connection(FuturesIo::new(sniffer), handler);
    let mut connection = std::pin::pin!(connection);
    let end = async {
        // The channel closes when the gateway has drained.
        let _ = ended.recv().await;
        None
    };
    let served = async { Some(connection.as_mut().await) };
    // An error means that the caller went away or sent no HTTP, or that its answer was cut.
    if served.or(end).await.is_none() {
        connection.as_mut().graceful_shutdown();
        drop(connection.await);
    }
}

async fn serve_status(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            smol::Timer::after(Duration::from_millis(20)).await;
            continue;
        };
        let shared = shared.clone();
        let task = async move {
            let handler = service_fn(|request: Request<Incoming>| {
                let response = answer_status(&shared, request.uri().path());
                async move { Ok::<_, std::convert::Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .serve_connection(FuturesIo::new(stream), handler)
                .await;
            // Whoever asks will ask again.
            drop(connection);
        };
        smol::spawn(task).detach();
    }
}

fn answer_status(shared: &Shared, path: &str) -> Response<Body> {
    let (status, body) = match path {
        "/metrics" => (StatusCode::OK, shared.metrics.render()),
        "/live" => (StatusCode::OK, Vec::new()),
        path if path == shared.adapter.dialect.ready_path() || path == "/ready" => {
            if shared.is_ready() {
                (StatusCode::OK, Vec::new())
            } else {
                (StatusCode::SERVICE_UNAVAILABLE, Vec::new())
            }
        }
        _ => (StatusCode::NOT_FOUND, Vec::new()),
    };
    let mut response = Response::new(whole(body.into()));
    *response.status_mut() = status;
    response
}
