//! From where hosts get the environment.

use std::collections::HashMap;

use gateway::{Peer, Source, Sources};
use proptest::prelude::*;
use units::{Incarnation, Region, Span, Time, Zone};

const FRESH: Span = Span::from_ms(100);
const STALE: Span = Span::from_ms(5_000);
/// Longest backoff after the failures of the tests.
const LONG: Span = Span::from_ms(60_000);

fn peer(number: u64, zone: &str) -> Peer {
    Peer {
        host: format!("gateway-{number}").parse().expect("a name"),
        incarnation: Incarnation(number),
        address: "127.0.0.1:80".parse().expect("an address"),
        zone: zone.parse().expect("a zone"),
        processor: 0,
    }
}

/// Hosts in two zones of one region and in one zone of another.
fn peers(count: u64) -> Vec<Peer> {
    let zones = ["a", "b", "far"];
    let number = |number| peer(number, zones[(number % 3) as usize]);
    (0..count).map(number).collect()
}

fn regions() -> HashMap<Zone, Region> {
    let pairs = [("a", "north"), ("b", "north"), ("far", "south")];
    let parse = |(zone, region): (&str, &str)| {
        let zone = zone.parse().expect("a zone");
        (zone, region.parse().expect("a region"))
    };
    pairs.into_iter().map(parse).collect()
}

fn choose(sources: &Sources, own: &Peer, peers: &[Peer], age: Span) -> Source {
    sources.choose(own, peers, &regions(), age, Time(0))
}

/// Returns the region of a peer of [`peers`].
fn region(peer: &Peer) -> &'static str {
    if peer.zone.as_str() == "far" {
        "south"
    } else {
        "north"
    }
}

/// Follows the choices from a host until one reads from the store; returns that host.
fn reader(own: &Peer, peers: &[Peer]) -> Peer {
    let mut host = own.clone();
    for _ in 0..=peers.len() {
        match choose(&Sources::default(), &host, peers, FRESH) {
            Source::Store => return host,
            Source::Peer(next) => host = next,
        }
    }
    unreachable!("hosts follow each other in a circle")
}

proptest! {
    #[test]
    fn one_host_of_a_region_reads_from_the_store(count in 1_u64..40) {
        let peers = peers(count);
        let mut readers = HashMap::new();
        for own in &peers {
            let reader = reader(own, &peers);
            prop_assert_eq!(region(&reader), region(own));
            let first = readers.entry(region(own)).or_insert(reader.clone());
            prop_assert_eq!(&*first, &reader);
        }
    }

    #[test]
    fn hosts_get_by_without_those_that_failed(count in 2_u64..40, failed in 0_u64..40) {
        let peers = peers(count);
        for own in &peers {
            let mut sources = Sources::default();
            for peer in peers.iter().filter(|peer| peer.incarnation.0 < failed) {
                sources.record_failure(peer, Time(0));
            }
            if let Source::Peer(peer) = choose(&sources, own, &peers, FRESH) {
                prop_assert!(peer.incarnation.0 >= failed);
                prop_assert_ne!(&peer.host, &own.host);
            }
            // Once the backoff is over, the choice is that of the beginning.
            let later = Time(0).after(LONG);
            let choice = sources.choose(own, &peers, &regions(), FRESH, later);
            prop_assert_eq!(choice, choose(&Sources::default(), own, &peers, FRESH));
        }
    }
}

#[test]
fn host_with_an_old_copy_calls_the_store() {
    let peers = peers(12);
    for own in &peers {
        assert_eq!(
            choose(&Sources::default(), own, &peers, STALE),
            Source::Store
        );
        assert_eq!(
            choose(&Sources::default(), own, &peers, Span(u64::MAX)),
            Source::Store
        );
    }
}

#[test]
fn hosts_look_for_another_source_one_after_the_other() {
    let peers = peers(18);
    let north = peers.iter().filter(|peer| region(peer) == "north");
    let mut ages: Vec<Span> = north
        .map(|own| Sources::age_max(own, &peers, &regions()))
        .collect();
    ages.sort_unstable();
    ages.dedup();
    assert!(ages.len() >= 6, "{ages:?}");
    let steps = ages.windows(2).map(|ages| ages[1].0 - ages[0].0);
    assert!(steps.clone().all(|step| step >= 100_000), "{ages:?}");
}

#[test]
fn host_cut_off_from_the_store_follows_any_other() {
    let peers = peers(6);
    for own in &peers {
        let mut sources = Sources::default();
        sources.record_store(false, Time(0));
        let mut chosen = Vec::new();
        while let Source::Peer(peer) = choose(&sources, own, &peers, STALE) {
            sources.record_failure(&peer, Time(0));
            chosen.push(peer);
        }
        assert_eq!(chosen.len(), peers.len() - 1);
        assert!(!chosen.contains(own));
        // Those of the region that come last probably follow this host.
        let is_regular = |peer: &Peer| Sources::is_regular(own, peer, &peers, &regions());
        let first_other = chosen.iter().position(|peer| !is_regular(peer));
        if let Some(first_other) = first_other {
            assert_ne!(region(&chosen[first_other]), region(own));
            assert!(!chosen[first_other..].iter().any(is_regular));
        }
        sources.record_store(true, Time(0));
        assert_eq!(choose(&sources, own, &peers, STALE), Source::Store);
    }
}

#[test]
fn restarted_host_is_followed_again_at_once() {
    let peers = peers(12);
    let own = peers
        .iter()
        .find(|own| choose(&Sources::default(), own, &peers, FRESH) != Source::Store);
    let own = own.expect("a host that follows another");
    let Source::Peer(source) = choose(&Sources::default(), own, &peers, FRESH) else {
        unreachable!();
    };
    let mut sources = Sources::default();
    sources.record_failure(&source, Time(0));
    assert_ne!(
        choose(&sources, own, &peers, FRESH),
        Source::Peer(source.clone())
    );
    let mut restarted = source.clone();
    restarted.incarnation = Incarnation(1_000);
    let peers: Vec<Peer> = peers
        .iter()
        .map(|peer| {
            if *peer == source {
                restarted.clone()
            } else {
                peer.clone()
            }
        })
        .collect();
    assert_eq!(
        choose(&sources, own, &peers, FRESH),
        Source::Peer(restarted)
    );
}

#[test]
fn repeated_failures_are_retried_less_often() {
    let peers = peers(2);
    let mut sources = Sources::default();
    let mut now = Time(0);
    let mut gaps = Vec::new();
    let own = peer(9, "a");
    let mut peers = peers;
    peers.truncate(1);
    peers.push(own.clone());
    sources.record_store(false, now);
    for _ in 0..6 {
        sources.record_failure(&peers[0], now);
        let failed_at = now;
        loop {
            sources.record_store(false, now);
            if sources.choose(&own, &peers, &regions(), STALE, now) != Source::Store {
                break;
            }
            now = now.after(Span::from_ms(100));
        }
        gaps.push(now.since(failed_at));
    }
    assert!(gaps.is_sorted(), "{gaps:?}");
    assert!(gaps[0] >= Span::from_ms(1_000) && gaps[5] > gaps[0]);
    assert!(gaps[5] <= LONG);
}
