//! The state of one program.

use std::collections::BTreeSet;

use log::{Answer, Call, Cause, Created, Event, Intent, Turn};
use units::{Calls, Digest, Seq, Span, Time, Tokens};

use crate::admission::{Admission, Refusal, Request};
use crate::budget::{Ledger, Reservation};

/// Size of the range of attempt numbers that each owner of a program uses.
const ATTEMPTS_PER_OWNER: u32 = 1 << 20;

/// The running call of a program.
#[derive(Clone, Debug, PartialEq)]
struct Running {
    seq: Seq,
    digest: Digest,
    reserved: Tokens,
}

/// The state of one program: the result of its durable events, and the running call.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    created: Created,
    ledger: Ledger,
    remaining_calls: Calls,
    turns: Vec<Turn>,
    head: Digest,
    intents: Vec<Intent>,
    running: Option<Running>,
    ended: Option<(Cause, Time)>,
    last_activity_at: Time,
    returned_children: BTreeSet<units::Program>,
    written_off: Tokens,
    /// Tokens counted as spent by the last takeover and not accounted for by recovered turns.
    forfeited: Tokens,
    next_attempt: u32,
}

impl Program {
    /// The state of a program that was just created.
    pub fn new(created: Created) -> Self {
        Program {
            ledger: Ledger::new(created.budget.tokens),
            remaining_calls: created.budget.calls,
            turns: Vec::new(),
            head: Digest::default(),
            intents: Vec::new(),
            running: None,
            ended: None,
            last_activity_at: created.at,
            returned_children: BTreeSet::new(),
            written_off: Tokens(0),
            forfeited: Tokens(0),
            next_attempt: 0,
            created,
        }
    }

    /// Rebuilds a program from its events; `None` if the first event is not its creation.
    pub fn replay(events: &[Event]) -> Option<Self> {
        let Some((Event::Created(created), later)) = events.split_first() else {
            return None;
        };
        let mut program = Program::new(created.clone());
        later.iter().for_each(|event| program.apply(event));
        Some(program)
    }

    /// Applies a durable event; events have to be applied in the order of the log.
    pub fn apply(&mut self, event: &Event) {
        match event {
            Event::Created(_) | Event::HandedOver { .. } => {}
            Event::Tranche(tokens) => self.ledger.grant(*tokens),
            Event::Intent(intent) => self.intents.push(intent.clone()),
            Event::Withdrawn(seq) => self.intents.retain(|intent| intent.call.seq != *seq),
            Event::Turn(turn) => self.apply_turn(turn),
            Event::Recovered(turn) => self.apply_recovered(turn),
            Event::Returned { child, tokens } => self.apply_returned(*child, *tokens),
            Event::Ended { cause, at } => self.ended = Some((*cause, *at)),
            Event::Adopted { at, .. } => self.apply_adopted(*at),
        }
    }

    /// Applies a turn that was recovered after a takeover. The takeover has already counted its
    /// tokens as spent, so they are refunded before the turn spends them.
    fn apply_recovered(&mut self, turn: &Turn) {
        let counted = self.forfeited.min(turn.usage.tokens);
        self.forfeited = self.forfeited.minus(counted);
        self.ledger.refund(counted);
        self.apply_turn(turn);
    }

    /// Refunds the unused tokens of a child, once per child and at most the child's budget.
    fn apply_returned(&mut self, child: units::Program, tokens: Tokens) {
        if let Some(budget) = self.child_budget(child)
            && self.returned_children.insert(child)
        {
            self.ledger.refund(tokens.min(budget.tokens));
        }
    }

    /// The budget that this program gave to a child.
    fn child_budget(&self, child: units::Program) -> Option<log::Budget> {
        self.turns.iter().find_map(|turn| match &turn.answer {
            Answer::Child(id, budget) if *id == child => Some(*budget),
            _ => None,
        })
    }

    /// Applies a takeover. The dispatches of the previous owner since its last event are unknown,
    /// so all granted tokens count as spent, and attempts continue with numbers that it cannot have
    /// used.
    fn apply_adopted(&mut self, at: Time) {
        self.running = None;
        self.written_off = Tokens(0);
        self.forfeited = self.ledger.granted().minus(self.ledger.spent());
        self.ledger.forfeit();
        self.next_attempt = (self.next_attempt / ATTEMPTS_PER_OWNER + 1) * ATTEMPTS_PER_OWNER;
        self.record_activity(at);
    }

