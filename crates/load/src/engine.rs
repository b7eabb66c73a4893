//! The model of an endpoint: slots, a queue by rank, a prefix cache in limited memory, slow times.

use std::collections::{BTreeMap, HashMap};

use policy::Rank;
use units::{Program, Span, Time, Tokens};

use crate::workload::{CACHE, PREFILL_TIME, SLOTS, TOKEN_TIME, Window};

const PART_TOKENS: u64 = 4;

/// One dispatch at an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Exec {
    pub(crate) call: usize,
    pub(crate) engine: usize,
    pub(crate) program: Program,
    pub(crate) prompt: Tokens,
    pub(crate) cached: Tokens,
    pub(crate) made: Tokens,
    pub(crate) began: Time,
    pub(crate) cancelled: bool,
    pub(crate) work: Span,
    answer: Tokens,
    length: Span,
    rank: Rank,
    prefilled: bool,
    running: bool,
}

impl Exec {
    pub(crate) fn new(
        call: usize,
        engine: usize,
        program: Program,
        prompt: Tokens,
        answer: Tokens,
        length: Span,
        rank: Rank,
    ) -> Self {
        Exec {
            call,
            engine,
            program,
            prompt,
            cached: Tokens(0),
            made: Tokens(0),
            began: Time(0),
            cancelled: false,
            work: Span(0),
            answer,
            length,
            rank,
            prefilled: false,
            running: false,
        }
    }

    pub(crate) fn begin(&mut self, cached: Tokens, now: Time) {
        self.cached = cached;
        self.began = now;
        self.running = true;
        self.prefilled = self.length > Span(0);
    }

    /// Completes what was under way; the tokens that came.
    pub(crate) fn advance(&mut self) -> Tokens {
        if !self.prefilled {
            self.prefilled = true;
            self.work.0 += PREFILL_TIME.0 * self.prompt.minus(self.cached).0;
            return Tokens(0);
        }
        let tokens = self.answer.minus(self.made).min(Tokens(PART_TOKENS));
        self.made = self.made.plus(tokens);
        self.work.0 += self.length.0
            + if self.length.0 > 0 {
                0
            } else {
                TOKEN_TIME.0 * tokens.0
            };
        tokens
    }

    pub(crate) fn is_done(&self) -> bool {
        self.made >= self.answer
    }

    /// Slot time at full speed that it has taken.
    pub(crate) fn worked(&self, now: Time) -> Span {
        if self.running && self.work == Span(0) {
            // It was cancelled in its first part.
            return now.since(self.began).min(self.length.max(TOKEN_TIME));
        }
        self.work
    }
}

/// An endpoint.
#[derive(Debug)]
pub(crate) struct Engine {
    windows: Vec<Window>,
    running: u32,
    limited: u32,
    queue: BTreeMap<(Rank, usize), ()>,
    cache: HashMap<Program, (Tokens, u64)>,
    uses: u64,
}

impl Engine {
    pub(crate) fn new(windows: Vec<Window>) -> Self {
        Engine {
            windows,
            running: 0,
            limited: 0,
            queue: BTreeMap::new(),
            cache: HashMap::new(),
            uses: 0,
        }
    }

    pub(crate) fn push(&mut self, number: usize, execs: &[Exec]) {
        if !execs[number].cancelled {
            self.queue.insert((execs[number].rank, number), ());
        }
    }

    /// Takes the next call that may have a slot.
    pub(crate) fn pop(&mut self, execs: &[Exec]) -> Option<usize> {
        if self.running >= SLOTS {
            return None;
        }
        let limited = self.limited;
        let may_run = |rank: &Rank| rank.slots_max(SLOTS).is_none_or(|most| limited < most);
        let key = *self.queue.keys().find(|(rank, _)| may_run(rank))?;
        self.queue.remove(&key);
        self.running += 1;
        self.limited += u32::from(execs[key.1].rank.slots_max(SLOTS).is_some());
        Some(key.1)
    }

    /// Time until the next part of a running call is done.
    pub(crate) fn next(&self, exec: &Exec, now: Time) -> Span {
        let nominal = if exec.length > Span(0) {
            exec.length.0
        } else if exec.prefilled {
            TOKEN_TIME.0 * exec.answer.minus(exec.made).0.min(PART_TOKENS)
        } else {
            PREFILL_TIME.0 * exec.prompt.minus(exec.cached).0
        };
        Span((nominal as f64 * self.slowness(now)) as u64)
    }

    fn slowness(&self, now: Time) -> f64 {
        self.windows
            .iter()
            .filter(|window| window.from <= now && now < window.to)
            .map(|window| window.factor)
            .fold(1.0, f64::max)
    }

    pub(crate) fn finish(&mut self, exec: &Exec) {
        self.free(exec);
        if exec.length == Span(0) {
            self.uses += 1;
            let tokens = exec.prompt.plus(exec.made);
            self.cache.insert(exec.program, (tokens, self.uses));
            self.evict();
        }
    }

    fn free(&mut self, exec: &Exec) {
        self.running -= 1;
        self.limited -= u32::from(exec.rank.slots_max(SLOTS).is_some());
    }

    fn evict(&mut self) {
        let mut total: u64 = self.cache.values().map(|(tokens, _)| tokens.0).sum();
        while total > CACHE.0 {
            let oldest = self.cache.iter().min_by_key(|(_, (_, used))| *used);
            let Some((program, tokens)) = oldest.map(|(program, (tokens, _))| (*program, *tokens))
            else {
                return;
            };
            total -= tokens.0;
            self.cache.remove(&program);
        }
    }

    pub(crate) fn cancel(&mut self, number: usize, exec: &Exec) {
        if exec.running {
            self.free(exec);
        } else {
            self.queue.remove(&(exec.rank, number));
        }
    }

    /// Tokens held for a program.
    pub(crate) fn held(&self, program: Program) -> Tokens {
        self.cache.get(&program).map_or(Tokens(0), |held| held.0)
    }

    /// Tokens held for a program that is used now.
    pub(crate) fn take(&mut self, program: Program) -> Tokens {
        self.uses += 1;
        let uses = self.uses;
        self.cache.get_mut(&program).map_or(Tokens(0), |held| {
            held.1 = uses;
            held.0
        })
    }

    pub(crate) fn release(&mut self, program: Program) {
        self.cache.remove(&program);
    }

    /// Calls running or waiting.
    pub(crate) fn calls(&self) -> u32 {
        self.running + self.queue.len() as u32
    }
}
