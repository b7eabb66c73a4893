//! What callers may hold together, with crowds that do not end what they begin.

use intake::{ConnectionId, Full, Ledger, Limits};
use proptest::prelude::*;
use units::{Bytes, Span, Time};

const MEMORY: u64 = 22 << 20;
const LIMITS: Limits = Limits {
    memory: Bytes(MEMORY),
    connections: 2_000,
};
/// Body of legal size.
const LARGE: u64 = 4 << 20;
const PIECE: u64 = 16 << 10;
const ORDINARY: u64 = 8 << 10;

fn open(ledger: &mut Ledger, now: Time) -> ConnectionId {
    ledger.open(now, &mut Vec::new()).expect("a connection")
}

/// Opens connections that read as much of a body as they may and stop; returns the time afterwards.
fn crowd(ledger: &mut Ledger, count: usize, bytes: u64, mut now: Time) -> Time {
    for _ in 0..count {
        now = now.after(Span::from_ms(1));
        let Ok(id) = ledger.open(now, &mut Vec::new()) else {
            continue;
        };
        for _ in 0..bytes / PIECE {
            now = now.after(Span(100));
            if ledger.read(id, PIECE, now, &mut Vec::new()).is_err() {
                ledger.close(id);
                break;
            }
        }
    }
    now
}

/// A crowd, after which an ordinary request is read and served.
macro_rules! crowd_cases {
    ($($name:ident: $count:literal connections, $bytes:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut ledger = Ledger::new(LIMITS);
                let now = crowd(&mut ledger, $count, $bytes, Time(1_000_000));
                assert!(ledger.used().0 <= MEMORY);
                let mut evicted = Vec::new();
                let id = ledger.open(now, &mut evicted).expect("a connection");
                let later = now.after(Span::from_ms(2));
                ledger.read(id, ORDINARY, later, &mut evicted).expect("read");
                ledger.serve(id, ORDINARY * 4, later, &mut evicted).expect("served");
                assert!(!evicted.contains(&id));
                assert!(ledger.used().0 <= MEMORY);
            }
        )*
    };
}

crowd_cases! {
    an_ordinary_request_is_served_beside_large_bodies: 100 connections, LARGE;
    an_ordinary_request_is_served_beside_bodies_of_its_own_size: 5_000 connections, 64 << 10;
    an_ordinary_request_is_served_beside_idle_connections: 5_000 connections, 0;
}

// Large requests under way must leave room for ordinary ones, and are refused, never broken off.
#[test]
fn large_requests_that_are_served_leave_room_for_ordinary_ones() {
    let mut ledger = Ledger::new(LIMITS);
    let now = Time(1_000_000);
    let mut evicted = Vec::new();
    let mut served = Vec::new();
    let mut refused = 0;
    for _ in 0..10 {
        let id = open(&mut ledger, now);
        match ledger.serve(id, 2 * LARGE, now, &mut evicted) {
            Ok(()) => served.push(id),
            Err(Full) => refused += 1,
        }
    }
    assert!(!served.is_empty() && refused > 0);
    for _ in 0..20 {
        let id = open(&mut ledger, now);
        ledger
            .serve(id, 4 * ORDINARY, now, &mut evicted)
            .expect("served");
        served.push(id);
    }
    assert!(served.iter().all(|id| !evicted.contains(id)));
    for id in served {
        ledger.finish(id, now);
        ledger.close(id);
    }
}

#[test]
fn a_single_request_is_served_whatever_its_size() {
    let mut ledger = Ledger::new(LIMITS);
    let now = Time(1_000_000);
    let id = open(&mut ledger, now);
    let mut evicted = Vec::new();
    ledger.read(id, LARGE, now, &mut evicted).expect("read");
    ledger
        .serve(id, 8 * LARGE, now, &mut evicted)
        .expect("served");
}

