//! Timing of a connection's life cycle and of attempts to connect, on a simulated clock.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use units::{Span, Time};
use wire::Backoff;
use wire::backoff::{CEILING_MAX, CEILING_MIN, STABLE_AFTER};
use wire::connection::{Connection, PING_INTERVAL, PONG_TIMEOUT};

/// Maximum time from the last pong until the connection becomes suspect.
const SUSPECT_AFTER_MAX: Span = Span::from_ms(2_000);

#[test]
fn unanswered_ping_makes_suspect_in_time_and_a_late_pong_reopens() {
    let start = Time(1_000_000);
    let open = Connection::new(start).open(start);
    let ping_at = open.ping_at().unwrap();
    assert_eq!(ping_at, start.after(PING_INTERVAL));
    let open = open.ping(ping_at);
    assert_eq!((open.ping_at(), open.check(ping_at).is_ok()), (None, true));
    let deadline = open.deadline().unwrap();
    assert_eq!(deadline, ping_at.after(PONG_TIMEOUT));
    assert!(deadline.since(start) <= SUSPECT_AFTER_MAX);
    let suspect = open.check(deadline).unwrap_err();
    let reopened = suspect.pong(deadline);
    assert_eq!(reopened.ping_at(), Some(deadline.after(PING_INTERVAL)));
    assert_eq!(suspect.close(deadline).closed_at(), deadline);
}

proptest! {
    #[test]
    fn delays_stay_below_a_ceiling_that_doubles(seed: u64, failures in 1_usize..40) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut backoff = Backoff::new();
        for failure in 0..failures {
            let ceiling = CEILING_MIN.0.saturating_mul(1 << failure.min(16)).min(CEILING_MAX.0);
            prop_assert_eq!(backoff.ceiling(), Span(ceiling));
            prop_assert!(backoff.next_delay(Time(0), &mut rng).0 <= ceiling);
        }
        let ceiling_before = backoff.ceiling();
        backoff.record_connected(Time(0));
        backoff.next_delay(Time(STABLE_AFTER.0 - 1), &mut rng);
        prop_assert!(backoff.ceiling() >= ceiling_before);
        backoff.record_connected(Time(0));
        backoff.next_delay(Time(STABLE_AFTER.0), &mut rng);
        prop_assert_eq!(backoff.ceiling(), Span(2 * CEILING_MIN.0));
    }
}
