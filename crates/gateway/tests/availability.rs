//! When calls of the store are refused at once, and when it is asked again.

use gateway::{Availability, AvailabilityChange, store_call_deadline, store_wait_deadline};
use store::Partition;
use units::{Span, Time};

fn at(ms: u64) -> Time {
    Time(0).after(Span::from_ms(ms))
}

fn place(part: &str) -> Partition {
    Partition::new("table", part)
}

#[test]
fn one_lost_answer_does_not_make_a_part_away() {
    let mut reach = Availability::new(at(0));
    assert_eq!(reach.record_failure(&place("a"), at(10)), None);
    assert!(reach.admit(&place("a"), at(10)));
    assert_eq!(
        reach.record_failure(&place("a"), at(20)),
        Some(AvailabilityChange::Lost)
    );
}

#[test]
fn a_part_that_is_away_is_asked_now_and_then() {
    let mut reach = Availability::new(at(0));
    reach.record_failure(&place("a"), at(1_000));
    reach.record_failure(&place("a"), at(1_000));
    let asked = (1_000..3_000).filter(|ms| reach.admit(&place("a"), at(*ms)));
    let asked = asked.count();
    // Often enough to see its return soon, seldom enough not to keep callers waiting.
    assert!((4..=10).contains(&asked), "{asked}");
    let back = reach.record_response(&place("a"), Some(Span::from_ms(5)), at(3_000));
    assert_eq!(
        back,
        Some(AvailabilityChange::Regained(Span::from_ms(2_000)))
    );
    assert!(reach.admit(&place("a"), at(3_000)));
}

#[test]
fn parts_are_away_by_themselves() {
    let mut reach = Availability::new(at(0));
    for ms in 0..20 {
        reach.record_failure(&place("a"), at(ms));
        reach.record_response(&place("b"), None, at(ms));
    }
    assert!(reach.is_unavailable(&place("a")));
    assert!(!reach.is_unavailable(&place("b")) && !reach.is_all_unavailable());
}

#[test]
fn failures_of_many_parts_make_all_of_them_away() {
    let mut reach = Availability::new(at(0));
    for part in ["a", "b", "c", "d"] {
        reach.record_failure(&place(part), at(10));
    }
    assert!(reach.is_all_unavailable());
    assert!(reach.is_unavailable(&place("never asked")));
    assert!(reach.admit(&place("e"), at(2_000)));
    assert!(!reach.admit(&place("f"), at(2_001)));
    reach.record_response(&place("a"), None, at(2_100));
    assert!(!reach.is_unavailable(&place("b")));
}

#[test]
fn all_parts_are_asked_again_once_the_store_is_back() {
    let mut reach = Availability::new(at(0));
    for ms in 0..10 {
        for part in ["a", "b", "c"] {
            reach.record_failure(&place(part), at(ms));
        }
    }
    reach.record_response(&place("a"), None, at(5_000));
    // Nobody has asked for these two since, and nobody should be refused because of that.
    for part in ["b", "c"] {
        assert!(!reach.is_unavailable(&place(part)));
        assert!(reach.admit(&place(part), at(5_000)));
    }
}

#[test]
fn whoever_comes_when_a_part_is_to_be_asked_is_not_refused() {
    let mut reach = Availability::new(at(0));
    reach.record_failure(&place("a"), at(1_000));
    reach.record_failure(&place("a"), at(1_000));
    assert!(!reach.should_refuse(&place("a"), at(1_000)));
    assert!(reach.admit(&place("a"), at(1_000)));
    assert!(reach.should_refuse(&place("a"), at(1_100)));
    assert!(!reach.should_refuse(&place("a"), at(2_000)));
}

#[test]
fn a_slow_store_is_waited_for() {
    let mut reach = Availability::new(at(0));
    let calm = reach.response_timeout(&place("a"));
    reach.record_failure(&place("a"), at(10));
    assert!(reach.response_timeout(&place("a")) > calm);
    for ms in 0..40 {
        reach.record_response(&place("a"), Some(Span::from_ms(250)), at(ms));
    }
    // 60 times the store's usual 4 ms.
    assert!(reach.response_timeout(&place("a")) >= Span::from_ms(240));
}

#[test]
fn a_wait_for_the_store_leaves_time_to_come_back() {
    for patience_ms in [0, 400, 1_200, 4_000, 5_000, 30_000] {
        let waited = store_wait_deadline(at(1_000), at(1_000 + patience_ms)).since(at(1_000));
        // The caller honours a delay of a third of what is left, and then has to be served.
        assert!(
            waited.as_ms() * 3 <= patience_ms,
            "{patience_ms}: {waited:?}"
        );
        // Callers leave a stream that is silent for two seconds.
        assert!(waited < Span::from_ms(2_000), "{patience_ms}: {waited:?}");
    }
    assert_eq!(store_wait_deadline(at(2_000), at(1_000)), at(2_000));
}

#[test]
fn a_slow_call_of_the_store_leaves_time_to_come_back() {
    for patience_ms in [0, 400, 1_200, 4_000, 5_000, 30_000] {
        let (started, deadline) = (at(1_000), at(1_000 + patience_ms));
        let held = store_call_deadline(started, deadline).since(started);
        assert!(held.as_ms() * 2 <= patience_ms, "{patience_ms}: {held:?}");
        assert!(held < Span::from_ms(2_000), "{patience_ms}: {held:?}");
        // A call under way is not given up before a caller that waits for the store's return.
        assert!(store_call_deadline(started, deadline) >= store_wait_deadline(started, deadline));
    }
}

#[test]
fn a_slow_store_is_soon_waited_for() {
    // A store in trouble takes 60 to 80 times as long; 4 ms are usual.
    let slow = Span::from_ms(400);
    let mut reach = Availability::new(at(0));
    let mut now = at(0);
    let mut missed = Vec::new();
    // Calls to parts that were not asked before, one after the other.
    for part in 0..40 {
        let place = place(&part.to_string());
        let wait = reach.response_timeout(&place);
        now = now.after(wait.min(slow));
        if wait < slow {
            reach.record_failure(&place, now);
            missed.push(part);
        } else {
            reach.record_response(&place, Some(slow), now);
        }
    }
    assert!(missed.iter().all(|part| *part < 3), "{missed:?}");
}