#[test]
fn the_connection_that_holds_most_for_longest_gives_way() {
    let mut ledger = Ledger::new(LIMITS);
    let now = Time(1_000_000);
    let [old, new] = [now, now.after(Span::from_ms(900))].map(|now| {
        let id = open(&mut ledger, now);
        ledger
            .read(id, 2 * LARGE, now, &mut Vec::new())
            .expect("read");
        id
    });
    let later = now.after(Span::from_ms(1_000));
    let third = open(&mut ledger, later);
    let mut evicted = Vec::new();
    ledger
        .read(third, 2 * LARGE, later, &mut evicted)
        .expect("read");
    assert_eq!(evicted, [old]);
    assert_eq!(ledger.read(old, 1, later, &mut evicted), Err(Full));
    ledger.read(new, 1, later, &mut evicted).expect("read");
}

// A connection that gave way counted as released while its task still held all that it had read.
#[test]
fn nothing_is_read_until_connections_that_gave_way_are_closed() {
    let mut ledger = Ledger::new(LIMITS);
    let now = Time(1_000_000);
    let old = open(&mut ledger, now);
    ledger
        .read(old, MEMORY - 2 * LARGE, now, &mut Vec::new())
        .expect("read");
    let new = open(&mut ledger, now);
    let later = now.after(Span::from_ms(10));
    assert!(!ledger.has_to_wait(later));
    let mut evicted = Vec::new();
    ledger
        .read(new, 3 * LARGE, later, &mut evicted)
        .expect("read");
    assert_eq!(evicted, [old]);
    assert!(ledger.has_to_wait(later));
    // A task that does not end must not stop all others.
    assert!(!ledger.has_to_wait(later.after(Span::from_ms(1_000))));
    ledger.close(old);
    assert!(!ledger.has_to_wait(later));
}

#[test]
fn a_trusted_connection_neither_gives_way_nor_counts_what_it_reads() {
    let mut ledger = Ledger::new(LIMITS);
    let now = Time(1_000_000);
    let trusted = open(&mut ledger, now);
    let mut evicted = Vec::new();
    ledger
        .read(trusted, LARGE, now, &mut evicted)
        .expect("read");
    ledger.trust(trusted, now);
    assert_eq!(ledger.used(), Bytes(0));
    ledger
        .read(trusted, 2 * MEMORY, now, &mut evicted)
        .expect("read");
    assert_eq!(ledger.used(), Bytes(0));
    crowd(&mut ledger, 5_000, 64 << 10, now.after(Span::from_ms(1)));
    assert_eq!(ledger.read(trusted, 1, now, &mut evicted), Ok(()));
}

#[test]
fn a_connection_gives_way_for_a_descriptor_unless_its_request_is_served() {
    let mut ledger = Ledger::new(LIMITS);
    let now = Time(1_000_000);
    let [served, idle] = [(); 2].map(|()| open(&mut ledger, now));
    let mut evicted = Vec::new();
    ledger
        .serve(served, ORDINARY, now, &mut evicted)
        .expect("served");
    assert_eq!(ledger.evict_costliest(now, &mut evicted), Ok(()));
    assert_eq!(ledger.evict_costliest(now, &mut evicted), Err(Full));
    assert_eq!(evicted, [idle]);
}

/// Answers that are sent; returns the connections and the time afterwards.
fn send_answers(ledger: &mut Ledger, count: usize, now: Time) -> Vec<ConnectionId> {
    let answer = |_| {
        let id = open(ledger, now);
        ledger
            .serve(id, ORDINARY, now, &mut Vec::new())
            .expect("served");
        ledger.send(id, LARGE / 16, now);
        id
    };
    (0..count).map(answer).collect()
}

