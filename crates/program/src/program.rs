//! The state of one program.

use std::collections::BTreeSet;

use log::{Answer, Call, Cause, Created, Event, Intent, Turn};
use units::{Calls, Digest, Seq, Span, Time, Tokens};

use crate::admission::{Admission, Refusal, Request};
use crate::budget::{Ledger, Reservation};

/// Attempts that one owner of a program numbers before the next owner's begin.
const ATTEMPTS_PER_OWNER: u32 = 1 << 20;

/// A call under way.
#[derive(Clone, Debug, PartialEq)]
struct Running {
    seq: Seq,
    digest: Digest,
    reserved: Tokens,
}

/// The state of one program: what its durable events say and what is running.
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
    seen: Time,
    returned: BTreeSet<units::Program>,
    written_off: Tokens,
    forfeited: Tokens,
    attempt: u32,
}

impl Program {
    /// A program that was just created.
    pub fn new(created: Created) -> Self {
        Program {
            ledger: Ledger::new(created.budget.tokens),
            remaining_calls: created.budget.calls,
            turns: Vec::new(),
            head: Digest::default(),
            intents: Vec::new(),
            running: None,
            ended: None,
            seen: created.at,
            returned: BTreeSet::new(),
            written_off: Tokens(0),
            forfeited: Tokens(0),
            attempt: 0,
            created,
        }
    }

    /// A program with this history; `None` if the history does not begin with its creation.
    pub fn replay(events: &[Event]) -> Option<Self> {
        let Some((Event::Created(created), rest)) = events.split_first() else {
            return None;
        };
        let mut program = Program::new(created.clone());
        rest.iter().for_each(|event| program.apply(event));
        Some(program)
    }

    /// Applies a durable event; events come in the order of the log.
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

    /// A turn of the last owner: its tokens are among those that were counted as spent already.
    fn apply_recovered(&mut self, turn: &Turn) {
        let counted = self.forfeited.min(turn.usage.tokens);
        self.forfeited = self.forfeited.minus(counted);
        self.ledger.refund(counted);
        self.apply_turn(turn);
    }

    /// Takes back what a child left over, once, and never more than was carved out for it.
    fn apply_returned(&mut self, child: units::Program, tokens: Tokens) {
        if let Some(carved) = self.carved(child)
            && self.returned.insert(child)
        {
            self.ledger.refund(tokens.min(carved.tokens));
        }
    }

    /// The budget that was carved out for a child.
    fn carved(&self, child: units::Program) -> Option<log::Budget> {
        self.turns.iter().find_map(|turn| match &turn.answer {
            Answer::Child(id, budget) if *id == child => Some(*budget),
            _ => None,
        })
    }

    /// Nobody knows what the last owner dispatched since its last record: all that was granted
    /// counts as spent, and dispatches get numbers that it cannot have used.
    fn apply_adopted(&mut self, at: Time) {
        self.running = None;
        self.written_off = Tokens(0);
        self.forfeited = self.ledger.granted().minus(self.ledger.spent());
        self.ledger.forfeit();
        self.attempt = (self.attempt / ATTEMPTS_PER_OWNER + 1) * ATTEMPTS_PER_OWNER;
        self.record_request(at);
    }

