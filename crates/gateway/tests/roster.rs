//! Which peer is asked first.

use gateway::{Peer, Roster};
use units::{Incarnation, Span, Time};

fn peer(number: u64, zone: &str) -> Peer {
    Peer {
        host: format!("gateway-{number}").parse().expect("a name"),
        incarnation: Incarnation(number),
        address: "127.0.0.1:80".parse().expect("an address"),
        zone: zone.parse().expect("a zone"),
    }
}

fn roster() -> Roster {
    let mut roster = Roster::default();
    for (number, zone) in [(1, "a"), (2, "a"), (3, "b"), (4, "b")] {
        let peer = peer(number, zone);
        roster.insert(&peer.host.to_string().into(), peer);
    }
    roster
}

fn first(roster: &Roster, now: Time) -> Vec<u64> {
    let order = roster.call_order(&peer(1, "a"), 1, now);
    order.iter().map(|peer| peer.incarnation.0).collect()
}

#[test]
fn the_own_zone_is_asked_first_and_never_oneself() {
    let order = first(&roster(), Time(0));
    assert_eq!(order.len(), 3);
    assert_eq!(order[0], 2);
    assert!(!order.contains(&1));
}

#[test]
fn a_peer_that_failed_is_asked_last_for_a_while() {
    let mut roster = roster();
    let start = Time(0).after(Span::from_ms(10_000));
    roster.record_failure(&peer(2, "a").host, start);
    assert_eq!(first(&roster, start).last(), Some(&2));
    assert_eq!(first(&roster, start.after(Span::from_ms(5_000)))[0], 2);
}

#[test]
fn a_peer_that_starts_again_is_no_longer_shunned() {
    let mut roster = roster();
    let now = Time(0).after(Span::from_ms(10_000));
    roster.record_failure(&peer(2, "a").host, now);
    let key = peer(2, "a").host.to_string().into();
    roster.insert(&key, peer(2, "a"));
    assert_eq!(first(&roster, now)[0], 2);
    roster.remove(&key);
    assert_eq!(first(&roster, now).len(), 2);
}
