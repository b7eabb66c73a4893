//! Accounting of a program's tokens.

use units::Tokens;

/// A tranche is at most the ungranted budget divided by this, unless a call needs more. A takeover
/// counts the unspent part of a tranche as spent, so this bounds the tokens that it can waste.
const TRANCHE_DIVISOR: u64 = 8;

/// Token accounts of one program; at all times, budget ≥ granted ≥ spent + reserved.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    budget: Tokens,
    granted: Tokens,
    spent: Tokens,
    reserved: Tokens,
}

/// Result of an attempt to reserve tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The tokens are reserved.
    Granted,
    /// Nothing is reserved: the given number of tokens has to be granted durably first.
    Tranche(Tokens),
    /// The budget does not cover the tokens.
    Exhausted,
}

impl Ledger {
    /// The ledger of a new program, to which nothing has been granted.
    pub fn new(budget: Tokens) -> Self {
        Ledger {
            budget,
            ..Ledger::default()
        }
    }

    /// Tokens of the budget that are neither spent nor reserved.
    pub fn remaining(&self) -> Tokens {
        self.budget.minus(self.spent).minus(self.reserved)
    }

    /// Tokens spent by finished calls, handed to sub-agents, or counted as spent for an unknown
    /// outcome.
    pub fn spent(&self) -> Tokens {
        self.spent
    }

    /// Tokens granted by durable events.
    pub fn granted(&self) -> Tokens {
        self.granted
    }

    /// Tokens reserved for dispatches of the running call.
    pub fn reserved(&self) -> Tokens {
        self.reserved
    }

    /// Records a durable grant; the sum of grants is capped at the budget.
    pub fn grant(&mut self, tokens: Tokens) {
        self.granted = self.granted.plus(tokens).min(self.budget);
    }

    /// Reserves `tokens` if they are granted. Otherwise requests a grant of the missing tokens, or
    /// of up to `tranche` if that is more and the ungranted budget is large enough.
    pub fn reserve(&mut self, tokens: Tokens, tranche: Tokens) -> Reservation {
        let needed = self.spent.plus(self.reserved).plus(tokens);
        if needed > self.budget {
            return Reservation::Exhausted;
        }
        if needed > self.granted {
            let ungranted = self.budget.minus(self.granted);
            let preferred = tranche.min(Tokens(ungranted.0 / TRANCHE_DIVISOR));
            return Reservation::Tranche(needed.minus(self.granted).max(preferred));
        }
        self.reserved = self.reserved.plus(tokens);
        Reservation::Granted
    }

    /// Releases a reservation of which nothing was used.
    pub fn release(&mut self, tokens: Tokens) {
        self.reserved = self.reserved.minus(tokens);
    }

    /// Counts tokens as spent.
    pub fn spend(&mut self, tokens: Tokens) {
        self.spent = self.spent.plus(tokens);
    }

    /// Stops counting tokens as spent.
    pub fn refund(&mut self, tokens: Tokens) {
        self.spent = self.spent.minus(tokens);
    }

    /// Counts all granted tokens as spent, because the use before a takeover is unknown.
    pub fn forfeit(&mut self) {
        self.spent = self.granted;
        self.reserved = Tokens(0);
    }
}
