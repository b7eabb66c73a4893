//! The account row of a program.

use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};
use units::{Incarnation, Tokens};

use crate::error::{Error, Result};

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

/// The value of a program's account row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// One grant for each host that has served a turn of the program.
    pub grants: Vec<Grant>,
    /// The endpoint that ran the latest turn and so has most of the prompt in memory; may be empty.
    pub last_endpoint: CompactString,
}

impl Account {
    /// Decodes the value of an account row.
    ///
    /// # Errors
    /// If the bytes are not an account in the format that this version writes.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let config = bincode::config::standard();
        bincode::serde::decode_from_slice(bytes, config)
            .map(|(account, _)| account)
            .map_err(|error| Error::Decode(error.to_compact_string()))
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

    /// Adds a grant, which replaces the holder's earlier one.
    pub fn with_grant(mut self, grant: Grant) -> Self {
        self.grants.retain(|old| old.holder != grant.holder);
        self.grants.push(grant);
        self
    }

    fn others(&self, holder: Incarnation) -> impl Iterator<Item = &Grant> {
        self.grants
            .iter()
            .filter(move |grant| grant.holder != holder)
    }
}
