//! Requests that crash their endpoints: finds out whether an endpoint crashed, and which requests may
//! be sent. `policy::Verdict` and `policy::Quarantine` decide.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::Receiver;
use compact_str::{CompactString, format_compact};
use policy::{Admission, LOSSES_MAX, Listing, Probe, Quarantine, Reservations, Suspect, Verdict};
use slog::info;
use smol::future::FutureExt;
use smol::net::TcpStream;
use units::{Fingerprint, Host, Span};

use crate::attempt::Placement;
use crate::losses;
use crate::prompt::stable_hash;
use crate::state::Shared;

/// Longest time to open a connection to an endpoint that may have crashed.
const PROBE_TIMEOUT: Span = Span::from_ms(350);
/// Time between the two probes of an endpoint.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Time between looks at the list of endpoints while it is undecided whether one crashed.
const LISTING_INTERVAL: Duration = Duration::from_millis(300);
/// Most requests suspected for one crash; above those that an endpoint runs for one host.
const SUSPECTS_PER_CRASH_MAX: usize = 64;
/// How a request was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LossKind {
    /// The connection to the endpoint was lost.
    BrokenOff,
    /// The endpoint fell silent.
    TimedOut,
}

/// One start of an endpoint, and where it listened.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct EndpointStart {
    pub(crate) id: CompactString,
    pub(crate) start_id: u64,
    pub(crate) address: SocketAddr,
}

impl EndpointStart {
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        Fingerprint::new(&[self.id.as_bytes(), &self.start_id.to_le_bytes()])
    }
}

/// A question whether an endpoint crashed, with the requests that were lost there.
struct Inquiry {
    suspects: Vec<Suspect>,
    /// Closed when the question is decided.
    decided: Receiver<()>,
}

type Inquiries = HashMap<(EndpointStart, LossKind), Inquiry>;

/// The losses that are known to this host, and those that are being investigated.
#[derive(Default)]
pub(crate) struct Crashes {
    quarantine: Mutex<Quarantine>,
    reservations: Mutex<Reservations>,
    inquiries: Mutex<Inquiries>,
}

impl Crashes {
    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the reservations of attempts, on all hosts.
    pub(crate) fn reservations(&self) -> MutexGuard<'_, Reservations> {
        self.reservations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn inquiries(&self) -> MutexGuard<'_, Inquiries> {
        self.inquiries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Decides whether a request may be sent.
pub(crate) fn admit(shared: &Shared, suspect: Suspect) -> Admission {
    // One host for each request, which all hosts agree on as far as their lists of hosts do.
    let own = &shared.settings().host;
    let rank = |host: &Host| stable_hash(&format_compact!("{}/{host}", suspect.beginning));
    let now = shared.clock.now();
    let mut quarantine = shared.crashes.quarantine();
    if quarantine.losses_of(suspect) < LOSSES_MAX {
        return quarantine.admit(suspect, false, now);
    }
    let roster = shared.peers.roster();
    let first = roster
        .peers()
        .map(|peer| &peer.host)
        .min_by_key(|host| rank(host));
    let may_try = first == Some(own);
    quarantine.admit(suspect, may_try, now)
}

/// Investigates whether the endpoint of a lost attempt crashed. Returns a receiver that is closed
/// when this is decided.
pub(crate) fn investigate(
    shared: &Arc<Shared>,
    placement: &Placement,
    suspect: Suspect,
    kind: LossKind,
) -> Option<Receiver<()>> {
    let start = placement.endpoint_start.clone()?;
    let mut inquiries = shared.crashes.inquiries();
    let key = (start, kind);
    if let Some(inquiry) = inquiries.get_mut(&key) {
        if inquiry.suspects.len() < SUSPECTS_PER_CRASH_MAX {
            inquiry.suspects.push(suspect);
        }
        return Some(inquiry.decided.clone());
    }
    let (deciding, decided) = async_channel::bounded(1);
    let inquiry = Inquiry {
        suspects: vec![suspect],
        decided: decided.clone(),
    };
    let listing = shared.endpoints().listing(&key.0);
    inquiries.insert(key.clone(), inquiry);
    drop(inquiries);
    let shared = shared.clone();
    let task = async move {
        let _deciding = deciding;
        inquire(shared, key, listing).await;
    };
    smol::spawn(task).detach();
    Some(decided)
}

/// Waits until the investigations of a request's losses are decided.
pub(crate) async fn wait_decided(shared: &Shared, suspect: Suspect) {
    let open = {
        let inquiries = shared.crashes.inquiries();
        let of_suspect = inquiries
            .values()
            .filter(|inquiry| inquiry.suspects.contains(&suspect));
        of_suspect
            .map(|inquiry| inquiry.decided.clone())
            .collect::<Vec<_>>()
    };
    for decided in open {
        // Nothing is ever sent: the channel closes when the question is decided.
        let _ = decided.recv().await;
    }
}

/// Decides whether an endpoint crashed, and records the losses if it did.
async fn inquire(shared: Arc<Shared>, key: (EndpointStart, LossKind), at_loss: Listing) {
    let (start, kind) = &key;
    let began = shared.clock.now();
    let probe = match kind {
        LossKind::BrokenOff => probe(start.address).await,
        LossKind::TimedOut => Probe::NoResponse,
    };
    let (verdict, listing) = loop {
        let listing = shared.endpoints().listing(start);
        let elapsed = shared.clock.now().since(began);
        match Verdict::new(at_loss, probe, listing, elapsed) {
            Verdict::Undecided => smol::Timer::after(LISTING_INTERVAL).await,
            verdict => break (verdict, listing),
        };
    };
    let inquiry = shared.crashes.inquiries().remove(&key);
    let suspects = inquiry.map_or_else(Vec::new, |inquiry| inquiry.suspects);
    let now = shared.clock.now();
    info!(shared.log, "endpoint investigated"; "endpoint" => %start.id,
        "start" => start.start_id, "address" => %start.address, "loss" => ?kind,
        "verdict" => ?verdict, "probe" => ?probe, "listing_before" => ?at_loss,
        "listing" => ?listing, "requests" => suspects.len(), "after_ms" => now.since(began).as_ms());
    if verdict == Verdict::Crashed {
        shared.metrics.count("endpoint-crashes");
        losses::record(&shared, start, &suspects, now);
    }
}

/// Returns whether an endpoint accepts connections. The listener of a process that ends may outlive
/// its connections by a moment, so an endpoint that accepts is asked twice.
async fn probe(address: SocketAddr) -> Probe {
    let first = connect(address).await;
    if first != Probe::Connected {
        return first;
    }
    smol::Timer::after(PROBE_INTERVAL).await;
    connect(address).await
}

async fn connect(address: SocketAddr) -> Probe {
    let connect = async {
        match TcpStream::connect(address).await {
            Ok(_) => Probe::Connected,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => Probe::Refused,
            Err(_) => Probe::NoResponse,
        }
    };
    let expire = async {
        smol::Timer::after(PROBE_TIMEOUT.into()).await;
        Probe::NoResponse
    };
    connect.or(expire).await
}
