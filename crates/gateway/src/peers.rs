//! Other gateways: a gateway that cannot reach the store has a peer make its calls.
//!
//! Each gateway writes a row, by which its peers find it. A peer makes a call itself or reports that
//! it cannot; it never forwards the call to another peer. Connections are opened when they are needed
//! and closed soon after, so that there are none while the store is available.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use compact_str::CompactString;
use event_listener::Event;
use intake::Listener;
use slog::{Logger, info, warn};
use smol::LocalExecutor;
use smol::future::FutureExt;
use store::api::{Row, Transaction, Value};
use store::{Error, Partition, Progress, Result};
use units::{Clock, Host, Incarnation, Span, Time};
use wire::{Frame, Identity, Key, Link, PackedRow, Relay, Relayed, Stream};

use crate::caps::Caps;
use crate::list_copy::{self, ListCopy};
use crate::programs::Programs;
use crate::replica::{self, REPORT_INTERVAL, Replica};
use crate::roster::{Peer, Roster};
use crate::rows::Rows;

/// Name of the table with a row for each gateway.
pub(crate) const TABLE: &str = "gateways";
/// Most peers that are called for one request.
const PEERS_PER_REQUEST_MAX: usize = 2;
/// Time for a peer's response beyond the wait that is part of the call. The peer's own timeout for
/// the store is shorter.
const RESPONSE_SLACK: Span = Span::from_ms(900);
/// Most requests that wait to be relayed.
const QUEUED_REQUESTS_MAX: usize = 1_024;
/// Most updates of a copy that wait to be applied.
const QUEUED_UPDATES_MAX: usize = 4;
/// Longest time to connect to a peer that is to be followed, and then until its first report.
const FIRST_REPORT_TIMEOUT: Span = Span::from_ms(300);
/// Longest time without a report from a peer that is followed.
const REPORT_TIMEOUT: Span = Span(REPORT_INTERVAL.0 + 400_000);
/// Longest pause between two pieces of a row.
const PIECE_TIMEOUT: Span = Span::from_ms(1_000);
/// Longest time for a peer to return a grant or a share: a connection between regions and a write of
/// the store.
const RETURN_TIMEOUT: Span = Span::from_ms(600);
/// How long connections stay open after the last request.
const LINK_IDLE_TIMEOUT: Span = Span::from_ms(4_000);

/// A request to the thread for peers.
enum Request {
    /// Has a peer make a call.
    Relay {
        relay: Relay,
        wait: Span,
        reply: Sender<Result<Relayed>>,
    },
    /// Calls one peer.
    Call {
        peer: Peer,
        relay: Relay,
        limit: Span,
        reply: Sender<Relayed>,
    },
    /// Has a peer return what it does not need.
    Return {
        peer: Peer,
        relay: Relay,
        done: Sender<()>,
    },
    /// Follows the copy of the environment that a peer has.
    Follow {
        peer: Peer,
        /// Version of the row that this host has.
        version: u64,
        progress: Arc<Progress>,
        updates: Sender<wire::Result<Update>>,
    },
}

/// A report of a peer on its copy of the environment.
pub(crate) struct Update {
    /// Version of the store at which the copy was current.
    pub(crate) position: u64,
    /// When it was current.
    pub(crate) current_at: Time,
    /// The host that read it from the store.
    pub(crate) reader: Option<Host>,
    /// A row newer than those before.
    pub(crate) row: Option<Row>,
}

/// Handle that passes calls of the store to the thread for peers.
#[derive(Clone)]
pub(crate) struct Peers {
    requests_tx: Sender<Request>,
    requests_rx: Receiver<Request>,
    roster: Arc<Mutex<Roster>>,
    /// Notified when the list of gateways becomes known.
    known: Arc<Event>,
}

impl Peers {
    pub(crate) fn new() -> Self {
        let (requests_tx, requests_rx) = async_channel::bounded(QUEUED_REQUESTS_MAX);
        Peers {
            requests_tx,
            requests_rx,
            roster: Arc::default(),
            known: Arc::default(),
        }
    }

    pub(crate) fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the list by the gateways of these rows, all that there are.
    pub(crate) fn list(&self, rows: &[Row], log: &Logger) {
        let keys: Vec<CompactString> = rows.iter().map(|row| row.key.clone()).collect();
        let mut roster = self.roster();
        roster.reconcile(&keys);
        self.complete(roster, rows, log);
    }

