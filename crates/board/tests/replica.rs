//! The version of a copy never decreases, and copies that exchange versions agree.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use board::{Replica, Report};
use proptest::prelude::*;
use units::{Span, Time, Version};

const COPIES: usize = 4;

#[derive(Clone, Debug)]
enum Step {
    /// A process reads this version from the store, which may be outdated.
    Read(usize, u64),
    /// A process receives a text that is not a document.
    ReceiveInvalid(usize, u64),
    /// One process reports its version to another; the outdated one adopts the newer document.
    Exchange(usize, usize),
    /// A process restarts without a document.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let copy = 0..COPIES;
    prop_oneof![
        (copy.clone(), 1..20_u64).prop_map(|(copy, version)| Step::Read(copy, version)),
        (copy.clone(), 1..20_u64).prop_map(|(copy, version)| Step::ReceiveInvalid(copy, version)),
        (copy.clone(), copy.clone()).prop_map(|(from, to)| Step::Exchange(from, to)),
        copy.prop_map(Step::Restart),
    ]
}

fn text(version: u64) -> String {
    format!("[environment]\nname = trial\n[class c]\nprecedence = {version}\n")
}

fn exchange(copies: &mut [Replica], from: usize, to: usize) {
    let reported = copies[from].version();
    match copies[to].report(reported) {
        Report::Document(newer) => {
            let adopted = copies[from].adopt(newer.version, newer.text.clone(), Time(1));
            assert!(adopted.unwrap());
        }
        Report::InForce(theirs) => {
            if let Report::Document(newer) = copies[from].report(theirs) {
                let adopted = copies[to].adopt(newer.version, newer.text.clone(), Time(1));
                assert!(adopted.unwrap());
            }
        }
    }
}

proptest! {
    #[test]
    fn versions_never_decrease_and_copies_agree(steps in prop::collection::vec(step(), 0..60)) {
        let mut copies = vec![Replica::new(); COPIES];
        for step in steps {
            let before: Vec<Version> = copies.iter().map(Replica::version).collect();
            let mut restarted = None;
            match step {
                Step::Read(copy, version) => {
                    copies[copy].adopt(Version(version), text(version), Time(1)).unwrap();
                }
                Step::ReceiveInvalid(copy, version) => {
                    let adopted = copies[copy].adopt(Version(version), "[".into(), Time(1));
                    prop_assert!(!matches!(adopted, Ok(true)));
                }
                Step::Exchange(from, to) => exchange(&mut copies, from, to),
                Step::Restart(copy) => {
                    copies[copy] = Replica::new();
                    restarted = Some(copy);
                }
            }
            for (index, copy) in copies.iter().enumerate() {
                prop_assert!(copy.version() >= before[index] || restarted == Some(index));
                if let Some(environment) = copy.environment() {
                    prop_assert_eq!(&environment.text, &text(environment.version.0));
                }
            }
        }
        let highest = copies.iter().map(Replica::version).max().unwrap();
        // Two rounds in which one process exchanges versions with all others bring them together.
        for _ in 0..2 {
            (1..COPIES).for_each(|to| exchange(&mut copies, 0, to));
        }
        prop_assert!(copies.iter().all(|copy| copy.version() == highest));
    }
}

#[test]
fn a_copy_is_fresh_only_while_contact_is_recent() {
    let age_max = Span::from_ms(5_000);
    let mut copy = Replica::new();
    copy.record_contact(Version(0), Time(0));
    assert!(!copy.is_fresh(age_max, Time(0)), "without a document");
    copy.adopt(Version(1), text(1), Time(0)).unwrap();
    assert!(copy.is_fresh(age_max, Time(5_000_000)));
    assert!(!copy.is_fresh(age_max, Time(5_000_001)));
    copy.record_contact(Version(2), Time(5_000_001));
    assert!(
        !copy.is_fresh(age_max, Time(5_000_001)),
        "known to be behind"
    );
    copy.record_contact(Version(1), Time(5_000_001));
    assert!(copy.is_fresh(age_max, Time(5_000_001)));
}
