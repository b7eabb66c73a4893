//! Connections to the hosts in the platform's list.
//!
//! When the heartbeat of a connection is overdue, a second connection is opened at once and
//! replaces the first. The first is then closed, so that its exchanges continue on the second.

use std::rc::Rc;

use board::Observation;
use slog::{info, warn};
use smol::LocalExecutor;
use smol::future::FutureExt;
use store::api::HostInfo;
use units::{Host, Incarnation, Program, Span};
use wire::{Backoff, Error, Frame, Link, Result, Role};

use crate::traffic::Traffic;

const SCAN_INTERVAL: Span = Span::from_ms(100);

/// Maintains a connection to each listed host.
pub(crate) async fn run(traffic: Rc<Traffic>, executor: Rc<LocalExecutor<'static>>) {
    loop {
        let view = traffic.shared.view.load_full();
        for info in &view.hosts {
            if traffic.managed_hosts.borrow_mut().insert(info.host.clone()) {
                executor
                    .spawn(maintain(traffic.clone(), executor.clone(), info.clone()))
                    .detach();
            }
        }
        smol::Timer::after(SCAN_INTERVAL.into()).await;
    }
}

/// Whether a host is listed at this address, leaving or not: the host itself reports its leaving.
fn is_listed(traffic: &Traffic, info: &HostInfo) -> bool {
    let view = traffic.shared.view.load();
    let mut hosts = view.hosts.iter();
    hosts.any(|listed| listed.host == info.host && listed.address == info.address)
}

/// Maintains the connection to one host until the host is no longer listed at this address. The
/// list is a hint: an open connection is used until it ends.
async fn maintain(traffic: Rc<Traffic>, executor: Rc<LocalExecutor<'static>>, info: HostInfo) {
    let mut backoff = Backoff::new();
    let mut current: Option<Link> = None;
    while current.is_some() || is_listed(&traffic, &info) {
        match connect(&traffic, &executor, &info, current.as_ref()).await {
            Ok(link) => {
                backoff.record_connected(traffic.shared.clock.now());
                use_until_suspected(&traffic, &info.host, current.take(), &link).await;
                current = Some(link);
            }
            Err(error) => {
                info!(traffic.shared.logger, "connection not opened"; "peer" => %info.host,
                    "error" => error.label(), "suspected_one_open" => current.is_some());
                traffic.shared.metrics.count("connect-failed");
                traffic.shared.metrics.count(error.label());
                drop_link(&traffic, &info.host, current.take()).await;
            }
        }
        // A suspected connection is replaced at once, a lost one reopened after a jittered delay.
        if current.as_ref().is_none_or(Link::is_closed) {
            drop_link(&traffic, &info.host, current.take()).await;
            let now = traffic.shared.clock.now();
            let delay = backoff.next_delay(now, &mut *traffic.routing.rng.borrow_mut());
            smol::Timer::after(delay.into()).await;
        }
    }
    traffic.managed_hosts.borrow_mut().remove(&info.host);
}

/// Opens a connection, unless the suspected one recovers first.
async fn connect(
    traffic: &Traffic,
    executor: &Rc<LocalExecutor<'static>>,
    info: &HostInfo,
    suspect: Option<&Link>,
) -> Result<Link> {
    let open = Link::connect(
        executor,
        info.address,
        &traffic.key,
        &traffic.shared.identity,
    );
    let recover = async {
        match suspect {
            Some(link) => {
                link.recovered().await;
                Ok(link.clone())
            }
            None => std::future::pending().await,
        }
    };
    open.or(recover).await
}

/// Makes `link` available to calls; exchanges of the previous connection move to it.
async fn replace_link(traffic: &Traffic, host: &Host, previous: Option<Link>, link: &Link) {
    if previous
        .as_ref()
        .is_some_and(|previous| previous.is_same_connection(link))
    {
        return;
    }
    let is_restarted = |previous: &Link| previous.peer().incarnation != link.peer().incarnation;
    if previous.as_ref().is_some_and(is_restarted) {
        traffic
            .observe(Observation::Disconnected(host.clone()))
            .await;
    }
    traffic
        .links
        .borrow_mut()
        .insert(host.clone(), link.clone());
    let mut identity = link.peer().clone();
    identity.host = host.clone();
    info!(traffic.shared.logger, "connection opened"; "peer" => %host,
        "peer_incarnation" => %identity.incarnation, "replaces" => previous.is_some());
    traffic.observe(Observation::Connected(identity)).await;
    if let Some(previous) = previous {
        traffic.shared.metrics.count("link-replaced");
        previous.close();
    }
}

