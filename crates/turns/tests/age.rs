//! Ages of store versions.

use turns::VersionAges;
use units::{Span, Time};

fn at(s: u64) -> Time {
    Time(0).after(Span::from_ms(s * 1_000))
}

const MINUTE: Span = Span::from_ms(60_000);

#[test]
fn no_version_has_an_age_right_after_the_start() {
    let mut ages = VersionAges::default();
    assert_eq!(ages.newest_older_than(MINUTE, at(500)), None);
    ages.record(1_000, at(500));
    assert_eq!(ages.newest_older_than(MINUTE, at(559)), None);
    assert_eq!(ages.newest_older_than(MINUTE, at(560)), Some(1_000));
}

#[test]
fn ages_are_never_overestimated() {
    let mut ages = VersionAges::default();
    // One version per second, recorded each second; the version is the second of its write.
    for second in 1..2_000 {
        ages.record(second, at(second));
        let old = ages.newest_older_than(MINUTE, at(second));
        assert!(
            old.is_none_or(|old| old + 60 <= second),
            "{old:?} at {second}"
        );
    }
    let old = ages.newest_older_than(MINUTE, at(2_000));
    assert!(old.is_some_and(|old| old + 70 >= 2_000), "{old:?}");
}

#[test]
fn ages_are_kept_for_ten_minutes() {
    let mut ages = VersionAges::default();
    for second in 1..5_000 {
        ages.record(second, at(second));
    }
    let old = ages.newest_older_than(Span::from_ms(600_000), at(5_000));
    assert!(
        old.is_some_and(|old| (4_300..=4_400).contains(&old)),
        "{old:?}"
    );
}

#[test]
fn write_times_are_never_estimated_too_late() {
    let mut ages = VersionAges::default();
    ages.record(100, at(100));
    // Writes from before the first mark have no known time.
    assert_eq!(ages.earliest_write_time(100), None);
    assert_eq!(ages.earliest_write_time(101), Some(at(100)));
    for second in 101..400 {
        ages.record(second, at(second));
    }
    for version in 101..400 {
        let since = ages
            .earliest_write_time(version)
            .expect("written after the first mark");
        assert!(since <= at(version) && at(version).since(since) <= Span::from_ms(6_000));
    }
    // A version that arrives out of order adds no mark.
    ages.record(150, at(500));
    assert_eq!(ages.earliest_write_time(399), Some(at(395)));
}
