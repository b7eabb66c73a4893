//! The board.

use std::collections::BTreeMap;

use store::api::HostInfo;
use units::{Host, Incarnation, Time, Version};
use wire::{Identity, Load};

use crate::membership;
use crate::replica::Replica;
use crate::view::View;

/// Something that a process has learnt.
#[derive(Clone, Debug)]
pub enum Observation {
    /// The platform's list of hosts.
    Hosts(Vec<HostInfo>),
    /// A connection to this peer was opened.
    Connected(Identity),
    /// The connection to this host was lost.
    Disconnected(Host),
    /// A load report of the process on this host; an entry's tells only whether it is leaving.
    Load(Host, Load),
    /// An environment document, from the store or a peer.
    Document(Version, String),
    /// The store or a peer told its version.
    VersionReceived(Version),
    /// The peer on this host has this version of the document in force.
    PeerVersion(Host, Version),
    /// This process has an open log, or has none.
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

/// The version that a peer last reported, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reported {
    pub(crate) version: Version,
    pub(crate) at: Time,
}

/// A process that said that it is leaving, and when it last did.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Left {
    pub(crate) incarnation: Incarnation,
    pub(crate) at: Time,
}

/// All that the control thread knows.
#[derive(Debug)]
pub struct Board {
    pub(crate) own: Host,
    pub(crate) hosts: Vec<HostInfo>,
    pub(crate) connected: BTreeMap<Host, Connected>,
    pub(crate) reported: BTreeMap<Host, Reported>,
    /// The processes that said that they are leaving, by host.
    pub(crate) left: BTreeMap<Host, Left>,
    pub(crate) replica: Replica,
    pub(crate) has_open_log: bool,
    pub(crate) leaving: bool,
}

impl Board {
    /// An empty board of the process on host `own`.
    pub fn new(own: Host) -> Self {
        Board {
            own,
            hosts: Vec::new(),
            connected: BTreeMap::new(),
            reported: BTreeMap::new(),
            left: BTreeMap::new(),
            replica: Replica::new(),
            has_open_log: false,
            leaving: false,
        }
    }

    /// Notes an observation made at `now`.
    ///
    /// # Errors
    /// If it is a document that is not valid; the board is as before then.
    pub fn observe(&mut self, observation: Observation, now: Time) -> settings::Result<()> {
        match observation {
            Observation::Hosts(hosts) => membership::list(self, hosts, now),
            Observation::Connected(identity) => membership::up(self, identity, now),
            Observation::Disconnected(host) => membership::down(self, &host),
            Observation::Load(host, load) => membership::load(self, &host, load, now),
            Observation::Document(version, text) => {
                self.replica.adopt(version, text, now)?;
            }
            Observation::VersionReceived(version) => self.replica.record_contact(version, now),
            Observation::PeerVersion(host, version) => {
                self.replica.record_contact(version, now);
                let reported = Reported { version, at: now };
                self.reported.insert(host, reported);
            }
            Observation::LogOpen(open) => self.has_open_log = open,
            Observation::Leaving => self.leaving = true,
        }
        Ok(())
    }

    /// The version of the document in force; 0 if there is none.
    pub fn version(&self) -> Version {
        self.replica.version()
    }

    /// The state for traffic.
    pub fn view(&self) -> View {
        View {
            replica: self.replica.clone(),
            environment: self.replica.environment().cloned(),
            hosts: membership::targets(self),
            endpoints: membership::endpoints(self),
            entries: membership::entries(self),
            members: membership::members(self),
            has_open_log: self.has_open_log,
            leaving: self.leaving,
        }
    }
}
