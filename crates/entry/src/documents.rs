//! Exchange of the environment document with connected peers.
//!
//! Every entry sends its version to each connected peer at a fixed interval, and at once when the
//! peer's version is known to be lower. The side with the higher version sends the document, so
//! that it reaches all connected processes even while the store is unavailable.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use board::{Observation, Report};
use smol::LocalExecutor;
use smol::future::FutureExt;
use units::{Host, Span, Time, Version};
use wire::{Error, Frame, Link, Result, Stream};

use crate::traffic::Traffic;

const SCAN_INTERVAL: Span = Span::from_ms(100);

/// State of the exchange with one peer.
#[derive(Clone, Copy, Default)]
struct PeerState {
    /// The peer's version; `None` if the last exchange failed.
    version: Option<Version>,
    next_exchange: Time,
    in_progress: bool,
}

type Peers = Rc<RefCell<HashMap<Host, PeerState>>>;

/// Runs the exchanges with all connected peers.
pub(crate) async fn run(traffic: Rc<Traffic>, executor: Rc<LocalExecutor<'static>>) {
    let peers = Peers::default();
    loop {
        let links = traffic.links.borrow().clone();
        peers
            .borrow_mut()
            .retain(|host, peer| peer.in_progress || links.contains_key(host));
        for (host, link) in links {
            if begin_if_due(&traffic, &peers, &host) {
                let exchange = exchange(traffic.clone(), peers.clone(), host, link);
                executor.spawn(exchange).detach();
            }
        }
        smol::Timer::after(SCAN_INTERVAL.into()).await;
    }
}

/// Whether an exchange with the peer is due; marks it as in progress if so.
fn begin_if_due(traffic: &Traffic, peers: &Peers, host: &Host) -> bool {
    let mut peers = peers.borrow_mut();
    let peer = peers.entry(host.clone()).or_default();
    let own_version = traffic.shared.view.load().replica.version();
    let is_behind = peer.version.is_some_and(|version| version < own_version);
    let is_due = is_behind || traffic.shared.clock.now() >= peer.next_exchange;
    if peer.in_progress || !is_due {
        return false;
    }
    peer.in_progress = true;
    true
}

/// Runs one exchange with one peer, for at most `peer_timeout`.
async fn exchange(traffic: Rc<Traffic>, peers: Peers, host: Host, link: Link) {
    let timeout = async {
        smol::Timer::after(traffic.shared.settings.process.timing.peer_timeout.into()).await;
        Err(Error::Timeout)
    };
    let result = compare(&traffic, &link).or(timeout).await;
    let interval = traffic.shared.settings.process.timing.document_exchange;
    let next_exchange = traffic.shared.clock.now().after(interval);
    let version = match result {
        Ok(version) => {
            traffic
                .observe(Observation::PeerVersion(host.clone(), version))
                .await;
            Some(version)
        }
        Err(_) => {
            traffic.shared.metrics.count("document-exchange-failed");
            None
        }
    };
    let peer = PeerState {
        version,
        next_exchange,
        in_progress: false,
    };
    peers.borrow_mut().insert(host, peer);
}

/// Compares versions with a peer; the side with the higher version sends the document. Returns the
/// peer's version afterwards.
async fn compare(traffic: &Traffic, link: &Link) -> Result<Version> {
    let view = traffic.shared.view.load_full();
    let version = view.replica.version();
    match link.call(&Frame::InForce(version)).await? {
        Frame::InForce(peer_version) => match view.replica.report(peer_version) {
            Report::InForce(_) => Ok(peer_version),
            Report::Document(environment) => {
                let document = Frame::Document {
                    version: environment.version,
                    text: environment.text.clone(),
                };
                match link.call(&document).await? {
                    Frame::InForce(peer_version) => Ok(peer_version),
                    other => Err(Error::Unexpected(other.kind())),
                }
            }
        },
        Frame::Document { version, text } => {
            let received = Observation::Document(version, text);
            traffic.observe(received).await;
            Ok(version)
        }
        other => Err(Error::Unexpected(other.kind())),
    }
}

/// Responds to a peer that sent its version.
pub(crate) async fn respond(
    traffic: &Traffic,
    version: Version,
    stream: &mut Stream,
) -> Result<()> {
    let view = traffic.shared.view.load_full();
    let frame = match view.replica.report(version) {
        Report::InForce(version) => Frame::InForce(version),
        Report::Document(environment) => Frame::Document {
            version: environment.version,
            text: environment.text.clone(),
        },
    };
    traffic.observe(Observation::VersionReceived(version)).await;
    stream.send(&frame).await?;
    stream.finish()
}

/// Receives a document from a peer. The response is the version now in force, which may still be the
/// previous one: the control thread applies the document later.
pub(crate) async fn receive(
    traffic: &Traffic,
    version: Version,
    text: String,
    stream: &mut Stream,
) -> Result<()> {
    let received = Observation::Document(version, text);
    traffic.observe(received).await;
    let version = traffic.shared.view.load().replica.version();
    stream.send(&Frame::InForce(version)).await?;
    stream.finish()
}
