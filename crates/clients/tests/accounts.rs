//! Accounts of an environment, and documents with accounts that cannot be used.

use clients::{Account, Accounts, Error, Limit};
use compact_str::{CompactString, format_compact};
use units::{Digest, Rate};

fn account(name: &str, rate: f64, burst: f64) -> Account {
    Account {
        name: name.into(),
        rank: None,
        limit: Some(Limit {
            rate: Rate(rate),
            burst,
        }),
    }
}

fn keys(names: &[&str]) -> Vec<CompactString> {
    names.iter().map(|name| (*name).into()).collect()
}

#[test]
fn a_key_names_its_account() {
    let mut accounts = Accounts::default();
    accounts
        .insert(account("a", 5.0, 1.0), &keys(&["k1", "k2"]))
        .expect("inserted");
    accounts
        .insert(account("b", 0.0, 1.0), &keys(&["k3"]))
        .expect("inserted");
    let find = |key: &str| accounts.by_key(&Digest::of(key.as_bytes()));
    assert_eq!(find("k2").map(|account| account.name.as_str()), Some("a"));
    assert_eq!(find("k4"), None);
    // A rate of 0 is no limit.
    assert_eq!(find("k3").map(|account| account.limit), Some(None));
    assert!(accounts.has_limits());
}

macro_rules! rejected {
    ($($name:ident: $account:expr, $keys:expr => $error:pat,)*) => {
        $(
            #[test]
            fn $name() {
                let mut accounts = Accounts::default();
                accounts.insert(account("a", 5.0, 1.0), &keys(&["k1"])).expect("inserted");
                let result = accounts.insert($account, &keys($keys));
                assert!(matches!(result, Err($error)), "{result:?}");
            }
        )*
    };
}

rejected! {
    a_key_that_two_accounts_hold: account("b", 5.0, 1.0), &["k2", "k1"] => Error::SharedKey(..),
    an_account_that_is_listed_twice: account("a", 5.0, 1.0), &["k2"] => Error::DuplicateAccount(_),
    a_negative_rate: account("b", -1.0, 1.0), &["k2"] => Error::Limit(_),
    a_negative_burst: account("b", 1.0, -1.0), &["k2"] => Error::Limit(_),
    a_rate_that_is_not_a_number: account("b", f64::NAN, 1.0), &["k2"] => Error::Limit(_),
}

#[test]
fn keys_by_the_hundred_thousand_are_found() {
    let mut accounts = Accounts::default();
    for number in 0..10_000 {
        let names = (0..10).map(|key| format_compact!("key-{number}-{key}"));
        let names: Vec<CompactString> = names.collect();
        let account = account(&format!("account-{number}"), 1.0, 1.0);
        accounts.insert(account, &names).expect("inserted");
    }
    let found = accounts.by_key(&Digest::of(b"key-9999-9"));
    assert_eq!(
        found.map(|account| account.name.as_str()),
        Some("account-9999")
    );
}

#[test]
fn keys_are_not_shown() {
    let mut accounts = Accounts::default();
    accounts
        .insert(account("a", 5.0, 1.0), &keys(&["secret-key"]))
        .expect("inserted");
    assert!(!format!("{accounts:?}").contains("secret-key"));
}
