//! The thread that a stand-in runs on.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::Sender;
use http_types::{Body, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::LocalExecutor;
use smol::net::TcpListener;

const BODY_MAX_BYTES: u64 = 64 << 20;

/// A running stand-in; it stops when this is dropped.
#[derive(Debug)]
pub struct Handle<S> {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<S>>,
    _stop: Sender<()>,
}

impl<S> Handle<S> {
    /// The stand-in's state.
    pub fn state(&self) -> MutexGuard<'_, S> {
        lock(&self.state)
    }

    /// The state, for a task that changes it while the stand-in runs.
    pub fn share(&self) -> Arc<Mutex<S>> {
        self.state.clone()
    }
}

/// Locks a stand-in's state.
pub fn lock<S>(state: &Mutex<S>) -> MutexGuard<'_, S> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a stand-in at `address` (port 0 for any).
pub(crate) fn start<S, H, F>(
    address: SocketAddr,
    state: S,
    handler: H,
) -> std::io::Result<Handle<S>>
where
    S: Send + 'static,
    H: Fn(Rc<LocalExecutor<'static>>, Arc<Mutex<S>>, Request) -> F + Clone + Send + 'static,
    F: Future<Output = Response> + 'static,
{
    let listener = std::net::TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let listener = smol::Async::new(listener)?;
    let state = Arc::new(Mutex::new(state));
    let (stop, stopped) = async_channel::bounded(1);
    let shared = state.clone();
    let run = move || {
        let executor = Rc::new(LocalExecutor::new());
        let tasks = executor.clone();
        let handler = move |request| handler(tasks.clone(), shared.clone(), request);
        let listener = TcpListener::from(listener);
        let serve = http_io::serve(executor.clone(), listener, handler);
        executor.spawn(async move { drop(serve.await) }).detach();
        // The sender is never used: the channel closes when the handle is dropped.
        let _ = smol::block_on(executor.run(stopped.recv()));
    };
    std::thread::Builder::new()
        .name("stand-in".into())
        .spawn(run)?;
    Ok(Handle {
        address,
        state,
        _stop: stop,
    })
}

pub(crate) fn json<T: Serialize>(value: &T) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    match Body::from_json(value) {
        Ok(body) => response.set_body(body),
        Err(_) => response.set_status(StatusCode::InternalServerError),
    }
    response
}

pub(crate) async fn read(request: &mut Request) -> Vec<u8> {
    http_io::read_body(request, BODY_MAX_BYTES)
        .await
        .unwrap_or_default()
}

pub(crate) async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Option<T> {
    serde_json::from_slice(&read(request).await).ok()
}
