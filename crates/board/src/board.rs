//! The board.

use std::collections::BTreeMap;
use std::sync::Arc;

use platform::api::HostInfo;
use settings::Document;
use units::{Host, Time, Version};
use wire::{Identity, Load};

use crate::view::{Environment, View};
use crate::{config, membership};

/// Something that a process has learnt.
#[derive(Clone, Debug)]
pub enum Observation {
    /// The platform's list of hosts.
    Hosts(Vec<HostInfo>),
    /// A connection to this peer was opened.
    Up(Identity),
    /// The connection to this host was lost.
    Down(Host),
    /// A load report of the sidecar on this host.
    Load(Host, Load),
    /// An environment document, from the store or a peer.
    Document(Version, String, Box<Document>),
    /// This process has an open log, or has none.
    Log(bool),
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

/// All that the control thread knows.
#[derive(Debug)]
pub struct Board {
    pub(crate) own: Host,
    pub(crate) hosts: Vec<HostInfo>,
    pub(crate) connected: BTreeMap<Host, Connected>,
    pub(crate) environment: Option<Arc<Environment>>,
    pub(crate) log: bool,
    pub(crate) leaving: bool,
}

impl Board {
    /// An empty board of the process on host `own`.
    pub fn new(own: Host) -> Self {
        Board {
            own,
            hosts: Vec::new(),
            connected: BTreeMap::new(),
            environment: None,
            log: false,
            leaving: false,
        }
    }

    /// Notes an observation made at `now`.
    pub fn observe(&mut self, observation: Observation, now: Time) {
        match observation {
            Observation::Hosts(hosts) => self.hosts = hosts,
            Observation::Up(identity) => membership::up(self, identity, now),
            Observation::Down(host) => membership::down(self, &host),
            Observation::Load(host, load) => membership::load(self, &host, load),
            Observation::Document(version, text, document) => {
                config::adopt(self, version, text, *document);
            }
            Observation::Log(open) => self.log = open,
            Observation::Leaving => self.leaving = true,
        }
    }

    /// The version of the document in force; 0 if there is none.
    pub fn version(&self) -> Version {
        self.environment
            .as_ref()
            .map_or(Version(0), |environment| environment.version)
    }

    /// The state for traffic.
    pub fn view(&self) -> View {
        View {
            environment: self.environment.clone(),
            hosts: membership::targets(self),
            endpoints: membership::endpoints(self),
            entries: membership::entries(self),
            log: self.log,
            leaving: self.leaving,
        }
    }
}
