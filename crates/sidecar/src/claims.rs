//! Records which entry claims which program. Engine memory of unclaimed programs is freed.
//!
//! An entry that watches this sidecar claims a program by dispatching a call of the program, or
//! in reply to a `Held` frame. Invariants:
//! - Engine memory of a program that no entry claims is freed after [`GRACE_PERIOD`].
//! - A claim ends with the program's release or with its entry's watch. When the entry watches
//!   again, it must renew the claim, because a release may have been lost in between.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use units::{Incarnation, Program, Span, Time};
use wire::LIST_MAX_ITEMS;

/// Time for which the engine may hold memory of a program without a claim.
pub const GRACE_PERIOD: Span = Span::from_ms(3_000);

/// Minimum time between two `Held` frames to one entry for programs within their grace period.
pub const QUERY_INTERVAL: Span = Span::from_ms(1_000);

/// Minimum time between two `Held` frames to one entry for programs past their grace period.
pub const QUERY_INTERVAL_AFTER_GRACE: Span = Span::from_ms(30_000);

/// Claims of entries on programs, as a pure state machine.
#[derive(Debug, Default)]
pub struct Claims {
    claims: HashMap<Program, Incarnation>,
    watches: HashMap<Incarnation, u32>,
    /// Held programs without a claim, with the time since which they have been unclaimed.
    unclaimed: BTreeMap<Program, Time>,
}

impl Claims {
    /// Creates an empty record without claims or watches.
    pub fn new() -> Self {
        Claims::default()
    }

    /// Records that an entry claims a program. Has no effect if the entry has no watch, because the
    /// claim could not be renewed without one.
    pub fn claim(&mut self, entry: Incarnation, program: Program) {
        if self.watches.contains_key(&entry) {
            self.claims.insert(program, entry);
            self.unclaimed.remove(&program);
        }
    }

    /// Removes the claim on a program that has ended.
    pub fn release(&mut self, program: Program) {
        self.claims.remove(&program);
    }

    /// Records that an entry has begun a watch; its earlier claims must be renewed.
    pub fn watch(&mut self, entry: Incarnation) {
        self.drop_claims(entry);
        *self.watches.entry(entry).or_default() += 1;
    }

    /// Records that a watch of an entry has ended; its claims end with its last watch.
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

    /// Records the programs held at `now`. Returns the unclaimed ones past their grace period.
    pub fn update_held(&mut self, held: &BTreeSet<Program>, now: Time) -> Vec<Program> {
        let claims = &self.claims;
        self.unclaimed
            .retain(|program, _| held.contains(program) && !claims.contains_key(program));
        for program in held.iter().filter(|program| !claims.contains_key(program)) {
            self.unclaimed.entry(*program).or_insert(now);
        }
        let is_due = |since: &Time| now.since(*since) >= GRACE_PERIOD;
        let due = self.unclaimed.iter().filter(|(_, since)| is_due(since));
        due.map(|(program, _)| *program).collect()
    }

    /// Returns the unclaimed programs to send to an entry in a `Held` frame now. `queried_at` is
    /// when the previous one was sent.
    pub fn programs_to_query(&self, queried_at: Option<Time>, now: Time) -> Vec<Program> {
        let elapsed = queried_at.map(|queried_at| now.since(queried_at));
        let is_due = |since: &Time| {
            let interval = if now.since(*since) < GRACE_PERIOD {
                QUERY_INTERVAL
            } else {
                QUERY_INTERVAL_AFTER_GRACE
            };
            elapsed.is_none_or(|elapsed| elapsed >= interval)
        };
        let unclaimed = self.unclaimed.iter().filter(|(_, since)| is_due(since));
        let programs = unclaimed.map(|(program, _)| *program);
        programs.take(LIST_MAX_ITEMS).collect()
    }
}
