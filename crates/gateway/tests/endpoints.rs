//! Which missing entries remove an endpoint, and which may return after a store outage.

use gateway::{Endpoint, EndpointChange, Endpoints};
use units::{Span, Time};

fn endpoint(id: &str, start_id: u64) -> Endpoint {
    Endpoint {
        id: id.into(),
        start_id,
        service: "models".into(),
        release: "v1".into(),
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
fn missing_entry_removes_endpoint_while_store_is_available() {
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
fn endpoint_stays_if_its_entry_returns_after_store_outage() {
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
fn endpoint_is_removed_if_its_entry_does_not_return() {
    let mut endpoints = Endpoints::default();
    endpoints.upsert(endpoint("a", 1));
    endpoints.upsert(endpoint("b", 1));
    endpoints.record_store_outage(at(10_000));
    let missing = endpoints.reconcile(&["b".into()], at(10_100));
    assert_eq!(missing, [("a".into(), EndpointChange::Suspect)]);
    // The platform guarantees that entries of running endpoints return within two seconds; the feed
    // delays them by a fraction of a second.
    assert_eq!(endpoints.expire(at(12_500)), ["a"]);
    assert!(!endpoints.contains("a") && endpoints.contains("b"));
}

#[test]
fn restart_with_same_identifier_is_reported_as_restart() {
    let mut endpoints = Endpoints::default();
    endpoints.upsert(endpoint("a", 1));
    assert_eq!(
        endpoints.upsert(endpoint("a", 2)),
        Some(EndpointChange::Restarted)
    );
    assert_eq!(endpoints.upsert(endpoint("a", 2)), None);
}

#[test]
fn draining_is_reported_once() {
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

#[test]
fn endpoint_that_stated_to_stop_stays_draining_for_this_start() {
    let mut endpoints = Endpoints::default();
    endpoints.upsert(endpoint("a", 1));
    assert_eq!(
        endpoints.record_leaving("a", 1),
        Some(EndpointChange::Draining)
    );
    assert_eq!(endpoints.record_leaving("a", 1), None);
    // An entry written earlier still says ready, also after it was missing for some time.
    assert_eq!(endpoints.upsert(endpoint("a", 1)), None);
    endpoints.mark_missing("a", at(10_000));
    endpoints.upsert(endpoint("a", 1));
    assert_eq!(endpoints.record_leaving("a", 1), None);
    // Another start under the identifier does not stop.
    assert_eq!(
        endpoints.upsert(endpoint("a", 2)),
        Some(EndpointChange::Restarted)
    );
    assert_eq!(endpoints.record_leaving("a", 1), None);
    assert_eq!(
        endpoints.record_leaving("a", 2),
        Some(EndpointChange::Draining)
    );
}
