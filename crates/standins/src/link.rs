//! A relay between two addresses whose connections can be cut, silenced or delayed.
//!
//! A silenced connection stays open at both ends, but nothing more is forwarded in the silenced
//! direction, not even the end of the stream. Connections opened later are not affected.

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

/// Direction in which bytes flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting end to the accepting end.
    ToServer,
    /// From the accepting end to the connecting end.
    ToClient,
    /// Both directions.
    Both,
}

/// One relayed connection. Index 0 is the client, 1 the server; `silenced` is indexed by the end
/// that bytes come from.
#[derive(Debug)]
struct Connection {
    ends: [TcpStream; 2],
    silenced: [AtomicBool; 2],
}

/// Capacity that the connections of several links share, towards their clients.
#[derive(Debug)]
pub struct Capacity {
    bytes_per_s: u64,
    /// When the bytes accepted so far have been forwarded.
    free_at: Mutex<Instant>,
}

impl Capacity {
    /// Returns an unused capacity.
    pub fn new(bytes_per_s: u64) -> Arc<Self> {
        Arc::new(Capacity {
            bytes_per_s,
            free_at: Mutex::new(Instant::now()),
        })
    }

    /// Waits for its turn and for as long as forwarding `length` bytes takes.
    async fn forward(&self, length: usize) {
        let due = {
            let mut free_at = lock(&self.free_at);
            let micros = length as u64 * 1_000_000 / self.bytes_per_s;
            *free_at = (*free_at).max(Instant::now()) + Duration::from_micros(micros);
            *free_at
        };
        smol::Timer::at(due).await;
    }
}

#[derive(Debug, Default)]
struct State {
    connections: Mutex<Vec<Arc<Connection>>>,
    accepted: AtomicU64,
    relayed_bytes: AtomicU64,
    delay_us: AtomicU64,
    is_refusing: AtomicBool,
    is_rejecting: AtomicBool,
    capacity: Option<Arc<Capacity>>,
    forwarded_bytes: AtomicU64,
}

/// Handle of a running relay, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Link {
    /// Address that the relay listens on.
    pub address: SocketAddr,
    state: Arc<State>,
    _stop: Sender<()>,
}

/// Starts a relay that listens on `address` (port 0 for any free port) and connects to `target`.
pub fn start(address: SocketAddr, target: SocketAddr) -> std::io::Result<Link> {
    start_with_capacity(address, target, None)
}

/// Like [`start`], with a capacity that may be shared with other links.
pub fn start_with_capacity(
    address: SocketAddr,
    target: SocketAddr,
    capacity: Option<Arc<Capacity>>,
) -> std::io::Result<Link> {
    let listener = std::net::TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let listener = TcpListener::from(smol::Async::new(listener)?);
    let state = Arc::new(State {
        capacity,
        ..State::default()
    });
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let shared = state.clone();
    let run = move || {
        let executor = LocalExecutor::new();
        let relay = relay(&executor, listener, target, shared);
        let stopped = async {
            // Nothing is ever sent: the channel closes when the link is dropped.
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
    /// Silences the connections that are open now, for good.
    pub fn silence(&self, direction: Direction) {
        for connection in lock(&self.state.connections).iter() {
            let [to_server, to_client] = &connection.silenced;
            to_server.fetch_or(direction != Direction::ToClient, Ordering::Relaxed);
            to_client.fetch_or(direction != Direction::ToServer, Ordering::Relaxed);
        }
    }

    /// Closes the connections that are open now, at both ends.
    pub fn cut(&self) {
        for connection in lock(&self.state.connections).drain(..) {
            for end in &connection.ends {
                // Fails if the end is already closed.
                let _ = end.shutdown(Shutdown::Both);
            }
        }
    }

    /// Sets whether new connections are closed as soon as they are accepted.
    pub fn refuse(&self, is_refusing: bool) {
        self.state.is_refusing.store(is_refusing, Ordering::Relaxed);
    }

    /// Sets whether each HTTP request on a new connection is answered with 429, and does not reach the
    /// server.
    pub fn reject(&self, is_rejecting: bool) {
        self.state
            .is_rejecting
            .store(is_rejecting, Ordering::Relaxed);
    }

    /// Sets the delay of bytes that are read from now on, in each direction.
    pub fn delay(&self, delay: Duration) {
        let delay_us = delay.as_micros() as u64;
        self.state.delay_us.store(delay_us, Ordering::Relaxed);
    }

    /// Returns the bytes read so far in both directions, silenced ones included.
    pub fn relayed_bytes(&self) -> u64 {
        self.state.relayed_bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes forwarded to clients so far.
    pub fn forwarded_bytes(&self) -> u64 {
        self.state.forwarded_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of connections accepted so far, refused ones included.
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
        if state.is_refusing.load(Ordering::Relaxed) {
            continue;
        }
        if state.is_rejecting.load(Ordering::Relaxed) {
            executor
                .spawn(reject_requests(state.clone(), client))
                .detach();
            continue;
        }
        let Ok(server) = TcpStream::connect(target).await else {
            continue;
        };
        for end in [&client, &server] {
            // Best effort: without this option small writes are only delayed.
            let _ = end.set_nodelay(true);
        }
        let connection = Arc::new(Connection {
            ends: [client, server],
            silenced: Default::default(),
        });
        lock(&state.connections).push(connection.clone());
        for source in 0..2 {
            let (sender, receiver) = async_channel::bounded(CHUNKS_MAX);
            executor
                .spawn(read_chunks(
                    state.clone(),
                    connection.clone(),
                    source,
                    sender,
                ))
                .detach();
            executor
                .spawn(write_chunks(
                    state.clone(),
                    connection.clone(),
                    source,
                    receiver,
                ))
                .detach();
        }
    }
}

/// Answers each request on a connection with 429, as long as the link rejects requests.
async fn reject_requests(state: Arc<State>, mut client: TcpStream) {
    let mut buffer = vec![0; CHUNK_BYTES];
    // Requests are small and sent one at a time, so that each arrives in one piece.
    while matches!(client.read(&mut buffer).await, Ok(length) if length > 0) {
        if !state.is_rejecting.load(Ordering::Relaxed) {
            return;
        }
        let response = "HTTP/1.1 429 Status\r\nContent-Length: 8\r\n\r\nrejected";
        if client.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Reads from the end `source` and queues each chunk with the time when it is due; an empty chunk
/// marks the end of the stream.
async fn read_chunks(
    state: Arc<State>,
    connection: Arc<Connection>,
    source: usize,
    chunks: Sender<(Instant, Vec<u8>)>,
) {
    let mut stream = connection.ends[source].clone();
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = stream.read(&mut buffer).await.unwrap_or(0);
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

/// Writes the queued chunks to the end opposite to `source`, or drops them if `source` is silenced.
async fn write_chunks(
    state: Arc<State>,
    connection: Arc<Connection>,
    source: usize,
    chunks: Receiver<(Instant, Vec<u8>)>,
) {
    let mut stream = connection.ends[1 - source].clone();
    while let Ok((due, chunk)) = chunks.recv().await {
        smol::Timer::at(due).await;
        if connection.silenced[source].load(Ordering::Relaxed) {
            continue;
        }
        if source == 1 {
            if let Some(capacity) = &state.capacity {
                capacity.forward(chunk.len()).await;
            }
            state
                .forwarded_bytes
                .fetch_add(chunk.len() as u64, Ordering::Relaxed);
        }
        if chunk.is_empty() || stream.write_all(&chunk).await.is_err() {
            // Fails if the connection is already closed.
            let _ = stream.shutdown(Shutdown::Write);
            return;
        }
    }
}
