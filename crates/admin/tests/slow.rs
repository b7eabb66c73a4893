//! Tests of which endpoints are reported as slow, and with which reason.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use admin::endpoint_summaries;
use board::{Endpoint, View};
use units::{Incarnation, Span};
use wire::Load;

fn endpoint(name: &str, serves: &str, token_us: u64) -> Endpoint {
    let load = Load {
        token_time: Span(token_us),
        ..Load::default()
    };
    Endpoint {
        name: name.parse().unwrap(),
        host: name.parse().unwrap(),
        incarnation: Incarnation(1),
        region: "north".parse().unwrap(),
        zone: "north-1".parse().unwrap(),
        serves: vec![serves.parse().unwrap()],
        slots: 8,
        load,
    }
}

#[test]
fn endpoint_is_slow_at_twice_the_median_of_endpoints_that_serve_the_same() {
    let view = View {
        endpoints: vec![
            endpoint("idle", "advisor", 0),
            endpoint("fast", "advisor", 20_000),
            endpoint("usual", "advisor", 25_000),
            endpoint("slow", "advisor", 50_000),
            endpoint("other", "planner", 90_000),
            endpoint("service", "stock", 0),
        ],
        ..View::default()
    };
    let summaries = endpoint_summaries(&view);
    let slow = summaries
        .iter()
        .filter(|endpoint| !endpoint["slow"].is_null());
    let slow: Vec<_> = slow
        .map(|endpoint| (&endpoint["name"], &endpoint["slow"]))
        .collect();
    let reason = "50ms a token, median of its kind 25ms";
    assert_eq!(slow, [(&"slow".into(), &reason.into())]);
}
