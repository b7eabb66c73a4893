//! The choice of an endpoint.

use std::fmt;

use rand::Rng;
use units::{Span, Tokens};

/// What a call needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens expected to be generated.
    pub generated: Tokens,
}

/// An endpoint that could run the call, as the entry sees it now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Calls that it runs at a time.
    pub slots: u32,
    /// Calls that this entry has there without an answer.
    pub outstanding: u32,
    /// Calls running or waiting there as it last reported.
    pub reported: u32,
    /// Tokens of the prompt that its cache probably holds.
    pub cached: Tokens,
    /// Time per generated token.
    pub token_time: Span,
    /// Time per prompt token that is not cached.
    pub prefill_time: Span,
    /// Cost of crossing to its region.
    pub link_cost: Span,
}

/// The endpoint chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Its index among the candidates.
    pub index: usize,
    /// Why.
    pub why: Why,
}

/// The figures behind a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Why {
    /// Expected time to completion.
    pub expected: Span,
    /// Candidates compared.
    pub compared: usize,
    /// Tokens expected in the cache.
    pub cached: Tokens,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "least expected completion {} of {} compared, {} tokens cached",
            self.expected, self.compared, self.cached
        )
    }
}

/// Chooses the candidate with the least expected completion; ties go to a random one.
pub fn route(request: &Request, candidates: &[Candidate], rng: &mut impl Rng) -> Option<Choice> {
    let offset = if candidates.is_empty() {
        0
    } else {
        rng.random_range(0..candidates.len())
    };
    let order = (0..candidates.len()).map(|index| (index + offset) % candidates.len());
    let best = order.min_by_key(|index| expected(request, &candidates[*index]))?;
    let why = Why {
        expected: expected(request, &candidates[best]),
        compared: candidates.len(),
        cached: candidates[best].cached,
    };
    Some(Choice { index: best, why })
}

/// Expected time to completion: waiting for a slot, the missing prefix, the answer and the link.
fn expected(request: &Request, candidate: &Candidate) -> Span {
    let missing = request.prompt.minus(candidate.cached).0;
    let service = candidate.token_time.0 * request.generated.0;
    let ahead = u64::from(candidate.outstanding.max(candidate.reported));
    let waiting = service * ahead / u64::from(candidate.slots.max(1));
    let prefill = candidate.prefill_time.0 * missing;
    Span(waiting + prefill + service + candidate.link_cost.0)
}
