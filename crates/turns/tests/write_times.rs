//! Chains that go on for longer than each of their turns is retained.

use std::collections::HashMap;

use clients::owner::{Id, Owner};
use proptest::prelude::*;
use turns::{CHAIN_SLACK, WriteTimes};
use units::{Span, Time};

const RETENTION: Span = Span::from_ms(60_000);

fn id(text: &str) -> Id {
    Owner::Anonymous.id(text)
}

fn at(ms: u64) -> Time {
    Time(0).after(Span::from_ms(ms))
}

#[test]
fn a_turn_without_a_recorded_write_is_rewritten() {
    let write_times = WriteTimes::default();
    let chain = [id("a")];
    assert_eq!(write_times.due_for_rewrite(&chain, at(0)), [&chain[0]]);
}

#[test]
fn a_short_chain_is_written_once() {
    let mut write_times = WriteTimes::default();
    let chain: Vec<Id> = (0..20).map(|turn| id(&format!("t{turn}"))).collect();
    for (turn, id) in chain.iter().enumerate() {
        let now = at(turn as u64 * 2_000);
        assert!(write_times.due_for_rewrite(&chain[..turn], now).is_empty());
        write_times.record(id, now);
    }
}

proptest! {
    /// Two hosts continue one chain in any order. Rows are deleted when their last write is older
    /// than the retention and the slack. Whatever the pauses, a host that continues finds all rows.
    #[test]
    fn a_chain_is_complete_for_as_long_as_it_continues(
        steps in prop::collection::vec((0..2_usize, 0..60_000_u64), 1..60),
    ) {
        let mut hosts = [WriteTimes::default(), WriteTimes::default()];
        // When each turn was last written.
        let mut rows: HashMap<Id, Time> = HashMap::new();
        let mut chain: Vec<Id> = Vec::new();
        let mut now = 0;
        for (step, (host, pause)) in steps.into_iter().enumerate() {
            now += pause;
            let row_lifetime = RETENTION.0 + CHAIN_SLACK.0;
            rows.retain(|_, written| at(now).since(*written).0 < row_lifetime);
            for id in &chain {
                let written = rows.get(id);
                prop_assert!(written.is_some(), "{id} is gone at {now}");
                // The write time of another host's row is a lower bound, up to five seconds early.
                if let Some(written) = written {
                    hosts[host].record(id, Time(written.0.saturating_sub(5_000_000)));
                }
            }
            let rewritten: Vec<Id> =
                hosts[host].due_for_rewrite(&chain, at(now)).into_iter().cloned().collect();
            let turn = id(&format!("t{step}"));
            for id in rewritten.into_iter().chain([turn.clone()]) {
                hosts[host].record(&id, at(now));
                rows.insert(id, at(now));
            }
            chain.push(turn);
        }
    }
}
