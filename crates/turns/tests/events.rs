//! Events cut out of a stream.

use proptest::prelude::*;
use turns::EventSplitter;

const STREAM: &[u8] =
    b"id: 1\ndata: one\n\nid: 2\ndata: two\ndata: lines\n\n: comment\n\ndata:x\r\n\r\n";

macro_rules! streams {
    ($($name:ident: $bytes:expr => $passed:expr, $count:expr, $partial:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut events = EventSplitter::new();
                let piece = events.push($bytes).expect("events");
                assert_eq!(&piece.bytes[..], &$passed[..]);
                assert_eq!(piece.event_count, $count);
                assert_eq!(events.has_partial_event(), $partial);
            }
        )*
    };
}

streams! {
    a_whole_event: b"data: a\n\n" => b"data: a\n\n", 1, false;
    a_partial_event_is_held: b"data: a\n" => b"", 0, true;
    an_event_and_a_part: b"data: a\n\ndata: b" => b"data: a\n\n", 1, true;
    a_comment_is_no_event: b": a\n\n" => b": a\n\n", 0, false;
    carriage_returns: b"data: a\r\n\r\n" => b"data: a\r\n\r\n", 1, false;
}

#[test]
fn data_is_kept_without_field_names() {
    let mut events = EventSplitter::new().with_data();
    assert!(events.push(STREAM).is_some());
    assert_eq!(events.event_count(), 3);
    assert_eq!(&events.into_data()[..], b"one\ntwo\nlines\nx\n");
}

#[test]
fn an_endless_event_is_refused() {
    let mut events = EventSplitter::new();
    let long = vec![b'x'; 2 << 20];
    assert!(events.push(&long).is_none());
}

proptest! {
    #[test]
    fn cuts_do_not_matter(cuts in prop::collection::vec(0..STREAM.len(), 0..12)) {
        let mut cuts = cuts;
        cuts.sort_unstable();
        let mut events = EventSplitter::new().with_data();
        let (mut passed, mut count, mut start) = (Vec::new(), 0, 0);
        for end in cuts.into_iter().chain([STREAM.len()]) {
            let piece = events.push(&STREAM[start..end]).expect("events");
            passed.extend_from_slice(&piece.bytes);
            count += piece.event_count;
            start = end;
        }
        prop_assert_eq!(&passed[..], STREAM);
        prop_assert_eq!(count, 3);
        prop_assert!(!events.has_partial_event());
        prop_assert_eq!(&events.into_data()[..], b"one\ntwo\nlines\nx\n");
    }
}
