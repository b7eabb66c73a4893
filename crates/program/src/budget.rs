//! The account of a program's tokens.

use units::Tokens;

/// Part of a budget's rest that one tranche takes at most, unless a call needs more. A takeover counts
/// the open tranche as spent, so this bounds what it can waste.
const TRANCHE_FRACTION: u64 = 8;

/// Tokens of one program: budget ≥ granted ≥ spent + reserved, always.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    budget: Tokens,
    granted: Tokens,
    spent: Tokens,
    reserved: Tokens,
}

/// Answer to a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// Reserved.
    Granted,
    /// So many more tokens must be granted durably first.
    Tranche(Tokens),
    /// The budget does not cover it.
    Exhausted,
}

impl Ledger {
    /// The ledger of a new program; nothing is granted yet.
    pub fn new(budget: Tokens) -> Self {
        Ledger {
            budget,
            ..Ledger::default()
        }
    }

    /// Tokens not yet spent or reserved.
    pub fn remaining(&self) -> Tokens {
        self.budget.minus(self.spent).minus(self.reserved)
    }

    /// Tokens spent.
    pub fn spent(&self) -> Tokens {
        self.spent
    }

    /// Tokens granted durably.
    pub fn granted(&self) -> Tokens {
        self.granted
    }

    /// Tokens reserved for running calls.
    pub fn reserved(&self) -> Tokens {
        self.reserved
    }

    /// Records a durable grant, at most up to the budget.
    pub fn grant(&mut self, tokens: Tokens) {
        self.granted = self.granted.plus(tokens).min(self.budget);
    }

    /// Reserves `tokens`; asks for what is missing, or for `tranche` if the budget's rest is ample.
    pub fn reserve(&mut self, tokens: Tokens, tranche: Tokens) -> Reservation {
        let needed = self.spent.plus(self.reserved).plus(tokens);
        if needed > self.budget {
            return Reservation::Exhausted;
        }
        if needed > self.granted {
            let rest = self.budget.minus(self.granted);
            let ample = tranche.min(Tokens(rest.0 / TRANCHE_FRACTION));
            return Reservation::Tranche(needed.minus(self.granted).max(ample));
        }
        self.reserved = self.reserved.plus(tokens);
        Reservation::Granted
    }

    /// Gives up a reservation of which nothing was used.
    pub fn release(&mut self, tokens: Tokens) {
        self.reserved = self.reserved.minus(tokens);
    }

    /// Records durable use.
    pub fn spend(&mut self, tokens: Tokens) {
        self.spent = self.spent.plus(tokens);
    }

    /// Records durable use that was returned.
    pub fn refund(&mut self, tokens: Tokens) {
        self.spent = self.spent.minus(tokens);
    }

    /// Counts all that was granted as spent: after a takeover nobody knows better.
    pub fn forfeit(&mut self) {
        self.spent = self.granted;
        self.reserved = Tokens(0);
    }
}