/// Removes and closes a host's connection.
async fn drop_link(traffic: &Traffic, host: &Host, link: Option<Link>) {
    if let Some(link) = link {
        warn!(traffic.shared.logger, "connection lost"; "peer" => %host,
            "peer_incarnation" => %link.peer().incarnation, "leaving" => link.is_leaving());
        traffic.links.borrow_mut().remove(host);
        link.close();
        traffic
            .observe(Observation::Disconnected(host.clone()))
            .await;
    }
}

/// Uses `link` in place of the previous connection until it is suspected or ends.
async fn use_until_suspected(traffic: &Traffic, host: &Host, previous: Option<Link>, link: &Link) {
    let reports = async {
        // The connection remains usable if only its stream of reports ends.
        let _ = read_reports(traffic, host, previous, link).await;
        std::future::pending().await
    };
    reports.or(link.suspected()).await;
    if link.is_suspect() {
        warn!(traffic.shared.logger, "connection suspected"; "peer" => %host,
            "peer_incarnation" => %link.peer().incarnation);
        traffic.shared.metrics.count("link-suspected");
    }
}

/// Reads a peer's reports. A sidecar becomes available to calls once its epoch is known.
async fn read_reports(
    traffic: &Traffic,
    host: &Host,
    previous: Option<Link>,
    link: &Link,
) -> Result<()> {
    let mut stream = link.open(&Frame::Watch).await?;
    if matches!(link.peer().role, Role::Sidecar { .. }) {
        match stream.expect().await? {
            Frame::Epoch(epoch) => link.record_epoch(epoch),
            other => return Err(Error::Unexpected(other.kind())),
        }
    }
    replace_link(traffic, host, previous, link).await;
    loop {
        match stream.expect().await? {
            Frame::Epoch(epoch) => link.record_epoch(epoch),
            Frame::Load(load) => {
                if load.leaving {
                    link.record_leaving();
                }
                traffic.observe(Observation::Load(host.clone(), load)).await;
            }
            Frame::Held(programs) => traffic
                .executor
                .spawn(claim_or_release(
                    link.clone(),
                    owned_programs(traffic, programs),
                ))
                .detach(),
            other => return Err(Error::Unexpected(other.kind())),
        }
    }
}

/// Selects, from the programs that a sidecar holds, those that this entry owns; returns live and
/// ended ones separately.
fn owned_programs(traffic: &Traffic, programs: Vec<Program>) -> (Vec<Program>, Vec<Program>) {
    let ended = |program: &Program| {
        let live = traffic.owned_program(*program)?;
        let ended = live.program.borrow().ended().is_some();
        Some(ended)
    };
    let known = programs
        .into_iter()
        .filter_map(|program| Some((program, ended(&program)?)));
    let (ended, live): (Vec<_>, Vec<_>) = known.partition(|(_, ended)| *ended);
    let ids = |pairs: Vec<(Program, bool)>| pairs.into_iter().map(|(program, _)| program).collect();
    (ids(live), ids(ended))
}

/// Claims live programs and releases ended ones; the sidecar reports both again after a failure.
async fn claim_or_release(link: Link, (live, ended): (Vec<Program>, Vec<Program>)) {
    if !live.is_empty() && link.call(&Frame::Claim(live)).await.is_err() {
        return;
    }
    for program in ended {
        if link.call(&Frame::Release(program)).await.is_err() {
            return;
        }
    }
}

/// The open connection to a process and its host, even if the process is leaving.
pub(crate) fn to_process(traffic: &Traffic, incarnation: Incarnation) -> Option<(Host, Link)> {
    let links = traffic.links.borrow();
    let mut open = links.iter().filter(|(_, link)| !link.is_closed());
    let (host, link) = open.find(|(_, link)| link.peer().incarnation == incarnation)?;
    Some((host.clone(), link.clone()))
}

/// Notifies all sidecars that a program has ended. A sidecar that misses this reports the program
/// as held once it is reconnected, and is then notified.
pub(crate) fn release_program(traffic: &Traffic, program: Program) {
    let is_sidecar = |link: &Link| matches!(link.peer().role, Role::Sidecar { .. });
    for link in traffic.links.borrow().values() {
        if !is_sidecar(link) {
            continue;
        }
        let link = link.clone();
        let metrics = traffic.shared.metrics.clone();
        let release = async move {
            if link.call(&Frame::Release(program)).await.is_err() {
                metrics.count("release-failed");
            }
        };
        // A separate task for each, so that an unresponsive sidecar does not delay the others.
        traffic.executor.spawn(release).detach();
    }
}
