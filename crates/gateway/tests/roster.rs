//! In which order peers are called.

use gateway::{Peer, Roster};
use units::{Incarnation, Span, Time};

fn peer(number: u64, zone: &str) -> Peer {
    Peer {
        host: format!("gateway-{number}").parse().expect("a name"),
        incarnation: Incarnation(number),
        address: "127.0.0.1:80".parse().expect("an address"),
        zone: zone.parse().expect("a zone"),
        processor: 0,
    }
}

fn roster() -> Roster {
    let mut roster = Roster::default();
    for (number, zone) in [(1, "a"), (2, "a"), (3, "b"), (4, "b")] {
        let peer = peer(number, zone);
        roster.insert(&peer.host.to_string().into(), peer, 1);
    }
    roster
}

fn call_order(roster: &Roster, now: Time) -> Vec<u64> {
    let order = roster.call_order(&peer(1, "a"), 1, now);
    order.iter().map(|peer| peer.incarnation.0).collect()
}

#[test]
fn peers_of_own_zone_come_first_without_own_gateway() {
    let order = call_order(&roster(), Time(0));
    assert_eq!(order.len(), 3);
    assert_eq!(order[0], 2);
    assert!(!order.contains(&1));
}

#[test]
fn failed_peer_is_called_last_during_backoff() {
    let mut roster = roster();
    let start = Time(0).after(Span::from_ms(10_000));
    roster.record_failure(&peer(2, "a").host, start);
    assert_eq!(call_order(&roster, start).last(), Some(&2));
    assert_eq!(call_order(&roster, start.after(Span::from_ms(5_000)))[0], 2);
}

#[test]
fn restart_of_peer_ends_its_backoff() {
    let mut roster = roster();
    let now = Time(0).after(Span::from_ms(10_000));
    roster.record_failure(&peer(2, "a").host, now);
    let key = peer(2, "a").host.to_string().into();
    roster.insert(&key, peer(2, "a"), 2);
    assert_eq!(call_order(&roster, now)[0], 2);
    roster.remove(&key);
    assert_eq!(call_order(&roster, now).len(), 2);
}

#[test]
fn peers_that_hang_do_not_keep_the_others_from_their_turn() {
    let mut roster = Roster::default();
    let zones = ["a", "a", "a", "a", "b", "b", "b", "b"];
    for (number, zone) in (1..).zip(zones) {
        let peer = peer(number, zone);
        roster.insert(&peer.host.to_string().into(), peer, 1);
    }
    // Two peers at a time are called, each for a time that is close to the first backoff.
    let mut now = Time(0).after(Span::from_ms(10_000));
    let mut called = std::collections::HashSet::new();
    for _ in 0..7 {
        for number in call_order(&roster, now).into_iter().take(2) {
            now = now.after(Span::from_ms(2_400));
            called.insert(number);
            roster.record_failure(&peer(number, "a").host, now);
        }
    }
    assert_eq!(called.len(), zones.len() - 1);
}

#[test]
fn success_ends_the_backoff_of_a_peer() {
    let mut roster = roster();
    let now = Time(0).after(Span::from_ms(10_000));
    roster.record_failure(&peer(2, "a").host, now);
    roster.record_success(&peer(2, "a").host);
    assert_eq!(call_order(&roster, now)[0], 2);
}

#[test]
fn peer_whose_row_was_deleted_while_the_history_was_lost_is_removed() {
    let mut roster = roster();
    let listed: Vec<_> = [1, 3, 4]
        .map(|number| peer(number, "a").host.to_string().into())
        .into();
    roster.reconcile(&listed);
    assert_eq!(call_order(&roster, Time(0)).len(), 2);
    assert!(!roster.contains(Incarnation(2)));
}

// A host that could not read the list granted the limits of client accounts as if it were alone.
#[test]
fn only_a_listed_host_that_knows_the_list_may_meter() {
    let own = peer(1, "a").host;
    assert!(!Roster::default().may_meter(&own));
    // Rows may be inserted before all of them are known.
    assert!(!roster().may_meter(&own));
    let mut roster = roster();
    let others: Vec<_> = [2, 3, 4]
        .map(|number| peer(number, "a").host.to_string().into())
        .into();
    roster.reconcile(&others);
    assert!(roster.is_known() && !roster.may_meter(&own));
    roster.insert(&own.to_string().into(), peer(1, "a"), 2);
    assert!(roster.may_meter(&own));
}

// While a part of the store was unavailable to all hosts, each took the others for failed meters and
// granted its own part of the limits, which is less than one request of most accounts.
#[test]
fn a_peer_that_does_not_reach_the_store_still_meters() {
    let mut roster = roster();
    let now = Time(0).after(Span::from_ms(10_000));
    let before = roster.meter_order(0, now);
    for peer in &before[..3] {
        roster.record_failure(&peer.host, now);
    }
    assert_eq!(roster.meter_order(0, now), before);
    roster.record_meter_failure(&before[0].host, now);
    assert_eq!(roster.meter_order(0, now)[3], before[0]);
    let later = now.after(Span::from_ms(3_000));
    assert_eq!(roster.meter_order(0, later), before);
}
