//! Membership of the hosts of an environment.
//!
//! The platform's list is only a hint: it lags, omits hosts and flaps. Routing relies on this
//! process's connections, and a host's own report that it is leaving takes precedence over both.

use std::collections::BTreeSet;

use store::api::{HostInfo, HostRole};
use units::{Host, Span, Time, Version};
use wire::{Identity, Load, Role};

use crate::board::{Board, Connected, Departure};
use crate::view::{Endpoint, Member, Peer};

/// How long a report of leaving is kept, from its receipt, if its host is neither listed nor
/// connected.
const DEPARTURE_RETENTION: Span = Span::from_ms(3_600_000);

/// Replaces the list, and removes the state of hosts that are neither listed nor connected. Their
/// reports that they are leaving are kept for longer, as the list may omit a host for a while.
pub(crate) fn record_list(board: &mut Board, hosts: Vec<HostInfo>, now: Time) {
    board.hosts = hosts;
    let (hosts, connected) = (&board.hosts, &board.connected);
    let is_known =
        |host: &Host| connected.contains_key(host) || hosts.iter().any(|info| info.host == *host);
    board.version_reports.retain(|host, _| is_known(host));
    board
        .departures
        .retain(|host, departure| is_known(host) || now.since(departure.at) < DEPARTURE_RETENTION);
}

pub(crate) fn record_connection(board: &mut Board, identity: Identity, now: Time) {
    let host = identity.host.clone();
    let departure = board.departures.get(&host);
    if departure.is_some_and(|departure| departure.incarnation != identity.incarnation) {
        // The report is from an earlier process on this host.
        board.departures.remove(&host);
    }
    board.connected.insert(
        host,
        Connected {
            identity,
            load: Load::default(),
            since: now,
        },
    );
}

pub(crate) fn record_disconnection(board: &mut Board, host: &Host) {
    board.connected.remove(host);
}

pub(crate) fn record_load(board: &mut Board, host: &Host, load: Load, now: Time) {
    let Some(connected) = board.connected.get_mut(host) else {
        return;
    };
    connected.load = load;
    if load.leaving {
        // The report is final: a process never resumes after it.
        let incarnation = connected.identity.incarnation;
        let departure = Departure {
            incarnation,
            at: now,
        };
        board.departures.insert(host.clone(), departure);
    }
}

/// Returns the hosts to connect to, which are all listed hosts but this one.
pub(crate) fn hosts_to_connect(board: &Board) -> Vec<HostInfo> {
    board
        .hosts
        .iter()
        .filter(|info| info.host != board.own_host)
        .cloned()
        .collect()
}

/// Returns the endpoints that may receive new work: those that are connected and are not leaving by
/// their own report or the list.
pub(crate) fn endpoints(board: &Board) -> Vec<Endpoint> {
    board
        .connected
        .values()
        .filter_map(|connected| endpoint(board, connected))
        .collect()
}

fn endpoint(board: &Board, connected: &Connected) -> Option<Endpoint> {
    let identity = &connected.identity;
    let Role::Sidecar {
        endpoint,
        serves,
        slots,
    } = &identity.role
    else {
        return None;
    };
    let listed = board.hosts.iter().find(|info| info.host == identity.host);
    let reported_leaving = board.departures.contains_key(&identity.host);
    if reported_leaving || listed.is_some_and(|info| info.leaving) {
        return None;
    }
    Some(Endpoint {
        name: endpoint.clone(),
        host: identity.host.clone(),
        incarnation: identity.incarnation,
        region: identity.region.clone(),
        zone: identity.zone.clone(),
        serves: serves.clone(),
        slots: *slots,
        load: connected.load,
    })
}

/// Returns the other connected entries, the longest connected first.
pub(crate) fn entries(board: &Board) -> Vec<Peer> {
    let mut entries: Vec<&Connected> = board.connected.values().collect();
    entries.retain(|connected| connected.identity.role == Role::Entry);
    entries.sort_by_key(|connected| connected.since);
    let peer = |connected: &&Connected| Peer {
        host: connected.identity.host.clone(),
        incarnation: connected.identity.incarnation,
        address: connected.identity.address,
    };
    entries.iter().map(peer).collect()
}

/// Returns all other listed or connected hosts, ordered by name.
pub(crate) fn members(board: &Board) -> Vec<Member> {
    let listed = board.hosts.iter().map(|info| &info.host);
    let hosts: BTreeSet<&Host> = listed.chain(board.connected.keys()).collect();
    let others = hosts.into_iter().filter(|host| **host != board.own_host);
    others.map(|host| member(board, host)).collect()
}

fn member(board: &Board, host: &Host) -> Member {
    let info = board.hosts.iter().find(|info| info.host == *host);
    let connected = board.connected.get(host);
    let role = match connected.map(|connected| &connected.identity.role) {
        Some(Role::Sidecar { .. }) => HostRole::Sidecar,
        Some(Role::Entry) => HostRole::Entry,
        None => info.map_or(HostRole::Entry, |info| info.role),
    };
    let reported_leaving = board.departures.contains_key(host);
    let report = board.version_reports.get(host);
    Member {
        host: host.clone(),
        role,
        listed: info.is_some(),
        connected: connected.is_some(),
        leaving: reported_leaving || info.is_some_and(|info| info.leaving),
        version: report.map_or(Version(0), |report| report.version),
        reported_at: report.map(|report| report.at),
    }
}
