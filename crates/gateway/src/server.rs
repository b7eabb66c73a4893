//! The process: its listeners, its tasks, its end.

use std::net::SocketAddr;
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
use units::{Incarnation, Span};

use crate::control::{endpoint_news, environment_news, follow, tell};
use crate::dialect::Adapter;
use crate::endpoints::News;
use crate::error::{Error, Result};
use crate::exchange::serve;
use crate::reply::{Body, whole};
use crate::sniff::Sniffer;
use crate::state::Shared;

/// Time between looks at what has become idle or overdue.
const SWEEP: Duration = Duration::from_millis(300);
/// Idle connections of callers are kept this much longer than they may be used.
const IDLE_SLACK: Duration = Duration::from_secs(3);
/// How long an idle connection is kept before the environment is known.
const IDLE_UNKNOWN: Duration = Duration::from_secs(15);
/// Least time that a stopping gateway takes new requests: the balancer asks each second and needs
/// two refusals, and the news has to travel.
const DRAIN_MIN: Span = Span::from_ms(2_800);
/// Time that a stopping gateway leaves before it would be killed.
const DRAIN_SLACK: Span = Span::from_ms(400);
/// Longest head that is read; operators set less.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// Runs a gateway until `stop` resolves and its requests have ended.
///
/// # Errors
/// If an address cannot be listened on.
pub fn run(
    settings: settings::Gateway,
    adapter: Adapter,
    log: Logger,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<()> {
    let metrics = Metrics::new("gateway").map_err(|error| Error::Metrics(error.to_string()))?;
    let me = Incarnation::random(&mut rand::rng());
    let shared = Arc::new(Shared::new(adapter, settings, log, metrics, me));
    smol::block_on(live(shared, me, stop))
}

async fn live(
    shared: Arc<Shared>,
    me: Incarnation,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<()> {
    let callers = listen(shared.settings.callers).await?;
    let status = listen(shared.settings.status).await?;
    info!(shared.log, "gateway started"; "host" => %shared.settings.host, "incarnation" => %me,
        "zone" => %shared.settings.zone, "callers" => %shared.settings.callers);
    let (end, ended) = async_channel::bounded::<()>(1);
    let tasks = [
        smol::spawn(serve_status(shared.clone(), status)),
        smol::spawn(follow_environment(shared.clone())),
        smol::spawn(follow_endpoints(shared.clone())),
        smol::spawn(sweep(shared.clone())),
        smol::spawn(serve_callers(shared.clone(), callers, ended)),
    ];
    stop.await;
    drain(&shared, end).await;
    for task in tasks {
        task.cancel().await;
    }
    Ok(())
}

/// Stops: first only the readiness, then the connections, as soon as they are idle.
async fn drain(shared: &Shared, end: async_channel::Sender<()>) {
    let start = shared.clock.now();
    let connections = shared.connections.load(Ordering::Acquire);
    info!(shared.log, "gateway stops"; "connections" => connections);
    shared.draining.store(true, Ordering::Release);
    smol::Timer::after(DRAIN_MIN.into()).await;
    drop(end);
    let limit = shared.settings.stop_within.0.saturating_sub(DRAIN_SLACK.0);
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

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| Error::Listen(address, error))
}

async fn follow_environment(shared: Arc<Shared>) {
    let table = shared.adapter.directory.environment_table().into();
    follow(shared, table, environment_news).await;
}

async fn follow_endpoints(shared: Arc<Shared>) {
    let table = shared.adapter.directory.endpoint_table().into();
    follow(shared, table, endpoint_news).await;
}

async fn sweep(shared: Arc<Shared>) {
    loop {
        smol::Timer::after(SWEEP).await;
        let gone = shared.endpoints().expire(shared.clock.now());
        if !gone.is_empty() {
            for id in &gone {
                tell(&shared, News::Gone, id, 0);
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
                let task = serve_caller(shared.clone(), stream, ended.clone());
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

async fn serve_caller(shared: Arc<Shared>, stream: TcpStream, ended: async_channel::Receiver<()>) {
    let _counted = Counted::new(shared.clone());
    // Without it answers are only slower.
    drop(stream.set_nodelay(true));
    let idle = shared.environment().map_or(IDLE_UNKNOWN, |environment| {
        environment.limits.idle_time.into()
    });
    let sniffer = Sniffer::new(stream);
    let seen = sniffer.seen();
    let handler = service_fn(|request: Request<Incoming>| {
        let (shared, seen) = (shared.clone(), seen.clone());
        async move { Ok::<_, std::convert::Infallible>(serve(shared, request, seen).await) }
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