    fn apply_turn(&mut self, turn: &Turn) {
        let seq = turn.call.seq;
        self.release(seq);
        self.intents.retain(|intent| intent.call.seq != seq);
        self.record_activity(turn.at);
        // The usage of the turn includes the tokens written off before it, which had counted in
        // memory only.
        self.ledger.refund(self.written_off);
        self.written_off = Tokens(0);
        let spent = match &turn.answer {
            Answer::Child(_, budget) => {
                self.remaining_calls = self.remaining_calls.minus(budget.calls);
                budget.tokens.plus(turn.usage.tokens)
            }
            Answer::Complete(_) | Answer::Indeterminate => turn.usage.tokens,
        };
        self.ledger.spend(spent);
        self.remaining_calls = self.remaining_calls.minus(Calls(1));
        self.head = chain(self.head, turn);
        self.turns.push(turn.clone());
    }

    /// Decides on `request` at `now`; at most `loop_limit` equal calls may follow each other.
    pub fn admit(&self, request: &Request, loop_limit: u32, now: Time) -> Admission {
        let digest = request.digest();
        if let Some(turn) = self.turn(request.seq) {
            return if turn.call.digest == digest {
                Admission::Replay(Box::new(turn.clone()))
            } else {
                Admission::Refuse(Refusal::Mismatch(request.seq))
            };
        }
        if let Some(running) = &self.running {
            return match (running.seq == request.seq, running.digest == digest) {
                (true, true) => Admission::Attach,
                (true, false) => Admission::Refuse(Refusal::Mismatch(request.seq)),
                (false, _) => Admission::Refuse(Refusal::Busy(running.seq)),
            };
        }
        let refusal = if self.ended.is_some() {
            Refusal::Ended
        } else if request.seq != self.next_seq() {
            Refusal::Gap(self.next_seq())
        } else if now > self.created.deadline {
            Refusal::Deadline
        } else if self.remaining_calls == Calls(0) {
            Refusal::Budget
        } else if self.repeats(digest) >= loop_limit {
            Refusal::Loop
        } else {
            return Admission::Run;
        };
        Admission::Refuse(refusal)
    }

    /// Marks an admitted call as running, without a reservation.
    pub fn begin(&mut self, request: &Request) {
        let (seq, digest) = (request.seq, request.digest());
        self.running = Some(Running {
            seq,
            digest,
            reserved: Tokens(0),
        });
    }

    /// Returns the number of the next dispatch, which is unique within the program.
    pub fn next_attempt(&mut self) -> u32 {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        attempt
    }

    /// Releases the reservation of a dispatch of the running call that is proved not to have run.
    pub fn unreserve(&mut self, tokens: Tokens) {
        if let Some(running) = &mut self.running {
            let tokens = tokens.min(running.reserved);
            running.reserved = running.reserved.minus(tokens);
            self.ledger.release(tokens);
        }
    }

    /// Counts the reservation of a dispatch of the running call as spent in full, because its use
    /// is unknown. The next turn has to record it: see [`Program::written_off`].
    pub fn write_off(&mut self, tokens: Tokens) {
        if let Some(running) = &mut self.running {
            let tokens = tokens.min(running.reserved);
            running.reserved = running.reserved.minus(tokens);
            self.ledger.release(tokens);
            self.ledger.spend(tokens);
            self.written_off = self.written_off.plus(tokens);
        }
    }

    /// Tokens written off since the last turn, which the usage of the next turn has to include.
    pub fn written_off(&self) -> Tokens {
        self.written_off
    }

    /// Tokens that are neither spent nor reserved; a child returns them to its parent at its end.
    pub fn unused_tokens(&self) -> Tokens {
        self.ledger.remaining()
    }

    /// Reserves the worst-case use of a dispatch of the running call, requesting grants in tranches
    /// of up to `tranche`. Each hedge or retry needs a reservation of its own.
    pub fn reserve(&mut self, worst_case: Tokens, tranche: Tokens) -> Reservation {
        let Some(running) = &mut self.running else {
            return Reservation::Exhausted;
        };
        let reservation = self.ledger.reserve(worst_case, tranche);
        if reservation == Reservation::Granted {
            running.reserved = running.reserved.plus(worst_case);
        }
        reservation
    }

