//! Answers share a limit of memory.

use std::sync::Arc;

use gateway::Buffers;
use memory::Limiter;
use proptest::prelude::*;
use units::Bytes;

const TOTAL_MAX_BYTES: usize = 16 << 20;
const UNCOUNTED_MAX_BYTES: usize = 64 << 10;
const ANSWERS: usize = 40;

/// A limiter with room for all answers.
fn limiter() -> Arc<Limiter> {
    Arc::new(Limiter::new(Bytes(1 << 30)))
}

proptest! {
    // Endless answers on many connections exceeded the memory of a host, although each had a limit.
    #[test]
    fn all_answers_together_stay_within_the_limit(
        sizes in prop::collection::vec((0..ANSWERS, 0..2_usize << 20), 1..300)
    ) {
        let buffers = Buffers::new(limiter());
        let mut answers: Vec<_> = (0..ANSWERS).map(|_| (buffers.open(), 0)).collect();
        for (index, bytes) in sizes {
            let (buffer, held) = &mut answers[index];
            if buffer.resize(bytes) {
                *held = bytes;
            } else {
                prop_assert!(bytes > UNCOUNTED_MAX_BYTES && bytes > *held);
            }
            let total: usize = answers.iter().map(|(_, held)| held).sum();
            prop_assert!(total <= TOTAL_MAX_BYTES + ANSWERS * UNCOUNTED_MAX_BYTES);
        }
        drop(answers);
        prop_assert!(buffers.open().resize(TOTAL_MAX_BYTES + UNCOUNTED_MAX_BYTES));
    }
}

#[test]
fn an_ordinary_answer_is_held_when_the_limit_is_used_up() {
    let buffers = Buffers::new(limiter());
    let mut large = buffers.open();
    assert!(large.resize(TOTAL_MAX_BYTES + UNCOUNTED_MAX_BYTES));
    assert!(!buffers.open().resize(UNCOUNTED_MAX_BYTES + 1));
    assert!(buffers.open().resize(UNCOUNTED_MAX_BYTES));
}
