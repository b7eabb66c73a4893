//! Budgets over several hosts, with delayed and repeated writes and lost responses.

use proptest::prelude::*;
use turns::{Account, Admission, Grant, Ledger, PlannedWrite};
use units::{Incarnation, Tokens};

const BUDGET: Tokens = Tokens(1_000);
/// Maximum of one turn, by which the grants of a program may exceed its budget.
const NEED_MAX: u64 = 200;

/// The account row as the store has it.
#[derive(Default)]
struct Store {
    account: Account,
    version: u64,
    /// Writes that were sent and may still take effect.
    delayed: Vec<PlannedWrite>,
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

/// A host with the reservations of its running turns.
struct Host {
    ledger: Ledger,
    running: Vec<Tokens>,
    pending: Option<PlannedWrite>,
    handed_out: u64,
}

impl Host {
    fn new(number: u64) -> Self {
        Host {
            ledger: Ledger::new(Incarnation(number)),
            running: Vec::new(),
            pending: None,
            handed_out: 0,
        }
    }

    fn admit(&mut self, need: Tokens) {
        if self.ledger.admit(need, BUDGET) == Admission::Admitted {
            self.running.push(need);
        }
    }

    /// Sends the next write, or again the pending one, whose response did not arrive.
    fn send(&mut self, store: &mut Store, wanted: Tokens, with_advance: bool, delivery: Delivery) {
        let plan = match self.pending.take() {
            Some(plan) => plan,
            None => {
                let can_grant = self.ledger.can_grant(wanted);
                let wanted = if can_grant { wanted } else { Tokens(0) };
                self.ledger.plan_write(wanted, with_advance, None)
            }
        };
        match delivery {
            Delivery::Acknowledged => {
                if store.write(&plan) {
                    self.ledger.record_commit(plan, store.version);
                } else {
                    self.ledger.refresh(store.account.clone(), store.version);
                }
            }
            Delivery::ResponseLost => {
                store.write(&plan);
                self.pending = Some(plan);
            }
            Delivery::Delayed => {
                store.delayed.push(plan.clone());
                self.pending = Some(plan);
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
enum Delivery {
    Acknowledged,
    ResponseLost,
    Delayed,
}

#[derive(Clone, Debug)]
enum Step {
    Admit(usize, u64),
    Send(usize, u64, bool, Delivery),
    Finish(usize, u64),
    DeliverDelayed(usize),
    Restart(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let delivery = prop_oneof![
        4 => Just(Delivery::Acknowledged),
        1 => Just(Delivery::ResponseLost),
        1 => Just(Delivery::Delayed)
    ];
    let step = prop_oneof![
        4 => (0..3_usize, 1..=NEED_MAX).prop_map(|(host, need)| Step::Admit(host, need)),
        4 => (0..3_usize, 0..=NEED_MAX, any::<bool>(), delivery)
            .prop_map(|(host, wanted, advance, delivery)|
                Step::Send(host, wanted, advance, delivery)),
        3 => (0..3_usize, 0..=4_u64).prop_map(|(host, share)| Step::Finish(host, share)),
        1 => (0..8_usize).prop_map(Step::DeliverDelayed),
        1 => (0..3_usize).prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    #[test]
    fn all_hosts_together_never_hand_out_more_than_the_budget_and_one_turn(steps in steps()) {
        let mut store = Store::default();
        let mut hosts: Vec<Host> = (0..3).map(Host::new).collect();
        let mut lost_with_hosts = 0;
        let mut next_number = 3;
        for step in steps {
            match step {
                Step::Admit(host, need) => hosts[host].admit(Tokens(need)),
                Step::Send(host, wanted, with_advance, delivery) => {
                    hosts[host].send(&mut store, Tokens(wanted), with_advance, delivery);
                }
                Step::Finish(host, share) => hosts[host].finish(share),
                Step::DeliverDelayed(index) if !store.delayed.is_empty() => {
                    let index = index % store.delayed.len();
                    let plan = store.delayed.remove(index);
                    store.write(&plan);
                }
                Step::DeliverDelayed(_) => {}
                Step::Restart(host) => {
                    // The running turns of the lost host may have handed out all reserved tokens.
                    let running: u64 = hosts[host].running.iter().map(|need| need.0).sum();
                    lost_with_hosts += hosts[host].handed_out + running;
                    hosts[host] = Host::new(next_number);
                    next_number += 1;
                }
            }
            let running: u64 = hosts.iter().flat_map(|host| &host.running).map(|need| need.0).sum();
            let handed_out: u64 = hosts.iter().map(|host| host.handed_out).sum();
            prop_assert!(lost_with_hosts + handed_out + running <= BUDGET.0 + NEED_MAX);
        }
    }
}

proptest! {
    // Turns were refused although the budget held them, as idle hosts kept what they did not use.
    #[test]
    fn after_all_hosts_have_settled_the_budget_is_usable_to_its_last_token(steps in steps()) {
        let mut store = Store::default();
        let mut hosts: Vec<Host> = (0..3).map(Host::new).collect();
        for step in steps {
            match step {
                Step::Admit(host, need) => hosts[host].admit(Tokens(need)),
                Step::Send(host, wanted, with_advance, delivery) => {
                    hosts[host].send(&mut store, Tokens(wanted), with_advance, delivery);
                }
                Step::Finish(host, share) => hosts[host].finish(share),
                Step::DeliverDelayed(_) | Step::Restart(_) => {}
            }
        }
        for host in &mut hosts {
            while !host.running.is_empty() {
                host.finish(1);
            }
            // A pending write, one that finds the row changed, and one that settles.
            for _ in 0..3 {
                host.send(&mut store, Tokens(0), false, Delivery::Acknowledged);
            }
            prop_assert!(host.ledger.is_settled());
        }
        let handed_out: u64 = hosts.iter().map(|host| host.handed_out).sum();
        let left = BUDGET.0.saturating_sub(handed_out);
        let mut other = Ledger::new(Incarnation(9));
        other.refresh(store.account.clone(), store.version);
        prop_assert_eq!(other.admit(Tokens(left + 1), BUDGET), Admission::Spent);
        let expected = if left > 0 { Admission::NeedsGrant } else { Admission::Admitted };
        prop_assert_eq!(other.admit(Tokens(left), BUDGET), expected);
    }
}

/// Returns a ledger with a grant of `need` tokens, none of them reserved.
fn ledger_with_grant(need: u64) -> Ledger {
    let mut ledger = Ledger::new(Incarnation(1));
    assert_eq!(ledger.admit(Tokens(need), BUDGET), Admission::NeedsGrant);
    let plan = ledger.plan_write(Tokens(need), false, None);
    ledger.record_commit(plan, 1);
    ledger
}

#[test]
fn a_turn_waits_for_its_grant() {
    let mut ledger = ledger_with_grant(100);
    assert_eq!(ledger.admit(Tokens(100), BUDGET), Admission::Admitted);
    assert_eq!(ledger.admit(Tokens(1), BUDGET), Admission::NeedsGrant);
}

#[test]
fn tokens_taken_by_another_host_are_spent_and_its_unused_grant_is_held() {
    let mut ledger = Ledger::new(Incarnation(1));
    ledger.refresh(granted_to_another(1_300, 600), 1);
    assert_eq!(ledger.admit(Tokens(200), BUDGET), Admission::Held);
    assert_eq!(ledger.admit(Tokens(500), BUDGET), Admission::Spent);
}

#[test]
fn the_unused_grant_of_a_dead_host_does_not_stop_a_program() {
    let mut ledger = Ledger::new(Incarnation(1));
    ledger.refresh(granted_to_another(900, 300), 1);
    assert_eq!(ledger.admit(Tokens(200), BUDGET), Admission::NeedsGrant);
    let plan = ledger.plan_write(Tokens(200), true, None);
    // No advance is granted out of the overdraft.
    assert_eq!(plan.grant.granted, Tokens(200));
}

#[test]
fn recorded_taken_tokens_never_exceed_the_budget() {
    let mut ledger = Ledger::new(Incarnation(1));
    ledger.refresh(granted_to_another(900, 900), 1);
    assert_eq!(ledger.admit(Tokens(200), BUDGET), Admission::Spent);
}

/// Returns an account in which another host has this grant and has taken this much of it.
fn granted_to_another(granted: u64, taken: u64) -> Account {
    let grant = Grant {
        holder: Incarnation(2),
        granted: Tokens(granted),
        taken: Tokens(taken),
    };
    Account::default().with_grant(grant, Tokens(0))
}

// A turn was refused for good as `budget-spent`, as tokens counted as used that another host had
// reserved for a turn that needed fewer.
#[test]
fn tokens_reserved_by_another_host_are_held_until_it_has_settled() {
    let mut other = ledger_with_grant(600);
    assert_eq!(other.admit(Tokens(600), BUDGET), Admission::Admitted);
    let plan = other.plan_write(Tokens(0), false, None);
    let mut ledger = Ledger::new(Incarnation(2));
    ledger.refresh(plan.account.clone(), 2);
    assert_eq!(ledger.admit(Tokens(700), BUDGET), Admission::Held);
    other.record_commit(plan, 2);
    assert!(other.is_settled());
    other.settle(Tokens(600), Tokens(100));
    assert!(!other.is_settled());
    let plan = other.plan_write(Tokens(0), false, None);
    ledger.refresh(plan.account.clone(), 3);
    other.record_commit(plan, 3);
    assert!(other.is_settled());
    assert_eq!(ledger.admit(Tokens(700), BUDGET), Admission::NeedsGrant);
    assert_eq!(ledger.admit(Tokens(901), BUDGET), Admission::Spent);
}

// A program that loops without end cost a read of the store for each refused turn.
#[test]
fn a_budget_is_spent_for_good_by_what_was_handed_out_only() {
    let mut ledger = ledger_with_grant(600);
    assert_eq!(ledger.admit(Tokens(600), BUDGET), Admission::Admitted);
    // The running turn may use fewer tokens than it has reserved.
    assert_eq!(ledger.admit(Tokens(500), BUDGET), Admission::Spent);
    assert!(!ledger.is_spent_for_good(Tokens(500), BUDGET));
    ledger.settle(Tokens(600), Tokens(600));
    assert!(ledger.is_spent_for_good(Tokens(500), BUDGET));
    assert!(!ledger.is_spent_for_good(Tokens(400), BUDGET));
    ledger.refresh(granted_to_another(900, 100), 2);
    assert!(ledger.is_spent_for_good(Tokens(400), BUDGET));
    assert!(!ledger.is_spent_for_good(Tokens(300), BUDGET));
}

/// An idle host with a grant, and whether it settles without being asked.
macro_rules! idle_cases {
    ($($name:ident: $granted:literal granted, $used:literal used, $others:literal to others => $settles:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let mut ledger = ledger_with_grant($granted);
                assert_eq!(ledger.admit(Tokens($used), BUDGET), Admission::Admitted);
                ledger.settle(Tokens($used), Tokens($used));
                let mut account = granted_to_another($others, 0);
                let own = Grant {
                    holder: Incarnation(1),
                    granted: Tokens($granted),
                    taken: Tokens(0),
                };
                account = account.with_grant(own, Tokens(0));
                ledger.refresh(account, 2);
                assert_eq!(ledger.should_settle_idle(), $settles);
            }
        )*
    };
}

idle_cases! {
    // Much of the budget would be lost with the host.
    a_large_spare_grant_is_returned_by_an_idle_host: 400 granted, 60 used, 0 to others => true;
    // Other hosts would have to wait until this one has settled.
    a_spare_grant_that_exceeds_the_ungranted_tokens_is_returned: 200 granted, 60 used, 700 to others => true;
    // The write, and another one for the next turn, would cost more than the grant is worth.
    a_small_spare_grant_stays_with_an_idle_host: 200 granted, 60 used, 200 to others => false;
    nothing_is_returned_of_a_grant_that_is_used_up: 400 granted, 400 used, 600 to others => false;
}

#[test]
fn a_grant_that_is_being_returned_is_not_used() {
    let mut ledger = ledger_with_grant(400);
    // The write may have taken effect already, as its response may be lost.
    let plan = ledger.plan_write(Tokens(0), false, None);
    assert_eq!(plan.grant.granted, Tokens(0));
    assert_ne!(ledger.admit(Tokens(400), BUDGET), Admission::Admitted);
}

#[test]
fn an_account_is_read_back_from_its_row() {
    let plan = ledger_with_grant(10).plan_write(Tokens(5), true, Some("endpoint-1"));
    assert_eq!(plan.account.reserve(Incarnation(1)), Tokens(5));
    let bytes = plan.account.encode().expect("encodes");
    assert_eq!(Account::decode(&bytes), Ok(plan.account));
    assert!(Account::decode(&bytes[..1]).is_err());
}

#[test]
fn a_release_without_reserves_reads_the_row() {
    #[derive(serde::Deserialize)]
    struct EarlierAccount {
        grants: Vec<Grant>,
        last_endpoint: String,
    }
    let account = ledger_with_grant(10)
        .plan_write(Tokens(5), true, Some("endpoint-1"))
        .account;
    let bytes = account.encode().expect("encodes");
    let config = bincode::config::standard();
    let (earlier, _): (EarlierAccount, usize) =
        bincode::serde::decode_from_slice(&bytes, config).expect("decodes");
    assert_eq!(earlier.grants, account.grants);
    assert_eq!(earlier.last_endpoint, account.last_endpoint);
}

#[test]
fn a_row_of_a_release_without_reserves_is_read() {
    let account = granted_to_another(30, 20);
    let bytes = account.encode().expect("encodes");
    // An empty list is the last byte.
    assert_eq!(Account::decode(&bytes[..bytes.len() - 1]), Ok(account));
}
