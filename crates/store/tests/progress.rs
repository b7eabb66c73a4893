//! When a call is given up.

use store::Progress;
use units::{Clock, Span};

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
    progress.record(0);
    progress.record(10);
    let last = progress.last().expect("a piece");
    let deadline = progress.deadline(started, LIMIT);
    assert!(deadline > started.after(LIMIT) && deadline > last);
    assert_eq!(progress.bytes(), 10);
    // A call whose response stops arriving is given up some time after its last piece.
    assert!(deadline.since(last) <= Span::from_ms(2_000));
}
