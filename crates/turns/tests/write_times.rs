//! Chains that live longer than one of their turns is retained.

use std::collections::HashMap;

use compact_str::{CompactString, format_compact};
use proptest::prelude::*;
use turns::{CHAIN_SLACK, WriteTimes};
use units::{Span, Time};

const RETAIN: Span = Span::from_ms(60_000);

fn at(ms: u64) -> Time {
    Time(0).after(Span::from_ms(ms))
}

#[test]
fn what_is_not_known_is_written_again() {
    let lives = WriteTimes::default();
    let line = [CompactString::from("a")];
    assert_eq!(lives.due_for_rewrite(&line, at(0)), [&line[0]]);
}

#[test]
fn a_short_chain_is_written_once() {
    let mut lives = WriteTimes::default();
    let line: Vec<CompactString> = (0..20).map(|turn| format_compact!("t{turn}")).collect();
    for (turn, id) in line.iter().enumerate() {
        let now = at(turn as u64 * 2_000);
        assert!(lives.due_for_rewrite(&line[..turn], now).is_empty());
        lives.record(id, now);
    }
}

proptest! {
    /// Two hosts go on with one chain in turns; each drops what it wrote when its time is over and
    /// no one wrote it again. Whatever the pauses, all turns are there when the chain goes on.
    #[test]
    fn a_chain_is_whole_as_long_as_it_goes_on(
        steps in prop::collection::vec((0..2_usize, 0..60_000_u64), 1..60),
    ) {
        let mut hosts = [WriteTimes::default(), WriteTimes::default()];
        // When each turn was last written.
        let mut rows: HashMap<CompactString, Time> = HashMap::new();
        let mut line: Vec<CompactString> = Vec::new();
        let mut now = 0;
        for (step, (host, pause)) in steps.into_iter().enumerate() {
            now += pause;
            let stays = RETAIN.0 + CHAIN_SLACK.0;
            rows.retain(|_, written| at(now).since(*written).0 < stays);
            for id in &line {
                let written = rows.get(id);
                prop_assert!(written.is_some(), "{id} is gone at {now}");
                // Ages of what others wrote are known by five seconds, and a little late.
                if let Some(written) = written {
                    hosts[host].record(id, Time(written.0.saturating_sub(5_000_000)));
                }
            }
            let again: Vec<CompactString> =
                hosts[host].due_for_rewrite(&line, at(now)).into_iter().cloned().collect();
            let turn = format_compact!("t{step}");
            for id in again.into_iter().chain([turn.clone()]) {
                hosts[host].record(&id, at(now));
                rows.insert(id, at(now));
            }
            line.push(turn);
        }
    }
}