    /// Adds the gateways of these rows to the list, which has all that there are then. Returns whether
    /// any of the rows is newer than the known ones.
    pub(crate) fn add(&self, rows: &[Row], log: &Logger) -> bool {
        self.complete(self.roster(), rows, log)
    }

    /// Adds the last gateways that a list lacks. The lock is held throughout, as a part of the list
    /// stands for a smaller fleet.
    fn complete(&self, mut roster: MutexGuard<'_, Roster>, rows: &[Row], log: &Logger) -> bool {
        let mut is_changed = false;
        for row in rows {
            is_changed |= apply_row(&mut roster, row, log);
        }
        roster.set_known();
        drop(roster);
        self.known.notify(usize::MAX);
        is_changed
    }

    /// Takes over the list of another gateway, unless this one has read the list itself.
    fn introduce(&self, rows: &[Row], log: &Logger) {
        if !self.roster().is_known() {
            info!(log, "list of gateways received from a peer"; "gateways" => rows.len());
            self.add(rows, log);
        }
    }

    /// Returns when the list of gateways is known.
    pub(crate) async fn wait_known(&self) {
        loop {
            let known = self.known.listen();
            if self.roster().is_known() {
                return;
            }
            known.await;
        }
    }

    /// Has a peer make a call; `wait` is the time for which the call itself waits for changes.
    pub(crate) async fn relay(&self, relay: Relay, wait: Span) -> Result<Relayed> {
        let (reply, reply_rx) = async_channel::bounded(1);
        let request = Request::Relay { relay, wait, reply };
        if self.requests_tx.try_send(request).is_err() {
            return Err(no_peer_reachable());
        }
        reply_rx
            .recv()
            .await
            .unwrap_or_else(|_| Err(no_peer_reachable()))
    }

    /// Calls one peer; `None` if it does not answer in time.
    pub(crate) async fn call(&self, peer: Peer, relay: Relay, limit: Span) -> Option<Relayed> {
        let (reply, reply_rx) = async_channel::bounded(1);
        let request = Request::Call {
            peer,
            relay,
            limit,
            reply,
        };
        self.requests_tx.try_send(request).ok()?;
        reply_rx.recv().await.ok()
    }

    /// Has the listed gateways among `holders` return what they do not need, as `relay` names it.
    /// Returns when all of them have answered or failed, at most after `limit`.
    pub(crate) async fn request_return(&self, relay: &Relay, holders: &[Incarnation], limit: Span) {
        let listed: Vec<Peer> = {
            let roster = self.roster();
            let peers = roster.peers();
            let peers = peers.filter(|peer| holders.contains(&peer.incarnation));
            peers.cloned().collect()
        };
        let (done, done_rx) = async_channel::bounded::<()>(1);
        for peer in listed {
            let request = Request::Return {
                peer,
                relay: relay.clone(),
                done: done.clone(),
            };
            // A full queue counts as a failure of the peer.
            drop(self.requests_tx.try_send(request));
        }
        drop(done);
        let all = async {
            // Nothing is sent: the channel closes when the last request has ended.
            let _ = done_rx.recv().await;
        };
        let expire = async {
            smol::Timer::after(limit.into()).await;
        };
        all.or(expire).await;
    }

    /// Follows a peer's copy of the environment until the receiver is dropped; an error is the last
    /// update. `version` is the version of the row that this host has.
    pub(crate) fn follow(
        &self,
        peer: Peer,
        version: u64,
        progress: Arc<Progress>,
    ) -> Receiver<wire::Result<Update>> {
        let (updates, updates_rx) = async_channel::bounded(QUEUED_UPDATES_MAX);
        let request = Request::Follow {
            peer,
            version,
            progress,
            updates,
        };
        // If the queue is full, the channel of updates is closed, which ends the exchange.
        drop(self.requests_tx.try_send(request));
        updates_rx
    }
}

/// Error if no peer could be reached: the call was not made.
fn no_peer_reachable() -> Error {
    let kind = std::io::ErrorKind::NotConnected;
    Error::Unavailable(http_io::Error::Connect(kind.into()))
}

/// What the thread for peers needs.
pub(crate) struct Context {
    pub(crate) own: Peer,
    pub(crate) identity: Identity,
    pub(crate) key: Key,
    pub(crate) rows: Arc<Rows>,
    pub(crate) peers: Peers,
    pub(crate) replica: Arc<Replica>,
    pub(crate) programs: Arc<Programs>,
    pub(crate) caps: Arc<Caps>,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
}

