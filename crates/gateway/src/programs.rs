//! The programs that this host serves: their token budgets, and the writes of their accounts.
//!
//! While there is work, one task per program calls the store. Requests queue at the task and wait;
//! a cancelled request does not cancel work that others need. A write whose response was lost is
//! sent again unchanged until its outcome is known; all other work of the program waits for it.
//!
//! The spare tokens of a program are those of this host's grant that are neither used nor reserved.
//! Other hosts see only what the account row states, so a host that needs the spare tokens of others
//! has them settle their grants. An idle host settles its grant without being asked only if much of
//! the budget would be lost with it, or if few tokens are left for other hosts: a program moves
//! between hosts, and a write for each pause of each host would exceed what the store takes.
//!
//! A host keeps a program, with what it has handed out of it, until the account row is gone.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use clients::owner::Name;
use compact_str::CompactString;
use slog::{Logger, info, warn};
use store::api::{Row, Transaction};
use store::{Error, Outcome, key_after};
use turns::{Account, AccountKey, Admission, Ledger, Lifetime, PlannedWrite};
use units::{Clock, Incarnation, Span, Time, Tokens};
use wire::Relay;

use crate::control::retry_pause;
use crate::peers::{self, Peers};
use crate::reply::Refusal;
use crate::rows::Rows;

/// Time without requests after which a program releases its spare tokens: longer than the pause
/// between two turns.
const IDLE_BEFORE_RELEASE: Span = Span::from_ms(900);
/// Time in which a running host that reaches the store settles its grant; the rest of a grant that
/// stays unchanged for longer is lost.
const SETTLE_TIME_MAX: Span = Span::from_ms(1_500);
/// Longest time that a turn waits until the hosts that hold the tokens it needs have settled.
const SETTLE_WAIT_MAX: Span = Span::from_ms(700);
/// Time between checks whether the writes of programs have ended.
const TASK_POLL: Duration = Duration::from_millis(10);

type ReservationResult = std::result::Result<Reservation, Refusal>;

/// All programs that this host serves.
pub(crate) struct Programs {
    rows: Arc<Rows>,
    peers: Peers,
    incarnation: Incarnation,
    clock: Clock,
    log: Logger,
    programs: Mutex<HashMap<Name, Arc<Program>>>,
}

/// One program, as this host serves it.
pub(crate) struct Program {
    name: Name,
    key: AccountKey,
    rows: Arc<Rows>,
    peers: Peers,
    clock: Clock,
    log: Logger,
    state: Mutex<State>,
}

struct State {
    ledger: Ledger,
    /// Whether the account was read after the newest waiting request was queued.
    is_account_current: bool,
    /// Whether the other hosts were asked to settle after the newest waiting request was queued.
    has_asked_holders: bool,
    waiting: VecDeque<Waiting>,
    last_endpoint: Option<CompactString>,
    publish_endpoint: bool,
    /// Whether tokens for later turns are to be granted.
    top_up: bool,
    /// Whether the spare tokens are to be released.
    release_spare: bool,
    held: Option<HeldGrants>,
    /// Whether the hosts that were asked last may include running ones that were not reached, as they
    /// are missing from the list of gateways and it could not be read again.
    may_miss_holders: bool,
    drop_account: bool,
    is_task_running: bool,
    pending: Option<PendingWrite>,
    lifetime: Lifetime,
    /// Tokens requested for the latest turn.
    last_need: Tokens,
}

/// Grants of other hosts that are not settled, as a refused turn found them.
#[derive(Clone, Copy)]
struct HeldGrants {
    granted: Tokens,
    used: Tokens,
    /// Time of the first turn that was refused for them.
    since: Time,
}

/// A request that waits for the tokens of its turn.
struct Waiting {
    need: Tokens,
    budget: Tokens,
    reply: Sender<ReservationResult>,
}

