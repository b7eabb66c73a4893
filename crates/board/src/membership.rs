//! Which hosts take part.
//!
//! The platform's list is a hint: it lags, omits hosts and flaps. The process's own connections are
//! the truth for routing, and a host's own word that it is leaving beats both.

use std::collections::BTreeSet;

use store::api::{HostInfo, HostRole};
use units::{Host, Span, Time, Version};
use wire::{Identity, Load, Role};

use crate::board::{Board, Connected, Left};
use crate::view::{Endpoint, Member, Peer};

/// The word of a process that it is leaving is remembered for so long after its connection has gone.
const LEFT_KEPT: Span = Span::from_ms(3_600_000);

/// Takes a new list; what is known of hosts that are neither listed nor connected is forgotten, but
/// for their word that they are leaving, as the list may omit a host for a while.
pub(crate) fn list(board: &mut Board, hosts: Vec<HostInfo>, now: Time) {
    board.hosts = hosts;
    let (hosts, connected) = (&board.hosts, &board.connected);
    let known =
        |host: &Host| connected.contains_key(host) || hosts.iter().any(|info| info.host == *host);
    board.reported.retain(|host, _| known(host));
    board
        .left
        .retain(|host, left| known(host) || now.since(left.at) < LEFT_KEPT);
}

pub(crate) fn up(board: &mut Board, identity: Identity, now: Time) {
    let host = identity.host.clone();
    let left = board.left.get(&host);
    if left.is_some_and(|left| left.incarnation != identity.incarnation) {
        // Another process runs on the host now, which has not said it.
        board.left.remove(&host);
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

pub(crate) fn down(board: &mut Board, host: &Host) {
    board.connected.remove(host);
}

pub(crate) fn load(board: &mut Board, host: &Host, load: Load, now: Time) {
    let Some(connected) = board.connected.get_mut(host) else {
        return;
    };
    connected.load = load;
    if load.leaving {
        // A process never takes it back.
        let incarnation = connected.identity.incarnation;
        let left = Left {
            incarnation,
            at: now,
        };
        board.left.insert(host.clone(), left);
    }
}

/// The hosts to be connected to: all that are listed but this one.
pub(crate) fn targets(board: &Board) -> Vec<HostInfo> {
    board
        .hosts
        .iter()
        .filter(|info| info.host != board.own)
        .cloned()
        .collect()
}

/// The endpoints that may be given new work: connected, not leaving by their own word or the list's.
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
    let said = board.left.contains_key(&identity.host);
    if said || listed.is_some_and(|info| info.leaving) {
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

/// The other entries that are connected, the longest connected first.
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

/// All other hosts that are listed or connected, by name.
pub(crate) fn members(board: &Board) -> Vec<Member> {
    let listed = board.hosts.iter().map(|info| &info.host);
    let hosts: BTreeSet<&Host> = listed.chain(board.connected.keys()).collect();
    let others = hosts.into_iter().filter(|host| **host != board.own);
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
    let said = board.left.contains_key(host);
    let reported = board.reported.get(host);
    Member {
        host: host.clone(),
        role,
        listed: info.is_some(),
        connected: connected.is_some(),
        leaving: said || info.is_some_and(|info| info.leaving),
        version: reported.map_or(Version(0), |reported| reported.version),
        reported_at: reported.map(|reported| reported.at),
    }
}
