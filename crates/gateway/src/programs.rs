//! The programs that this host serves, their budgets, and the writes that keep them.
//!
//! One task a program talks to the store, while there is something to do. Requests ask and wait; a
//! request that goes away takes nothing with it that others need. A write whose answer was lost is
//! sent again unchanged until its fate is known, and everything else of the program waits for that.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use compact_str::CompactString;
use slog::{Logger, info, warn};
use store::api::{Row, Transaction};
use store::{Error, Outcome, key_after};
use turns::{Account, AccountKey, Admission, Ledger, PlannedWrite};
use units::{Clock, Incarnation, Span, Time, Tokens};

use crate::control::pause;
use crate::reply::Refusal;
use crate::rows::Rows;

/// A program without requests for this long gives back the tokens it holds ahead, if the other hosts
/// may need them: longer than the pause between two turns.
const IDLE_MAX: Span = Span::from_ms(900);
/// Time between looks at whether the writes of a stopping process have ended.
const STOP_POLL: Duration = Duration::from_millis(10);
/// Accounts are kept this much longer than programs may pause, for requests under way.
const RETAIN_SLACK: Span = Span::from_ms(10_000);

type Verdict = std::result::Result<Reservation, Refusal>;

/// All programs of this host.
pub(crate) struct Programs {
    rows: Arc<Rows>,
    me: Incarnation,
    clock: Clock,
    log: Logger,
    all: Mutex<HashMap<CompactString, Arc<Program>>>,
}

/// One program at this host.
pub(crate) struct Program {
    id: CompactString,
    key: AccountKey,
    rows: Arc<Rows>,
    clock: Clock,
    log: Logger,
    state: Mutex<State>,
}

struct State {
    ledger: Ledger,
    /// Whether the account was read since the newest request that waits.
    fresh: bool,
    waiting: VecDeque<Waiting>,
    home: Option<CompactString>,
    note_home: bool,
    /// Room for later turns is to be taken.
    top_up: bool,
    /// Room that is not used is to be given back.
    give_back: bool,
    drop_account: bool,
    driven: bool,
    flight: Option<Flight>,
    touched: Time,
    retain: Span,
    last_need: Tokens,
}

/// A turn that waits for its tokens.
struct Waiting {
    need: Tokens,
    budget: Tokens,
    answer: Sender<Verdict>,
}

/// A write whose fate is not known.
#[derive(Clone)]
struct Flight {
    plan: PlannedWrite,
    transaction: Transaction,
    /// Whether an earlier sending of it may still take effect.
    uncertain: bool,
}

enum Step {
    Idle,
    Read,
    Write(Box<Flight>),
    Drop,
}

/// Tokens reserved for a running turn, given back when this is dropped.
pub(crate) struct Reservation {
    program: Arc<Program>,
    reserved: Tokens,
    /// Tokens handed out.
    pub(crate) used: Tokens,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.program.lock();
        state.ledger.settle(self.reserved, self.used);
        state.touched = self.program.clock.now();
        let short = state.ledger.available() < state.last_need;
        let wake = short || state.note_home;
        state.top_up |= wake;
        drop(state);
        if wake {
            self.program.clone().drive();
        }
    }
}

impl Programs {
    pub(crate) fn new(rows: Arc<Rows>, me: Incarnation, clock: Clock, log: Logger) -> Self {
        Programs {
            rows,
            me,
            clock,
            log,
            all: Mutex::default(),
        }
    }

    /// The program with this identifier.
    pub(crate) fn open(&self, id: &CompactString, retain: Span) -> Arc<Program> {
        let now = self.clock.now();
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        let program = all.entry(id.clone()).or_insert_with(|| {
            Arc::new(Program {
                id: id.clone(),
                key: AccountKey::new(id),
                rows: self.rows.clone(),
                clock: self.clock,
                log: self.log.clone(),
                state: Mutex::new(State::new(self.me, now)),
            })
        });
        let mut state = program.lock();
        state.touched = now;
        state.retain = state.retain.max(retain);
        drop(state);
        program.clone()
    }

    /// Gives back what idle programs hold ahead, and forgets those whose time is over.
    pub(crate) fn sweep(&self) {
        let now = self.clock.now();
        let mut woken = Vec::new();
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        all.retain(|_, program| {
            let mut state = program.lock();
            let idle = now.since(state.touched);
            if state.ledger.is_running() || state.driven || idle < IDLE_MAX {
                return true;
            }
            if state.ledger.has_excess() && !self.rows.is_unavailable(&program.key.partition) {
                state.give_back = true;
                woken.push(program.clone());
                return true;
            }
            if idle < Span(state.retain.0 + RETAIN_SLACK.0) {
                return true;
            }
            if state.ledger.version() > 0 && !state.drop_account {
                state.drop_account = true;
                woken.push(program.clone());
                return true;
            }
            false
        });
        drop(all);
        woken.into_iter().for_each(Program::drive);
    }

