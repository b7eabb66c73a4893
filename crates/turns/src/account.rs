//! The account row of a program.

use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};
use units::{Incarnation, Tokens};

use crate::error::{Error, Result};
use crate::row::decode;

/// The part of a program's budget that one host may hand out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Incarnation of the host.
    pub holder: Incarnation,
    /// Total tokens that the host may hand out. They stay granted to a host that dies.
    pub granted: Tokens,
    /// Tokens handed out, or reserved for running turns, at the host's last write of the row.
    pub taken: Tokens,
}

/// Tokens that a host had reserved for running turns at its last write of the row. They are part of
/// [`Grant::taken`]; the turns may have ended since and have used fewer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserve {
    /// Incarnation of the host.
    pub holder: Incarnation,
    /// Tokens reserved.
    pub tokens: Tokens,
}

/// The value of a program's account row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Account {
    /// One grant for each host that has served a turn of the program.
    pub grants: Vec<Grant>,
    /// The endpoint that ran the latest turn and so has most of the prompt in memory; may be empty.
    pub last_endpoint: CompactString,
    /// Reserves of the hosts that had any. Releases that do not know this last field ignore it, and
    /// write the row without it.
    pub reserves: Vec<Reserve>,
}

impl Account {
    /// Decodes the value of an account row.
    ///
    /// # Errors
    /// If the bytes are not an account in the format of this release or an earlier one.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let ((grants, last_endpoint), length) = decode(bytes)?;
        let reserves = match &bytes[length..] {
            [] => Vec::new(),
            rest => decode(rest)?.0,
        };
        Ok(Account {
            grants,
            last_endpoint,
            reserves,
        })
    }

    /// Encodes the account as the value of its row.
    ///
    /// # Errors
    /// If the account cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .map_err(|error| Error::Decode(error.to_compact_string()))
    }

    /// Returns the grant of a host, if it has one.
    pub fn grant(&self, holder: Incarnation) -> Option<&Grant> {
        self.grants.iter().find(|grant| grant.holder == holder)
    }

    /// Returns the tokens that a host had reserved for running turns at its last write of the row.
    pub fn reserve(&self, holder: Incarnation) -> Tokens {
        let mut reserves = self.reserves.iter();
        let reserve = reserves.find(|reserve| reserve.holder == holder);
        reserve.map_or(Tokens(0), |reserve| reserve.tokens)
    }

    /// Returns the tokens granted to all hosts but `holder`.
    pub fn granted_to_others(&self, holder: Incarnation) -> Tokens {
        self.others(holder)
            .fold(Tokens(0), |sum, grant| sum.plus(grant.granted))
    }

    /// Returns the tokens that all hosts but `holder` had taken at their last writes of the row.
    pub fn taken_by_others(&self, holder: Incarnation) -> Tokens {
        self.others(holder)
            .fold(Tokens(0), |sum, grant| sum.plus(grant.taken))
    }

    /// Returns the tokens that all hosts but `holder` have certainly handed out: those taken at their
    /// last writes of the row that were not reserved.
    pub fn used_by_others(&self, holder: Incarnation) -> Tokens {
        self.others(holder).fold(Tokens(0), |sum, grant| {
            sum.plus(grant.taken.minus(self.reserve(grant.holder)))
        })
    }

    /// Adds a grant and the reserved part of its taken tokens; they replace the holder's earlier ones.
    pub fn with_grant(mut self, grant: Grant, reserved: Tokens) -> Self {
        let holder = grant.holder;
        self.grants.retain(|old| old.holder != holder);
        self.grants.push(grant);
        self.reserves.retain(|old| old.holder != holder);
        if reserved > Tokens(0) {
            let tokens = reserved;
            self.reserves.push(Reserve { holder, tokens });
        }
        self
    }

    fn others(&self, holder: Incarnation) -> impl Iterator<Item = &Grant> {
        self.grants
            .iter()
            .filter(move |grant| grant.holder != holder)
    }
}