/// Runs the server for peers and the client to them until the process ends.
pub(crate) fn run(ctx: Context, listener: Listener) {
    let executor = Rc::new(LocalExecutor::new());
    let ctx = Rc::new(ctx);
    let handler = {
        let ctx = ctx.clone();
        move |_: Rc<Identity>, stream: Stream| serve_peer(ctx.clone(), stream)
    };
    let on_error = {
        let log = ctx.log.clone();
        move |error: &wire::Error| info!(log, "connection from a peer ended"; "error" => %error)
    };
    let server = wire::serve(
        executor.clone(),
        listener,
        ctx.key.clone(),
        ctx.identity.clone(),
        handler,
        on_error,
        wire::Drain::new(),
    );
    executor.spawn(server).detach();
    let client = Client {
        peers: ctx.peers.clone(),
        ctx,
        executor: executor.clone(),
        links: Rc::default(),
    };
    smol::block_on(executor.run(client.run()));
}

/// Makes the call that a peer requests, or sends it the copy of the environment.
async fn serve_peer(ctx: Rc<Context>, mut stream: Stream) {
    let Ok(Frame::Relay(relay)) = stream.expect().await else {
        return;
    };
    if let Relay::Environment { version } = relay {
        // The follower notices the end itself.
        let _ = ctx.replica.serve(stream, version).await;
        return;
    }
    let relayed = match relay {
        Relay::Settle { program } => {
            ctx.programs.settle(&program).await;
            Relayed::Settled
        }
        Relay::Acquire { host, wants } => {
            let granted = ctx.caps.serve(&host, &wants);
            granted.map_or(Relayed::Unavailable, Relayed::Acquired)
        }
        Relay::Introduce { rows } => {
            ctx.peers.introduce(&rows, &ctx.log);
            Relayed::Introduced
        }
        relay => ctx.rows.serve_peer(relay).await,
    };
    // A peer that has disconnected repeats its request.
    let _ = stream.send(&Frame::Relayed(relayed)).await;
    let _ = stream.finish();
}

type Links = HashMap<Host, (Incarnation, Link)>;

/// Client side of the thread for peers.
#[derive(Clone)]
struct Client {
    ctx: Rc<Context>,
    peers: Peers,
    executor: Rc<LocalExecutor<'static>>,
    links: Rc<std::cell::RefCell<Links>>,
}

impl Client {
    async fn run(self) {
        loop {
            let request = async { self.peers.requests_rx.recv().await.ok() };
            let idle = async {
                smol::Timer::after(LINK_IDLE_TIMEOUT.into()).await;
                None
            };
            match request.or(idle).await {
                Some(request) => {
                    let client = self.clone();
                    let task = async move { client.run_request(request).await };
                    self.executor.spawn(task).detach();
                }
                None => {
                    let links = std::mem::take(&mut *self.links.borrow_mut());
                    links.into_values().for_each(|(_, link)| link.close());
                }
            }
        }
    }

    async fn run_request(&self, request: Request) {
        match request {
            Request::Relay { relay, wait, reply } => {
                let result = self.relay(&relay, wait).await;
                // The requesting task may have been cancelled.
                drop(reply.try_send(result));
            }
            Request::Call {
                peer,
                relay,
                limit,
                reply,
            } => match within(limit, self.call(&peer, &relay)).await {
                // The requesting task may have been cancelled.
                Ok(Frame::Relayed(relayed)) => drop(reply.try_send(relayed)),
                Ok(_) => {}
                Err(_) => drop(self.links.borrow_mut().remove(&peer.host)),
            },
            Request::Return { peer, relay, done } => {
                self.request_return(&peer, &relay).await;
                drop(done);
            }
            Request::Follow {
                peer,
                version,
                progress,
                updates,
            } => {
                if let Err(error) = self.follow(&peer, version, &progress, &updates).await {
                    // The receiver may have been dropped.
                    drop(updates.send(Err(error)).await);
                }
            }
        }
    }

    async fn request_return(&self, peer: &Peer, relay: &Relay) {
        if let Err(error) = within(RETURN_TIMEOUT, self.call(peer, relay)).await {
            info!(self.ctx.log, "nothing returned by peer"; "peer" => %peer.host,
                "address" => %peer.address, "error" => %error);
            self.links.borrow_mut().remove(&peer.host);
        }
    }