    /// Marks a call as no longer running and releases its reservation, of which nothing was used.
    pub fn release(&mut self, seq: Seq) {
        if let Some(running) = self.running.take_if(|running| running.seq == seq) {
            self.ledger.release(running.reserved);
        }
    }

    /// The most tokens that a model call can use: the engine's count of the history, one token for
    /// each new byte, and the longest answer.
    pub fn worst_case(&self, suffix_bytes: u64, max_tokens: Tokens) -> Tokens {
        self.context().plus(Tokens(suffix_bytes)).plus(max_tokens)
    }

    /// Length of the history in tokens: the engine's latest count, plus one token for each byte
    /// added since.
    pub fn context(&self) -> Tokens {
        let mut context = Tokens(0);
        for turn in &self.turns {
            context = match &turn.answer {
                Answer::Complete(_) if turn.usage.context > Tokens(0) => turn.usage.context,
                Answer::Complete(answer) => {
                    context.plus(Tokens((turn.call.input.len() + answer.len()) as u64))
                }
                Answer::Indeterminate | Answer::Child(..) => {
                    context.plus(Tokens(turn.call.input.len() as u64))
                }
            };
        }
        context
    }

    /// The prompt of the next model call without its own input: all inputs and answers in order.
    pub fn prompt(&self) -> Vec<u8> {
        let mut prompt = Vec::new();
        for turn in &self.turns {
            prompt.extend_from_slice(&turn.call.input);
            if let Answer::Complete(answer) = &turn.answer {
                prompt.extend_from_slice(answer);
            }
        }
        prompt
    }

    /// Number of the latest consecutive calls that have this digest.
    fn repeats(&self, digest: Digest) -> u32 {
        self.turns
            .iter()
            .rev()
            .take_while(|turn| turn.call.digest == digest)
            .count() as u32
    }

    /// The position of the next call.
    pub fn next_seq(&self) -> Seq {
        Seq(self.turns.len() as u64 + 1)
    }

    /// The answered call at `seq`.
    pub fn turn(&self, seq: Seq) -> Option<&Turn> {
        let index = seq.0.checked_sub(1)?;
        self.turns.get(usize::try_from(index).ok()?)
    }

    /// All answered calls in order.
    pub fn turns(&self) -> &[Turn] {
        &self.turns
    }

    /// Dispatches that were announced durably and have no recorded outcome.
    pub fn intents(&self) -> &[Intent] {
        &self.intents
    }

    /// Head of the hash chain of turns.
    pub fn head(&self) -> Digest {
        self.head
    }

    /// The event that created the program.
    pub fn created(&self) -> &Created {
        &self.created
    }

    /// The accounts of the program's tokens.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Number of calls that the program may still make.
    pub fn remaining_calls(&self) -> Calls {
        self.remaining_calls
    }

    /// Cause and time of the program's end; `None` while it has not ended.
    pub fn ended(&self) -> Option<(Cause, Time)> {
        self.ended
    }

    /// Whether a call is running.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Records activity of the program or its caller, which restarts the idle timeout.
    pub fn record_activity(&mut self, now: Time) {
        self.last_activity_at = self.last_activity_at.max(now);
    }

    /// Cause for which the program has to be ended at `now`; `None` while a call runs.
    pub fn expiry_cause(&self, idle_timeout: Span, now: Time) -> Option<Cause> {
        if self.ended.is_some() || self.running.is_some() {
            return None;
        }
        if now > self.created.deadline {
            return Some(Cause::Deadline);
        }
        (now.since(self.last_activity_at) > idle_timeout).then_some(Cause::Idle)
    }
}

/// Appends a turn to the hash chain and returns its new head.
fn chain(head: Digest, turn: &Turn) -> Digest {
    let answer = match &turn.answer {
        Answer::Complete(bytes) => Digest::of(bytes),
        Answer::Indeterminate => Digest::default(),
        Answer::Child(child, _) => Digest::of(child.to_string().as_bytes()),
    };
    let link = Digest::chain(turn.call.digest, answer.bytes());
    Digest::chain(head, link.bytes())
}

/// The call as it is written to the log.
impl From<&Request> for Call {
    fn from(request: &Request) -> Self {
        Call {
            seq: request.seq,
            digest: request.digest(),
            target: request.target.clone(),
            input: request.input.clone(),
        }
    }
}
