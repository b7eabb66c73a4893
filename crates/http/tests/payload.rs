//! Bodies in pieces.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_io::{Payload, Segments};
use hyper::body::Body;
use proptest::prelude::*;

/// Longest frame: a part of the buffer of a connection.
const FRAME_MAX_BYTES: usize = 8 << 10;

proptest! {
    // A long text was copied as a whole into the buffer of each connection.
    #[test]
    fn a_payload_is_its_pieces_in_short_frames(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..60_000), 0..6),
    ) {
        let mut payload: Payload = pieces.iter().cloned().map(Bytes::from).collect();
        let expected = pieces.concat();
        prop_assert_eq!(payload.size_hint().exact(), Some(expected.len() as u64));
        let mut received = Vec::new();
        while let Some(frame) = smol::block_on(payload.frame()) {
            let data = frame.expect("no error").into_data().expect("data");
            prop_assert!(!data.is_empty() && data.len() <= FRAME_MAX_BYTES);
            received.extend_from_slice(&data);
            prop_assert_eq!(payload.len(), (expected.len() - received.len()) as u64);
        }
        prop_assert!(payload.is_end_stream() && payload.is_empty());
        prop_assert_eq!(received, expected);
    }

    // Chunks may have any length, and each kept a buffer of its own.
    #[test]
    fn a_body_arrives_in_any_chunks(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..20_000), 0..8),
        is_announced in any::<bool>(),
    ) {
        let expected = chunks.concat();
        let announced = if is_announced { expected.len() } else { 1 << 20 };
        let [mut in_one, mut in_pieces] = [Segments::new(), Segments::new()];
        for chunk in &chunks {
            let bound = in_one.capacity_after(chunk.len());
            in_one.push(chunk, announced - in_one.len());
            in_pieces.push(chunk, announced - in_pieces.len());
            prop_assert!(in_one.len() <= bound && bound < in_one.len() + (16 << 10));
        }
        let pieces: Vec<Bytes> = in_pieces.into_payload().into_iter().collect();
        prop_assert!(pieces.len() <= expected.len().div_ceil(16 << 10));
        prop_assert_eq!(pieces.concat(), expected.clone());
        prop_assert_eq!(in_one.into_bytes(), expected);
    }
}
