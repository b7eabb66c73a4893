//! How long the reservation of another attempt refuses requests.

use policy::{Hold, Reservations};
use proptest::prelude::*;
use units::{Fingerprint, Span, Time};

/// Attempt, decision and release of an attempt of one second.
const LIMIT_MS: u64 = 1_000 + 8_000 + 1_000;

fn request(number: u64) -> Fingerprint {
    Fingerprint::new(&[&number.to_le_bytes()])
}

fn at(ms: u64) -> Time {
    Time(0).after(Span::from_ms(ms))
}

#[test]
fn reservation_is_over_once_its_attempt_must_have_been_decided() {
    let mut reservations = Reservations::default();
    reservations.record(request(1), 7, Span::from_ms(1_000), at(50));
    // The row is received again, for example in a conflict.
    reservations.record(request(1), 7, Span::from_ms(1_000), at(9_000));
    let hold = |ms| reservations.hold(request(1), at(ms));
    assert_eq!(hold(100), Some(Hold::Active(Span::from_ms(700))));
    let late = hold(50 + LIMIT_MS - 1);
    assert_eq!(late, Some(Hold::Active(Span::from_ms(1))));
    assert_eq!(hold(50 + LIMIT_MS), Some(Hold::Over));
}

#[test]
fn reservation_of_a_later_attempt_begins_anew() {
    let mut reservations = Reservations::default();
    reservations.record(request(1), 7, Span::from_ms(1_000), at(0));
    reservations.record(request(1), 9, Span::from_ms(1_000), at(9_000));
    let hold = reservations.hold(request(1), at(LIMIT_MS + 100));
    assert!(matches!(hold, Some(Hold::Active(_))), "{hold:?}");
    reservations.remove(request(1));
    assert_eq!(reservations.hold(request(1), at(9_100)), None);
}

proptest! {
    /// Whatever is received, no reservation refuses requests for longer than its attempt allows, and
    /// a caller is never asked to wait for longer than that.
    #[test]
    fn no_reservation_lasts_longer_than_its_attempt_allows(
        rows in prop::collection::vec((0_u64..2_000, 0_u64..5_000, 0_u64..60_000), 1..40),
    ) {
        let mut reservations = Reservations::default();
        let mut rows = rows;
        rows.sort_by_key(|(_, _, received)| *received);
        for (version, (number, attempt, received)) in rows.iter().enumerate() {
            let attempt = Span::from_ms(*attempt);
            reservations.record(request(*number), version as u64 + 1, attempt, at(*received));
        }
        for (number, _, received) in &rows {
            let now = at(received + 5_000 + 9_000 + 60_000);
            prop_assert!(matches!(reservations.hold(request(*number), now), None | Some(Hold::Over)));
            if let Some(Hold::Active(wait)) = reservations.hold(request(*number), at(60_000)) {
                prop_assert!(wait <= Span::from_ms(5_000 + 9_000));
            }
        }
    }
}
