//! The shares of the ports of a process.

use intake::{Clients, Limits, Tally};
use proptest::prelude::*;
use units::{Bytes, Span, Time};

const ALL: [Clients; 3] = [Clients::Callers, Clients::Peers, Clients::Operators];

fn limits(memory: Bytes, descriptors: usize) -> [Limits; 3] {
    ALL.map(|clients| clients.limits(memory, descriptors))
}

proptest! {
    // Three eighths are for what is held beside the connections.
    #[test]
    fn crowds_on_all_ports_leave_memory_and_descriptors_for_the_process(
        memory in (32_u64 << 20)..(1 << 40),
        descriptors in 256_usize..10_000_000,
    ) {
        let all = limits(Bytes(memory), descriptors);
        let held: u64 = all.iter().map(|limits| limits.memory.0).sum();
        prop_assert!(held <= memory / 2);
        let connections: usize = all.iter().map(|limits| limits.connections).sum();
        prop_assert!(connections <= descriptors / 4 * 3);
        prop_assert!(all.iter().all(|limits| limits.connections >= 16));
    }
}

#[test]
fn a_crowd_gets_one_line_a_second() {
    let mut tally = Tally::default();
    let start = Time(1_000_000);
    assert_eq!(tally.record(1, start), Some(1));
    for ms in 1..1_000 {
        assert_eq!(tally.record(2, start.after(Span::from_ms(ms))), None);
    }
    let later = start.after(Span::from_ms(1_000));
    assert_eq!(tally.record(1, later), Some(1_999));
    assert_eq!(tally.record(0, later.after(Span::from_ms(2_000))), None);
}
