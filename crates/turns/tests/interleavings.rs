//! All interleavings of two hosts that serve one program, up to a bound.
//!
//! Each host admits turns, writes the account and ends turns, in every order. A write is
//! acknowledged, or its response is lost, or it takes effect at any later time; a lost host loses
//! its state. The amounts are the smallest that show the cases: the budget covers three turns at
//! their maximum, and a turn hands out either nothing or its maximum.

use std::collections::HashSet;

use turns::{Account, Admission, Ledger, PlannedWrite};
use units::{Incarnation, Tokens};

const NEED: Tokens = Tokens(2);
const BUDGET: Tokens = Tokens(6);
/// Steps of an interleaving: enough for two hosts to write twice each, with one write delayed, and
/// to start and end a turn after each write.
const STEPS_MAX: usize = 11;
/// Lost responses, delayed writes and lost hosts in one interleaving.
const RESPONSES_LOST_MAX: u8 = 1;
const WRITES_DELAYED_MAX: u8 = 1;
const RESTARTS_MAX: u8 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    Acknowledged,
    ResponseLost,
    Delayed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The host receives a request for a turn.
    Admit(usize),
    /// The host sends a new write, or its pending one again.
    Write(usize, Delivery),
    /// The host's turn ends after handing out this many tokens.
    End(usize, Tokens),
    /// The delayed write takes effect, if its condition still holds.
    DeliverDelayed,
    /// The host is lost with its state, and a new one replaces it.
    Restart(usize),
}

#[derive(Clone, Debug)]
struct Host {
    ledger: Ledger,
    is_waiting: bool,
    is_running: bool,
    handed_out: u64,
    incarnation: Incarnation,
    pending: Option<PlannedWrite>,
}

impl Host {
    fn new(number: u64) -> Self {
        let incarnation = Incarnation(number);
        Host {
            ledger: Ledger::new(incarnation),
            is_waiting: false,
            is_running: false,
            handed_out: 0,
            incarnation,
            pending: None,
        }
    }

    /// Returns the tokens handed out, counting a running turn at its maximum.
    fn handed_out_max(&self) -> u64 {
        self.handed_out + if self.is_running { NEED.0 } else { 0 }
    }
}

#[derive(Clone, Debug)]
struct World {
    account: Account,
    version: u64,
    delayed_write: Option<PlannedWrite>,
    hosts: [Host; 2],
    /// Tokens that lost hosts may have handed out.
    handed_out_by_lost: u64,
    responses_lost: u8,
    writes_delayed: u8,
    restarts: u8,
}

impl World {
    fn new() -> Self {
        World {
            account: Account::default(),
            version: 0,
            delayed_write: None,
            hosts: [Host::new(1), Host::new(2)],
            handed_out_by_lost: 0,
            responses_lost: 0,
            writes_delayed: 0,
            restarts: 0,
        }
    }