    fn apply_turn(&mut self, turn: &Turn) {
        let seq = turn.call.seq;
        self.release(seq);
        self.intents.retain(|intent| intent.call.seq != seq);
        self.record_request(turn.at);
        // The turn records what was lost before it, which has counted in memory only.
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

    /// What to do with `request` at `now`; `loop_limit` bounds repeats of the same call in a row.
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

    /// Marks a call that may run as running, with nothing reserved yet.
    pub fn begin(&mut self, request: &Request) {
        let (seq, digest) = (request.seq, request.digest());
        self.running = Some(Running {
            seq,
            digest,
            reserved: Tokens(0),
        });
    }

    /// The number of the next dispatch, which no other dispatch of the program has.
    pub fn next_attempt(&mut self) -> u32 {
        let attempt = self.attempt;
        self.attempt += 1;
        attempt
    }

    /// Gives up the reservation of one dispatch of the running call that was proved not to have run.
    pub fn unreserve(&mut self, tokens: Tokens) {
        if let Some(running) = &mut self.running {
            let tokens = tokens.min(running.reserved);
            running.reserved = running.reserved.minus(tokens);
            self.ledger.release(tokens);
        }
    }

    /// Counts the reservation of one dispatch of the running call in full, as nobody knows what it
    /// used. The next turn is to record it: see [`Program::written_off`].
    pub fn write_off(&mut self, tokens: Tokens) {
        if let Some(running) = &mut self.running {
            let tokens = tokens.min(running.reserved);
            running.reserved = running.reserved.minus(tokens);
            self.ledger.release(tokens);
            self.ledger.spend(tokens);
            self.written_off = self.written_off.plus(tokens);
        }
    }

    /// Tokens lost since the last turn, which the next turn's usage includes.
    pub fn written_off(&self) -> Tokens {
        self.written_off
    }

    /// Tokens that the program has not used and gives back at its end.
    pub fn unused_tokens(&self) -> Tokens {
        self.ledger.remaining()
    }

    /// Reserves the worst case of a dispatch of the running call; asks for grants in tranches of up
    /// to `tranche`. Each hedge or retry reserves anew.
    pub fn reserve(&mut self, worst: Tokens, tranche: Tokens) -> Reservation {
        let Some(running) = &mut self.running else {
            return Reservation::Exhausted;
        };
        let answer = self.ledger.reserve(worst, tranche);
        if answer == Reservation::Granted {
            running.reserved = running.reserved.plus(worst);
        }
        answer
    }

    /// Marks a call as no longer running: it did not run and used nothing.
    pub fn release(&mut self, seq: Seq) {
        if let Some(running) = self.running.take_if(|running| running.seq == seq) {
            self.ledger.release(running.reserved);
        }
    }

    /// The most tokens that a model call can use: what the engine counted for the history, a token
    /// for each new byte, and the answer.
    pub fn worst_case(&self, suffix_bytes: u64, max_tokens: Tokens) -> Tokens {
        self.context().plus(Tokens(suffix_bytes)).plus(max_tokens)
    }

    /// Tokens of the history as the engine last counted them, plus the bytes added since.
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

    /// The prompt of the next model call without its own input: inputs and answers in order.
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

    /// Times that the last calls in a row had this digest.
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

    /// Announced dispatches without an outcome.
    pub fn intents(&self) -> &[Intent] {
        &self.intents
    }

    /// Digest of the chain of turns.
    pub fn head(&self) -> Digest {
        self.head
    }

    /// How the program began.
    pub fn created(&self) -> &Created {
        &self.created
    }

    /// The account of its tokens.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Calls that it may still make.
    pub fn remaining_calls(&self) -> Calls {
        self.remaining_calls
    }

    /// How and when it ended.
    pub fn ended(&self) -> Option<(Cause, Time)> {
        self.ended
    }

    /// Whether a call is running.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Notes a request of its caller.
    pub fn record_request(&mut self, now: Time) {
        self.seen = self.seen.max(now);
    }

    /// Why the program should end at `now` by itself, if it should.
    pub fn expiry_cause(&self, idle_timeout: Span, now: Time) -> Option<Cause> {
        if self.ended.is_some() || self.running.is_some() {
            return None;
        }
        if now > self.created.deadline {
            return Some(Cause::Deadline);
        }
        (now.since(self.seen) > idle_timeout).then_some(Cause::Idle)
    }
}

/// Adds a turn to the chain of digests.
fn chain(head: Digest, turn: &Turn) -> Digest {
    let answer = match &turn.answer {
        Answer::Complete(bytes) => Digest::of(bytes),
        Answer::Indeterminate => Digest::default(),
        Answer::Child(child, _) => Digest::of(child.to_string().as_bytes()),
    };
    let link = Digest::chain(turn.call.digest, answer.bytes());
    Digest::chain(head, link.bytes())
}

/// The call of a request, as it is logged.
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
