//! Computes the queue rank of a request and the chunks of its prompt for load balancing.

use clients::Account;
use policy::Chunk;

use crate::call::Call;
use crate::environment::Route;

/// Returns the rank of a request in an endpoint's queue: by the rank of its client account or else of
/// its route, and within a rank, requests of running programs before those of new ones.
pub(crate) fn queue_urgency(route: &Route, account: Option<&Account>, call: &Call) -> u8 {
    let rank = account.and_then(|account| account.rank);
    let rank = rank.unwrap_or(route.rank);
    (2 * rank.min(3) + u8::from(call.is_first_turn()) + 1).min(9)
}

/// Returns the prompt's parts, each identified together with all parts before it.
pub(crate) fn chunks(call: &Call) -> Vec<Chunk> {
    let mut prefix_id = 0;
    call.prompt_parts
        .iter()
        .map(|part| {
            prefix_id = mix(prefix_id, part.id);
            Chunk {
                id: prefix_id,
                tokens: part.tokens,
            }
        })
        .collect()
}

fn mix(hash: u64, value: u64) -> u64 {
    let mixed = (hash ^ value).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 32)
}

/// Hashes a text to the same value on each host.
pub(crate) fn stable_hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        mix(hash, u64::from(byte))
    })
}

/// Hashes a text to a number from 0 to 1.
pub(crate) fn unit_hash(text: &str) -> f64 {
    stable_hash(text) as f64 / u64::MAX as f64
}
