//! The order of calls in a queue.

use units::Tokens;

const PRECEDENCE_MAX: u32 = 255;
const ATTAINED_BITS: u32 = 32;

/// Rank of a call in queues; lower goes first. Classes of higher precedence go before others;
/// within a class the program with the least attained service goes first (least attained service,
/// applied to whole programs).
pub fn rank(precedence: u32, attained: Tokens) -> u64 {
    let class = u64::from(PRECEDENCE_MAX - precedence.min(PRECEDENCE_MAX));
    let service = attained.0.min((1 << ATTAINED_BITS) - 1);
    class << ATTAINED_BITS | service
}
