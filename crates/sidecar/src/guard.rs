//! The at-most-once guard: what became of each call, as a pure state machine.
//!
//! A dispatch carries the epoch that its entry had heard of before the dispatch's intent was recorded.
//! One that is two epochs old is refused, so that what only serves to stop a late dispatch, a
//! tombstone, may be forgotten two epochs after it was made. Invariants:
//! - A call is run at most once in this incarnation, whatever is dispatched, queried or cancelled in
//!   whatever order.
//! - "Did not run" is said only of calls that have not run and never will.
//! - An answer is retained until its call is saved or its program released; when there is no room for
//!   more, new work is refused.
//! - What is kept is bounded by the calls of the last epochs and by `retain_max`.

use std::collections::{BTreeMap, VecDeque};
use std::ops::RangeInclusive;
use std::rc::Rc;

use units::{Bytes, Call, Incarnation, Program, Seq};
use wire::{Answer, Dispatch, Done, Epoch, Ran, Reason, Refused, State};

/// How a call ended at the endpoint.
pub type Outcome = std::result::Result<Done, Refused>;

/// What is known of a call.
#[derive(Clone, Debug)]
enum Entry {
    /// It was taken on; its answer grows or is complete.
    Taken(Rc<Answer<Outcome>>),
    /// It did not run and never will.
    Tombstone,
}

/// Up to where a program's calls are settled elsewhere.
#[derive(Clone, Copy, Debug)]
struct Floor {
    seq: Seq,
    /// When it was last raised; it may be forgotten two epochs later.
    since: Epoch,
}

/// What to do with a dispatch.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// Run it and write the answer here.
    Run(Rc<Answer<Outcome>>),
    /// It was taken on before: follow this answer.
    Attach(Rc<Answer<Outcome>>),
    /// Reject it.
    Reject(Refused),
}

/// What became of each call of this incarnation.
#[derive(Debug)]
pub struct Guard {
    incarnation: Incarnation,
    epoch: Epoch,
    entries: BTreeMap<Call, Entry>,
    floors: BTreeMap<Program, Floor>,
    /// Calls that may be forgotten two epochs after this one.
    expiring: VecDeque<(Epoch, Call)>,
    retained: u64,
    retain_max: Bytes,
    leaving: bool,
}

impl Guard {
    /// An empty guard of `incarnation` that retains at most `retain_max` of answers.
    pub fn new(incarnation: Incarnation, retain_max: Bytes) -> Self {
        Guard {
            incarnation,
            epoch: Epoch::default(),
            entries: BTreeMap::new(),
            floors: BTreeMap::new(),
            expiring: VecDeque::new(),
            retained: 0,
            retain_max,
            leaving: false,
        }
    }

    /// Decides on a dispatch; `room` tells whether the queue can take one more.
    pub fn dispatch(&mut self, dispatch: &Dispatch, room: bool) -> Verdict {
        let call = dispatch.call;
        if dispatch.sidecar != self.incarnation {
            return reject(Ran::Unknown, Reason::Incarnation);
        }
        match self.entries.get(&call) {
            Some(Entry::Taken(answer)) => return Verdict::Attach(answer.clone()),
            // That the call ran may have been forgotten before the tombstone was made.
            _ if self.is_stale(dispatch.epoch) => return reject(Ran::Unknown, Reason::Stale),
            Some(Entry::Tombstone) => return reject(Ran::No, Reason::Tombstone),
            None if self.is_settled(call) => return reject(Ran::Unknown, Reason::Unretained),
            None => {}
        }
        if let Some(reason) = self.refusal(room) {
            // The rejection is final, so that the caller may be told that the call did not run.
            self.bury(call);
            return reject(Ran::No, reason);
        }
        let answer = Rc::new(Answer::new());
        self.entries.insert(call, Entry::Taken(answer.clone()));
        Verdict::Run(answer)
    }

    /// Why no new work is taken on now.
    fn refusal(&self, room: bool) -> Option<Reason> {
        if self.leaving {
            Some(Reason::Leaving)
        } else if !room || self.retained >= self.retain_max.0 {
            Some(Reason::Full)
        } else {
            None
        }
    }

    /// Whether tombstones made since then may have been forgotten.
    fn is_stale(&self, epoch: Epoch) -> bool {
        epoch.next() < self.epoch
    }

    /// Whether the call was settled elsewhere; whether it ran here may have been forgotten.
    fn is_settled(&self, call: Call) -> bool {
        self.floors
            .get(&call.program)
            .is_some_and(|floor| call.seq <= floor.seq)
    }

    /// Declares a call as never to run.
    fn bury(&mut self, call: Call) {
        self.entries.insert(call, Entry::Tombstone);
        self.expiring.push_back((self.epoch, call));
    }

    /// Answers a query; an unknown call is declared as never to run.
    pub fn query(&mut self, call: Call) -> State {
        match self.entries.get(&call) {
            Some(Entry::Tombstone) => State::Tombstone,
            Some(Entry::Taken(answer)) => match answer.end() {
                None => State::Running,
                Some(Ok(done)) => State::Retained(done),
                Some(Err(refused)) => State::Refused(refused),
            },
            None if self.is_settled(call) => State::Refused(unretained()),
            None => {
                self.bury(call);
                State::Tombstone
            }
        }
    }

