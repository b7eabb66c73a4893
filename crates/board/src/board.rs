//! The board, which combines all observations of a process.

use std::collections::BTreeMap;

use store::api::HostInfo;
use units::{Host, Incarnation, Time, Version};
use wire::{Identity, Load};

use crate::membership;
use crate::replica::Replica;
use crate::view::View;

/// A change that a process has observed.
#[derive(Clone, Debug)]
pub enum Observation {
    /// The platform's list of hosts was read.
    Hosts(Vec<HostInfo>),
    /// A connection to this peer was opened.
    Connected(Identity),
    /// The connection to this host was lost.
    Disconnected(Host),
    /// The process on this host reported its load; an entry only reports whether it is leaving.
    Load(Host, Load),
    /// An environment document was received from the store or a peer.
    Document(Version, String),
    /// The store or a peer reported the version of its environment document.
    VersionReceived(Version),
    /// The peer on this host reported that it has this version of the document in force.
    PeerVersion(Host, Version),
    /// This process opened its log (true) or no longer has an open one (false).
    LogOpen(bool),
    /// This process is leaving.
    Leaving,
}

/// A peer with an open connection.
#[derive(Clone, Debug)]
pub(crate) struct Connected {
    pub(crate) identity: Identity,
    pub(crate) load: Load,
    pub(crate) since: Time,
}

/// The version that a peer last reported, and the time of the report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VersionReport {
    pub(crate) version: Version,
    pub(crate) at: Time,
}

/// A process that reported that it is leaving, and the time of its last report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Departure {
    pub(crate) incarnation: Incarnation,
    pub(crate) at: Time,
}

/// The state of the control thread.
#[derive(Debug)]
pub struct Board {
    pub(crate) own_host: Host,
    pub(crate) hosts: Vec<HostInfo>,
    pub(crate) connected: BTreeMap<Host, Connected>,
    pub(crate) version_reports: BTreeMap<Host, VersionReport>,
    /// Processes that reported that they are leaving, by host.
    pub(crate) departures: BTreeMap<Host, Departure>,
    pub(crate) replica: Replica,
    pub(crate) has_open_log: bool,
    pub(crate) leaving: bool,
}

impl Board {
    /// Creates an empty board of the process on `own_host`.
    pub fn new(own_host: Host) -> Self {
        Board {
            own_host,
            hosts: Vec::new(),
            connected: BTreeMap::new(),
            version_reports: BTreeMap::new(),
            departures: BTreeMap::new(),
            replica: Replica::new(),
            has_open_log: false,
            leaving: false,
        }
    }

    /// Records an observation made at `now`.
    ///
    /// # Errors
    /// If the observation is an invalid document; the board is then unchanged.
    pub fn observe(&mut self, observation: Observation, now: Time) -> settings::Result<()> {
        match observation {
            Observation::Hosts(hosts) => membership::record_list(self, hosts, now),
            Observation::Connected(identity) => membership::record_connection(self, identity, now),
            Observation::Disconnected(host) => membership::record_disconnection(self, &host),
            Observation::Load(host, load) => membership::record_load(self, &host, load, now),
            Observation::Document(version, text) => {
                self.replica.adopt(version, text, now)?;
            }
            Observation::VersionReceived(version) => self.replica.record_contact(version, now),
            Observation::PeerVersion(host, version) => {
                self.replica.record_contact(version, now);
                let report = VersionReport { version, at: now };
                self.version_reports.insert(host, report);
            }
            Observation::LogOpen(is_open) => self.has_open_log = is_open,
            Observation::Leaving => self.leaving = true,
        }
        Ok(())
    }

    /// Returns the version of the document in force; 0 if there is none.
    pub fn version(&self) -> Version {
        self.replica.version()
    }

    /// Returns an immutable copy of the state for the traffic thread.
    pub fn view(&self) -> View {
        View {
            replica: self.replica.clone(),
            environment: self.replica.environment().cloned(),
            hosts: membership::hosts_to_connect(self),
            endpoints: membership::endpoints(self),
            entries: membership::entries(self),
            members: membership::members(self),
            has_open_log: self.has_open_log,
            leaving: self.leaving,
        }
    }
}
