//! One host's view of a program's account, and the next write of the account row.
//!
//! Where the budget allows, a host obtains a larger grant than the next turn needs (an advance), so
//! that later turns start without waiting for the store, and even while the store is unavailable.
//!
//! No host reads what another one has left of its grant: only the row shows it. A host settles its
//! grant on request: it releases what it has not handed out, and the row states the exact use. Until
//! then a turn that does not fit may fit later, and the budget is not spent.
//!
//! The grant of a host that dies before it has settled is not returned, although its callers may have
//! received little of it. So that the program can go on, all grants together may exceed the budget by
//! the maximum of one turn, as long as the tokens recorded as taken stay within the budget. The
//! budget's owner accepts the same excess.

use units::{Incarnation, Tokens};

use crate::account::{Account, Grant};

/// Divisor of the ungranted tokens that gives the maximum advance from a tight budget: half of them
/// leaves the other hosts of the program as much again.
const TIGHT_DIVISOR: u64 = 2;
/// Maximum advance from a tight budget, in turns at their maximum. Most turns use a fraction of
/// their maximum, so such an advance lasts for several turns. It is lost if the host dies.
const TIGHT_TURNS_MAX: u64 = 1;
/// Divisor of the ungranted tokens that gives the advance from an ample budget, where it exceeds
/// the maximum of one turn. Three hosts that die still leave a quarter of the tokens.
const AMPLE_DIVISOR: u64 = 4;

/// Share of the budget, as a divisor, from which an idle host returns its spare tokens without being
/// asked: they would be lost with the host.
const IDLE_SPARE_DIVISOR: u64 = 4;

/// Result of the admission of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The tokens are reserved and the turn may start.
    Admitted,
    /// The grant is too small: the account row has to be written before the turn may start.
    NeedsGrant,
    /// The remaining budget is too small, if the account is as last read.
    Spent,
    /// The turn exceeds the budget even with the overdraft, but other hosts have grants that are not
    /// settled; it may fit once they are.
    Held,
}

/// A write of the account row that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedWrite {
    /// The version that the row must have for the write to take effect; 0 if it must not exist.
    pub version: u64,
    /// The new value of the row.
    pub account: Account,
    /// The grant of this host in `account`.
    pub grant: Grant,
}

/// State of one program's budget at one host.
#[derive(Clone, Debug)]
pub struct Ledger {
    holder: Incarnation,
    version: u64,
    account: Account,
    granted: Tokens,
    used: Tokens,
    reserved: Tokens,
    budget: Tokens,
    last_need: Tokens,
}

impl Ledger {
    /// Creates the ledger of a program whose account row this host has not read.
    pub fn new(holder: Incarnation) -> Self {
        Ledger {
            holder,
            version: 0,
            account: Account::default(),
            granted: Tokens(0),
            used: Tokens(0),
            reserved: Tokens(0),
            budget: Tokens(0),
            last_need: Tokens(0),
        }
    }

    /// Returns the endpoint that ran the program's latest turn; empty if it is not known.
    pub fn last_endpoint(&self) -> &str {
        &self.account.last_endpoint
    }

    /// Returns the tokens granted to the other hosts, and those of them that were certainly handed out.
    pub fn grants_of_others(&self) -> (Tokens, Tokens) {
        (
            self.account.granted_to_others(self.holder),
            self.account.used_by_others(self.holder),
        )
    }

    /// Returns the other hosts that may hand out tokens without a write of the row.
    pub fn unsettled_hosts(&self) -> impl Iterator<Item = Incarnation> {
        let account = &self.account;
        let unsettled = account.grants.iter().filter(|grant| {
            grant.granted > grant.taken || account.reserve(grant.holder) > Tokens(0)
        });
        let holders = unsettled.map(|grant| grant.holder);
        holders.filter(|holder| *holder != self.holder)
    }

    /// Whether this host has reserved tokens for running turns.
    pub fn is_running(&self) -> bool {
        self.reserved.0 > 0
    }

    /// Whether the row states exactly what this host has handed out and reserved, and no more is
    /// granted to it.
    pub fn is_settled(&self) -> bool {
        self.available() == Tokens(0) && self.account.reserve(self.holder) == self.reserved
    }

    /// Whether an idle host is to settle its grant without being asked: its spare tokens are a large
    /// share of the budget, or exceed what is left for the other hosts. Smaller grants are settled on
    /// request, as each settlement is a write, and the host's next turn may need another one.
    pub fn should_settle_idle(&self) -> bool {
        let spare = self.available();
        let others = self.account.granted_to_others(self.holder);
        let ungranted = self.budget.minus(others.plus(self.granted));
        let is_large = spare.0 >= self.budget.0 / IDLE_SPARE_DIVISOR;
        spare > Tokens(0) && (is_large || spare > ungranted)
    }

