//! The list of endpoints: what is gone, and what only seems to be.

use gateway::{Endpoint, EndpointChange, Endpoints};
use units::{Span, Time};

fn endpoint(id: &str, start_id: u64) -> Endpoint {
    Endpoint {
        id: id.into(),
        start_id,
        service: "models".into(),
        address: "127.0.0.1:80".parse().expect("an address"),
        zone: "z0".parse().expect("a zone"),
        slots: 4,
        draining: false,
    }
}

fn at(ms: u64) -> Time {
    Time(0).after(Span::from_ms(ms))
}

#[test]
fn a_missing_entry_is_gone_while_the_store_was_there() {
    let mut endpoints = Endpoints::default();
    assert_eq!(
        endpoints.upsert(endpoint("a", 1)),
        Some(EndpointChange::Added)
    );
    assert_eq!(
        endpoints.mark_missing("a", at(10_000)),
        Some(EndpointChange::Removed)
    );
    assert!(!endpoints.contains("a"));
}

#[test]
fn an_entry_that_lapsed_with_the_store_may_come_back() {
    let mut endpoints = Endpoints::default();
    endpoints.upsert(endpoint("a", 1));
    endpoints.record_store_outage(at(10_000));
    assert_eq!(
        endpoints.mark_missing("a", at(10_100)),
        Some(EndpointChange::Suspect)
    );
    assert!(endpoints.expire(at(12_000)).is_empty());
    assert_eq!(endpoints.upsert(endpoint("a", 1)), None);
    assert!(endpoints.expire(at(20_000)).is_empty());
    assert!(endpoints.contains("a"));
}

#[test]
fn an_entry_that_does_not_come_back_is_gone() {
    let mut endpoints = Endpoints::default();
    endpoints.upsert(endpoint("a", 1));
    endpoints.upsert(endpoint("b", 1));
    endpoints.record_store_outage(at(10_000));
    let missing = endpoints.reconcile(&["b".into()], at(10_100));
    assert_eq!(missing, [("a".into(), EndpointChange::Suspect)]);
    // The platform promises that entries of the living are back within two seconds; news of them
    // takes a part of a second.
    assert_eq!(endpoints.expire(at(12_500)), ["a"]);
    assert!(!endpoints.contains("a") && endpoints.contains("b"));
}

#[test]
fn a_start_under_the_same_identifier_is_another_endpoint() {
    let mut endpoints = Endpoints::default();
    endpoints.upsert(endpoint("a", 1));
    assert_eq!(
        endpoints.upsert(endpoint("a", 2)),
        Some(EndpointChange::Restarted)
    );
    assert_eq!(endpoints.upsert(endpoint("a", 2)), None);
}

#[test]
fn draining_is_told_once() {
    let mut endpoints = Endpoints::default();
    endpoints.upsert(endpoint("a", 1));
    let draining = Endpoint {
        draining: true,
        ..endpoint("a", 1)
    };
    assert_eq!(
        endpoints.upsert(draining.clone()),
        Some(EndpointChange::Draining)
    );
    assert_eq!(endpoints.upsert(draining), None);
}
