//! At-most-once guard: records the state of each call, as a pure state machine.
//!
//! A dispatch carries the last epoch that its entry received before recording the call's intent. A
//! dispatch that is two epochs old is refused. A tombstone only stops dispatches made up to its own
//! epoch, so it can be removed two epochs after it was created. Invariants:
//! - This incarnation runs a call at most once, whatever the order of dispatches, queries and
//!   cancellations.
//! - "Did not run" is reported only for calls that have not run and never will.
//! - An answer is retained until its call is saved or its program is released. While there is no
//!   room for more answers, new work is refused.
//! - The records are bounded by the calls of the last epochs and by `retain_max`.

use std::collections::{BTreeMap, VecDeque};
use std::ops::RangeInclusive;
use std::rc::Rc;

use units::{Bytes, Call, Incarnation, Program, Seq};
use wire::{Answer, Dispatch, Done, Epoch, Ran, Reason, Refused, State};

/// Result of a call at the endpoint.
pub type Outcome = std::result::Result<Done, Refused>;

/// Record of a call.
#[derive(Clone, Debug)]
enum Record {
    /// The call was accepted; its answer is growing or has ended.
    Accepted(Rc<Answer<Outcome>>),
    /// The call did not run and never will.
    Tombstone,
}

/// Upper limit of a program's settled calls, whose outcomes are recorded elsewhere.
#[derive(Clone, Copy, Debug)]
struct Watermark {
    seq: Seq,
    /// Epoch of the last update; the watermark may be removed two epochs later.
    updated_in: Epoch,
}

/// Decision on a dispatch.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// The call runs and its answer is written here.
    Run(Rc<Answer<Outcome>>),
    /// The call was accepted before; this is its answer.
    Attach(Rc<Answer<Outcome>>),
    /// The dispatch is rejected.
    Reject(Refused),
}

/// Records of the calls that this incarnation has received.
#[derive(Debug)]
pub struct Guard {
    incarnation: Incarnation,
    epoch: Epoch,
    records: BTreeMap<Call, Record>,
    watermarks: BTreeMap<Program, Watermark>,
    /// Calls that did not run, with the epoch of that decision; removed two epochs later.
    expiring: VecDeque<(Epoch, Call)>,
    retained_bytes: u64,
    retain_max: Bytes,
    leaving: bool,
}

impl Guard {
    /// Creates an empty guard. It refuses new work while `retain_max` or more is retained.
    pub fn new(incarnation: Incarnation, retain_max: Bytes) -> Self {
        Guard {
            incarnation,
            epoch: Epoch::default(),
            records: BTreeMap::new(),
            watermarks: BTreeMap::new(),
            expiring: VecDeque::new(),
            retained_bytes: 0,
            retain_max,
            leaving: false,
        }
    }

    /// Decides on a dispatch. `has_room` is whether the queue can hold one more call.
    pub fn dispatch(&mut self, dispatch: &Dispatch, has_room: bool) -> Verdict {
        let call = dispatch.call;
        if dispatch.sidecar != self.incarnation {
            return reject(Ran::Unknown, Reason::Incarnation);
        }
        match self.records.get(&call) {
            Some(Record::Accepted(answer)) => return Verdict::Attach(answer.clone()),
            // The record that the call ran may have been removed before the tombstone was created.
            _ if self.is_stale(dispatch.epoch) => return reject(Ran::Unknown, Reason::Stale),
            Some(Record::Tombstone) => return reject(Ran::No, Reason::Tombstone),
            None if self.is_settled(call) => return reject(Ran::Unknown, Reason::Unretained),
            None => {}
        }
        if let Some(reason) = self.refusal_reason(has_room) {
            // The tombstone makes the rejection final, so that "did not run" can be reported.
            self.insert_tombstone(call);
            return reject(Ran::No, reason);
        }
        let answer = Rc::new(Answer::new());
        self.records.insert(call, Record::Accepted(answer.clone()));
        Verdict::Run(answer)
    }

    /// Returns why new work is refused now, if it is.
    fn refusal_reason(&self, has_room: bool) -> Option<Reason> {
        if self.leaving {
            Some(Reason::Leaving)
        } else if !has_room || self.retained_bytes >= self.retain_max.0 {
            Some(Reason::Full)
        } else {
            None
        }
    }

    /// Returns whether tombstones created since `epoch` may have been removed.
    fn is_stale(&self, epoch: Epoch) -> bool {
        epoch.next() < self.epoch
    }

    /// Returns whether the call is settled; the record of whether it ran may have been removed.
    fn is_settled(&self, call: Call) -> bool {
        self.watermarks
            .get(&call.program)
            .is_some_and(|watermark| call.seq <= watermark.seq)
    }

    /// Declares that a call never runs.
    fn insert_tombstone(&mut self, call: Call) {
        self.records.insert(call, Record::Tombstone);
        self.expiring.push_back((self.epoch, call));
    }

