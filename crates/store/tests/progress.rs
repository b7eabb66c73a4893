//! When a call is given up.

use std::sync::Arc;

use memory::{Limiter, Size};
use store::{Error, Progress};
use units::{Bytes, Clock, Span};

const LIMIT: Span = Span::from_ms(200);

#[test]
fn call_without_a_response_is_given_up_at_its_limit() {
    let clock = Clock::new();
    let started = clock.now();
    let progress = Progress::new(clock);
    assert_eq!(progress.deadline(started, LIMIT), started.after(LIMIT));
    assert_eq!((progress.first(), progress.last()), (None, None));
}

#[test]
fn response_that_keeps_arriving_is_not_given_up() {
    let clock = Clock::new();
    let started = clock.now();
    let progress = Progress::new(clock);
    progress.record_head(true);
    progress.record(10);
    let last = progress.last().expect("a piece");
    let deadline = progress.deadline(started, LIMIT);
    assert!(deadline > started.after(LIMIT) && deadline > last);
    assert_eq!(progress.bytes(), 10);
    // A call whose response stops arriving is given up some time after its last piece.
    assert!(deadline.since(last) <= Span::from_ms(2_000));
}

#[test]
fn refusal_is_no_part_of_a_result() {
    let progress = Progress::new(Clock::new());
    progress.record_head(false);
    progress.record(10);
    assert!(progress.last().is_some());
    assert_eq!(progress.last_of_result(), None);
    progress.record_head(true);
    assert_eq!(progress.last_of_result(), progress.last());
}

// Responses of the store were counted nowhere.
#[test]
fn response_without_memory_is_not_received() {
    let limiter = Arc::new(Limiter::new(Bytes(100_000)));
    let _others = limiter.charge_sized(Bytes(90_000), Size::Ordinary);
    let progress = || Progress::new(Clock::new()).with_charge(limiter.charge_anyway(Bytes(0)));
    let ordinary = progress();
    assert!(ordinary.admit(1_000).is_ok());
    ordinary.record(1_000);
    assert!(matches!(ordinary.admit(10_000), Err(Error::NoMemory)));
    drop(ordinary);
    assert_eq!(limiter.charged(), Bytes(90_000));
    // The process cannot go on without some of them.
    let essential = progress().with_priority();
    assert!(essential.admit(10_000).is_ok());
    assert!(limiter.is_over());
}
