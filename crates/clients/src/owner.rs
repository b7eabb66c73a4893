//! Identifiers that callers choose, each with its owner.
//!
//! Callers of different client accounts, and callers without one, may choose the same identifier, or
//! one that looks like another owner's with its name. An [`Id`] therefore holds the owner beside the
//! identifier, and its [`Name`], which stands in keys of rows and in messages, is another one for each
//! owner.
//!
//! The plain name, ACCOUNT/ID, or ID without an account, is the only one in rows and messages of
//! releases before this type. An identifier or an account's name may contain a slash, so that two
//! owners may have the same plain name. It belongs to the account with the shortest name that fits;
//! the others use a quoted name, which begins with a space and states the length of the account's name.

use std::fmt;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::account::Accounts;

/// First character of quoted names. No identifier contains it.
const QUOTE: char = ' ';

/// Who chose an identifier.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Owner {
    /// A caller without a client account.
    Anonymous,
    /// A caller of the client account with this name.
    Account(CompactString),
}

/// An identifier that a caller chose, unique among those of all owners.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Id {
    owner: Owner,
    id: CompactString,
}

/// The text for an [`Id`] in keys of rows and in messages.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(CompactString);

impl Owner {
    /// Returns the identifier `id` of this owner.
    pub fn id(&self, id: &str) -> Id {
        Id {
            owner: self.clone(),
            id: id.into(),
        }
    }

    /// Returns the identifier of this owner that has this name, plain or quoted; `None` if the name
    /// cannot be one of this owner's.
    pub fn parse(&self, name: &str) -> Option<Id> {
        let quoted = name.strip_prefix(self.quoted_prefix().as_str());
        let plain = match self {
            Owner::Anonymous => Some(name),
            Owner::Account(account) => name
                .strip_prefix(account.as_str())
                .and_then(|rest| rest.strip_prefix('/')),
        };
        Some(self.id(quoted.or(plain)?))
    }

    fn quoted_prefix(&self) -> CompactString {
        match self {
            Owner::Anonymous => format_compact!("{QUOTE}/"),
            Owner::Account(account) => format_compact!("{QUOTE}{}:{account}/", account.len()),
        }
    }
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Owner::Anonymous => Ok(()),
            Owner::Account(account) => f.write_str(account),
        }
    }
}

impl Id {
    /// Returns who chose the identifier.
    pub fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Returns the text that the caller chose, which other owners may have chosen too.
    pub fn unowned(&self) -> &str {
        &self.id
    }

    /// Returns the name of the identifier while `accounts` are listed. No other identifier has it.
    pub fn name(&self, accounts: &Accounts) -> Name {
        if self.has_plain_name(accounts) {
            self.plain()
        } else {
            self.quoted()
        }
    }

    /// Returns the name that the identifier has while other accounts are listed; `None` if it is the
    /// same. It may be the name of another identifier while `accounts` are listed.
    pub fn other_name(&self, accounts: &Accounts) -> Option<Name> {
        let has_slash = match &self.owner {
            Owner::Anonymous => self.id.contains('/'),
            Owner::Account(account) => account.contains('/'),
        };
        match (has_slash, self.has_plain_name(accounts)) {
            (false, true) => None,
            (true, true) => Some(self.quoted()),
            (_, false) => Some(self.plain()),
        }
    }

    fn has_plain_name(&self, accounts: &Accounts) -> bool {
        let Name(plain) = self.plain();
        if plain.starts_with(QUOTE) {
            return false;
        }
        let mut slashes = plain.match_indices('/').map(|(index, _)| index);
        let first = slashes.find(|index| accounts.contains(&plain[..*index]));
        match &self.owner {
            Owner::Anonymous => first.is_none(),
            Owner::Account(account) => first == Some(account.len()),
        }
    }

    fn plain(&self) -> Name {
        Name(match &self.owner {
            Owner::Anonymous => self.id.clone(),
            Owner::Account(account) => format_compact!("{account}/{}", self.id),
        })
    }

    fn quoted(&self) -> Name {
        Name(format_compact!("{}{}", self.owner.quoted_prefix(), self.id))
    }
}

/// The plain name, which is for logs and hashes only.
impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.plain().0)
    }
}

impl Name {
    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
