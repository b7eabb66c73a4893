//! When hosts are sent the list of gateways.

use std::collections::HashMap;

use gateway::{Introductions, Peer};
use proptest::prelude::*;
use units::{Incarnation, Span, Time};

/// Time between two looks at the silent hosts.
const STEP: Span = Span::from_ms(250);
const FIRST_MIN: Span = Span::from_ms(500);
const INTERVAL_MIN: Span = Span::from_ms(1_000);
const AT_ONCE_MAX: usize = 16;

fn peer(number: usize) -> Peer {
    Peer {
        host: format!("gateway-{number}").parse().expect("a name"),
        incarnation: Incarnation(number as u64),
        address: "127.0.0.1:80".parse().expect("an address"),
        zone: "a".parse().expect("a zone"),
        processor: 0,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]
    // Hosts that stay silent must all have their turn, however many there are, and none that sends
    // messages or has just been sent the list is sent it.
    #[test]
    fn each_silent_host_has_its_turn(
        hosts in 1..200_usize,
        speaks_at in prop::collection::vec(prop::option::of(0..60_usize), 200),
    ) {
        let mut introductions = Introductions::default();
        let mut now = Time(1_000_000);
        let started = now;
        let mut sent: HashMap<u64, Vec<Time>> = HashMap::new();
        for step in 0..60 {
            let is_silent = |number: &usize| speaks_at[*number].is_none_or(|at| step < at);
            let silent: Vec<Peer> = (0..hosts).filter(is_silent).map(peer).collect();
            let due = introductions.due(silent.clone(), now);
            prop_assert!(due.len() <= AT_ONCE_MAX);
            for peer in due {
                prop_assert!(silent.contains(&peer));
                prop_assert!(now.since(started) >= FIRST_MIN);
                let times = sent.entry(peer.incarnation.0).or_default();
                let last = times.last().copied();
                prop_assert!(last.is_none_or(|last| now.since(last) >= INTERVAL_MIN));
                times.push(now);
            }
            now = now.after(STEP);
        }
        for number in (0..hosts).filter(|number| speaks_at[*number].is_none()) {
            prop_assert!(sent.contains_key(&(number as u64)));
        }
    }
}

#[test]
fn a_host_that_was_silent_before_is_not_sent_the_list_at_once() {
    let mut introductions = Introductions::default();
    let now = Time(1_000_000);
    let later = now.after(FIRST_MIN);
    assert!(introductions.due(vec![peer(0)], now).is_empty());
    assert_eq!(introductions.due(vec![peer(0)], later), [peer(0)]);
    assert!(introductions.due(Vec::new(), later.after(STEP)).is_empty());
    let again = later.after(INTERVAL_MIN);
    assert!(introductions.due(vec![peer(0)], again).is_empty());
}