// Callers that do not read their answers kept them for ever.
#[test]
fn the_answer_that_is_unread_for_the_longest_time_gives_way() {
    let mut ledger = Ledger::new(LIMITS);
    let began = Time(1_000_000);
    let ids = send_answers(&mut ledger, 3, began);
    let mut evicted = Vec::new();
    assert_eq!(ledger.evict_stalled(began, &mut evicted), Err(Full));
    let later = began.after(Span::from_ms(3_000));
    ledger.progress(ids[0], later);
    ledger.progress(ids[2], began.after(Span::from_ms(500)));
    assert_eq!(ledger.evict_stalled(later, &mut evicted), Ok(()));
    assert_eq!(ledger.evict_stalled(later, &mut evicted), Ok(()));
    // Callers that read are not disturbed.
    assert_eq!(ledger.evict_stalled(later, &mut evicted), Err(Full));
    assert_eq!(evicted, [ids[1], ids[2]]);
}

#[test]
fn unread_answers_give_way_to_an_ordinary_request() {
    let mut ledger = Ledger::new(LIMITS);
    let began = Time(1_000_000);
    let ids = send_answers(&mut ledger, 500, began);
    let mut evicted = Vec::new();
    let mut more = Vec::new();
    // The remainder of the memory is taken as well.
    while let Ok(id) = ledger.open(began, &mut evicted) {
        ledger
            .serve(id, ORDINARY, began, &mut evicted)
            .expect("served");
        more.push(id);
    }
    assert!(evicted.is_empty());
    let later = began.after(Span::from_ms(2_000));
    let id = ledger.open(later, &mut evicted).expect("a connection");
    ledger
        .serve(id, ORDINARY, later, &mut evicted)
        .expect("served");
    assert!(!evicted.is_empty() && evicted.iter().all(|id| ids.contains(id)));
}

#[derive(Clone, Debug)]
enum Step {
    Open,
    Read(usize, u64),
    Serve(usize, u64),
    Send(usize, u64),
    Finish(usize),
    Trust(usize),
    Close(usize),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => Just(Step::Open),
        6 => (any::<usize>(), 0..LARGE).prop_map(|(at, bytes)| Step::Read(at, bytes)),
        2 => (any::<usize>(), 0..LARGE).prop_map(|(at, bytes)| Step::Serve(at, bytes)),
        2 => (any::<usize>(), 0..LARGE).prop_map(|(at, bytes)| Step::Send(at, bytes)),
        2 => any::<usize>().prop_map(Step::Finish),
        1 => any::<usize>().prop_map(Step::Trust),
        1 => any::<usize>().prop_map(Step::Close),
        2 => (0..2_000_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..200)
}

proptest! {
    #[test]
    fn callers_never_hold_more_than_the_limit(steps in steps()) {
        let mut ledger = Ledger::new(LIMITS);
        let mut now = Time(1_000_000);
        let mut opened = Vec::new();
        for step in steps {
            let mut evicted = Vec::new();
            let at = |index: usize| opened.get(index % opened.len().max(1)).copied();
            match step {
                Step::Open => opened.extend(ledger.open(now, &mut evicted)),
                Step::Read(index, bytes) => {
                    if let Some(id) = at(index)
                        && ledger.read(id, bytes, now, &mut evicted).is_err()
                    {
                        ledger.close(id);
                    }
                }
                Step::Serve(index, bytes) => {
                    if let Some(id) = at(index) {
                        let _ = ledger.serve(id, bytes, now, &mut evicted);
                    }
                }
                Step::Send(index, bytes) => {
                    if let Some(id) = at(index) {
                        ledger.send(id, bytes, now);
                    }
                }
                Step::Finish(index) => {
                    if let Some(id) = at(index) {
                        ledger.finish(id, now);
                    }
                }
                Step::Trust(index) => {
                    if let Some(id) = at(index) {
                        ledger.trust(id, now);
                    }
                }
                Step::Close(index) => {
                    if let Some(id) = at(index) {
                        ledger.close(id);
                    }
                }
                Step::Wait(ms) => now = now.after(Span::from_ms(ms)),
            }
            // A request of legal size is never refused alone, and takes less than the limit.
            prop_assert!(ledger.used().0 <= MEMORY);
        }
        for id in opened {
            ledger.close(id);
        }
        prop_assert_eq!(ledger.used().0, 0);
        prop_assert!(!ledger.has_to_wait(now));
    }
}
