//! The at-most-once guard: what became of each call, as a pure state machine.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use units::{Bytes, Call, Incarnation};
use wire::{Answer, Dispatch, Done, Ran, Reason, Refused, State};

/// How a call ended at the endpoint.
pub(crate) type End = std::result::Result<Done, Refused>;

/// What is known of a call.
#[derive(Clone, Debug)]
pub enum Entry {
    /// It was taken on; its answer grows or is complete.
    Taken(Rc<Answer<End>>),
    /// It did not run and never will.
    Tombstone,
}

/// What to do with a dispatch.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// Run it and write the answer here.
    Run(Rc<Answer<End>>),
    /// It was taken on before: follow this answer.
    Attach(Rc<Answer<End>>),
    /// Reject it.
    Reject(Refused),
}

/// What became of each call of this incarnation.
#[derive(Debug)]
pub struct Guard {
    incarnation: Incarnation,
    entries: HashMap<Call, Entry>,
    ended: VecDeque<(Call, u64)>,
    retained: u64,
    retain_max: Bytes,
    leaving: bool,
}

impl Guard {
    /// An empty guard of `incarnation` that retains at most `retain_max` of answers.
    pub fn new(incarnation: Incarnation, retain_max: Bytes) -> Self {
        Guard {
            incarnation,
            entries: HashMap::new(),
            ended: VecDeque::new(),
            retained: 0,
            retain_max,
            leaving: false,
        }
    }

    /// Decides on a dispatch.
    pub fn dispatch(&mut self, dispatch: &Dispatch) -> Verdict {
        if dispatch.sidecar != self.incarnation {
            return Verdict::Reject(Refused {
                ran: Ran::Unknown,
                reason: Reason::Incarnation,
            });
        }
        match self.entries.get(&dispatch.call) {
            Some(Entry::Taken(answer)) => return Verdict::Attach(answer.clone()),
            Some(Entry::Tombstone) => {
                return Verdict::Reject(Refused {
                    ran: Ran::No,
                    reason: Reason::Tombstone,
                });
            }
            None => {}
        }
        if self.leaving || self.retained >= self.retain_max.0 {
            let reason = if self.leaving {
                Reason::Leaving
            } else {
                Reason::Full
            };
            // The rejection is final, so that the caller may be told that the call did not run.
            self.entries.insert(dispatch.call, Entry::Tombstone);
            return Verdict::Reject(Refused {
                ran: Ran::No,
                reason,
            });
        }
        let answer = Rc::new(Answer::new());
        self.entries
            .insert(dispatch.call, Entry::Taken(answer.clone()));
        Verdict::Run(answer)
    }

    /// Answers a query; an unknown call is declared as never to run.
    pub fn query(&mut self, call: Call) -> State {
        match self.entries.entry(call).or_insert(Entry::Tombstone) {
            Entry::Tombstone => State::Tombstone,
            Entry::Taken(answer) => match answer.end() {
                None => State::Running,
                Some(Ok(done)) => State::Retained(done),
                Some(Err(refused)) => State::Refused(refused),
            },
        }
    }

    /// The answer of a call that was taken on.
    pub fn answer(&self, call: Call) -> Option<Rc<Answer<End>>> {
        match self.entries.get(&call) {
            Some(Entry::Taken(answer)) => Some(answer.clone()),
            Some(Entry::Tombstone) | None => None,
        }
    }

    /// Notes that a call has ended with an answer of `length` bytes, to be retained.
    pub fn ended(&mut self, call: Call, length: u64) {
        self.retained += length;
        self.ended.push_back((call, length));
    }

    /// Frees answers that are durable elsewhere. The calls stay known: they never run again.
    pub fn saved(&mut self, calls: &[Call]) {
        let mut freed = 0;
        self.ended.retain(|(call, length)| {
            let saved = calls.contains(call);
            freed += if saved { *length } else { 0 };
            !saved
        });
        self.retained -= freed;
        for call in calls {
            self.entries.insert(*call, Entry::Tombstone);
        }
    }

    /// Accepts no new work from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether new work is refused.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Bytes of answers retained.
    pub fn retained(&self) -> Bytes {
        Bytes(self.retained)
    }
}
