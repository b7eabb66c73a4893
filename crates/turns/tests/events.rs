//! Splitting of streams into server-sent events.

use proptest::prelude::*;
use turns::EventSplitter;

const STREAM: &[u8] =
    b"id: 1\ndata: one\n\nid: 2\ndata: two\ndata: lines\n\n: comment\n\ndata:x\r\n\r\n";

macro_rules! streams {
    ($($name:ident: $bytes:expr => $forwarded:expr, $event_count:expr, $partial:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut splitter = EventSplitter::new();
                let batch = splitter.push($bytes).expect("events");
                assert_eq!(&batch.bytes[..], &$forwarded[..]);
                assert_eq!(batch.event_count, $event_count);
                assert_eq!(splitter.has_partial_event(), $partial);
            }
        )*
    };
}

streams! {
    a_complete_event: b"data: a\n\n" => b"data: a\n\n", 1, false;
    a_partial_event_is_buffered: b"data: a\n" => b"", 0, true;
    a_complete_and_a_partial_event: b"data: a\n\ndata: b" => b"data: a\n\n", 1, true;
    a_comment_is_not_counted: b": a\n\n" => b": a\n\n", 0, false;
    carriage_returns: b"data: a\r\n\r\n" => b"data: a\r\n\r\n", 1, false;
}

#[test]
fn data_is_collected_without_field_names() {
    let mut splitter = EventSplitter::new().with_data();
    assert!(splitter.push(STREAM).is_some());
    assert_eq!(splitter.event_count(), 3);
    assert_eq!(&splitter.into_data()[..], b"one\ntwo\nlines\nx\n");
}

#[test]
fn an_event_over_the_size_limit_is_rejected() {
    let mut splitter = EventSplitter::new();
    let long = vec![b'x'; 2 << 20];
    assert!(splitter.push(&long).is_none());
}

proptest! {
    #[test]
    fn chunk_boundaries_do_not_matter(ends in prop::collection::vec(0..STREAM.len(), 0..12)) {
        let mut ends = ends;
        ends.sort_unstable();
        let mut splitter = EventSplitter::new().with_data();
        let (mut forwarded, mut event_count, mut start) = (Vec::new(), 0, 0);
        for end in ends.into_iter().chain([STREAM.len()]) {
            let batch = splitter.push(&STREAM[start..end]).expect("events");
            forwarded.extend_from_slice(&batch.bytes);
            event_count += batch.event_count;
            start = end;
        }
        prop_assert_eq!(&forwarded[..], STREAM);
        prop_assert_eq!(event_count, 3);
        prop_assert!(!splitter.has_partial_event());
        prop_assert_eq!(&splitter.into_data()[..], b"one\ntwo\nlines\nx\n");
    }
}

#[test]
fn collected_data_of_endless_events_is_bounded() {
    let mut splitter = EventSplitter::new().with_data();
    let events = "data: no end\n\n".repeat(1_000);
    let pushes = (0..1_000).take_while(|_| splitter.push(events.as_bytes()).is_some());
    assert!(pushes.count() < 1_000);
}
