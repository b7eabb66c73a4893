//! Which programs an entry answers for: the engine's memory of all others is freed.
//!
//! An entry claims a program by dispatching its calls, or when it is asked, and for as long as it
//! watches this sidecar. Invariants:
//! - Memory of a program that nobody claims is freed after [`GRACE_PERIOD`].
//! - A claim outlives neither the program's release nor its entry's watch, and is asked for anew when
//!   the entry watches again, as a release may have been lost in between.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use units::{Incarnation, Program, Span, Time};
use wire::LIST_MAX_ITEMS;

/// Time for which a program may be held without a claim.
pub const GRACE_PERIOD: Span = Span::from_ms(3_000);

/// Time between two questions for programs within their grace.
pub const QUERY_INTERVAL: Span = Span::from_ms(1_000);

/// Time between two questions for programs past it.
pub const QUERY_INTERVAL_AFTER_GRACE: Span = Span::from_ms(30_000);

/// The claims of entries, as a pure state machine.
#[derive(Debug, Default)]
pub struct Claims {
    claims: HashMap<Program, Incarnation>,
    watches: HashMap<Incarnation, u32>,
    unclaimed: BTreeMap<Program, Time>,
}

impl Claims {
    /// No claims.
    pub fn new() -> Self {
        Claims::default()
    }

    /// An entry answers for a program; without a watch it could not be asked again.
    pub fn claim(&mut self, entry: Incarnation, program: Program) {
        if self.watches.contains_key(&entry) {
            self.claims.insert(program, entry);
            self.unclaimed.remove(&program);
        }
    }

    /// A program has ended.
    pub fn release(&mut self, program: Program) {
        self.claims.remove(&program);
    }

    /// An entry begins to watch.
    pub fn watch(&mut self, entry: Incarnation) {
        self.drop_claims(entry);
        *self.watches.entry(entry).or_default() += 1;
    }

    /// A watch has ended.
    pub fn unwatch(&mut self, entry: Incarnation) {
        let Some(count) = self.watches.get_mut(&entry) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.watches.remove(&entry);
            self.drop_claims(entry);
        }
    }

    fn drop_claims(&mut self, entry: Incarnation) {
        self.claims.retain(|_, claimant| *claimant != entry);
    }

    /// Notes which programs are held at `now`; returns those whose grace has passed.
    pub fn update_held(&mut self, held: &BTreeSet<Program>, now: Time) -> Vec<Program> {
        let claims = &self.claims;
        self.unclaimed
            .retain(|program, _| held.contains(program) && !claims.contains_key(program));
        for program in held.iter().filter(|program| !claims.contains_key(program)) {
            self.unclaimed.entry(*program).or_insert(now);
        }
        let late = |since: &Time| now.since(*since) >= GRACE_PERIOD;
        let due = self.unclaimed.iter().filter(|(_, since)| late(since));
        due.map(|(program, _)| *program).collect()
    }

    /// The programs that a watcher who was last asked at `asked` is to be asked for.
    pub fn programs_to_query(&self, asked: Option<Time>, now: Time) -> Vec<Program> {
        let waited = asked.map(|asked| now.since(asked));
        let due = |since: &Time| {
            let interval = if now.since(*since) < GRACE_PERIOD {
                QUERY_INTERVAL
            } else {
                QUERY_INTERVAL_AFTER_GRACE
            };
            waited.is_none_or(|waited| waited >= interval)
        };
        let unclaimed = self.unclaimed.iter().filter(|(_, since)| due(since));
        let programs = unclaimed.map(|(program, _)| *program);
        programs.take(LIST_MAX_ITEMS).collect()
    }
}
