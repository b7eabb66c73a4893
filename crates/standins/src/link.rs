//! A relay between two addresses that can be cut, silenced or delayed.
//!
//! A silenced connection stays open at both ends and carries nothing in the silenced direction, not
//! even its end, for good. Connections opened later work.

use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use smol::LocalExecutor;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

use crate::server::lock;

const CHUNK_BYTES: usize = 16 << 10;
const CHUNKS_MAX: usize = 256;

/// The way that bytes take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the end that connects to the end that accepts.
    ToServer,
    /// From the end that accepts to the end that connects.
    ToClient,
    /// Both.
    Both,
}

/// One relayed connection.
#[derive(Debug)]
struct Connection {
    ends: [TcpStream; 2],
    silent: [AtomicBool; 2],
}

#[derive(Debug, Default)]
struct State {
    connections: Mutex<Vec<Arc<Connection>>>,
    accepted: AtomicU64,
    relayed_bytes: AtomicU64,
    delay_us: AtomicU64,
    refuses: AtomicBool,
}

/// A running relay; it stops when this is dropped.
#[derive(Debug)]
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
    _stop: Sender<()>,
}

/// Starts a relay that listens at `address` (port 0 for any) and connects to `target`.
pub fn start(address: SocketAddr, target: SocketAddr) -> std::io::Result<Link> {
    let listener = std::net::TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let listener = TcpListener::from(smol::Async::new(listener)?);
    let state = Arc::new(State::default());
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let shared = state.clone();
    let run = move || {
        let executor = LocalExecutor::new();
        let relay = relay(&executor, listener, target, shared);
        let stopped = async {
            // The sender is never used: the channel closes when the link is dropped.
            let _ = stopped.recv().await;
        };
        smol::block_on(executor.run(smol::future::or(relay, stopped)));
    };
    std::thread::Builder::new().name("link".into()).spawn(run)?;
    Ok(Link {
        address,
        state,
        _stop: stop,
    })
}

impl Link {
    /// Silences all connections that are open now, for good.
    pub fn silence(&self, direction: Direction) {
        for connection in lock(&self.state.connections).iter() {
            let [to_server, to_client] = &connection.silent;
            to_server.fetch_or(direction != Direction::ToClient, Ordering::Relaxed);
            to_client.fetch_or(direction != Direction::ToServer, Ordering::Relaxed);
        }
    }

    /// Cuts all connections that are open now.
    pub fn cut(&self) {
        for connection in lock(&self.state.connections).drain(..) {
            for end in &connection.ends {
                // An end that has gone is as good as cut.
                let _ = end.shutdown(Shutdown::Both);
            }
        }
    }

    /// Closes new connections at once from now on, or no longer.
    pub fn refuse(&self, refuses: bool) {
        self.state.refuses.store(refuses, Ordering::Relaxed);
    }

    /// Delays all bytes, one way, from now on.
    pub fn delay(&self, delay: Duration) {
        let delay_us = delay.as_micros() as u64;
        self.state.delay_us.store(delay_us, Ordering::Relaxed);
    }

    /// Bytes relayed so far, both ways.
    pub fn relayed_bytes(&self) -> u64 {
        self.state.relayed_bytes.load(Ordering::Relaxed)
    }

    /// Connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.state.accepted.load(Ordering::Relaxed)
    }
}

async fn relay(
    executor: &LocalExecutor<'_>,
    listener: TcpListener,
    target: SocketAddr,
    state: Arc<State>,
) {
    while let Ok((client, _)) = listener.accept().await {
        state.accepted.fetch_add(1, Ordering::Relaxed);
        if state.refuses.load(Ordering::Relaxed) {
            continue;
        }
        let Ok(server) = TcpStream::connect(target).await else {
            continue;
        };
        for end in [&client, &server] {
            // Best effort: without it bytes are only slower.
            let _ = end.set_nodelay(true);
        }
        let connection = Arc::new(Connection {
            ends: [client, server],
            silent: Default::default(),
        });
        lock(&state.connections).push(connection.clone());
        for way in 0..2 {
            let (chunks, due) = async_channel::bounded(CHUNKS_MAX);
            executor
                .spawn(read(state.clone(), connection.clone(), way, chunks))
                .detach();
            executor.spawn(write(connection.clone(), way, due)).detach();
        }
    }
}

/// Reads one direction; an empty chunk is its end.
async fn read(
    state: Arc<State>,
    connection: Arc<Connection>,
    way: usize,
    chunks: Sender<(Instant, Vec<u8>)>,
) {
    let mut end = connection.ends[way].clone();
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = end.read(&mut buffer).await.unwrap_or(0);
        state
            .relayed_bytes
            .fetch_add(length as u64, Ordering::Relaxed);
        let delay = Duration::from_micros(state.delay_us.load(Ordering::Relaxed));
        let chunk = (Instant::now() + delay, buffer[..length].to_vec());
        if chunks.send(chunk).await.is_err() || length == 0 {
            return;
        }
    }
}

/// Writes one direction unless it is silenced.
async fn write(connection: Arc<Connection>, way: usize, chunks: Receiver<(Instant, Vec<u8>)>) {
    let mut end = connection.ends[1 - way].clone();
    while let Ok((due, chunk)) = chunks.recv().await {
        smol::Timer::at(due).await;
        if connection.silent[way].load(Ordering::Relaxed) {
            continue;
        }
        if chunk.is_empty() || end.write_all(&chunk).await.is_err() {
            // The other end may have closed it already.
            let _ = end.shutdown(Shutdown::Write);
            return;
        }
    }
}
