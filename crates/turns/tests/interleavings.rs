//! All interleavings of two hosts that serve one program, up to a bound.
//!
//! Each host admits turns, writes the account and ends turns, in every order. A write is answered, or
//! its answer is lost, or it takes effect at any later moment; a host is lost with what it knew. The
//! amounts are the smallest that show the cases: the budget holds three turns at their most, and a turn
//! hands out nothing or all of its most.

use std::collections::HashSet;

use turns::{Account, Admission, Ledger, PlannedWrite};
use units::{Incarnation, Tokens};

const NEED: Tokens = Tokens(2);
const BUDGET: Tokens = Tokens(6);
/// Steps of an interleaving: enough for two hosts to write twice each, one of the writes late, and to
/// start and end a turn after each.
const STEPS_MAX: usize = 11;
/// Answers that are lost, writes that come late, and hosts that are lost, in one interleaving.
const LOST_MAX: u8 = 1;
const LATE_MAX: u8 = 1;
const RESTARTS_MAX: u8 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Answered,
    Lost,
    Late,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The host is asked for a turn.
    Admit(usize),
    /// The host sends its write: a new one, or the one whose fate is not known once more.
    Write(usize, Fate),
    /// The turn at the host ends after handing out so much.
    End(usize, Tokens),
    /// The late write takes effect, if its condition still holds.
    Arrive,
    /// The host is lost, and another takes its place.
    Restart(usize),
}

#[derive(Clone, Debug)]
struct Host {
    ledger: Ledger,
    waits: bool,
    runs: bool,
    handed_out: u64,
    me: Incarnation,
    flight: Option<PlannedWrite>,
}

impl Host {
    fn new(number: u64) -> Self {
        let me = Incarnation(number);
        Host {
            ledger: Ledger::new(me),
            waits: false,
            runs: false,
            handed_out: 0,
            me,
            flight: None,
        }
    }

    /// Tokens that its callers have, or will have if a running turn hands out its most.
    fn out(&self) -> u64 {
        self.handed_out + if self.runs { NEED.0 } else { 0 }
    }
}

#[derive(Clone, Debug)]
struct World {
    account: Account,
    version: u64,
    late: Option<PlannedWrite>,
    hosts: [Host; 2],
    /// What hosts that are lost may have handed out.
    gone: u64,
    lost: u8,
    delayed: u8,
    restarts: u8,
}

impl World {
    fn new() -> Self {
        World {
            account: Account::default(),
            version: 0,
            late: None,
            hosts: [Host::new(1), Host::new(2)],
            gone: 0,
            lost: 0,
            delayed: 0,
            restarts: 0,
        }
    }

    /// The steps that are possible now.
    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (index, host) in self.hosts.iter().enumerate() {
            if host.runs {
                steps.extend([Tokens(0), NEED].map(|used| Step::End(index, used)));
            } else if !host.waits {
                steps.push(Step::Admit(index));
            }
            if host.waits || host.flight.is_some() || host.ledger.available() > Tokens(0) {
                steps.push(Step::Write(index, Fate::Answered));
                if self.lost < LOST_MAX {
                    steps.push(Step::Write(index, Fate::Lost));
                }
                if self.delayed < LATE_MAX {
                    steps.push(Step::Write(index, Fate::Late));
                }
            }
            if self.restarts < RESTARTS_MAX {
                steps.push(Step::Restart(index));
            }
        }
        if self.late.is_some() {
            steps.push(Step::Arrive);
        }
        steps
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Admit(index) => self.admit(index),
            Step::Write(index, fate) => self.write(index, fate),
            Step::End(index, used) => {
                self.hosts[index].runs = false;
                self.hosts[index].ledger.settle(NEED, used);
                self.hosts[index].handed_out += used.0;
            }
            Step::Arrive => {
                if let Some(plan) = self.late.take() {
                    self.commit(&plan);
                }
            }
            Step::Restart(index) => {
                self.restarts += 1;
                self.gone += self.hosts[index].out();
                self.hosts[index] = Host::new(3);
            }
        }
    }

    fn admit(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let admission = host.ledger.admit(NEED, BUDGET);
        host.runs |= admission == Admission::Admitted;
        host.waits = admission == Admission::NeedsGrant;
    }

    fn write(&mut self, index: usize, fate: Fate) {
        let host = &mut self.hosts[index];
        let wanted = if host.waits && host.ledger.can_grant(NEED) {
            NEED
        } else {
            Tokens(0)
        };
        // A host without a waiting turn gives back what it holds.
        let ahead = host.waits;
        let plan = host.flight.take();
        let plan = plan.unwrap_or_else(|| host.ledger.plan_write(wanted, ahead, None));
        match fate {
            Fate::Answered => self.answer(index, plan),
            Fate::Lost => {
                self.lost += 1;
                self.commit(&plan);
                self.hosts[index].flight = Some(plan);
            }
            Fate::Late => {
                self.delayed += 1;
                self.hosts[index].flight = Some(plan.clone());
                self.late = Some(plan);
            }
        }
    }

    fn answer(&mut self, index: usize, plan: PlannedWrite) {
        let committed = self.commit(&plan);
        let host = &mut self.hosts[index];
        if committed {
            host.ledger.record_commit(plan, self.version);
        } else {
            host.ledger.refresh(self.account.clone(), self.version);
        }
        if std::mem::take(&mut host.waits) {
            self.admit(index);
        }
    }

    fn commit(&mut self, plan: &PlannedWrite) -> bool {
        let holds = plan.version == self.version;
        if holds {
            self.version += 1;
            self.account = plan.account.clone();
        }
        holds
    }

    /// Tokens that callers have, or will have if all running turns hand out their most.
    fn out(&self) -> u64 {
        self.gone + self.hosts.iter().map(Host::out).sum::<u64>()
    }

    /// What must hold at every moment.
    fn check(&self) -> Result<(), &'static str> {
        let grants = &self.account.grants;
        let granted: u64 = grants.iter().map(|grant| grant.granted.0).sum();
        let known: u64 = grants.iter().map(|grant| grant.taken.0).sum();
        let covers = |host: &Host| {
            let grant = self.account.grant(host.me);
            host.out() <= grant.map_or(0, |grant| grant.granted.0)
        };
        if self.out() > BUDGET.0 + NEED.0 {
            return Err("more is handed out than the budget and one turn");
        }
        if granted > BUDGET.0 + NEED.0 {
            return Err("more is granted than the budget and one turn");
        }
        if known > BUDGET.0 {
            return Err("more is known to be taken than the budget");
        }
        if !self.hosts.iter().all(covers) {
            return Err("a host hands out more than it is granted");
        }
        Ok(())
    }
}

#[test]
fn no_interleaving_breaks_the_budget() {
    let mut level = vec![World::new()];
    let mut seen = HashSet::new();
    let mut most = 0;
    for _ in 0..STEPS_MAX {
        let mut next = Vec::new();
        for world in &level {
            for step in world.steps() {
                let mut after = world.clone();
                after.take(step);
                most = most.max(after.out());
                let held = after.check();
                assert!(held.is_ok(), "{held:?}: {step:?} in {world:?}");
                if seen.insert(blake3::hash(format!("{after:?}").as_bytes())) {
                    next.push(after);
                }
            }
        }
        level = next;
    }
    println!("{} states in {STEPS_MAX} steps", seen.len());
    // The bound is met, so the interleavings reach what it is about.
    assert_eq!(most, BUDGET.0 + NEED.0);
}
