//! The account row of a program.

use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};
use units::{Incarnation, Tokens};

use crate::error::{Error, Result};

/// What one host may hand out of a program's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The host's incarnation.
    pub holder: Incarnation,
    /// Tokens that it may hand out in all; a host that died without giving back keeps them.
    pub granted: Tokens,
    /// Tokens handed out or reserved for running turns when it last wrote.
    pub taken: Tokens,
}

/// All grants of a program.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// One grant a host that ever served a turn of the program.
    pub grants: Vec<Grant>,
    /// The endpoint that ran the latest turn: it has most of the prompt in memory.
    pub last_endpoint: CompactString,
}

impl Account {
    /// Decodes a row's value.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let config = bincode::config::standard();
        bincode::serde::decode_from_slice(bytes, config)
            .map(|(account, _)| account)
            .map_err(|error| Error::Decode(error.to_compact_string()))
    }

    /// The row's value.
    pub fn encode(&self) -> Result<Vec<u8>> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .map_err(|error| Error::Decode(error.to_compact_string()))
    }

    /// The grant of a host.
    pub fn grant(&self, holder: Incarnation) -> Option<&Grant> {
        self.grants.iter().find(|grant| grant.holder == holder)
    }

    /// Tokens granted to all hosts but this one.
    pub fn granted_to_others(&self, holder: Incarnation) -> Tokens {
        self.others(holder)
            .fold(Tokens(0), |sum, grant| sum.plus(grant.granted))
    }

    /// Tokens that all hosts but this one had taken when they last wrote.
    pub fn taken_by_others(&self, holder: Incarnation) -> Tokens {
        self.others(holder)
            .fold(Tokens(0), |sum, grant| sum.plus(grant.taken))
    }

    /// The same account with this grant in place of the holder's earlier one.
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
