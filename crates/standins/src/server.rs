//! The HTTP server of a stand-in, on its own thread.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::Sender;
use http_types::{Body, Request, Response, StatusCode};
use intake::Listener;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::LocalExecutor;
use smol::net::TcpListener;

const BODY_MAX_BYTES: u64 = 64 << 20;

/// Handle of a running stand-in, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle<S> {
    /// Address that the stand-in listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<S>>,
    _stop: Sender<()>,
}

impl<S> Handle<S> {
    /// Locks and returns the state of the stand-in.
    pub fn state(&self) -> MutexGuard<'_, S> {
        lock(&self.state)
    }

    /// Returns the shared state, for a task that changes it while the stand-in runs.
    pub fn share(&self) -> Arc<Mutex<S>> {
        self.state.clone()
    }
}

/// Locks a stand-in's state, also after a thread panicked while it held the lock.
pub fn lock<S>(state: &Mutex<S>) -> MutexGuard<'_, S> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a stand-in that listens on `address` (port 0 for any free port).
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
        let listener = Listener::unlimited(TcpListener::from(listener));
        let serve = http_io::serve(executor.clone(), listener, handler);
        executor.spawn(serve).detach();
        // Nothing is ever sent: the channel closes when the handle is dropped.
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

pub(crate) fn json_response<T: Serialize>(value: &T) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    match Body::from_json(value) {
        Ok(body) => response.set_body(body),
        Err(_) => response.set_status(StatusCode::InternalServerError),
    }
    response
}

pub(crate) async fn read_body(request: &mut Request) -> Vec<u8> {
    http_io::read_body(request, BODY_MAX_BYTES)
        .await
        .unwrap_or_default()
}

pub(crate) async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Option<T> {
    serde_json::from_slice(&read_body(request).await).ok()
}