    /// Passes on the reports of a peer on a connection of their own, until an error or until nobody
    /// receives them.
    async fn follow(
        &self,
        peer: &Peer,
        version: u64,
        progress: &Progress,
        updates: &Sender<wire::Result<Update>>,
    ) -> wire::Result<()> {
        let Context { key, identity, .. } = &*self.ctx;
        let link = Link::connect(&self.executor, peer.address, key, identity);
        let link = within(FIRST_REPORT_TIMEOUT, link).await?;
        let result = self.follow_on(&link, version, progress, updates).await;
        link.close();
        result
    }

    async fn follow_on(
        &self,
        link: &Link,
        version: u64,
        progress: &Progress,
        updates: &Sender<wire::Result<Update>>,
    ) -> wire::Result<()> {
        let request = Frame::Relay(Relay::Environment { version });
        let mut stream = within(FIRST_REPORT_TIMEOUT, link.open(&request)).await?;
        let mut timeout = FIRST_REPORT_TIMEOUT;
        loop {
            let frame = within(timeout, stream.expect()).await?;
            timeout = REPORT_TIMEOUT;
            let Frame::Relayed(Relayed::Replica(report)) = frame else {
                return Err(wire::Error::Ended);
            };
            let received_at = self.ctx.clock.now();
            let row = match report.row {
                Some(row) => Some(receive_row(&mut stream, row, progress).await?),
                None => None,
            };
            let update = Update {
                position: report.position,
                current_at: Time(received_at.0.saturating_sub(report.age.0)),
                reader: report.reader,
                row,
            };
            if updates.send(Ok(update)).await.is_err() {
                return Ok(());
            }
        }
    }

    /// Calls the peers one after the other until one makes the call.
    async fn relay(&self, relay: &Relay, wait: Span) -> Result<Relayed> {
        let now = self.ctx.clock.now();
        let spread = self.ctx.own.incarnation.0;
        let order = self.peers.roster().call_order(&self.ctx.own, spread, now);
        let mut uncertain = false;
        for peer in order.into_iter().take(PEERS_PER_REQUEST_MAX) {
            let call = self.call(&peer, relay);
            let expire = async {
                smol::Timer::after(Duration::from(wait) + Duration::from(RESPONSE_SLACK)).await;
                Err(wire::Error::Timeout)
            };
            let result = call.or(expire).await;
            match result {
                Ok(Frame::Relayed(Relayed::Unavailable)) => {}
                Ok(Frame::Relayed(Relayed::Uncertain)) => uncertain = true,
                Ok(Frame::Relayed(relayed)) => {
                    self.peers.roster().record_success(&peer.host);
                    return Ok(relayed);
                }
                Ok(_) => {}
                Err(error) => {
                    uncertain |= !error.is_unserved();
                    info!(self.ctx.log, "call through peer failed"; "peer" => %peer.host,
                        "address" => %peer.address, "error" => %error);
                    self.links.borrow_mut().remove(&peer.host);
                }
            }
            let now = self.ctx.clock.now();
            self.peers.roster().record_failure(&peer.host, now);
        }
        if uncertain {
            Err(Error::Uncertain(http_io::Error::Timeout))
        } else {
            Err(no_peer_reachable())
        }
    }

    async fn call(&self, peer: &Peer, relay: &Relay) -> wire::Result<Frame> {
        let link = self.link(peer).await?;
        link.call(&Frame::Relay(relay.clone())).await
    }

    async fn link(&self, peer: &Peer) -> wire::Result<Link> {
        let existing = self.links.borrow().get(&peer.host).cloned();
        if let Some((incarnation, link)) = existing
            && incarnation == peer.incarnation
            && !link.is_closed()
            && !link.is_suspect()
        {
            return Ok(link);
        }
        let Context { key, identity, .. } = &*self.ctx;
        let link = Link::connect(&self.executor, peer.address, key, identity).await?;
        info!(self.ctx.log, "connected to a peer"; "peer" => %peer.host);
        let entry = (peer.incarnation, link.clone());
        self.links.borrow_mut().insert(peer.host.clone(), entry);
        Ok(link)
    }
}