    /// Returns the steps that are possible in this state.
    fn possible_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (index, host) in self.hosts.iter().enumerate() {
            if host.is_running {
                steps.extend([Tokens(0), NEED].map(|used| Step::End(index, used)));
            } else if !host.is_waiting {
                steps.push(Step::Admit(index));
            }
            if host.is_waiting || host.pending.is_some() || host.ledger.available() > Tokens(0) {
                steps.push(Step::Write(index, Delivery::Acknowledged));
                if self.responses_lost < RESPONSES_LOST_MAX {
                    steps.push(Step::Write(index, Delivery::ResponseLost));
                }
                if self.writes_delayed < WRITES_DELAYED_MAX {
                    steps.push(Step::Write(index, Delivery::Delayed));
                }
            }
            if self.restarts < RESTARTS_MAX {
                steps.push(Step::Restart(index));
            }
        }
        if self.delayed_write.is_some() {
            steps.push(Step::DeliverDelayed);
        }
        steps
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Admit(index) => self.admit(index),
            Step::Write(index, delivery) => self.write(index, delivery),
            Step::End(index, used) => {
                self.hosts[index].is_running = false;
                self.hosts[index].ledger.settle(NEED, used);
                self.hosts[index].handed_out += used.0;
            }
            Step::DeliverDelayed => {
                if let Some(plan) = self.delayed_write.take() {
                    self.commit(&plan);
                }
            }
            Step::Restart(index) => {
                self.restarts += 1;
                self.handed_out_by_lost += self.hosts[index].handed_out_max();
                self.hosts[index] = Host::new(3);
            }
        }
    }

    fn admit(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let admission = host.ledger.admit(NEED, BUDGET);
        host.is_running |= admission == Admission::Admitted;
        host.is_waiting = admission == Admission::NeedsGrant;
    }

    fn write(&mut self, index: usize, delivery: Delivery) {
        let host = &mut self.hosts[index];
        let wanted = if host.is_waiting && host.ledger.can_grant(NEED) {
            NEED
        } else {
            Tokens(0)
        };
        // A host without a waiting turn returns its unused grant.
        let with_advance = host.is_waiting;
        let plan = host.pending.take();
        let plan = plan.unwrap_or_else(|| host.ledger.plan_write(wanted, with_advance, None));
        match delivery {
            Delivery::Acknowledged => self.acknowledge(index, plan),
            Delivery::ResponseLost => {
                self.responses_lost += 1;
                self.commit(&plan);
                self.hosts[index].pending = Some(plan);
            }
            Delivery::Delayed => {
                self.writes_delayed += 1;
                self.hosts[index].pending = Some(plan.clone());
                self.delayed_write = Some(plan);
            }
        }
    }

    fn acknowledge(&mut self, index: usize, plan: PlannedWrite) {
        let committed = self.commit(&plan);
        let host = &mut self.hosts[index];
        if committed {
            host.ledger.record_commit(plan, self.version);
        } else {
            host.ledger.refresh(self.account.clone(), self.version);
        }
        if std::mem::take(&mut host.is_waiting) {
            self.admit(index);
        }
    }

    fn commit(&mut self, plan: &PlannedWrite) -> bool {
        let condition_holds = plan.version == self.version;
        if condition_holds {
            self.version += 1;
            self.account = plan.account.clone();
        }
        condition_holds
    }

    /// Returns the tokens handed out by all hosts, counting running turns at their maximum.
    fn handed_out_max(&self) -> u64 {
        self.handed_out_by_lost + self.hosts.iter().map(Host::handed_out_max).sum::<u64>()
    }

    /// Checks the invariants, which hold in every state.
    fn check(&self) -> Result<(), &'static str> {
        let grants = &self.account.grants;
        let granted: u64 = grants.iter().map(|grant| grant.granted.0).sum();
        let taken: u64 = grants.iter().map(|grant| grant.taken.0).sum();
        let is_within_grant = |host: &Host| {
            let grant = self.account.grant(host.incarnation);
            host.handed_out_max() <= grant.map_or(0, |grant| grant.granted.0)
        };
        if self.handed_out_max() > BUDGET.0 + NEED.0 {
            return Err("more is handed out than the budget and one turn");
        }
        if granted > BUDGET.0 + NEED.0 {
            return Err("more is granted than the budget and one turn");
        }
        if taken > BUDGET.0 {
            return Err("more is known to be taken than the budget");
        }
        if !self.hosts.iter().all(is_within_grant) {
            return Err("a host hands out more than it is granted");
        }
        Ok(())
    }
}

#[test]
fn no_interleaving_exceeds_the_budget_by_more_than_one_turn() {
    let mut frontier = vec![World::new()];
    let mut seen = HashSet::new();
    let mut handed_out_max = 0;
    for _ in 0..STEPS_MAX {
        let mut next = Vec::new();
        for world in &frontier {
            for step in world.possible_steps() {
                let mut after = world.clone();
                after.apply(step);
                handed_out_max = handed_out_max.max(after.handed_out_max());
                let checked = after.check();
                assert!(checked.is_ok(), "{checked:?}: {step:?} in {world:?}");
                if seen.insert(blake3::hash(format!("{after:?}").as_bytes())) {
                    next.push(after);
                }
            }
        }
        frontier = next;
    }
    println!("{} states in {STEPS_MAX} steps", seen.len());
    // Some interleaving reaches the bound, so the check covers the cases that the bound is about.
    assert_eq!(handed_out_max, BUDGET.0 + NEED.0);
}
