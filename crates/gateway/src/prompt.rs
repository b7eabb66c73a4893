//! Computes the queue rank of a request and the chunks of its prompt for load balancing.

use clients::Account;
use policy::{Chunk, PREFILL_US_PER_TOKEN, Urgency};
use units::Tokens;

use crate::call::Call;
use crate::environment::Route;

/// Returns what decides on the rank of a request in an engine's queue. The priority of its client
/// account goes before that of its route.
pub(crate) fn urgency(
    route: &Route,
    account: Option<&Account>,
    call: &Call,
    unread: Tokens,
) -> Urgency {
    let rank = account.and_then(|account| account.rank);
    Urgency {
        rank: rank.unwrap_or(route.rank),
        is_new: call.is_first_turn(),
        unread,
        read_us_per_token: PREFILL_US_PER_TOKEN,
        objective: route.objective,
        finish_within: call.finish_within,
    }
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
