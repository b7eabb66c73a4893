//! One host's view of a program's account, and what to write next.
//!
//! A host asks for more than the next turn needs where the budget has room, so that later turns
//! start without waiting for the store, and go on while it is away.
//!
//! A host that dies keeps what it held, though its callers may have got little of it. So that a
//! program does not fail for that, the grants together may exceed the budget by the most of one
//! turn, the same that the budget's owner allows for, as long as the tokens known to be taken do not.

use units::{Incarnation, Tokens};

use crate::account::{Account, Grant};

/// Share of the room left that a host may hold ahead, as a divisor: half of it still leaves the
/// other hosts of a program as much again.
const AHEAD_DIVISOR: u64 = 2;
/// Turns that a host may hold ahead, each at its most, out of a tight budget. A turn mostly uses a
/// fraction of its most, so one lasts for several turns; what a host holds when it dies is lost to
/// the program.
const AHEAD_TURNS: u64 = 1;
/// Share of the room that a host may hold ahead in any case, as a divisor: of an ample budget it is
/// more than one turn's most, and three hosts that die still leave a quarter of it.
const AMPLE_DIVISOR: u64 = 4;

/// Whether a turn may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is reserved: it may start.
    Admitted,
    /// The account row has to be written first.
    NeedsGrant,
    /// The budget does not hold it, if the account is as last read.
    Spent,
    /// Other hosts hold more than they have taken, and even the overdraft does not hold it; what they
    /// give back may be enough.
    Held,
}

/// A write of the account row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedWrite {
    /// The version that the row must have; 0 if it must not exist.
    pub version: u64,
    /// The account to write.
    pub account: Account,
    /// The grant in it.
    pub grant: Grant,
}

/// The state of one program's budget at one host.
#[derive(Clone, Debug)]
pub struct Ledger {
    me: Incarnation,
    version: u64,
    account: Account,
    granted: Tokens,
    used: Tokens,
    running: Tokens,
    budget: Tokens,
    need: Tokens,
}

impl Ledger {
    /// A ledger of a program that this host knows nothing of.
    pub fn new(me: Incarnation) -> Self {
        Ledger {
            me,
            version: 0,
            account: Account::default(),
            granted: Tokens(0),
            used: Tokens(0),
            running: Tokens(0),
            budget: Tokens(0),
            need: Tokens(0),
        }
    }

    /// The endpoint that ran the program's latest turn, as far as known; may be empty.
    pub fn last_endpoint(&self) -> &str {
        &self.account.last_endpoint
    }

    /// Whether turns of this host run.
    pub fn is_running(&self) -> bool {
        self.running.0 > 0
    }

    /// Whether this host holds more ahead than the budget has left for the others.
    pub fn has_excess(&self) -> bool {
        let granted = self.account.granted_to_others(self.me).plus(self.granted);
        self.available() > self.budget.minus(granted)
    }

    /// Tokens granted beyond what is used and reserved.
    pub fn available(&self) -> Tokens {
        self.granted.minus(self.taken())
    }

    /// Whether `wanted` tokens may be granted beside all that is granted and taken.
    pub fn can_grant(&self, wanted: Tokens) -> bool {
        let taken = self.taken().plus(wanted);
        let granted = self.account.granted_to_others(self.me).plus(taken);
        let known = self.account.taken_by_others(self.me).plus(taken);
        granted <= self.budget || known <= self.budget && granted <= self.budget.plus(self.need)
    }

    /// Reserves `need` tokens of a program with this budget, if the grant has them.
    pub fn admit(&mut self, need: Tokens, budget: Tokens) -> Admission {
        self.budget = budget;
        self.need = need;
        let taken = self.taken().plus(need);
        if taken <= self.granted {
            self.running = self.running.plus(need);
            return Admission::Admitted;
        }
        if self.can_grant(need) {
            return Admission::NeedsGrant;
        }
        if self.account.taken_by_others(self.me).plus(taken) <= budget {
            return Admission::Held;
        }
        Admission::Spent
    }

    /// Gives back a reservation of `reserved` tokens of which `used` were handed out.
    pub fn settle(&mut self, reserved: Tokens, used: Tokens) {
        self.running = self.running.minus(reserved);
        self.used = self.used.plus(used);
    }

    /// The next write, with room for `wanted` tokens of waiting turns; `home` is the endpoint of the
    /// latest turn. With `ahead`, room for later turns is taken as well.
    ///
    /// From here on the host keeps to the smaller of the old and the new grant, as the write may take
    /// effect at any moment.
    pub fn plan_write(&mut self, wanted: Tokens, ahead: bool, home: Option<&str>) -> PlannedWrite {
        let taken = self.taken();
        let needed = taken.plus(wanted);
        let others = self.account.granted_to_others(self.me);
        let fits = self.can_grant(wanted);
        let room = self.budget.minus(others.plus(needed));
        let granted = match (fits, ahead) {
            (true, true) => needed.plus(self.ahead(room)),
            (true, false) => needed,
            // What is granted already stays; nothing more can be had.
            (false, _) => self.granted.max(taken),
        };
        let grant = Grant {
            holder: self.me,
            granted,
            taken: needed.min(granted),
        };
        let mut account = self.account.clone().with_grant(grant);
        if let Some(home) = home {
            account.last_endpoint = home.into();
        }
        self.granted = self.granted.min(granted);
        PlannedWrite {
            version: self.version,
            account,
            grant,
        }
    }

    /// Takes in that a plan was committed as this version.
    pub fn record_commit(&mut self, plan: PlannedWrite, version: u64) {
        self.granted = plan.grant.granted;
        self.account = plan.account;
        self.version = version;
    }

    /// Takes in the account row as it was read; version 0 if there is none.
    ///
    /// The row tells by itself which of this host's writes took effect: the grant is what it says.
    pub fn refresh(&mut self, account: Account, version: u64) {
        let mine = account.grant(self.me).copied();
        self.account = account;
        self.version = version;
        self.granted = mine.map_or(Tokens(0), |grant| grant.granted);
    }

    /// The version of the account row last seen.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What to take for later turns of the `room` that is left.
    fn ahead(&self, room: Tokens) -> Tokens {
        let tight = (room.0 / AHEAD_DIVISOR).min(self.need.0 * AHEAD_TURNS);
        Tokens(tight.max(room.0 / AMPLE_DIVISOR))
    }

    fn taken(&self) -> Tokens {
        self.used.plus(self.running)
    }
}
