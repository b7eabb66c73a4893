//! Turns, their rows, and the transcripts of chains.

use bytes::Bytes;
use compact_str::CompactString;
use proptest::prelude::*;
use store::api::Row;
use turns::{History, Turn, TurnKey};
use units::{Span, Time};

const HOUR: Span = Span::from_ms(3_600_000);

fn turn(predecessors: &[&str], input: &str, output: &str) -> Turn {
    Turn {
        predecessors: predecessors
            .iter()
            .map(|id| CompactString::new(id))
            .collect(),
        endpoint: "endpoint-1".into(),
        input: Bytes::copy_from_slice(input.as_bytes()),
        output: Bytes::copy_from_slice(output.as_bytes()),
    }
}

/// Returns the rows that a turn is written to.
fn rows(turn: &Turn, key: &TurnKey) -> Vec<Row> {
    let transaction = turn.write_transaction(key).expect("encodes");
    let writes = transaction.writes.into_iter();
    let rows = writes.map(|write| Row {
        key: write.key,
        version: 1,
        value: write.value.expect("a value"),
    });
    rows.collect()
}

#[test]
fn a_transcript_is_all_inputs_and_outputs_in_order() {
    let mut history = History::new(1 << 20, HOUR);
    let now = Time(0);
    history.insert(&"a".into(), turn(&[], "q1 ", "r1\n"), now);
    history.insert(&"b".into(), turn(&["a"], "q2 ", "r2\n"), now);
    history.insert(&"c".into(), turn(&["a", "b"], "q3 ", "r3\n"), now);
    let transcript = history.transcript(&"c".into()).expect("known");
    assert_eq!(&transcript.text[..], b"q1 r1\nq2 r2\nq3 r3\n");
    assert_eq!(transcript.turns, ["a", "b", "c"]);
    assert_eq!(transcript.endpoint, "endpoint-1");
}

#[test]
fn turns_that_are_not_in_memory_are_returned() {
    let mut history = History::new(1 << 20, HOUR);
    assert_eq!(history.transcript(&"c".into()), Err(vec!["c".into()]));
    history.insert(&"c".into(), turn(&["a", "b"], "q", "r"), Time(0));
    assert_eq!(
        history.transcript(&"c".into()),
        Err(vec!["a".into(), "b".into()])
    );
}

#[test]
fn the_oldest_turns_are_evicted_first() {
    let mut history = History::new(100, HOUR);
    let long = "x".repeat(60);
    history.insert(&"a".into(), turn(&[], &long, ""), Time(0));
    history.insert(&"b".into(), turn(&[], &long, ""), Time(1));
    assert!(history.get("a").is_none());
    assert!(history.get("b").is_some());
    assert_eq!(history.size_bytes(), 60);
}

#[test]
fn turns_are_evicted_after_the_maximum_age() {
    let mut history = History::new(1 << 20, Span::from_ms(10));
    history.insert(&"a".into(), turn(&[], "q", "r"), Time(0));
    history.insert(&"b".into(), turn(&[], "q", "r"), Time(20_000));
    assert!(history.get("a").is_none());
}

#[test]
fn a_missing_row_is_an_error() {
    let key = TurnKey::candidates("t")[0].clone();
    let long = "x".repeat(200 << 10);
    let mut rows = rows(&turn(&["s"], &long, "r\n"), &key);
    assert!(rows.len() > 2);
    rows.remove(1);
    assert!(Turn::from_rows(&rows).is_err());
}

#[test]
fn no_rows_decode_to_no_turn() {
    assert_eq!(Turn::from_rows(&[]), Ok(None));
}

proptest! {
    #[test]
    fn a_turn_is_read_back_from_its_rows(
        predecessors in prop::collection::vec("[a-f0-9]{1,16}", 0..6),
        input_length in 0..300_000_usize,
        output in prop::collection::vec(any::<u8>(), 0..2_000),
    ) {
        let turn = Turn {
            predecessors: predecessors.into_iter().map(CompactString::from).collect(),
            endpoint: "endpoint-1".into(),
            input: vec![b'x'; input_length].into(),
            output: output.into(),
        };
        let key = TurnKey::candidates("t")[0].clone();
        let rows = rows(&turn, &key);
        for row in &rows {
            prop_assert!(row.key.as_str() >= key.first.as_str());
            prop_assert!(row.key.as_str() < key.end.as_str());
            // The store accepts values of up to 64 KiB in base64.
            prop_assert!(row.value.0.len().div_ceil(3) * 4 <= 65_536);
        }
        prop_assert_eq!(Turn::from_rows(&rows), Ok(Some(turn)));
    }

    #[test]
    fn keys_of_turns_do_not_overlap(one in "[ -~]{1,80}", other in "[ -~]{1,80}") {
        prop_assume!(one != other);
        let [one, _] = TurnKey::candidates(&one);
        let [other, _] = TurnKey::candidates(&other);
        prop_assert!(one.first != other.first);
        prop_assert!(!one.row(0).starts_with(other.first.as_str()));
        prop_assert!(one.row(0).len() <= 200);
    }
}