/// A write whose outcome is unknown.
#[derive(Clone)]
struct PendingWrite {
    plan: PlannedWrite,
    transaction: Transaction,
    /// Spare tokens that the write releases.
    released: Tokens,
    /// Whether an earlier attempt of the write may still take effect.
    uncertain: bool,
}

enum Step {
    Idle,
    Read,
    /// Has these hosts settle their grants.
    Ask(Vec<Incarnation>),
    Write(Box<PendingWrite>),
    Drop,
}

/// Tokens reserved for a running turn; the unused ones are released when this is dropped.
pub(crate) struct Reservation {
    program: Arc<Program>,
    reserved: Tokens,
    /// Tokens sent to the caller so far.
    pub(crate) used: Tokens,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.program.lock();
        state.ledger.settle(self.reserved, self.used);
        state.lifetime.record_use(Span(0), self.program.clock.now());
        let is_short = state.ledger.available() < state.last_need;
        let needs_task = is_short || state.publish_endpoint;
        state.top_up |= needs_task;
        drop(state);
        if needs_task {
            self.program.clone().ensure_task();
        }
    }
}

impl Programs {
    pub(crate) fn new(
        rows: Arc<Rows>,
        peers: Peers,
        incarnation: Incarnation,
        clock: Clock,
        log: Logger,
    ) -> Self {
        Programs {
            rows,
            peers,
            incarnation,
            clock,
            log,
            programs: Mutex::default(),
        }
    }

    /// Returns the program with this name; creates it if this host does not serve it yet.
    pub(crate) fn open(&self, name: &Name, retention: Span) -> Arc<Program> {
        let now = self.clock.now();
        let mut programs = self.programs.lock().unwrap_or_else(PoisonError::into_inner);
        let program = programs.entry(name.clone()).or_insert_with(|| {
            Arc::new(Program {
                name: name.clone(),
                key: AccountKey::new(name),
                rows: self.rows.clone(),
                peers: self.peers.clone(),
                clock: self.clock,
                log: self.log.clone(),
                state: Mutex::new(State::new(self.incarnation, now)),
            })
        });
        let mut state = program.lock();
        state.lifetime.record_use(retention, now);
        state.drop_account = false;
        drop(state);
        program.clone()
    }

    /// Settles this host's grant of a program's budget; waits for the write, at most for
    /// [`SETTLE_WAIT_MAX`].
    pub(crate) async fn settle(&self, name: &Name) {
        let program = {
            let programs = self.programs.lock().unwrap_or_else(PoisonError::into_inner);
            programs.get(name).cloned()
        };
        let Some(program) = program else {
            return;
        };
        {
            let mut state = program.lock();
            state.release_spare |= !state.ledger.is_settled();
            if !state.release_spare {
                return;
            }
        }
        program.clone().ensure_task();
        self.wait_for_tasks(&[program], SETTLE_WAIT_MAX).await;
    }

    /// Releases the spare tokens of idle programs, and removes expired programs with their accounts.
    pub(crate) fn release_and_expire(&self) {
        let now = self.clock.now();
        let mut to_start = Vec::new();
        let mut programs = self.programs.lock().unwrap_or_else(PoisonError::into_inner);
        programs.retain(|_, program| {
            let mut state = program.lock();
            if state.is_task_running {
                return true;
            }
            let is_available = !self.rows.is_unavailable(&program.key.partition);
            let is_idle = state.lifetime.idle(now) >= IDLE_BEFORE_RELEASE;
            let has_row = state.ledger.version() > 0;
            let is_over = state.lifetime.is_over(now);
            let should_settle =
                state.ledger.should_settle_idle() || is_over && !state.ledger.is_settled();
            if is_idle && !state.ledger.is_running() && should_settle {
                state.release_spare = is_available;
            } else if has_row && state.lifetime.needs_rewrite() {
                state.top_up = is_available && !is_idle;
                state.release_spare = is_available && is_idle;
            } else if state.ledger.is_running() || !is_over {
                return true;
            } else if has_row {
                state.drop_account = is_available;
            } else {
                return false;
            }
            if is_available {
                to_start.push(program.clone());
            }
            true
        });
        drop(programs);
        to_start.into_iter().for_each(Program::ensure_task);
    }

