//! Other gateways: a gateway that cannot reach the store has its calls made by one that can.
//!
//! Peers find each other by rows of their own. A peer makes the call itself or says that it cannot;
//! it never passes it on. Connections are opened when they are needed and closed soon after, so
//! that a calm day has none.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use slog::{Logger, info, warn};
use smol::LocalExecutor;
use smol::future::FutureExt;
use smol::net::TcpListener;
use store::api::{Row, Transaction};
use store::{Error, Partition, Result};
use units::{Clock, Host, Incarnation, Span, Time, Zone};
use wire::{Frame, Identity, Key, Link, Relay, Relayed, Stream};

use crate::rows::Rows;

/// The table with a row for each gateway.
pub(crate) const TABLE: &str = "gateways";
/// How long a peer that failed is asked last.
const SHUN: Span = Span::from_ms(3_000);
/// Peers that are asked for one call.
const PEERS_MAX: usize = 2;
/// Time for a peer's answer beyond what the call itself waits: its own wait for the store is
/// shorter.
const ANSWER_MAX: Span = Span::from_ms(900);
/// Calls that wait to be relayed.
const ASKS_MAX: usize = 1_024;
/// How long connections stay open after the last call.
const IDLE_MAX: Span = Span::from_ms(4_000);

/// A gateway as its row tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its host.
    pub host: Host,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Where it accepts peers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
}

impl Peer {
    /// Decodes a row's value.
    fn decode(bytes: &[u8]) -> Option<Self> {
        let config = bincode::config::standard().with_limit::<4_096>();
        let decoded = bincode::serde::decode_from_slice(bytes, config).ok()?;
        Some(decoded.0)
    }

    fn encode(&self) -> Vec<u8> {
        // Plain data of bounded size always encodes; an empty row is skipped by readers.
        bincode::serde::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }
}

/// The gateways that are known, and which of them to ask first.
#[derive(Debug, Default)]
pub struct Roster {
    peers: HashMap<CompactString, Peer>,
    failed: HashMap<Host, Time>,
}

impl Roster {
    /// Takes in a gateway's row.
    pub fn insert(&mut self, key: &CompactString, peer: Peer) {
        self.failed.remove(&peer.host);
        self.peers.insert(key.clone(), peer);
    }

    /// Takes in that a gateway's row is gone.
    pub fn remove(&mut self, key: &str) {
        self.peers.remove(key);
    }

    /// Takes in that a peer could not help.
    pub fn record_failure(&mut self, host: &Host, now: Time) {
        self.failed.insert(host.clone(), now);
    }

    /// The peers of `own` in the order in which they are to be asked: those that have not failed
    /// lately, then those of the same availability zone; `spread` puts equals in an order that
    /// differs from host to host.
    pub fn call_order(&self, own: &Peer, spread: u64, now: Time) -> Vec<Peer> {
        let shunned = |peer: &Peer| {
            let failed = self.failed.get(&peer.host);
            failed.is_some_and(|at| now.since(*at) < SHUN)
        };
        let mut peers: Vec<&Peer> = self.peers.values().collect();
        peers.retain(|peer| peer.host != own.host);
        peers.sort_by_key(|peer| {
            let place = spread.wrapping_mul(peer.incarnation.0 | 1);
            (shunned(peer), peer.zone != own.zone, place)
        });
        peers.into_iter().cloned().collect()
    }

    /// Whether a process that is listed has this incarnation.
    pub fn contains(&self, incarnation: Incarnation) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.incarnation == incarnation)
    }

    /// Gateways known, with the own one.
    pub fn count(&self) -> usize {
        self.peers.len()
    }
}

/// A call to be relayed.
struct Ask {
    relay: Relay,
    wait: Span,
    answer: Sender<Result<Relayed>>,
}

/// The way to the peers.
#[derive(Clone)]
pub(crate) struct Peers {
    asks: Sender<Ask>,
    asked: Receiver<Ask>,
    roster: Arc<Mutex<Roster>>,
}

impl Peers {
    pub(crate) fn new() -> Self {
        let (asks, asked) = async_channel::bounded(ASKS_MAX);
        Peers {
            asks,
            asked,
            roster: Arc::default(),
        }
    }

    pub(crate) fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has a peer make a call that itself waits for up to `wait`.
    pub(crate) async fn relay(&self, relay: Relay, wait: Span) -> Result<Relayed> {
        let (answer, answered) = async_channel::bounded(1);
        let ask = Ask {
            relay,
            wait,
            answer,
        };
        if self.asks.try_send(ask).is_err() {
            return Err(unreachable());
        }
        answered.recv().await.unwrap_or_else(|_| Err(unreachable()))
    }
}

/// Nothing was done: no peer could be asked.
fn unreachable() -> Error {
    let kind = std::io::ErrorKind::NotConnected;
    Error::Unavailable(http_io::Error::Connect(kind.into()))
}

/// Everything that the thread of the peers needs.
pub(crate) struct Side {
    pub(crate) own: Peer,
    pub(crate) identity: Identity,
    pub(crate) key: Key,
    pub(crate) rows: Arc<Rows>,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
}

/// Runs the server for peers and the client to them until the process ends.
pub(crate) fn run(side: Side, peers: Peers, listener: TcpListener) {
    let executor = Rc::new(LocalExecutor::new());
    let side = Rc::new(side);
    let handler = {
        let side = side.clone();
        move |_: Rc<Identity>, stream: Stream| answer(side.clone(), stream)
    };
    let refused = {
        let log = side.log.clone();
        move |error: &wire::Error| info!(log, "connection of a peer ended"; "error" => %error)
    };
    let server = wire::serve(
        executor.clone(),
        listener,
        side.key.clone(),
        side.identity.clone(),
        handler,
        refused,
        wire::Drain::new(),
    );
    let log = side.log.clone();
    let server = async move {
        if let Err(error) = server.await {
            warn!(log, "peers are not served any more"; "error" => %error);
        }
    };
    executor.spawn(server).detach();
    let client = Client {
        side,
        peers,
        executor: executor.clone(),
        links: Rc::default(),
    };
    smol::block_on(executor.run(client.run()));
}

