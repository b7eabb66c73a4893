//! What an limiter grants, and when it gets its memory back.

use std::sync::{Arc, Mutex, Weak};

use memory::{Cache, Charge, Full, Limiter, Size, hold};
use proptest::prelude::*;
use units::Bytes;

const LIMIT: u64 = 32 << 20;
const LARGE: u64 = 1 << 20;
const ORDINARY: u64 = 8 << 10;

fn limiter() -> Arc<Limiter> {
    Arc::new(Limiter::new(Bytes(LIMIT)))
}

/// Charges as much as there is room for in charges of `bytes`.
fn fill(limiter: &Arc<Limiter>, bytes: u64) -> Vec<Charge> {
    std::iter::from_fn(|| limiter.charge(Bytes(bytes)).ok()).collect()
}

/// Entries that are held for later.
#[derive(Default)]
struct Entries(Mutex<Vec<bytes::Bytes>>);

impl Cache for Entries {
    fn evict(&self, _bytes: Bytes) -> bool {
        let evicted = self.0.lock().expect("no panic").pop();
        evicted.is_some()
    }
}

// Any number of large messages left no memory for ordinary ones.
#[test]
fn large_charges_leave_room_for_ordinary_ones() {
    let limiter = limiter();
    let large = fill(&limiter, LARGE);
    assert!(large.len() as u64 * LARGE > LIMIT / 2);
    let ordinary = fill(&limiter, ORDINARY);
    assert!(ordinary.len() as u64 * ORDINARY >= LIMIT / 8);
    assert!(limiter.charged() <= Bytes(LIMIT));
}

#[test]
fn a_single_charge_is_granted_whatever_its_size() {
    let limiter = limiter();
    let charge = limiter
        .charge(Bytes(2 * LIMIT))
        .expect("nothing else is held");
    assert!(limiter.is_over());
    assert_eq!(limiter.charge(Bytes(1)).err(), Some(Full));
    charge.close();
    assert!(limiter.charge(Bytes(LARGE)).is_ok());
}

#[test]
fn a_charge_that_cannot_grow_stays_as_it_is() {
    let limiter = limiter();
    let mut charge = limiter.charge(Bytes(ORDINARY)).expect("room");
    let _others = fill(&limiter, LARGE);
    assert_eq!(charge.resize(Bytes(LIMIT), Size::Large), Err(Full));
    assert_eq!(charge.bytes(), Bytes(ORDINARY));
    charge.resize_anyway(Bytes(LIMIT));
    assert!(limiter.is_over());
    charge.resize(Bytes(0), Size::Large).expect("less");
    assert!(!limiter.is_over());
}

// A text that several requests use was counted for each of them, or for none.
#[test]
fn shared_bytes_count_once_until_the_last_of_them_is_dropped() {
    let limiter = limiter();
    let charge = limiter.charge(Bytes(LARGE)).expect("room");
    let bytes = hold(vec![0; LARGE as usize].into(), charge);
    let part = bytes.slice(10..20);
    let copies = vec![bytes; 100];
    assert_eq!(limiter.charged(), Bytes(LARGE));
    drop(copies);
    assert_eq!(limiter.charged(), Bytes(LARGE));
    drop(part);
    assert_eq!(limiter.charged(), Bytes(0));
}

#[test]
fn a_cache_gives_way_to_any_charge() {
    let limiter = limiter();
    let cache = Arc::new(Entries::default());
    let entries: Vec<_> = fill(&limiter, LARGE)
        .into_iter()
        .map(|charge| hold(vec![0; 8].into(), charge))
        .collect();
    let in_use = entries[0].clone();
    *cache.0.lock().expect("no panic") = entries;
    let weak: Weak<Entries> = Arc::downgrade(&cache);
    limiter.set_cache(weak);
    assert!(limiter.charge(Bytes(4 * LARGE)).is_ok());
    // What is in use elsewhere keeps its memory.
    assert!(limiter.charge(Bytes(LIMIT)).is_err());
    drop(in_use);
    assert!(limiter.charge(Bytes(LIMIT)).is_ok());
}

proptest! {
    #[test]
    fn what_is_charged_is_what_the_charges_are_for(
        steps in prop::collection::vec((0..4_u8, 0..8_usize, 0..4 * LARGE), 1..200),
    ) {
        let limiter = limiter();
        let mut charges: Vec<Charge> = Vec::new();
        for (step, index, bytes) in steps {
            let bytes = Bytes(bytes);
            match step {
                0 => charges.extend(limiter.charge(bytes)),
                1 => {
                    if let Some(charge) = charges.get_mut(index) {
                        // A charge that does not fit stays as it is.
                        let _ = charge.resize(bytes, Size::of(bytes));
                    }
                }
                2 if index < charges.len() => charges.swap_remove(index).close(),
                _ => {
                    let (before, is_granted) = (limiter.charged(), limiter.charge(bytes).is_ok());
                    prop_assert_eq!(limiter.charged(), before);
                    prop_assert!(is_granted || before.0 + bytes.0 > LIMIT / 4 * 3);
                }
            }
            let sum: u64 = charges.iter().map(|charge| charge.bytes().0).sum();
            prop_assert_eq!(limiter.charged(), Bytes(sum));
            prop_assert!(sum <= LIMIT);
        }
    }
}
