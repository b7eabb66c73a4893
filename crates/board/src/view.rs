//! The view of the board that the control thread publishes to the traffic thread.

use std::net::SocketAddr;
use std::sync::Arc;

use settings::Document;
use store::api::{HostInfo, HostRole};
use units::{Host, Incarnation, Region, Target, Time, Version, Zone};
use wire::Load;

use crate::replica::Replica;

/// An immutable copy of the state of the board.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// This process's copy of the environment document.
    pub replica: Replica,
    /// The environment document in force.
    pub environment: Option<Arc<Environment>>,
    /// The listed hosts to connect to, which exclude this host.
    pub hosts: Vec<HostInfo>,
    /// The endpoints that may receive new work.
    pub endpoints: Vec<Endpoint>,
    /// The other connected entries, the longest connected first.
    pub entries: Vec<Peer>,
    /// All other listed or connected hosts, ordered by name.
    pub members: Vec<Member>,
    /// Whether this process has an open log.
    pub has_open_log: bool,
    /// Whether this process is leaving.
    pub leaving: bool,
}

/// An environment document in force.
#[derive(Clone, Debug)]
pub struct Environment {
    /// Version of the document.
    pub version: Version,
    /// Text of the document as it was received.
    pub text: String,
    /// The parsed text.
    pub document: Document,
    /// Time when the document came into force in this process.
    pub since: Time,
}

/// State of another host, according to the platform's list and the connections of this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the host.
    pub host: Host,
    /// Kind of the host's process.
    pub role: HostRole,
    /// Whether the platform's list has the host.
    pub listed: bool,
    /// Whether there is an open connection to the host.
    pub connected: bool,
    /// Whether the host is leaving according to its own report or the list.
    pub leaving: bool,
    /// The version of the document that the host last reported as in force; 0 if none.
    pub version: Version,
    /// Time of that report; `None` if the host has not reported a version.
    pub reported_at: Option<Time>,
}

/// An endpoint and its sidecar.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: units::Endpoint,
    /// Host of the sidecar.
    pub host: Host,
    /// Incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// Region of the host.
    pub region: Region,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Targets that the endpoint serves.
    pub serves: Vec<Target>,
    /// Maximum number of calls that the endpoint runs at a time.
    pub slots: u32,
    /// Last load report of the sidecar; the default if it has not sent one.
    pub load: Load,
}

/// Another connected entry.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Host of the entry.
    pub host: Host,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Address of the entry for other balsamhold processes.
    pub address: SocketAddr,
}
