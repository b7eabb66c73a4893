//! Tests of the names of metrics and of the `traceparent` form of spans.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use telemetry::{Metrics, Trace};
use units::Rate;

#[test]
fn metric_names_have_area_subject_and_unit() {
    let metrics = Metrics::new("entry").unwrap();
    metrics.count_request("answered");
    metrics.count("connect-failed");
    metrics.count("connect-failed");
    metrics.count("no metric's name");
    metrics.set_gauge("programs-count", 3);
    metrics.record_seconds("append", 0.004);
    let text = String::from_utf8(metrics.render()).unwrap();
    for line in [
        "balsamhold_entry_requests_total{code=\"answered\"} 1",
        "balsamhold_entry_connect_failed_total 2",
        "balsamhold_entry_programs_count 3",
        "balsamhold_entry_append_seconds_bucket{le=\"0.004\"} 1",
        "balsamhold_entry_append_seconds_count 1",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} in\n{text}");
    }
}

#[test]
fn child_spans_keep_the_trace_identifier_and_the_sampled_flag() {
    let parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let child = Trace::child_of(parent).to_string();
    assert_eq!((&child[..36], &child[52..]), (&parent[..36], "-01"));
    assert_ne!(child, parent);
    assert!(
        Trace::child_of(&parent.replace("-01", "-00"))
            .to_string()
            .ends_with("-00")
    );
    for malformed in [
        "",
        "00-xyz",
        "00-00000000000000000000000000000000-0000000000000000-01",
    ] {
        assert!(Trace::child_of(malformed).to_string().ends_with("-01"));
    }
    assert!(
        Trace::new()
            .with_sampled_share(Rate(0.0))
            .to_string()
            .ends_with("-00")
    );
    assert!(
        Trace::new()
            .with_sampled_share(Rate(1.0))
            .to_string()
            .ends_with("-01")
    );
}