    /// Releases the spare tokens of all programs; waits for the writes, at most for `limit`.
    pub(crate) async fn release_all(&self, limit: Span) {
        let programs: Vec<Arc<Program>> = {
            let programs = self.programs.lock().unwrap_or_else(PoisonError::into_inner);
            programs.values().cloned().collect()
        };
        let holding = programs.into_iter().filter(|program| {
            let mut state = program.lock();
            state.release_spare |= !state.ledger.is_settled();
            state.release_spare
        });
        let holding: Vec<Arc<Program>> = holding.collect();
        holding.iter().cloned().for_each(Program::ensure_task);
        self.wait_for_tasks(&holding, limit).await;
    }

    /// Waits until no task of these programs is running, at most for `limit`.
    async fn wait_for_tasks(&self, programs: &[Arc<Program>], limit: Span) {
        let deadline = self.clock.now().after(limit);
        while self.clock.now() < deadline
            && programs
                .iter()
                .any(|program| program.lock().is_task_running)
        {
            smol::Timer::after(TASK_POLL).await;
        }
    }

    /// Returns the number of programs.
    pub(crate) fn count(&self) -> usize {
        let programs = self.programs.lock().unwrap_or_else(PoisonError::into_inner);
        programs.len()
    }
}

impl Program {
    /// Reserves the tokens that a turn at `endpoint` may generate. With `publish`, the endpoint is
    /// written to the account, where other hosts read it.
    ///
    /// # Errors
    /// If the tokens cannot be reserved; the turn must not run.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        need: Tokens,
        budget: Tokens,
        endpoint: &CompactString,
        publish: bool,
    ) -> std::result::Result<Reservation, Refusal> {
        let receiver = {
            let mut state = self.lock();
            state.last_need = need;
            // Other hosts read the endpoint from the account, unless the stored turns name it.
            state.publish_endpoint =
                publish && state.ledger.version() > 0 && state.ledger.last_endpoint() != endpoint;
            state.last_endpoint = Some(endpoint.clone());
            if state.waiting.is_empty() && state.ledger.admit(need, budget) == Admission::Admitted {
                drop(state);
                return Ok(self.reservation(need));
            }
            if self.rows.should_refuse(&self.key.partition) {
                return Err(Refusal::StoreUnavailable);
            }
            let (reply, receiver) = async_channel::bounded(1);
            state.waiting.push_back(Waiting {
                need,
                budget,
                reply,
            });
            state.is_account_current = false;
            state.has_asked_holders = false;
            receiver
        };
        self.clone().ensure_task();
        receive_reservation(receiver).await
    }

    /// Returns the endpoint that ran the latest known turn; empty if none is known.
    pub(crate) fn last_endpoint(&self) -> CompactString {
        let state = self.lock();
        let last_endpoint = state.last_endpoint.clone();
        last_endpoint.unwrap_or_else(|| state.ledger.last_endpoint().into())
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

    /// Starts the program's task if it is not running.
    fn ensure_task(self: Arc<Self>) {
        let mut state = self.lock();
        if std::mem::replace(&mut state.is_task_running, true) {
            return;
        }
        drop(state);
        smol::spawn(async move { self.run().await }).detach();
    }

    async fn run(self: &Arc<Self>) {
        loop {
            match self.next_step() {
                Step::Idle => return,
                Step::Read => self.read().await,
                Step::Ask(holders) => self.ask_holders(&holders).await,
                Step::Write(pending) => self.write(*pending).await,
                Step::Drop => self.drop_account().await,
            }
        }
    }

    /// Answers the waiting requests that need no call of the store; returns the task's next step.
    fn next_step(self: &Arc<Self>) -> Step {
        let mut state = self.lock();
        if let Some(pending) = &state.pending {
            return Step::Write(Box::new(pending.clone()));
        }
        while let Some(first) = state.waiting.front() {
            let (need, budget) = (first.need, first.budget);
            let refusal = match state.ledger.admit(need, budget) {
                Admission::Admitted => None,
                Admission::NeedsGrant => break,
                // A program that loops without end asks again and again.
                Admission::Spent if state.ledger.is_spent_for_good(need, budget) => {
                    Some(Refusal::BudgetSpent)
                }
                Admission::Spent | Admission::Held if !state.is_account_current => {
                    return Step::Read;
                }
                Admission::Spent => Some(Refusal::BudgetSpent),
                Admission::Held if !state.has_asked_holders => {
                    state.has_asked_holders = true;
                    state.is_account_current = false;
                    return Step::Ask(state.ledger.unsettled_hosts().collect());
                }
                Admission::Held => Some(state.refuse_held(self.clock.now())),
            };
            if let Some(refusal) = &refusal {
                state.log_refusal(self, need, budget, refusal);
                // Other hosts see the refusal only in the version of the row.
                state.release_spare |= state.ledger.version() > 0 && state.lifetime.needs_rewrite();
            }
            let Some(first) = state.waiting.pop_front() else {
                break;
            };
            let result = match refusal {
                None => Ok(self.reservation(need)),
                Some(refusal) => Err(refusal),
            };
            drop(state);
            // If the request was cancelled, its reservation is released here.
            drop(first.reply.try_send(result));
            state = self.lock();
        }
        if !state.waiting.is_empty() || state.top_up || state.release_spare {
            return Step::Write(Box::new(state.begin_write(self)));
        }
        if state.drop_account {
            return Step::Drop;
        }
        state.is_task_running = false;
        Step::Idle
    }

    async fn read(&self) {
        let AccountKey { partition, key } = &self.key;
        let end = key_after(key);
        match self.rows.read(partition, key, &end).await {
            Ok(page) => {
                let mut state = self.lock();
                state.load_account(self, &page.rows);
                state.is_account_current = true;
            }
            Err(error) => self.refuse_waiting(&error).await,
        }
    }

    async fn ask_holders(&self, holders: &[Incarnation]) {
        let started = self.clock.now();
        let relay = Relay::Settle {
            program: self.name.clone(),
        };
        let request = self.peers.request_return(&relay, holders, SETTLE_WAIT_MAX);
        let (_, may_miss) =
            futures_util::future::join(request, self.may_miss_holders(holders)).await;
        self.lock().may_miss_holders = may_miss;
        info!(self.log, "grants of other hosts requested"; "program" => %self.name,
            "hosts" => holders.len(), "may_miss" => may_miss,
            "took_ms" => self.clock.now().since(started).as_ms());
    }

    /// Whether any of these hosts may run although this host does not list it: the list is read again,
    /// as a host that has started since is missing from an earlier one.
    async fn may_miss_holders(&self, holders: &[Incarnation]) -> bool {
        let is_listed = |holder: &Incarnation| self.rows.is_listed(*holder);
        if holders.iter().all(is_listed) {
            return false;
        }
        match peers::read_list(&self.rows).await {
            // The hosts on the new list that are missing from the old one were not asked.
            Ok(listed) => holders
                .iter()
                .any(|holder| listed.contains(holder) && !is_listed(holder)),
            Err(_) => true,
        }
    }

    async fn write(&self, pending: PendingWrite) {
        let result = self
            .rows
            .write(&self.key.partition, &pending.transaction)
            .await;
        let finished = self.lock().finish_write(self, pending, result);
        if let Err(error) = finished {
            self.refuse_waiting(&error).await;
        }
    }

    /// Refuses the waiting requests if the store is unavailable. Pauses, unless the store is
    /// available and the failed call may have taken effect.
    async fn refuse_waiting(&self, error: &Error) {
        if self.rows.is_unavailable(&self.key.partition) {
            let mut state = self.lock();
            let waiting = std::mem::take(&mut state.waiting);
            state.top_up = false;
            state.release_spare = false;
            drop(state);
            if !waiting.is_empty() {
                info!(self.log, "turns refused, store unavailable"; "program" => %self.name,
                    "turns" => waiting.len(), "error" => %error);
            }
            for waiting in waiting {
                drop(waiting.reply.try_send(Err(Refusal::StoreUnavailable)));
            }
        }
        if !error.is_uncertain() || self.rows.is_unavailable(&self.key.partition) {
            retry_pause().await;
        }
    }

    /// Deletes the account of an expired program, unless it was written since or another running host
    /// may hand out tokens without a write.
    async fn drop_account(&self) {
        let (version, unsettled) = {
            let mut state = self.lock();
            state.drop_account = false;
            let mut hosts = state.ledger.unsettled_hosts();
            let unsettled = hosts.find(|host| self.rows.is_listed(*host));
            drop(hosts);
            if unsettled.is_some() {
                state.lifetime.record_version(self.clock.now());
            }
            (state.ledger.version(), unsettled)
        };
        if let Some(host) = unsettled {
            info!(self.log, "account not dropped"; "program" => %self.name,
                "row_version" => version, "unsettled" => %host);
            return;
        }
        let AccountKey { partition, key } = &self.key;
        let transaction = Transaction::default()
            .with_check(key, version)
            .with_delete(key);
        let result = self.rows.write(partition, &transaction).await;
        let mut state = self.lock();
        let outcome = match result {
            Ok(Outcome::Committed(_)) => {
                state.ledger.refresh(Account::default(), 0);
                "dropped"
            }
            Ok(Outcome::Conflict(rows)) => {
                state.load_account(self, &rows);
                "changed concurrently"
            }
            Err(_) => "unknown",
        };
        info!(self.log, "account expired"; "program" => %self.name, "row_version" => version,
            "outcome" => outcome);
    }
}