    /// The answer of a call that was taken on.
    pub fn answer(&self, call: Call) -> Option<Rc<Answer<Outcome>>> {
        match self.entries.get(&call) {
            Some(Entry::Taken(answer)) => Some(answer.clone()),
            Some(Entry::Tombstone) | None => None,
        }
    }

    /// Ends a call that was taken on; its answer is retained, if there is one.
    pub fn finish(&mut self, call: Call, end: Outcome) {
        let Some(answer) = self.answer(call).filter(|answer| answer.end().is_none()) else {
            return;
        };
        match &end {
            Ok(_) => self.retained += answer.len() as u64,
            Err(refused) if refused.ran == Ran::No => self.expiring.push_back((self.epoch, call)),
            Err(_) => {}
        }
        answer.finish(end);
        if self.is_settled(call) {
            self.settle(call);
        }
    }

    /// Frees what is kept of calls whose answers are durable elsewhere, and of those before them.
    pub fn record_saved(&mut self, calls: &[Call]) {
        for call in calls {
            self.raise(call.program, call.seq);
        }
    }

    /// Frees what is kept of a program that has ended; returns its calls that are still running.
    pub fn release(&mut self, program: Program) -> Vec<Call> {
        self.raise(program, Seq(u64::MAX));
        self.running(program)
    }

    fn running(&self, program: Program) -> Vec<Call> {
        let calls = self.entries.range(calls_of(program, Seq(u64::MAX)));
        let is_running =
            |entry: &Entry| matches!(entry, Entry::Taken(answer) if answer.end().is_none());
        calls
            .filter(|(_, entry)| is_running(entry))
            .map(|(call, _)| *call)
            .collect()
    }

    /// Settles a program's calls up to `seq`: the program's history goes beyond them.
    fn raise(&mut self, program: Program, seq: Seq) {
        let since = self.epoch;
        let floor = self.floors.entry(program).or_insert(Floor { seq, since });
        floor.seq = floor.seq.max(seq);
        floor.since = since;
        let calls = self.entries.range(calls_of(program, seq));
        let calls: Vec<Call> = calls.map(|(call, _)| *call).collect();
        calls.into_iter().for_each(|call| self.settle(call));
    }

    /// Frees the answer of a settled call unless it is still growing.
    fn settle(&mut self, call: Call) {
        let Some(Entry::Taken(answer)) = self.entries.get(&call) else {
            return;
        };
        match answer.end() {
            None => return,
            Some(Ok(_)) => self.retained -= answer.len() as u64,
            // It is a tombstone under another name.
            Some(Err(refused)) if refused.ran == Ran::No => return,
            Some(Err(_)) => {}
        }
        self.entries.remove(&call);
    }

    /// Begins the next epoch and forgets what only stopped dispatches that are refused from now on.
    pub fn advance_epoch(&mut self) {
        self.epoch = self.epoch.next();
        let epoch = self.epoch;
        let is_old = |since: Epoch| since.next() < epoch;
        while let Some((_, call)) = self.expiring.pop_front_if(|(since, _)| is_old(*since)) {
            self.entries.remove(&call);
        }
        // What still runs of a settled program is to be freed when it ends.
        let old = self.floors.iter().filter(|(_, floor)| is_old(floor.since));
        let old: Vec<Program> = old.map(|(program, _)| *program).collect();
        for program in old {
            if self.running(program).is_empty() {
                self.floors.remove(&program);
            }
        }
    }

    /// The epoch now.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Programs of which answers are kept, or calls that may have run, until they are saved or released.
    pub fn programs(&self) -> Vec<Program> {
        let taken = |entry: &Entry| matches!(entry, Entry::Taken(_));
        let entries = self.entries.iter().filter(|(_, entry)| taken(entry));
        let mut programs: Vec<Program> = entries.map(|(call, _)| call.program).collect();
        // Calls are in the order of their programs.
        programs.dedup();
        programs
    }

    /// Whether a program was released of late.
    pub fn is_released(&self, program: Program) -> bool {
        let floor = self.floors.get(&program);
        floor.is_some_and(|floor| floor.seq == Seq(u64::MAX))
    }

    /// Accepts no new work from now on.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Whether new work is refused.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Bytes of answers retained.
    pub fn retained(&self) -> Bytes {
        Bytes(self.retained)
    }

    /// Calls of which something is kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.floors.is_empty()
    }
}

/// The calls of a program up to `seq`.
fn calls_of(program: Program, seq: Seq) -> RangeInclusive<Call> {
    let first = Call {
        program,
        seq: Seq(0),
        attempt: 0,
    };
    let last = Call {
        program,
        seq,
        attempt: u32::MAX,
    };
    first..=last
}

fn reject(ran: Ran, reason: Reason) -> Verdict {
    Verdict::Reject(Refused { ran, reason })
}

fn unretained() -> Refused {
    Refused {
        ran: Ran::Unknown,
        reason: Reason::Unretained,
    }
}