/// Receives the value of a row.
async fn receive_row(
    stream: &mut Stream,
    row: PackedRow,
    progress: &Progress,
) -> wire::Result<Row> {
    progress.record_head(true);
    let mut packed = Vec::new();
    while packed.len() < row.packed_bytes as usize {
        let Frame::Body(body) = within(PIECE_TIMEOUT, stream.expect()).await? else {
            return Err(wire::Error::Ended);
        };
        progress.record(body.bytes.len());
        packed.extend_from_slice(&body.bytes);
    }
    let value = replica::unpack(&packed).ok_or(wire::Error::Ended)?;
    Ok(Row {
        key: row.key,
        version: row.version,
        value: Value(value),
    })
}

/// Awaits a result for at most `limit`.
async fn within<T>(limit: Span, result: impl Future<Output = wire::Result<T>>) -> wire::Result<T> {
    let expire = async {
        smol::Timer::after(limit.into()).await;
        Err(wire::Error::Timeout)
    };
    result.or(expire).await
}

/// Writes this gateway's row; repeats the write until it succeeds.
pub(crate) async fn register(rows: &Rows, own: &Peer, log: &Logger) {
    while !try_register(rows, own, log).await {
        crate::control::retry_pause().await;
    }
}

/// Writes this gateway's row once; returns whether it was written.
pub(crate) async fn try_register(rows: &Rows, own: &Peer, log: &Logger) -> bool {
    let partition = Partition::new(TABLE, "");
    let transaction = Transaction::default().with_write(own.host.as_str(), own.encode());
    let result = rows.write(&partition, &transaction).await;
    if let Err(error) = &result {
        info!(log, "gateway row not written yet"; "error" => %error);
    }
    result.is_ok()
}

/// Reads the list of gateways anew, or its copy; returns their incarnations.
///
/// # Errors
/// If neither can be read. A gateway that is missing from an earlier list may run nevertheless.
pub(crate) async fn read_list(rows: &Rows) -> Result<Vec<Incarnation>> {
    let list = match rows.read(&Partition::new(TABLE, ""), "", "").await {
        Ok(page) => page.rows,
        Err(error) => {
            let copy = list_copy::read(rows).await?;
            copy.is_complete().then_some(copy.rows).ok_or(error)?
        }
    };
    let peers = list.iter().filter_map(|row| Peer::decode(&row.value.0));
    Ok(peers.map(|peer| peer.incarnation).collect())
}

/// Removes this gateway from the list and its copy, unless a later start on the host has written other
/// rows.
pub(crate) async fn unregister(rows: &Rows, own: &Peer, log: &Logger) {
    let key = own.host.as_str();
    let (list, copy) = (Partition::new(TABLE, ""), list_copy::partition());
    let delete = Transaction::default().with_delete(key);
    let leave = Transaction::default().with_write(key, ListCopy::encode_left());
    let from_list = replace_row(rows, &list, own, (0, delete), log);
    let from_copy = replace_row(rows, &copy, own, (list_copy::PREFIX_BYTES, leave), log);
    futures_util::future::join(from_list, from_copy).await;
}

/// Runs a transaction under the condition that the row of a partition is this gateway's.
async fn replace_row(
    rows: &Rows,
    partition: &Partition,
    own: &Peer,
    (prefix_bytes, transaction): (usize, Transaction),
    log: &Logger,
) {
    let key = own.host.as_str();
    let result = rows.read(partition, key, &store::key_after(key)).await;
    let row = result.ok().and_then(|page| page.rows.into_iter().next());
    let is_own = |row: &Row| {
        let peer = row.value.0.get(prefix_bytes..).and_then(Peer::decode);
        peer.as_ref() == Some(own)
    };
    let Some(row) = row.filter(is_own) else {
        return;
    };
    let transaction = transaction.with_check(key, row.version);
    if let Err(error) = rows.write(partition, &transaction).await {
        info!(log, "gateway row not deleted"; "table" => %partition.table, "error" => %error);
    }
}

/// Inserts the gateway of a row into the roster; returns whether the row is newer than the known one.
pub(crate) fn apply_row(roster: &mut Roster, row: &Row, log: &Logger) -> bool {
    let Some(peer) = Peer::decode(&row.value.0) else {
        warn!(log, "gateway row cannot be decoded"; "row" => %row.key,
            "row_version" => row.version);
        return false;
    };
    let (host, address) = (peer.host.clone(), peer.address);
    let is_newer = roster.insert(&row.key, peer, row.version);
    if is_newer {
        info!(log, "peer listed"; "peer" => %host, "address" => %address,
            "row_version" => row.version);
    }
    is_newer
}
