//! What a request says of its prompt, for the placing and the endpoint's queue.

use policy::Chunk;

use crate::call::Call;
use crate::environment::Route;

/// The rank of a request in an endpoint's queue: by route, and programs under way before new ones.
pub(crate) fn urgency(route: &Route, call: &Call) -> u8 {
    let under_way = u8::from(call.previous_turn.is_none() && call.prompt_parts.len() <= 2);
    (2 * route.rank.min(3) + under_way + 1).min(9)
}

/// The prompt's parts, each identified together with those before it.
pub(crate) fn chunks(call: &Call) -> Vec<Chunk> {
    let mut before = 0;
    call.prompt_parts
        .iter()
        .map(|part| {
            before = mix(before, part.id);
            Chunk {
                id: before,
                tokens: part.tokens,
            }
        })
        .collect()
}

fn mix(before: u64, id: u64) -> u64 {
    let mixed = (before ^ id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 32)
}

/// A hash that is the same at each host.
pub(crate) fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        mix(hash, u64::from(byte))
    })
}

/// A point from 0 to 1 for a text.
pub(crate) fn point(text: &str) -> f64 {
    hash(text) as f64 / u64::MAX as f64
}
