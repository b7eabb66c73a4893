//! Turns, their rows, and the transcripts of chains.

use bytes::Bytes;
use clients::Accounts;
use clients::owner::{Id, Name, Owner};
use compact_str::CompactString;
use proptest::prelude::*;
use store::api::{Row, Value};
use turns::{History, ReadTurn, Turn, TurnKey, text_max_bytes};
use units::{Span, Time};

const HOUR: Span = Span::from_ms(3_600_000);

fn id(id: &str) -> Id {
    Owner::Anonymous.id(id)
}

fn name(text: &str) -> Name {
    id(text).name(&Accounts::default())
}

fn turn(predecessors: &[&str], input: &str, output: &str) -> Turn {
    Turn {
        predecessors: predecessors.iter().map(|text| id(text)).collect(),
        endpoint: "endpoint-1".into(),
        input: Bytes::copy_from_slice(input.as_bytes()),
        output: Bytes::copy_from_slice(output.as_bytes()),
    }
}

/// Returns the rows that a turn is written to.
fn rows(turn: &Turn, key: &TurnKey) -> Vec<Row> {
    let transaction = turn.write_transaction(key, &Owner::Anonymous, &Accounts::default());
    let transaction = transaction.expect("encodes");
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
    history.insert(&id("a"), turn(&[], "q1 ", "r1\n"), now);
    history.insert(&id("b"), turn(&["a"], "q2 ", "r2\n"), now);
    history.insert(&id("c"), turn(&["a", "b"], "q3 ", "r3\n"), now);
    let transcript = history.transcript(&id("c")).expect("known");
    assert_eq!(transcript.text.concat(), b"q1 r1\nq2 r2\nq3 r3\n");
    assert_eq!(transcript.turns, ["a", "b", "c"].map(id));
    assert_eq!(transcript.endpoint, "endpoint-1");
}

#[test]
fn turns_that_are_not_in_memory_are_returned() {
    let mut history = History::new(1 << 20, HOUR);
    assert_eq!(history.transcript(&id("c")), Err(vec![id("c")]));
    history.insert(&id("c"), turn(&["a", "b"], "q", "r"), Time(0));
    assert_eq!(history.transcript(&id("c")), Err(vec![id("a"), id("b")]));
}

#[test]
fn the_oldest_turns_are_evicted_first() {
    let mut history = History::new(100, HOUR);
    let long = "x".repeat(60);
    history.insert(&id("a"), turn(&[], &long, ""), Time(0));
    history.insert(&id("b"), turn(&[], &long, ""), Time(1));
    assert!(history.get(&id("a")).is_none());
    assert!(history.get(&id("b")).is_some());
    assert_eq!(history.size_bytes(), 60);
}

#[test]
fn turns_are_evicted_after_the_maximum_age() {
    let mut history = History::new(1 << 20, Span::from_ms(10));
    history.insert(&id("a"), turn(&[], "q", "r"), Time(0));
    history.insert(&id("b"), turn(&[], "q", "r"), Time(20_000));
    assert!(history.get(&id("a")).is_none());
}

#[test]
fn turns_are_evicted_until_enough_is_free() {
    let mut history = History::new(1 << 20, HOUR);
    for (text, at) in [("a", 0), ("b", 1), ("c", 2)] {
        history.insert(&id(text), turn(&[], &"x".repeat(60), ""), Time(at));
    }
    assert_eq!(history.evict(70).len(), 2);
    assert!(history.get(&id("b")).is_none() && history.get(&id("c")).is_some());
    assert_eq!((history.evict(70).len(), history.evict(70).len()), (1, 0));
}

#[test]
fn the_first_row_bounds_the_text_of_a_turn() {
    let key = TurnKey::candidates(&name("t"))[0].clone();
    for length in [0, 1_000, 47 << 10, 300_000] {
        let rows = rows(&turn(&[], &"x".repeat(length), ""), &key);
        let bound = text_max_bytes(&rows[0]).expect("decodes");
        assert!(bound >= length && bound <= length + (96 << 10), "{bound}");
    }
}

#[test]
fn a_row_that_states_too_many_rows_bounds_nothing() {
    let row = |value: Vec<u8>| Row {
        key: "t/000".into(),
        version: 1,
        value: Value(value),
    };
    assert!(text_max_bytes(&row(u32::MAX.to_le_bytes().into())).is_err());
    assert!(text_max_bytes(&row(vec![1, 0])).is_err());
}

// Peers of earlier releases decode a name as a text.
#[test]
fn a_name_is_encoded_as_its_text() {
    let config = bincode::config::standard();
    let name = bincode::serde::encode_to_vec(name("a/b"), config).expect("encodes");
    let text = bincode::serde::encode_to_vec("a/b", config).expect("encodes");
    assert_eq!(name, text);
}

