//! Checks that every accepted document stays the same when it is rendered and parsed again.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use proptest::prelude::*;
use settings::Document;

/// Generates a name that operators may use.
fn name() -> impl Strategy<Value = String> {
    "[a-z0-9._-]{1,12}"
}

fn span() -> impl Strategy<Value = String> {
    let unit = prop::sample::select(vec!["s", "m", "h"]);
    (1_u64..=24, unit).prop_map(|(number, unit)| format!("{number}{unit}"))
}

fn policy_settings() -> impl Strategy<Value = String> {
    let routings = vec!["completion", "least-outstanding", "round-robin"];
    let switch = || prop::sample::select(vec!["on", "off"]);
    let words = (
        prop::sample::select(routings),
        prop::sample::select(vec!["attained", "arrival"]),
        (switch(), switch()),
    );
    let numbers = (span(), span(), span(), 0.0..1e3_f64, 1_u32..1_000);
    (words, numbers).prop_map(|((routing, order, (affinity, slowness)), numbers)| {
        let (price, start, weight, rate, candidates) = numbers;
        format!(
            "routing = {routing}\norder = {order}\naffinity = {affinity}\nslowness = {slowness}\n\
             link-price = {price}\nhead-start = {start}\nattained-weight = {weight}\n\
             age-weight = {rate}\nlate-after = {rate}\nadmission = {rate}\n\
             candidates = {candidates}\n"
        )
    })
}

fn limits_and_policy() -> impl Strategy<Value = String> {
    let wait = (0_u64..3_600_000).prop_map(|number| format!("{number}ms"));
    let number = || 1..=u64::MAX;
    let limits = (number(), number(), span(), 1..=u32::MAX, number(), wait);
    let limits = limits.prop_map(|(tokens, calls, idle, repeats, tranche, wait)| {
        format!(
            "[limits]\ntokens-max = {tokens}\ncalls-max={calls}\n idle-timeout = {idle}\n\
             ; a comment\nloop-limit = {repeats}\ntranche = {tranche}\ncommit-wait : {wait}\nended-retention = {idle}\n"
        )
    });
    let policy = (0.0..1e9, 0.0..1.0_f64, 0_u64..1 << 20);
    let policy = policy.prop_map(|(hedge, retry, rate)| {
        format!("[policy]\nhedge-budget = {hedge}\nretry-budget = {retry}\nlink-rate = {rate}k\n")
    });
    let policy = (policy, policy_settings()).prop_map(|(policy, settings)| policy + &settings);
    (prop::option::of(limits), prop::option::of(policy))
        .prop_map(|(limits, policy)| limits.unwrap_or_default() + &policy.unwrap_or_default())
}

/// Generates a document as an operator may write it, with one class that all accounts may use.
fn document() -> impl Strategy<Value = String> {
    let account = (name(), any::<[u8; 32]>(), 1..=u32::MAX, any::<u64>());
    let targets = prop::collection::btree_map(name(), any::<Option<bool>>(), 0..6);
    let parts = (
        name(),
        name(),
        any::<u32>(),
        span(),
        targets,
        limits_and_policy(),
    );
    (parts, prop::collection::vec(account, 0..4)).prop_filter_map("names are unique", render)
}

type Parts = (
    String,
    String,
    u32,
    String,
    std::collections::BTreeMap<String, Option<bool>>,
    String,
);

type Account = (String, [u8; 32], u32, u64);

fn render((parts, accounts): (Parts, Vec<Account>)) -> Option<String> {
    let (environment, class, precedence, deadline, targets, limits_and_policy) = parts;
    let mut text = format!(
        "[environment]\nname={environment}\n[class {class}]\nprecedence = {precedence}\n\
         deadline = {deadline}\n"
    );
    for (account, token, share, programs) in accounts {
        let token = units::Digest::of(&token);
        text += &format!(
            "[account {account}]\ntoken-digest = {token}\nclasses = {class}\nshare = {share}\n\
             programs-max = {programs}\n"
        );
    }
    for (target, idempotent) in targets {
        text += &match idempotent {
            None => format!("[model {target}]\n"),
            Some(true) => format!("[service {target}]\nidempotent = yes\n"),
            Some(false) => format!("[service {target}]\nidempotent = no\n"),
        };
    }
    let text = text + &limits_and_policy;
    Document::parse("document", &text).is_ok().then_some(text)
}

proptest! {
    #[test]
    fn accepted_document_survives_rendering_and_parsing(text in document(), other in name()) {
        let document = Document::parse("document", &text).unwrap();
        let rendered = document.to_string();
        prop_assert_eq!(&Document::parse("rendered", &rendered).unwrap(), &document);
        let renamed = Document::rename(&text, &other);
        let renamed = Document::parse("renamed", &renamed).unwrap();
        prop_assert_eq!(renamed, Document { name: other.into(), ..document });
    }
}
