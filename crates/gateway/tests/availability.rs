//! When calls of an unavailable store fail at once, when it is probed, and how long requests wait.

use gateway::{Availability, AvailabilityChange, store_call_deadline, store_wait_deadline};
use store::Partition;
use units::{Span, Time};

fn at(ms: u64) -> Time {
    Time(0).after(Span::from_ms(ms))
}

fn partition(name: &str) -> Partition {
    Partition::new("table", name)
}

#[test]
fn one_lost_response_does_not_make_partition_unavailable() {
    let mut availability = Availability::new(at(0));
    assert_eq!(availability.record_failure(&partition("a"), at(10)), None);
    assert!(availability.admit(&partition("a"), at(10)));
    assert_eq!(
        availability.record_failure(&partition("a"), at(20)),
        Some(AvailabilityChange::Lost)
    );
}

#[test]
fn unavailable_partition_is_probed_regularly() {
    let mut availability = Availability::new(at(0));
    availability.record_failure(&partition("a"), at(1_000));
    availability.record_failure(&partition("a"), at(1_000));
    let admitted = (1_000..3_000).filter(|ms| availability.admit(&partition("a"), at(*ms)));
    let admitted = admitted.count();
    // Often enough to detect soon that it is available again, seldom enough not to delay callers.
    assert!((4..=10).contains(&admitted), "{admitted}");
    let change = availability.record_response(&partition("a"), Some(Span::from_ms(5)), at(3_000));
    assert_eq!(
        change,
        Some(AvailabilityChange::Regained(Span::from_ms(2_000)))
    );
    assert!(availability.admit(&partition("a"), at(3_000)));
}

#[test]
fn partitions_are_unavailable_independently() {
    let mut availability = Availability::new(at(0));
    for ms in 0..20 {
        availability.record_failure(&partition("a"), at(ms));
        availability.record_response(&partition("b"), None, at(ms));
    }
    assert!(availability.is_unavailable(&partition("a")));
    assert!(!availability.is_unavailable(&partition("b")) && !availability.is_all_unavailable());
}

#[test]
fn failures_of_many_partitions_make_all_unavailable() {
    let mut availability = Availability::new(at(0));
    for name in ["a", "b", "c", "d"] {
        availability.record_failure(&partition(name), at(10));
    }
    assert!(availability.is_all_unavailable());
    assert!(availability.is_unavailable(&partition("never asked")));
    assert!(availability.admit(&partition("e"), at(2_000)));
    assert!(!availability.admit(&partition("f"), at(2_001)));
    availability.record_response(&partition("a"), None, at(2_100));
    assert!(!availability.is_unavailable(&partition("b")));
}

#[test]
fn all_partitions_are_called_again_after_store_outage() {
    let mut availability = Availability::new(at(0));
    for ms in 0..10 {
        for name in ["a", "b", "c"] {
            availability.record_failure(&partition(name), at(ms));
        }
    }
    availability.record_response(&partition("a"), None, at(5_000));
    // There was no call to these two partitions since, and none should be refused because of that.
    for name in ["b", "c"] {
        assert!(!availability.is_unavailable(&partition(name)));
        assert!(availability.admit(&partition(name), at(5_000)));
    }
}

#[test]
fn request_is_not_refused_when_probe_is_due() {
    let mut availability = Availability::new(at(0));
    availability.record_failure(&partition("a"), at(1_000));
    availability.record_failure(&partition("a"), at(1_000));
    assert!(!availability.should_refuse(&partition("a"), at(1_000)));
    assert!(availability.admit(&partition("a"), at(1_000)));
    assert!(availability.should_refuse(&partition("a"), at(1_100)));
    assert!(!availability.should_refuse(&partition("a"), at(2_000)));
}

#[test]
fn response_timeout_rises_with_store_latency() {
    let mut availability = Availability::new(at(0));
    let initial = availability.response_timeout(&partition("a"));
    availability.record_failure(&partition("a"), at(10));
    assert!(availability.response_timeout(&partition("a")) > initial);
    for ms in 0..40 {
        availability.record_response(&partition("a"), Some(Span::from_ms(250)), at(ms));
    }
    // 60 times the usual latency of the store, which is 4 ms.
    assert!(availability.response_timeout(&partition("a")) >= Span::from_ms(240));
}

#[test]
fn store_wait_leaves_time_for_retry() {
    for timeout_ms in [0, 400, 1_200, 4_000, 5_000, 30_000] {
        let wait = store_wait_deadline(at(1_000), at(1_000 + timeout_ms)).since(at(1_000));
        // The caller honours a retry delay of a third of its remaining time, and then has to be
        // served.
        assert!(wait.as_ms() * 3 <= timeout_ms, "{timeout_ms}: {wait:?}");
        // Callers disconnect from a stream without data for two seconds.
        assert!(wait < Span::from_ms(2_000), "{timeout_ms}: {wait:?}");
    }
    assert_eq!(store_wait_deadline(at(2_000), at(1_000)), at(2_000));
}

#[test]
fn store_call_leaves_time_for_retry() {
    for timeout_ms in [0, 400, 1_200, 4_000, 5_000, 30_000] {
        let (started, deadline) = (at(1_000), at(1_000 + timeout_ms));
        let wait = store_call_deadline(started, deadline).since(started);
        assert!(wait.as_ms() * 2 <= timeout_ms, "{timeout_ms}: {wait:?}");
        assert!(wait < Span::from_ms(2_000), "{timeout_ms}: {wait:?}");
        // A call in flight is not given up before a request that waits for an unavailable store.
        assert!(store_call_deadline(started, deadline) >= store_wait_deadline(started, deadline));
    }
}

#[test]
fn response_timeout_adapts_after_few_failures() {
    // A degraded store takes 60 to 80 times its usual latency of 4 ms.
    let slow = Span::from_ms(400);
    let mut availability = Availability::new(at(0));
    let mut now = at(0);
    let mut timed_out = Vec::new();
    // Calls to partitions that were not called before, one after the other.
    for name in 0..40 {
        let partition = partition(&name.to_string());
        let timeout = availability.response_timeout(&partition);
        now = now.after(timeout.min(slow));
        if timeout < slow {
            availability.record_failure(&partition, now);
            timed_out.push(name);
        } else {
            availability.record_response(&partition, Some(slow), now);
        }
    }
    assert!(timed_out.iter().all(|name| *name < 3), "{timed_out:?}");
}
