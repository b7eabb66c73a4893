//! Claims with the time as an argument.

use std::collections::BTreeSet;

use sidecar::Claims;
use sidecar::claims::{ASK_INTERVAL, ASK_INTERVAL_LATE, GRACE};
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
    assert!(claims.step(&held, start).is_empty());
    assert_eq!(claims.ask(None, start), [program(2)]);
    let late = start.after(GRACE);
    assert_eq!(claims.step(&held, late), [program(2)]);
    // A second watch of the same entry: what it claimed is asked for again.
    claims.watch(ENTRY);
    assert_eq!(claims.step(&held, late), [program(2)]);
    assert_eq!(claims.ask(None, late), [program(1), program(2)]);
    claims.claim(ENTRY, program(1));
    claims.unwatch(ENTRY);
    claims.step(&held, late);
    assert_eq!(claims.ask(None, late), [program(2)]);
    claims.unwatch(ENTRY);
    claims.step(&held, late);
    assert_eq!(claims.step(&held, late.after(GRACE)).len(), 2);
}

#[test]
fn programs_past_their_grace_are_asked_for_less_often() {
    let mut claims = Claims::new();
    let held = BTreeSet::from([program(1)]);
    let start = Time(0);
    claims.step(&held, start);
    let next = start.after(ASK_INTERVAL);
    assert_eq!(claims.ask(Some(start), next).len(), 1);
    let late = start.after(GRACE);
    assert!(claims.ask(Some(late), late.after(ASK_INTERVAL)).is_empty());
    assert_eq!(
        claims.ask(Some(late), late.after(ASK_INTERVAL_LATE)).len(),
        1
    );
    claims.release(program(1));
    assert!(claims.step(&BTreeSet::new(), late).is_empty());
    assert!(claims.ask(None, late).is_empty());
}