impl State {
    fn new(incarnation: Incarnation, now: Time) -> Self {
        State {
            ledger: Ledger::new(incarnation),
            is_account_current: false,
            has_asked_holders: false,
            waiting: VecDeque::new(),
            last_endpoint: None,
            publish_endpoint: false,
            top_up: false,
            release_spare: false,
            held: None,
            may_miss_holders: false,
            drop_account: false,
            is_task_running: false,
            pending: None,
            lifetime: Lifetime::new(now),
            last_need: Tokens(0),
        }
    }

    /// Returns the refusal of a turn that does not fit until other hosts settle their grants. A grant
    /// that stays unsettled is the one of a host that failed, and its rest is lost, unless a running
    /// host may not have been asked.
    fn refuse_held(&mut self, now: Time) -> Refusal {
        if self.may_miss_holders {
            self.held = None;
            return Refusal::BudgetHeld;
        }
        let (granted, used) = self.ledger.grants_of_others();
        let known = self
            .held
            .filter(|held| (held.granted, held.used) == (granted, used));
        let since = known.map_or(now, |held| held.since);
        self.held = Some(HeldGrants {
            granted,
            used,
            since,
        });
        if now.since(since) < SETTLE_TIME_MAX {
            Refusal::BudgetHeld
        } else {
            Refusal::BudgetSpent
        }
    }

