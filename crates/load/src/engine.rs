//! Model of an endpoint: slots, a queue by rank, a prefix cache of limited size, slow periods.

use std::collections::{BTreeMap, HashMap};

use policy::Rank;
use units::{Program, Span, Time, Tokens};

use crate::workload::{CACHE_CAPACITY, PREFILL_TIME, SLOTS, SlowPeriod, TOKEN_TIME};

const TOKENS_PER_PART: u64 = 4;

/// One dispatch of a call as its endpoint runs it; `service_time` is zero for a model call.
#[derive(Clone, Debug)]
pub(crate) struct Execution {
    pub(crate) call: usize,
    pub(crate) endpoint: usize,
    pub(crate) program: Program,
    pub(crate) prompt: Tokens,
    pub(crate) cached: Tokens,
    pub(crate) generated: Tokens,
    pub(crate) started_at: Time,
    pub(crate) is_cancelled: bool,
    pub(crate) work: Span,
    answer: Tokens,
    service_time: Span,
    rank: Rank,
    is_prefilled: bool,
    is_running: bool,
}

impl Execution {
    pub(crate) fn new(
        call: usize,
        endpoint: usize,
        program: Program,
        prompt: Tokens,
        answer: Tokens,
        service_time: Span,
        rank: Rank,
    ) -> Self {
        Execution {
            call,
            endpoint,
            program,
            prompt,
            cached: Tokens(0),
            generated: Tokens(0),
            started_at: Time(0),
            is_cancelled: false,
            work: Span(0),
            answer,
            service_time,
            rank,
            is_prefilled: false,
            is_running: false,
        }
    }

    pub(crate) fn start(&mut self, cached: Tokens, now: Time) {
        self.cached = cached;
        self.started_at = now;
        self.is_running = true;
        self.is_prefilled = self.service_time > Span(0);
    }

    /// Completes the prefill or the current part of the answer; returns the tokens of that part.
    pub(crate) fn complete_part(&mut self) -> Tokens {
        if !self.is_prefilled {
            self.is_prefilled = true;
            self.work.0 += PREFILL_TIME.0 * self.prompt.minus(self.cached).0;
            return Tokens(0);
        }
        let tokens = self
            .answer
            .minus(self.generated)
            .min(Tokens(TOKENS_PER_PART));
        self.generated = self.generated.plus(tokens);
        self.work.0 += self.service_time.0
            + if self.service_time.0 > 0 {
                0
            } else {
                TOKEN_TIME.0 * tokens.0
            };
        tokens
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.generated >= self.answer
    }

    /// Slot time used so far, at full speed.
    pub(crate) fn work_done(&self, now: Time) -> Span {
        if self.is_running && self.work == Span(0) {
            // Cancelled before its first part was complete.
            return now
                .since(self.started_at)
                .min(self.service_time.max(TOKEN_TIME));
        }
        self.work
    }
}

/// A model engine or a plain service; `cache` holds the tokens and the last use of each program.
#[derive(Debug)]
pub(crate) struct Endpoint {
    slow_periods: Vec<SlowPeriod>,
    running: u32,
    queue: BTreeMap<(Rank, usize), ()>,
    cache: HashMap<Program, (Tokens, u64)>,
    use_counter: u64,
}

impl Endpoint {
    pub(crate) fn new(slow_periods: Vec<SlowPeriod>) -> Self {
        Endpoint {
            slow_periods,
            running: 0,
            queue: BTreeMap::new(),
            cache: HashMap::new(),
            use_counter: 0,
        }
    }

    pub(crate) fn enqueue(&mut self, index: usize, executions: &[Execution]) {
        if !executions[index].is_cancelled {
            self.queue.insert((executions[index].rank, index), ());
        }
    }

    /// Removes the first queued execution and gives it a slot, if one is free.
    pub(crate) fn dequeue(&mut self) -> Option<usize> {
        if self.running >= SLOTS {
            return None;
        }
        let ((_, index), ()) = self.queue.pop_first()?;
        self.running += 1;
        Some(index)
    }

    /// Time until the prefill or the next part of a running execution is complete.
    pub(crate) fn time_to_next_part(&self, execution: &Execution, now: Time) -> Span {
        let full_speed = if execution.service_time > Span(0) {
            execution.service_time.0
        } else if execution.is_prefilled {
            TOKEN_TIME.0
                * execution
                    .answer
                    .minus(execution.generated)
                    .0
                    .min(TOKENS_PER_PART)
        } else {
            PREFILL_TIME.0 * execution.prompt.minus(execution.cached).0
        };
        Span((full_speed as f64 * self.slowness(now)) as u64)
    }

    fn slowness(&self, now: Time) -> f64 {
        self.slow_periods
            .iter()
            .filter(|period| period.start <= now && now < period.end)
            .map(|period| period.factor)
            .fold(1.0, f64::max)
    }

    pub(crate) fn finish(&mut self, execution: &Execution) {
        self.running -= 1;
        if execution.service_time == Span(0) {
            self.use_counter += 1;
            let tokens = execution.prompt.plus(execution.generated);
            self.cache
                .insert(execution.program, (tokens, self.use_counter));
            self.evict();
        }
    }

    fn evict(&mut self) {
        let mut total: u64 = self.cache.values().map(|(tokens, _)| tokens.0).sum();
        while total > CACHE_CAPACITY.0 {
            let oldest = self.cache.iter().min_by_key(|(_, (_, last_use))| *last_use);
            let Some((program, tokens)) = oldest.map(|(program, (tokens, _))| (*program, *tokens))
            else {
                return;
            };
            total -= tokens.0;
            self.cache.remove(&program);
        }
    }

    pub(crate) fn cancel(&mut self, index: usize, execution: &Execution) {
        if execution.is_running {
            self.running -= 1;
        } else {
            self.queue.remove(&(execution.rank, index));
        }
    }

    /// Tokens cached for a program.
    pub(crate) fn cached_tokens(&self, program: Program) -> Tokens {
        self.cache
            .get(&program)
            .map_or(Tokens(0), |cached| cached.0)
    }

    /// Tokens cached for a program; records the use, which defers eviction.
    pub(crate) fn use_cached_tokens(&mut self, program: Program) -> Tokens {
        self.use_counter += 1;
        let last_use = self.use_counter;
        self.cache.get_mut(&program).map_or(Tokens(0), |cached| {
            cached.1 = last_use;
            cached.0
        })
    }

    pub(crate) fn drop_cached(&mut self, program: Program) {
        self.cache.remove(&program);
    }

    /// Number of calls running or waiting.
    pub(crate) fn call_count(&self) -> u32 {
        self.running + self.queue.len() as u32
    }
}