    /// Gives back what all programs hold ahead; waits for the writes until `limit` has passed.
    pub(crate) async fn give_back(&self, limit: Span) {
        let programs: Vec<Arc<Program>> = {
            let all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
            all.values().cloned().collect()
        };
        let holding = programs.into_iter().filter(|program| {
            let mut state = program.lock();
            state.give_back |= state.ledger.available() > Tokens(0);
            state.give_back
        });
        let holding: Vec<Arc<Program>> = holding.collect();
        holding.iter().cloned().for_each(Program::drive);
        let end = self.clock.now().after(limit);
        while self.clock.now() < end && holding.iter().any(|program| program.lock().driven) {
            smol::Timer::after(STOP_POLL).await;
        }
    }

    /// Programs known.
    pub(crate) fn count(&self) -> usize {
        let all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        all.len()
    }
}

impl Program {
    /// Reserves the tokens that a turn at `home` may generate; with `notes`, the account is to tell
    /// other hosts of it.
    ///
    /// # Errors
    /// A refusal; the turn must not run then.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        need: Tokens,
        budget: Tokens,
        home: &CompactString,
        notes: bool,
    ) -> std::result::Result<Reservation, Refusal> {
        let receiver = {
            let mut state = self.lock();
            state.last_need = need;
            // Other hosts look for it in the account, unless the turns themselves tell.
            state.note_home =
                notes && state.ledger.version() > 0 && state.ledger.last_endpoint() != home;
            state.home = Some(home.clone());
            if state.waiting.is_empty() && state.ledger.admit(need, budget) == Admission::Admitted {
                drop(state);
                return Ok(self.reservation(need));
            }
            if self.rows.should_refuse(&self.key.partition) {
                return Err(Refusal::StoreUnavailable);
            }
            let (answer, receiver) = async_channel::bounded(1);
            state.waiting.push_back(Waiting {
                need,
                budget,
                answer,
            });
            state.fresh = false;
            receiver
        };
        self.clone().drive();
        receive(receiver).await
    }

    /// Where the latest turn known ran; empty if none is known.
    pub(crate) fn home(&self) -> CompactString {
        let state = self.lock();
        let home = state.home.clone();
        home.unwrap_or_else(|| state.ledger.last_endpoint().into())
    }

    fn reservation(self: &Arc<Self>, reserved: Tokens) -> Reservation {
        Reservation {
            program: self.clone(),
            reserved,
            used: Tokens(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the program's task if it does not run.
    fn drive(self: Arc<Self>) {
        let mut state = self.lock();
        if std::mem::replace(&mut state.driven, true) {
            return;
        }
        drop(state);
        smol::spawn(async move { self.run().await }).detach();
    }

    async fn run(self: &Arc<Self>) {
        loop {
            match self.next() {
                Step::Idle => return,
                Step::Read => self.read().await,
                Step::Write(flight) => self.write(*flight).await,
                Step::Drop => self.drop_account().await,
            }
        }
    }

    /// Serves the requests that need no store, and tells what to do next.
    fn next(self: &Arc<Self>) -> Step {
        let mut state = self.lock();
        if let Some(flight) = &state.flight {
            return Step::Write(Box::new(flight.clone()));
        }
        while let Some(first) = state.waiting.front() {
            let (need, budget) = (first.need, first.budget);
            let refusal = match state.ledger.admit(need, budget) {
                Admission::Admitted => None,
                Admission::NeedsGrant => break,
                Admission::Spent | Admission::Held if !state.fresh => return Step::Read,
                Admission::Spent => Some(Refusal::BudgetSpent),
                Admission::Held => Some(Refusal::BudgetHeld),
            };
            let Some(first) = state.waiting.pop_front() else {
                break;
            };
            let verdict = match refusal {
                None => Ok(self.reservation(need)),
                Some(refusal) => Err(refusal),
            };
            drop(state);
            // A request that went away gives its reservation back here.
            drop(first.answer.try_send(verdict));
            state = self.lock();
        }
        if !state.waiting.is_empty() || state.top_up || state.give_back {
            return Step::Write(Box::new(state.depart(self)));
        }
        if state.drop_account {
            return Step::Drop;
        }
        state.driven = false;
        Step::Idle
    }

    async fn read(&self) {
        let AccountKey { partition, key } = &self.key;
        let end = key_after(key);
        match self.rows.read(partition, key, &end).await {
            Ok(page) => {
                let mut state = self.lock();
                state.take_account(&self.id, key, &page.rows, &self.log);
                state.fresh = true;
            }
            Err(error) => self.refuse_waiting(&error).await,
        }
    }

    async fn write(&self, flight: Flight) {
        let result = self
            .rows
            .write(&self.key.partition, &flight.transaction)
            .await;
        let arrived = self.lock().arrive(self, flight, result);
        if let Err(error) = arrived {
            self.refuse_waiting(&error).await;
        }
    }

    /// Refuses the requests that wait, if the store is away, and pauses.
    async fn refuse_waiting(&self, error: &Error) {
        if self.rows.is_unavailable(&self.key.partition) {
            let mut state = self.lock();
            let waiting = std::mem::take(&mut state.waiting);
            state.top_up = false;
            state.give_back = false;
            drop(state);
            if !waiting.is_empty() {
                info!(self.log, "turns refused without the store"; "program" => %self.id,
                    "turns" => waiting.len(), "error" => %error);
            }
            for waiting in waiting {
                drop(waiting.answer.try_send(Err(Refusal::StoreUnavailable)));
            }
        }
        if !error.is_uncertain() || self.rows.is_unavailable(&self.key.partition) {
            pause().await;
        }
    }

    /// Drops the account of a program whose time is over, unless another host has written since.
    async fn drop_account(&self) {
        let version = self.lock().ledger.version();
        let AccountKey { partition, key } = &self.key;
        let transaction = Transaction::default()
            .with_check(key, version)
            .with_delete(key);
        let result = self.rows.write(partition, &transaction).await;
        let mut state = self.lock();
        state.drop_account = false;
        match result {
            Ok(_) => state.ledger.refresh(Account::default(), 0),
            Err(error) => {
                info!(self.log, "account stays"; "program" => %self.id, "error" => %error);
            }
        }
    }
}

impl State {
    fn new(me: Incarnation, now: Time) -> Self {
        State {
            ledger: Ledger::new(me),
            fresh: false,
            waiting: VecDeque::new(),
            home: None,
            note_home: false,
            top_up: false,
            give_back: false,
            drop_account: false,
            driven: false,
            flight: None,
            touched: now,
            retain: Span(0),
            last_need: Tokens(0),
        }
    }

    /// Builds the next write of the account.
    fn depart(&mut self, program: &Program) -> Flight {
        let wanted = self.wanted();
        // An idle program gives back; one that goes on takes room for its next turns.
        let ahead = wanted > Tokens(0) || self.ledger.is_running() || self.top_up;
        let plan = self.ledger.plan_write(wanted, ahead, self.home.as_deref());
        self.top_up = false;
        self.give_back = false;
        self.note_home = false;
        let key = &program.key.key;
        let mut transaction = Transaction::default().with_check(key, plan.version);
        match plan.account.encode() {
            Ok(bytes) => transaction = transaction.with_write(key, bytes),
            Err(error) => warn!(program.log, "account cannot be encoded"; "program" => %program.id,
                "error" => %error),
        }
        let flight = Flight {
            plan,
            transaction,
            uncertain: false,
        };
        self.flight = Some(flight.clone());
        flight
    }

    /// Takes in what became of a write.
    ///
    /// # Errors
    /// The store's, if it did not say.
    fn arrive(
        &mut self,
        program: &Program,
        mut flight: Flight,
        result: store::Result<Outcome>,
    ) -> store::Result<()> {
        self.flight = None;
        match result {
            Ok(Outcome::Committed(version)) => self.ledger.record_commit(flight.plan, version),
            // The row shows whether it was this write that changed it.
            Ok(Outcome::Conflict(rows)) => {
                self.take_account(&program.id, &program.key.key, &rows, &program.log);
                self.fresh = true;
            }
            Err(error) => {
                flight.uncertain |= error.is_uncertain();
                self.flight = flight.uncertain.then_some(flight);
                return Err(error);
            }
        }
        Ok(())
    }

    /// Tokens that the waiting turns need, as many of them as the budget holds.
    fn wanted(&self) -> Tokens {
        let mut wanted = Tokens(0);
        for waiting in &self.waiting {
            let more = wanted.plus(waiting.need);
            if !self.ledger.can_grant(more) {
                break;
            }
            wanted = more;
        }
        wanted
    }

    /// Takes in the account among the rows read.
    fn take_account(&mut self, id: &str, key: &str, rows: &[Row], log: &Logger) {
        let Some(row) = rows.iter().find(|row| row.key == key) else {
            self.ledger.refresh(Account::default(), 0);
            return;
        };
        match Account::decode(&row.value.0) {
            Ok(account) => {
                // A program that is new here is not new if another host has served it.
                if self.ledger.version() == 0 && !account.last_endpoint.is_empty() {
                    self.home = Some(account.last_endpoint.clone());
                }
                self.ledger.refresh(account, row.version);
            }
            // Without a grant this host hands out nothing until the row is readable again.
            Err(error) => warn!(log, "account cannot be read"; "program" => id,
                "row_version" => row.version, "error" => %error),
        }
    }
}

async fn receive(receiver: Receiver<Verdict>) -> Verdict {
    // The program's task answers each request that waits; it ends only with the process.
    receiver
        .recv()
        .await
        .unwrap_or(Err(Refusal::StoreUnavailable))
}