    fn log_refusal(&self, program: &Program, need: Tokens, budget: Tokens, refusal: &Refusal) {
        let (granted_to_others, used_by_others) = self.ledger.grants_of_others();
        let held_ms = self
            .held
            .map_or(0, |held| program.clock.now().since(held.since).as_ms());
        info!(program.log, "turn exceeds the budget"; "program" => %program.name,
            "code" => refusal.code(), "need" => need.0, "budget" => budget.0,
            "own_taken" => self.ledger.taken().0, "others_granted" => granted_to_others.0,
            "others_used" => used_by_others.0, "row_version" => self.ledger.version(),
            "held_ms" => held_ms);
    }

    /// Builds the next write of the account and records it as pending.
    fn begin_write(&mut self, program: &Program) -> PendingWrite {
        let wanted = self.waiting_need();
        // An idle program releases its spare tokens; one in use gets an advance for further turns.
        let is_in_use = self.ledger.is_running() || self.top_up;
        let with_advance = wanted > Tokens(0) || is_in_use && !self.release_spare;
        let spare = self.ledger.available();
        let plan = self
            .ledger
            .plan_write(wanted, with_advance, self.last_endpoint.as_deref());
        self.top_up = false;
        self.release_spare = false;
        self.publish_endpoint = false;
        let key = &program.key.key;
        let mut transaction = Transaction::default().with_check(key, plan.version);
        match plan.account.encode() {
            Ok(bytes) => transaction = transaction.with_write(key, bytes),
            Err(error) => {
                warn!(program.log, "account cannot be encoded"; "program" => %program.name,
                "error" => %error)
            }
        }
        let pending = PendingWrite {
            released: spare.minus(plan.grant.granted.minus(plan.grant.taken)),
            plan,
            transaction,
            uncertain: false,
        };
        self.pending = Some(pending.clone());
        pending
    }