#[test]
fn a_missing_row_is_an_error() {
    let key = TurnKey::candidates(&name("t"))[0].clone();
    let long = "x".repeat(200 << 10);
    let mut rows = rows(&turn(&["s"], &long, "r\n"), &key);
    assert!(rows.len() > 2);
    rows.remove(1);
    assert!(Turn::from_rows(&rows, &Owner::Anonymous).is_err());
}

#[test]
fn no_rows_decode_to_no_turn() {
    assert_eq!(Turn::from_rows(&[], &Owner::Anonymous), Ok(None));
}

/// A turn as releases store it that write no owner.
type EarlierTurn = (Vec<CompactString>, CompactString, Vec<u8>, Vec<u8>);

// Releases run together during an update.
#[test]
fn a_turn_of_an_earlier_release_is_read_without_an_owner() {
    let earlier: EarlierTurn = (vec!["ada/s".into()], "e".into(), b"q".into(), b"r".into());
    let value = bincode::serde::encode_to_vec(earlier, bincode::config::standard());
    let value = [1_u32.to_le_bytes().to_vec(), value.expect("encodes")].concat();
    let row = Row {
        key: "t/000".into(),
        version: 1,
        value: Value(value),
    };
    let ada = Owner::Account("ada".into());
    let read = Turn::from_rows(std::slice::from_ref(&row), &ada);
    let read = read.expect("decodes").expect("a turn");
    assert_eq!(read.owner, None);
    assert_eq!(read.turn.predecessors, [ada.id("s")]);
    // Another account's chain cannot have this predecessor.
    let bob = Owner::Account("bob".into());
    assert!(Turn::from_rows(&[row], &bob).is_err());
}

// Releases run together during an update.
#[test]
fn an_earlier_release_reads_a_turn_without_its_owner() {
    let mut accounts = Accounts::default();
    let ada = Owner::Account("ada".into());
    let account = clients::Account {
        name: "ada".into(),
        rank: None,
        limit: None,
    };
    accounts.insert(account, &[]).expect("inserted");
    let turn = Turn {
        predecessors: vec![ada.id("s")],
        ..turn(&[], "q", "r")
    };
    let [key, _] = TurnKey::candidates(&ada.id("t").name(&accounts));
    let transaction = turn.write_transaction(&key, &ada, &accounts);
    let transaction = transaction.expect("encodes");
    let value = transaction.writes[0].value.as_ref().expect("a value");
    let config = bincode::config::standard();
    let decoded = bincode::serde::decode_from_slice::<EarlierTurn, _>(&value.0[4..], config);
    let (predecessors, _, input, output) = decoded.expect("decodes").0;
    assert_eq!(predecessors, ["ada/s"]);
    assert_eq!((&input[..], &output[..]), (&b"q"[..], &b"r"[..]));
}

proptest! {
    #[test]
    fn a_turn_is_read_back_from_its_rows(
        predecessors in prop::collection::vec("[a-f0-9]{1,16}", 0..6),
        input_length in 0..300_000_usize,
        output in prop::collection::vec(any::<u8>(), 0..2_000),
    ) {
        let turn = Turn {
            predecessors: predecessors.iter().map(|text| id(text)).collect(),
            endpoint: "endpoint-1".into(),
            input: vec![b'x'; input_length].into(),
            output: output.into(),
        };
        let key = TurnKey::candidates(&name("t"))[0].clone();
        let rows = rows(&turn, &key);
        for row in &rows {
            prop_assert!(row.key.as_str() >= key.first.as_str());
            prop_assert!(row.key.as_str() < key.end.as_str());
            // The store accepts values of up to 64 KiB in base64.
            prop_assert!(row.value.0.len().div_ceil(3) * 4 <= 65_536);
        }
        let owner = Owner::Anonymous;
        let read = ReadTurn { turn, owner: Some(owner.clone()) };
        prop_assert_eq!(Turn::from_rows(&rows, &owner), Ok(Some(read)));
    }

    #[test]
    fn keys_of_turns_do_not_overlap(one in "[ -~]{1,80}", other in "[ -~]{1,80}") {
        prop_assume!(one != other);
        let [one, _] = TurnKey::candidates(&name(&one));
        let [other, _] = TurnKey::candidates(&name(&other));
        prop_assert!(one.first != other.first);
        prop_assert!(!one.row(0).starts_with(other.first.as_str()));
        prop_assert!(one.row(0).len() <= 200);
    }
}
