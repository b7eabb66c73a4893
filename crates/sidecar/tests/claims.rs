//! Claims of entries on programs, with the time as an argument.

use std::collections::BTreeSet;

use sidecar::Claims;
use sidecar::claims::{GRACE_PERIOD, QUERY_INTERVAL, QUERY_INTERVAL_AFTER_GRACE};
use units::{Incarnation, Program, Time};

const ENTRY: Incarnation = Incarnation(1);

fn program(number: u64) -> Program {
    Program {
        origin: ENTRY,
        number,
    }
}

#[test]
fn claim_lasts_as_long_as_its_entry_watches() {
    let mut claims = Claims::new();
    let held = BTreeSet::from([program(1), program(2)]);
    claims.watch(ENTRY);
    claims.claim(ENTRY, program(1));
    claims.claim(Incarnation(2), program(2));
    let start = Time(0);
    assert!(claims.update_held(&held, start).is_empty());
    assert_eq!(claims.programs_to_query(None, start), [program(2)]);
    let after_grace = start.after(GRACE_PERIOD);
    assert_eq!(claims.update_held(&held, after_grace), [program(2)]);
    // A second watch of the same entry: the entry must renew its claims.
    claims.watch(ENTRY);
    assert_eq!(claims.update_held(&held, after_grace), [program(2)]);
    assert_eq!(
        claims.programs_to_query(None, after_grace),
        [program(1), program(2)]
    );
    claims.claim(ENTRY, program(1));
    claims.unwatch(ENTRY);
    claims.update_held(&held, after_grace);
    assert_eq!(claims.programs_to_query(None, after_grace), [program(2)]);
    claims.unwatch(ENTRY);
    claims.update_held(&held, after_grace);
    assert_eq!(
        claims
            .update_held(&held, after_grace.after(GRACE_PERIOD))
            .len(),
        2
    );
}

#[test]
fn programs_past_their_grace_period_are_queried_less_often() {
    let mut claims = Claims::new();
    let held = BTreeSet::from([program(1)]);
    let start = Time(0);
    claims.update_held(&held, start);
    let next = start.after(QUERY_INTERVAL);
    assert_eq!(claims.programs_to_query(Some(start), next).len(), 1);
    let after_grace = start.after(GRACE_PERIOD);
    assert!(
        claims
            .programs_to_query(Some(after_grace), after_grace.after(QUERY_INTERVAL))
            .is_empty()
    );
    assert_eq!(
        claims
            .programs_to_query(
                Some(after_grace),
                after_grace.after(QUERY_INTERVAL_AFTER_GRACE)
            )
            .len(),
        1
    );
    claims.release(program(1));
    assert!(claims.update_held(&BTreeSet::new(), after_grace).is_empty());
    assert!(claims.programs_to_query(None, after_grace).is_empty());
}