    /// Returns the tokens of this host's grant that are neither used nor reserved.
    pub fn available(&self) -> Tokens {
        self.granted.minus(self.taken())
    }

    /// Whether `wanted` tokens may be granted in addition to this host's taken tokens and the
    /// grants of the other hosts.
    pub fn can_grant(&self, wanted: Tokens) -> bool {
        let taken = self.taken().plus(wanted);
        let granted = self.account.granted_to_others(self.holder).plus(taken);
        let taken_by_all = self.account.taken_by_others(self.holder).plus(taken);
        granted <= self.budget
            || taken_by_all <= self.budget && granted <= self.budget.plus(self.last_need)
    }

    /// Reserves `need` tokens out of this host's grant for a turn of a program with this budget.
    pub fn admit(&mut self, need: Tokens, budget: Tokens) -> Admission {
        self.budget = budget;
        self.last_need = need;
        let taken = self.taken().plus(need);
        if taken <= self.granted {
            self.reserved = self.reserved.plus(need);
            return Admission::Admitted;
        }
        if self.can_grant(need) {
            return Admission::NeedsGrant;
        }
        if self.account.used_by_others(self.holder).plus(taken) <= budget {
            return Admission::Held;
        }
        Admission::Spent
    }

    /// Whether no later version of the account can admit a turn that needs `need` tokens: what is
    /// certainly handed out only grows.
    pub fn is_spent_for_good(&self, need: Tokens, budget: Tokens) -> bool {
        let used = self.account.used_by_others(self.holder).plus(self.used);
        used.plus(need) > budget
    }

    /// Ends a reservation of `reserved` tokens, of which `used` were handed out.
    pub fn settle(&mut self, reserved: Tokens, used: Tokens) {
        self.reserved = self.reserved.minus(reserved);
        self.used = self.used.plus(used);
    }

    /// Returns the next write, with a grant for `wanted` tokens of waiting turns and, if
    /// `with_advance`, an advance for later turns; `last_endpoint` ran the latest turn.
    ///
    /// From this call on the ledger admits turns within the smaller of the old and the new grant,
    /// as the write may take effect at any time.
    pub fn plan_write(
        &mut self,
        wanted: Tokens,
        with_advance: bool,
        last_endpoint: Option<&str>,
    ) -> PlannedWrite {
        let taken = self.taken();
        let needed = taken.plus(wanted);
        let granted_to_others = self.account.granted_to_others(self.holder);
        let can_grant = self.can_grant(wanted);
        let ungranted = self.budget.minus(granted_to_others.plus(needed));
        let granted = match (can_grant, with_advance) {
            (true, true) => needed.plus(self.advance(ungranted)),
            (true, false) => needed,
            // A host may always return tokens, also if the grants of all hosts exceed the budget.
            (false, false) if wanted == Tokens(0) => taken,
            // The present grant stays, as no more tokens can be granted.
            (false, _) => self.granted.max(taken),
        };
        let grant = Grant {
            holder: self.holder,
            granted,
            taken: needed.min(granted),
        };
        let reserved = grant.taken.minus(self.used);
        let mut account = self.account.clone().with_grant(grant, reserved);
        if let Some(last_endpoint) = last_endpoint {
            account.last_endpoint = last_endpoint.into();
        }
        self.granted = self.granted.min(granted);
        PlannedWrite {
            version: self.version,
            account,
            grant,
        }
    }

    /// Records that a planned write was committed with this version.
    pub fn record_commit(&mut self, plan: PlannedWrite, version: u64) {
        self.granted = plan.grant.granted;
        self.account = plan.account;
        self.version = version;
    }

    /// Replaces the account by the row as it was read; version 0 if the row does not exist.
    ///
    /// The row alone decides which of this host's writes took effect, so it sets this host's grant.
    pub fn refresh(&mut self, account: Account, version: u64) {
        let own_grant = account.grant(self.holder).copied();
        self.account = account;
        self.version = version;
        self.granted = own_grant.map_or(Tokens(0), |grant| grant.granted);
    }

    /// Returns the version of the account row that was last read or committed; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the tokens that this host has handed out or reserved.
    pub fn taken(&self) -> Tokens {
        self.used.plus(self.reserved)
    }

    /// Returns the advance for later turns, given the tokens that are not granted to any host.
    fn advance(&self, ungranted: Tokens) -> Tokens {
        let tight = (ungranted.0 / TIGHT_DIVISOR).min(self.last_need.0 * TIGHT_TURNS_MAX);
        Tokens(tight.max(ungranted.0 / AMPLE_DIVISOR))
    }
}
