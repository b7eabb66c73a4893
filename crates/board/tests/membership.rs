//! Routing follows the process's connections and reports of leaving; the host list is only a hint.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::{BTreeMap, BTreeSet};

use board::{Board, Observation};
use proptest::prelude::*;
use store::api::{HostInfo, HostRole};
use units::{Host, Incarnation, Time};
use wire::{Identity, Load, Role};

const HOSTS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    /// A list arrives with some of the hosts, some of them leaving; lists may lag, omit and flap.
    List(Vec<Option<bool>>),
    /// A connection to a host is opened.
    Up(usize),
    /// The connection to a host is lost.
    Down(usize),
    /// The process of a host reports its load and whether the process is leaving.
    Load(usize, bool),
    /// A new process replaces the one on the host, whose connection is lost.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    let listed = prop::collection::vec(prop::option::of(any::<bool>()), HOSTS);
    prop_oneof![
        listed.prop_map(Step::List),
        host.clone().prop_map(Step::Up),
        host.clone().prop_map(Step::Down),
        (host.clone(), any::<bool>()).prop_map(|(host, leaving)| Step::Load(host, leaving)),
        host.prop_map(Step::Restart),
    ]
}

fn name(host: usize) -> Host {
    format!("sidecar-{host}").parse().unwrap()
}

fn info(host: usize, leaving: bool) -> HostInfo {
    HostInfo {
        host: name(host),
        role: HostRole::Sidecar,
        address: "127.0.0.1:1".parse().unwrap(),
        region: "north".parse().unwrap(),
        zone: "north-1".parse().unwrap(),
        leaving,
    }
}

fn identity(host: usize, incarnation: u64) -> Identity {
    let HostInfo {
        address,
        region,
        zone,
        ..
    } = info(host, false);
    Identity {
        host: name(host),
        incarnation: Incarnation(incarnation),
        address,
        region,
        zone,
        role: Role::Sidecar {
            endpoint: "engine".parse().unwrap(),
            serves: vec!["advisor".parse().unwrap()],
            slots: 1,
        },
    }
}

proptest! {
    #[test]
    fn usable_endpoints_are_connected_and_not_leaving(
        steps in prop::collection::vec(step(), 0..80),
    ) {
        let mut board = Board::new("entry".parse().unwrap());
        let mut list: Vec<Option<bool>> = vec![None; HOSTS];
        let mut running = [1_u64; HOSTS];
        let mut connected: BTreeMap<usize, u64> = BTreeMap::new();
        let mut reported_leaving: BTreeSet<(usize, u64)> = BTreeSet::new();
        for step in steps {
            let observation = match step {
                Step::List(listed) => {
                    let infos = listed.iter().enumerate();
                    let infos = infos.filter_map(|(host, leaving)| Some(info(host, (*leaving)?)));
                    let observation = Observation::Hosts(infos.collect());
                    list = listed;
                    observation
                }
                Step::Up(host) => {
                    connected.insert(host, running[host]);
                    Observation::Connected(identity(host, running[host]))
                }
                Step::Restart(host) => {
                    running[host] += 1;
                    connected.remove(&host);
                    Observation::Disconnected(name(host))
                }
                Step::Down(host) => {
                    connected.remove(&host);
                    Observation::Disconnected(name(host))
                }
                Step::Load(host, leaving) => {
                    if let Some(incarnation) = connected.get(&host)
                        && leaving
                    {
                        reported_leaving.insert((host, *incarnation));
                    }
                    let load = Load { leaving, ..Load::default() };
                    Observation::Load(name(host), load)
                }
            };
            board.observe(observation, Time(1)).unwrap();
            let usable: BTreeSet<Host> =
                board.view().endpoints.into_iter().map(|endpoint| endpoint.host).collect();
            let expected = connected
                .iter()
                .filter(|(host, incarnation)| !reported_leaving.contains(&(**host, **incarnation)))
                .filter(|(host, _)| list[**host] != Some(true))
                .map(|(host, _)| name(*host));
            prop_assert_eq!(usable, expected.collect());
        }
    }
}
