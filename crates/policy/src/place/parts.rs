//! Parts of prompts that several programs share.

use std::collections::HashMap;

use units::{Span, Time};

use super::Chunk;

/// Time after its last use for which a part is remembered.
const LIFETIME: Span = Span::from_ms(60_000);
/// Largest number of parts remembered.
const PARTS_MAX: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct Part {
    /// Hash key of the program that used the part first.
    first_key: u64,
    is_shared: bool,
    used_at: Time,
}

/// The parts of prompts that this host has sent, and whether more than one program used them.
#[derive(Clone, Debug, Default)]
pub(super) struct SharedParts {
    parts: HashMap<u64, Part>,
}

impl SharedParts {
    /// Returns how many chunks at the start of a prompt are shared with other programs. The last chunk
    /// belongs to its request. A first chunk that this host never sent counts as shared if the prompt
    /// begins a program, as `is_first` says.
    pub(super) fn count(&self, chunks: &[Chunk], is_first: bool) -> usize {
        let [first, .., _] = chunks else {
            return 0;
        };
        if !self.parts.contains_key(&first.id) {
            return usize::from(is_first);
        }
        let is_shared = |chunk: &&Chunk| {
            let part = self.parts.get(&chunk.id);
            part.is_some_and(|part| part.is_shared)
        };
        let before_last = &chunks[..chunks.len() - 1];
        before_last.iter().take_while(is_shared).count()
    }

    /// Records that the program of `key` uses `chunks`.
    pub(super) fn record(&mut self, chunks: &[Chunk], key: u64, now: Time) {
        let Some((_, before_last)) = chunks.split_last() else {
            return;
        };
        if self.parts.len() + before_last.len() > PARTS_MAX {
            self.parts
                .retain(|_, part| now.since(part.used_at) < LIFETIME);
        }
        if self.parts.len() + before_last.len() > PARTS_MAX {
            self.parts.clear();
        }
        for chunk in before_last {
            let part = self.parts.entry(chunk.id).or_insert(Part {
                first_key: key,
                is_shared: false,
                used_at: now,
            });
            part.is_shared |= part.first_key != key;
            part.used_at = now;
        }
    }
}