    /// Returns the state of a call. Declares that an unknown call never runs.
    pub fn query(&mut self, call: Call) -> State {
        match self.records.get(&call) {
            Some(Record::Tombstone) => State::Tombstone,
            Some(Record::Accepted(answer)) => match answer.end() {
                None => State::Running,
                Some(Ok(done)) => State::Retained(done),
                Some(Err(refused)) => State::Refused(refused),
            },
            None if self.is_settled(call) => State::Refused(unretained()),
            None => {
                self.insert_tombstone(call);
                State::Tombstone
            }
        }
    }

    /// Returns the answer of an accepted call.
    pub fn answer(&self, call: Call) -> Option<Rc<Answer<Outcome>>> {
        match self.records.get(&call) {
            Some(Record::Accepted(answer)) => Some(answer.clone()),
            Some(Record::Tombstone) | None => None,
        }
    }

    /// Ends an accepted call, unless it has ended already, and retains its answer if complete.
    pub fn finish(&mut self, call: Call, outcome: Outcome) {
        let Some(answer) = self.answer(call).filter(|answer| answer.end().is_none()) else {
            return;
        };
        match &outcome {
            Ok(_) => self.retained_bytes += answer.len() as u64,
            Err(refused) if refused.ran == Ran::No => self.expiring.push_back((self.epoch, call)),
            Err(_) => {}
        }
        answer.finish(outcome);
        if self.is_settled(call) {
            self.remove_settled(call);
        }
    }

    /// Frees the state of calls with durable answers, and of their programs' earlier calls.
    pub fn record_saved(&mut self, calls: &[Call]) {
        for call in calls {
            self.raise_watermark(call.program, call.seq);
        }
    }

    /// Frees the state of a program that has ended. Returns its calls that are still running.
    pub fn release(&mut self, program: Program) -> Vec<Call> {
        self.raise_watermark(program, Seq(u64::MAX));
        self.running_calls(program)
    }

    fn running_calls(&self, program: Program) -> Vec<Call> {
        let calls = self.records.range(calls_of(program, Seq(u64::MAX)));
        let is_running =
            |record: &Record| matches!(record, Record::Accepted(answer) if answer.end().is_none());
        calls
            .filter(|(_, record)| is_running(record))
            .map(|(call, _)| *call)
            .collect()
    }

    /// Settles a program's calls up to `seq`: the program's history has advanced past them.
    fn raise_watermark(&mut self, program: Program, seq: Seq) {
        let updated_in = self.epoch;
        let watermark = self
            .watermarks
            .entry(program)
            .or_insert(Watermark { seq, updated_in });
        watermark.seq = watermark.seq.max(seq);
        watermark.updated_in = updated_in;
        let calls = self.records.range(calls_of(program, seq));
        let calls: Vec<Call> = calls.map(|(call, _)| *call).collect();
        calls.into_iter().for_each(|call| self.remove_settled(call));
    }

    /// Removes a settled call and its answer, unless the answer is still growing.
    fn remove_settled(&mut self, call: Call) {
        let Some(Record::Accepted(answer)) = self.records.get(&call) else {
            return;
        };
        match answer.end() {
            None => return,
            Some(Ok(_)) => self.retained_bytes -= answer.len() as u64,
            // A call that did not run serves as a tombstone.
            Some(Err(refused)) if refused.ran == Ran::No => return,
            Some(Err(_)) => {}
        }
        self.records.remove(&call);
    }

    /// Begins the next epoch and removes state that only stops dispatches which are stale now.
    pub fn advance_epoch(&mut self) {
        self.epoch = self.epoch.next();
        let epoch = self.epoch;
        let is_old = |recorded_in: Epoch| recorded_in.next() < epoch;
        while let Some((_, call)) = self
            .expiring
            .pop_front_if(|(recorded_in, _)| is_old(*recorded_in))
        {
            self.records.remove(&call);
        }
        // `finish` needs the watermark to free settled calls that are still running.
        let old = self
            .watermarks
            .iter()
            .filter(|(_, watermark)| is_old(watermark.updated_in));
        let old: Vec<Program> = old.map(|(program, _)| *program).collect();
        for program in old {
            if self.running_calls(program).is_empty() {
                self.watermarks.remove(&program);
            }
        }
    }

    /// Returns the current epoch, which entries copy into their dispatches.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the programs with retained answers or with calls that may have run, which stay
    /// recorded until they are saved or released.
    pub fn programs(&self) -> Vec<Program> {
        let is_accepted = |record: &Record| matches!(record, Record::Accepted(_));
        let accepted = self
            .records
            .iter()
            .filter(|(_, record)| is_accepted(record));
        let mut programs: Vec<Program> = accepted.map(|(call, _)| call.program).collect();
        // `dedup` suffices, as calls are sorted by program.
        programs.dedup();
        programs
    }

    /// Returns whether a program was released recently, up to two epochs ago.
    pub fn is_released(&self, program: Program) -> bool {
        let watermark = self.watermarks.get(&program);
        watermark.is_some_and(|watermark| watermark.seq == Seq(u64::MAX))
    }

    /// Refuses new work from now on.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Returns whether new work is refused because the sidecar drains.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the total size of the retained answers.
    pub fn retained(&self) -> Bytes {
        Bytes(self.retained_bytes)
    }

    /// Returns the number of recorded calls.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no call and no watermark is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.watermarks.is_empty()
    }
}

/// Returns the range of a program's calls up to `seq`.
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
