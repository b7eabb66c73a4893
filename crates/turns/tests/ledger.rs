//! Budgets over many hosts, with writes that are lost, late and repeated.

use proptest::prelude::*;
use turns::{Account, Admission, Grant, Ledger, PlannedWrite};
use units::{Incarnation, Tokens};

const BUDGET: Tokens = Tokens(1_000);
/// The most of one turn, which the grants of a program may exceed its budget by.
const NEED_MAX: u64 = 200;

/// The account row as a store keeps it.
#[derive(Default)]
struct Store {
    account: Account,
    version: u64,
    /// Writes that were sent and may still take effect.
    late: Vec<PlannedWrite>,
}

impl Store {
    fn write(&mut self, plan: &PlannedWrite) -> bool {
        if plan.version != self.version {
            return false;
        }
        self.version += 1;
        self.account = plan.account.clone();
        true
    }
}

/// A host with the turns that it runs.
struct Host {
    ledger: Ledger,
    running: Vec<Tokens>,
    flight: Option<PlannedWrite>,
    handed_out: u64,
}

impl Host {
    fn new(number: u64) -> Self {
        Host {
            ledger: Ledger::new(Incarnation(number)),
            running: Vec::new(),
            flight: None,
            handed_out: 0,
        }
    }

    fn admit(&mut self, need: Tokens) {
        if self.ledger.admit(need, BUDGET) == Admission::Admitted {
            self.running.push(need);
        }
    }

    /// Sends the next write, or the one whose fate is not known once more.
    fn send(&mut self, store: &mut Store, wanted: Tokens, ahead: bool, fate: Fate) {
        let plan = match self.flight.take() {
            Some(plan) => plan,
            None => {
                let fits = self.ledger.can_grant(wanted);
                let wanted = if fits { wanted } else { Tokens(0) };
                self.ledger.plan_write(wanted, ahead, None)
            }
        };
        match fate {
            Fate::Answered => {
                if store.write(&plan) {
                    self.ledger.record_commit(plan, store.version);
                } else {
                    self.ledger.refresh(store.account.clone(), store.version);
                }
            }
            Fate::Lost => {
                store.write(&plan);
                self.flight = Some(plan);
            }
            Fate::Late => {
                store.late.push(plan.clone());
                self.flight = Some(plan);
            }
        }
    }

    fn finish(&mut self, share: u64) {
        if let Some(reserved) = self.running.pop() {
            let used = Tokens(reserved.0 * share / 4);
            self.handed_out += used.0;
            self.ledger.settle(reserved, used);
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    Lost,
    Late,
}

#[derive(Clone, Debug)]
enum Step {
    Admit(usize, u64),
    Send(usize, u64, bool, Fate),
    Finish(usize, u64),
    Arrive(usize),
    Restart(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let fate = prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::Lost),
        1 => Just(Fate::Late)
    ];
    let step = prop_oneof![
        4 => (0..3_usize, 1..=NEED_MAX).prop_map(|(host, need)| Step::Admit(host, need)),
        4 => (0..3_usize, 0..=NEED_MAX, any::<bool>(), fate)
            .prop_map(|(host, wanted, ahead, fate)| Step::Send(host, wanted, ahead, fate)),
        3 => (0..3_usize, 0..=4_u64).prop_map(|(host, share)| Step::Finish(host, share)),
        1 => (0..8_usize).prop_map(Step::Arrive),
        1 => (0..3_usize).prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    #[test]
    fn all_hosts_together_never_hand_out_more_than_the_budget_and_one_turn(steps in steps()) {
        let mut store = Store::default();
        let mut hosts: Vec<Host> = (0..3).map(Host::new).collect();
        let mut gone = 0;
        let mut next = 3;
        for step in steps {
            match step {
                Step::Admit(host, need) => hosts[host].admit(Tokens(need)),
                Step::Send(host, wanted, ahead, fate) => {
                    hosts[host].send(&mut store, Tokens(wanted), ahead, fate);
                }
                Step::Finish(host, share) => hosts[host].finish(share),
                Step::Arrive(index) if !store.late.is_empty() => {
                    let index = index % store.late.len();
                    let plan = store.late.remove(index);
                    store.write(&plan);
                }
                Step::Arrive(_) => {}
                Step::Restart(host) => {
                    // What ran at the host that is gone may have been handed out to the last token.
                    let running: u64 = hosts[host].running.iter().map(|need| need.0).sum();
                    gone += hosts[host].handed_out + running;
                    hosts[host] = Host::new(next);
                    next += 1;
                }
            }
            let running: u64 = hosts.iter().flat_map(|host| &host.running).map(|need| need.0).sum();
            let done: u64 = hosts.iter().map(|host| host.handed_out).sum();
            prop_assert!(gone + done + running <= BUDGET.0 + NEED_MAX);
        }
    }
}

/// A ledger that has a grant for `need` tokens and no more.
fn granted(need: u64) -> Ledger {
    let mut ledger = Ledger::new(Incarnation(1));
    assert_eq!(ledger.admit(Tokens(need), BUDGET), Admission::NeedsGrant);
    let plan = ledger.plan_write(Tokens(need), false, None);
    ledger.record_commit(plan, 1);
    ledger
}

#[test]
fn a_turn_waits_for_its_grant() {
    let mut ledger = granted(100);
    assert_eq!(ledger.admit(Tokens(100), BUDGET), Admission::Admitted);
    assert_eq!(ledger.admit(Tokens(1), BUDGET), Admission::NeedsGrant);
}

#[test]
fn what_another_host_took_is_spent_and_what_it_holds_ahead_is_held() {
    let mut mine = Ledger::new(Incarnation(1));
    mine.refresh(held_by_another(1_300, 600), 1);
    assert_eq!(mine.admit(Tokens(200), BUDGET), Admission::Held);
    assert_eq!(mine.admit(Tokens(500), BUDGET), Admission::Spent);
}

#[test]
fn what_a_host_held_when_it_died_does_not_end_a_program() {
    let mut mine = Ledger::new(Incarnation(1));
    mine.refresh(held_by_another(900, 300), 1);
    assert_eq!(mine.admit(Tokens(200), BUDGET), Admission::NeedsGrant);
    let plan = mine.plan_write(Tokens(200), true, None);
    // Nothing is taken ahead out of the overdraft.
    assert_eq!(plan.grant.granted, Tokens(200));
}

#[test]
fn what_is_known_to_be_taken_is_never_overdrawn() {
    let mut mine = Ledger::new(Incarnation(1));
    mine.refresh(held_by_another(900, 900), 1);
    assert_eq!(mine.admit(Tokens(200), BUDGET), Admission::Spent);
}

/// An account of which another host holds and has taken so much.
fn held_by_another(granted: u64, taken: u64) -> Account {
    Account::default().with_grant(Grant {
        holder: Incarnation(2),
        granted: Tokens(granted),
        taken: Tokens(taken),
    })
}

#[test]
fn a_grant_that_is_being_given_back_is_not_used() {
    let mut ledger = granted(400);
    // The answer to this write may be lost: the store may have it already.
    let plan = ledger.plan_write(Tokens(0), false, None);
    assert_eq!(plan.grant.granted, Tokens(0));
    assert_ne!(ledger.admit(Tokens(400), BUDGET), Admission::Admitted);
}

#[test]
fn an_account_survives_its_row() {
    let plan = granted(10).plan_write(Tokens(5), true, Some("endpoint-1"));
    let bytes = plan.account.encode().expect("encodes");
    assert_eq!(Account::decode(&bytes), Ok(plan.account));
    assert!(Account::decode(&bytes[..1]).is_err());
}