    /// Applies the result of a write.
    ///
    /// # Errors
    /// If the call failed. The write stays pending if it may still take effect.
    fn finish_write(
        &mut self,
        program: &Program,
        mut pending: PendingWrite,
        result: store::Result<Outcome>,
    ) -> store::Result<()> {
        self.pending = None;
        match result {
            Ok(Outcome::Committed(version)) => {
                if pending.released > Tokens(0) {
                    info!(program.log, "spare tokens released"; "program" => %program.name,
                        "tokens" => pending.released.0, "row_version" => version);
                }
                self.ledger.record_commit(pending.plan, version);
                self.lifetime.record_write(program.clock.now());
            }
            // The row shows whether it was an earlier attempt of this write that changed it.
            Ok(Outcome::Conflict(rows)) => {
                self.load_account(program, &rows);
                self.is_account_current = true;
            }
            Err(error) => {
                pending.uncertain |= error.is_uncertain();
                self.pending = pending.uncertain.then_some(pending);
                return Err(error);
            }
        }
        Ok(())
    }

    /// Returns the tokens that the waiting turns need together, from the first one on, as far as
    /// they can be granted.
    fn waiting_need(&self) -> Tokens {
        let mut wanted = Tokens(0);
        for waiting in &self.waiting {
            let sum = wanted.plus(waiting.need);
            if !self.ledger.can_grant(sum) {
                break;
            }
            wanted = sum;
        }
        wanted
    }

    /// Loads the account from the rows read; without its row, the account is empty.
    fn load_account(&mut self, program: &Program, rows: &[Row]) {
        let Some(row) = rows.iter().find(|row| row.key == program.key.key) else {
            self.ledger.refresh(Account::default(), 0);
            return;
        };
        if row.version != self.ledger.version() {
            self.lifetime.record_version(program.clock.now());
        }
        match Account::decode(&row.value.0) {
            Ok(account) => {
                // A program that is new at this host may have been served by another host.
                if self.ledger.version() == 0 && !account.last_endpoint.is_empty() {
                    self.last_endpoint = Some(account.last_endpoint.clone());
                }
                self.ledger.refresh(account, row.version);
            }
            // Without a grant, this host hands out no tokens until the row can be decoded again.
            Err(error) => {
                warn!(program.log, "account cannot be decoded"; "program" => %program.name,
                "row_version" => row.version, "error" => %error)
            }
        }
    }
}

async fn receive_reservation(receiver: Receiver<ReservationResult>) -> ReservationResult {
    // The program's task answers each waiting request; the task is stopped only with the process.
    receiver
        .recv()
        .await
        .unwrap_or(Err(Refusal::StoreUnavailable))
}
