//! What traffic sees of the board.

use std::net::SocketAddr;
use std::sync::Arc;

use settings::Document;
use store::api::{HostInfo, HostRole};
use units::{Host, Incarnation, Region, Target, Time, Version, Zone};
use wire::Load;

use crate::replica::Replica;

/// An immutable state of the board.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// This process's copy of the environment document.
    pub replica: Replica,
    /// The environment document in force.
    pub environment: Option<Arc<Environment>>,
    /// The listed hosts that are to be connected to.
    pub hosts: Vec<HostInfo>,
    /// The endpoints that may be given new work.
    pub endpoints: Vec<Endpoint>,
    /// The other entries that are connected.
    pub entries: Vec<Peer>,
    /// All other hosts that are listed or connected.
    pub members: Vec<Member>,
    /// Whether this process has an open log.
    pub has_open_log: bool,
    /// Whether this process is leaving.
    pub leaving: bool,
}

/// An environment document in force.
#[derive(Clone, Debug)]
pub struct Environment {
    /// Its version.
    pub version: Version,
    /// Its text.
    pub text: String,
    /// Its contents.
    pub document: Document,
    /// When it came into force here.
    pub since: Time,
}

/// Another host, as the list and the own connections show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub host: Host,
    /// What it runs.
    pub role: HostRole,
    /// Whether the list has it.
    pub listed: bool,
    /// Whether there is an open connection to it.
    pub connected: bool,
    /// Whether it is leaving by its own word or the list's.
    pub leaving: bool,
    /// The version that it last reported to be in force; 0 if it has none.
    pub version: Version,
    /// When it reported that; `None` if it never did.
    pub reported_at: Option<Time>,
}

/// An endpoint and its sidecar.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its name.
    pub name: units::Endpoint,
    /// The sidecar's host.
    pub host: Host,
    /// The sidecar's incarnation.
    pub incarnation: Incarnation,
    /// The host's region.
    pub region: Region,
    /// The host's availability zone.
    pub zone: Zone,
    /// What it serves.
    pub serves: Vec<Target>,
    /// Calls that it runs at a time.
    pub slots: u32,
    /// Its last load report.
    pub load: Load,
}

/// Another entry.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its host.
    pub host: Host,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its address for balsamhold's own processes.
    pub address: SocketAddr,
}
