//! Which hosts take part.

use platform::api::HostInfo;
use units::{Host, Time};
use wire::{Identity, Load, Role};

use crate::board::{Board, Connected};
use crate::view::{Endpoint, Peer};

pub(crate) fn up(board: &mut Board, identity: Identity, now: Time) {
    let host = identity.host.clone();
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

pub(crate) fn load(board: &mut Board, host: &Host, load: Load) {
    if let Some(connected) = board.connected.get_mut(host) {
        connected.load = load;
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
    if connected.load.leaving || listed.is_some_and(|info| info.leaving) {
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
