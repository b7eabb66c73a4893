//! The client accounts of an environment.

use std::collections::HashMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use units::{Digest, Rate};

use crate::error::{Error, Result};

/// Most requests that an account may send, through all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Requests per second in the long run.
    pub rate: Rate,
    /// Requests that may exceed the rate at a time.
    pub burst: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Name, which endpoints receive.
    pub name: CompactString,
    /// Priority of its requests, before that of their routes; 0 is the highest.
    pub rank: Option<u8>,
    /// `None` if its requests are not limited.
    pub limit: Option<Limit>,
}

/// All client accounts, by their keys. Only digests of the keys are kept.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Accounts {
    accounts: HashMap<CompactString, Account>,
    keys: HashMap<Digest, CompactString>,
}

impl Accounts {
    /// Adds an account with its keys. A rate of 0 means that its requests are not limited.
    ///
    /// # Errors
    /// If the name or a key is taken, or a number of the limit is negative or not finite.
    pub fn insert(&mut self, account: Account, keys: &[CompactString]) -> Result<()> {
        let name = account.name.clone();
        let numbers = account.limit.iter();
        let mut numbers = numbers.flat_map(|limit| [limit.rate.0, limit.burst]);
        if numbers.any(|number| !number.is_finite() || number < 0.0) {
            return Err(Error::Limit(name));
        }
        if self.accounts.contains_key(&name) {
            return Err(Error::DuplicateAccount(name));
        }
        for key in keys {
            let digest = Digest::of(key.as_bytes());
            let holder = self.keys.insert(digest, name.clone());
            if let Some(holder) = holder.filter(|holder| *holder != name) {
                return Err(Error::SharedKey(holder, name));
            }
        }
        let limit = account.limit.filter(|limit| limit.rate.0 > 0.0);
        let account = Account { limit, ..account };
        self.accounts.insert(name, account);
        Ok(())
    }

    /// Whether no account is listed; requests then need no key.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Whether the requests of any account are limited.
    pub fn has_limits(&self) -> bool {
        let mut accounts = self.accounts.values();
        accounts.any(|account| account.limit.is_some())
    }

    /// Returns the number of accounts.
    pub fn count(&self) -> usize {
        self.accounts.len()
    }

    /// Whether an account with this name is listed.
    pub fn contains(&self, name: &str) -> bool {
        self.accounts.contains_key(name)
    }

    /// Returns the account that holds the key with this digest.
    pub fn by_key(&self, key: &Digest) -> Option<&Account> {
        self.accounts.get(self.keys.get(key)?)
    }
}
