//! Names of identifiers are unique among all owners, and plain wherever they can be.

use clients::owner::{Id, Owner};
use clients::{Account, Accounts};
use proptest::prelude::*;

fn accounts(names: &[String]) -> Accounts {
    let mut accounts = Accounts::default();
    for name in names {
        let account = Account {
            name: name.as_str().into(),
            rank: None,
            limit: None,
        };
        // A name that is taken stays listed.
        let _ = accounts.insert(account, &[]);
    }
    accounts
}

fn id(owner: &str, id: &str) -> Id {
    match owner {
        "" => Owner::Anonymous.id(id),
        account => Owner::Account(account.into()).id(id),
    }
}

macro_rules! names {
    ($($case:ident: $owner:literal, $id:literal, [$($account:literal),*] => $name:literal,)*) => {$(
        #[test]
        fn $case() {
            let accounts = accounts(&[$($account.to_owned()),*]);
            assert_eq!(id($owner, $id).name(&accounts).as_str(), $name);
        }
    )*};
}

// Releases before this one use plain names only, and run beside it during an update.
names! {
    an_account_has_plain_names: "ada", "t1", ["ada", "bob"] => "ada/t1",
    a_caller_without_an_account_has_plain_names: "", "t1", ["ada"] => "t1",
    a_slash_alone_needs_no_quotes: "", "talk/t1", ["ada"] => "talk/t1",
    a_slash_in_a_name_alone_needs_no_quotes: "team/ada", "t1", ["team/ada"] => "team/ada/t1",
    the_name_of_an_account_is_quoted_for_anyone_else: "", "ada/t1", ["ada"] => " /ada/t1",
    the_account_with_the_shorter_name_has_the_plain_one: "team", "ada/t1", ["team", "team/ada"]
        => "team/ada/t1",
    the_account_with_the_longer_name_has_the_quoted_one: "team/ada", "t1", ["team", "team/ada"]
        => " 8:team/ada/t1",
    a_name_that_begins_like_a_quoted_one_is_quoted: " /x", "t1", [" /x"] => " 3: /x/t1",
    the_name_of_an_account_without_a_name_is_quoted_for_anyone_else: "", "/t1", [""] => " //t1",
}

/// Texts in which names are likely to collide.
fn text() -> impl Strategy<Value = String> {
    "[ a/1:]{0,6}"
}

proptest! {
    // An identifier of one owner named what belongs to another.
    #[test]
    fn no_two_identifiers_have_the_same_name(
        names in prop::collection::vec(text(), 0..5),
        ids in prop::collection::vec((0..6_usize, text()), 2..12),
    ) {
        let accounts = accounts(&names);
        let ids: Vec<Id> = ids
            .iter()
            .map(|(owner, id)| match names.get(*owner) {
                Some(name) => Owner::Account(name.as_str().into()).id(id),
                None => Owner::Anonymous.id(id),
            })
            .collect();
        for one in &ids {
            for other in &ids {
                prop_assert_eq!(one == other, one.name(&accounts) == other.name(&accounts));
            }
        }
    }

    // Rows were written while other accounts were listed.
    #[test]
    fn an_identifier_has_at_most_two_names(
        names in prop::collection::vec(text(), 1..5),
        others in prop::collection::vec(text(), 0..5),
        owner in 0..6_usize,
        text in text(),
    ) {
        let owner = names.get(owner);
        let own = owner.iter().map(|name| (*name).clone());
        let (earlier, accounts) = (accounts(&others.into_iter().chain(own).collect::<Vec<_>>()), accounts(&names));
        let owner = owner.map_or(Owner::Anonymous, |name| Owner::Account(name.as_str().into()));
        let id = owner.id(&text);
        let (name, other) = (id.name(&accounts), id.other_name(&accounts));
        let written = id.name(&earlier);
        prop_assert!(written == name || Some(&written) == other.as_ref(), "{written}");
        prop_assert_eq!(owner.parse(written.as_str()), Some(id));
    }
}