/// Makes the call that a peer asks for.
async fn answer(side: Rc<Side>, mut stream: Stream) {
    let Ok(Frame::Relay(relay)) = stream.expect().await else {
        return;
    };
    let relayed = side.rows.serve(relay).await;
    // A peer that went away asks again.
    let _ = stream.send(&Frame::Relayed(relayed)).await;
    let _ = stream.finish();
}

type Links = HashMap<Host, (Incarnation, Link)>;

/// The client's part of the thread.
#[derive(Clone)]
struct Client {
    side: Rc<Side>,
    peers: Peers,
    executor: Rc<LocalExecutor<'static>>,
    links: Rc<std::cell::RefCell<Links>>,
}

impl Client {
    async fn run(self) {
        loop {
            let ask = async { self.peers.asked.recv().await.ok() };
            let idle = async {
                smol::Timer::after(IDLE_MAX.into()).await;
                None
            };
            match ask.or(idle).await {
                Some(ask) => {
                    let client = self.clone();
                    let task = async move {
                        let result = client.ask(&ask.relay, ask.wait).await;
                        // Whoever asked may have gone away.
                        drop(ask.answer.try_send(result));
                    };
                    self.executor.spawn(task).detach();
                }
                None => {
                    let links = std::mem::take(&mut *self.links.borrow_mut());
                    links.into_values().for_each(|(_, link)| link.close());
                }
            }
        }
    }

    /// Asks the peers in turn.
    async fn ask(&self, relay: &Relay, wait: Span) -> Result<Relayed> {
        let now = self.side.clock.now();
        let spread = self.side.own.incarnation.0;
        let order = self.peers.roster().call_order(&self.side.own, spread, now);
        let mut uncertain = false;
        for peer in order.into_iter().take(PEERS_MAX) {
            let call = self.call(&peer, relay);
            let expire = async {
                smol::Timer::after(Duration::from(wait) + Duration::from(ANSWER_MAX)).await;
                Err(wire::Error::Timeout)
            };
            let result = call.or(expire).await;
            match result {
                Ok(Frame::Relayed(Relayed::Unavailable)) => {}
                Ok(Frame::Relayed(Relayed::Uncertain)) => uncertain = true,
                Ok(Frame::Relayed(relayed)) => return Ok(relayed),
                Ok(_) => {}
                Err(error) => {
                    uncertain |= !error.is_unserved();
                    info!(self.side.log, "peer did not help"; "peer" => %peer.host,
                        "address" => %peer.address, "error" => %error);
                    self.links.borrow_mut().remove(&peer.host);
                }
            }
            let now = self.side.clock.now();
            self.peers.roster().record_failure(&peer.host, now);
        }
        if uncertain {
            Err(Error::Uncertain(http_io::Error::Timeout))
        } else {
            Err(unreachable())
        }
    }

    async fn call(&self, peer: &Peer, relay: &Relay) -> wire::Result<Frame> {
        let link = self.link(peer).await?;
        link.call(&Frame::Relay(relay.clone())).await
    }

    async fn link(&self, peer: &Peer) -> wire::Result<Link> {
        let open = self.links.borrow().get(&peer.host).cloned();
        if let Some((incarnation, link)) = open
            && incarnation == peer.incarnation
            && !link.is_closed()
            && !link.is_suspect()
        {
            return Ok(link);
        }
        let Side { key, identity, .. } = &*self.side;
        let link = Link::connect(&self.executor, peer.address, key, identity).await?;
        info!(self.side.log, "connected to a peer"; "peer" => %peer.host);
        let entry = (peer.incarnation, link.clone());
        self.links.borrow_mut().insert(peer.host.clone(), entry);
        Ok(link)
    }
}

/// Writes this gateway's row.
pub(crate) async fn register(rows: &Rows, own: &Peer, log: &Logger) {
    let place = Partition::new(TABLE, "");
    let transaction = Transaction::default().with_write(own.host.as_str(), own.encode());
    while let Err(error) = rows.write(&place, &transaction).await {
        info!(log, "gateway not listed yet"; "error" => %error);
        crate::control::pause().await;
    }
}

/// Drops this gateway's row, unless a later start on the host has written another.
pub(crate) async fn unregister(rows: &Rows, own: &Peer, log: &Logger) {
    let place = Partition::new(TABLE, "");
    let key = own.host.as_str();
    let result = rows.read(&place, key, &store::key_after(key)).await;
    let row = result.ok().and_then(|page| page.rows.into_iter().next());
    let Some(row) = row.filter(|row| Peer::decode(&row.value.0).as_ref() == Some(own)) else {
        return;
    };
    let transaction = Transaction::default()
        .with_check(key, row.version)
        .with_delete(key);
    if let Err(error) = rows.write(&place, &transaction).await {
        info!(log, "gateway stays listed"; "error" => %error);
    }
}

/// Takes in a row of a gateway.
pub(crate) fn list(peers: &Peers, row: &Row, log: &Logger) {
    match Peer::decode(&row.value.0) {
        Some(peer) => {
            info!(log, "peer listed"; "peer" => %peer.host, "address" => %peer.address,
                "row_version" => row.version);
            peers.roster().insert(&row.key, peer);
        }
        None => warn!(log, "row of a peer cannot be read"; "row" => %row.key,
            "row_version" => row.version),
    }
}
