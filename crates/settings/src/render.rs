//! Writes an environment document as INI text.

use std::fmt;

use policy::Settings;
use units::Target;

use crate::document::{
    Account, Class, Document, Limits, Model, ORDERS, Policy, ROUTINGS, SWITCH, Service,
};

/// Writes the document as INI with every key; parsing the text gives the same document.
impl fmt::Display for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "[environment]\nname = {}", self.name)?;
        self.classes
            .iter()
            .try_for_each(|class| write_class(f, class))?;
        self.accounts
            .iter()
            .try_for_each(|account| write_account(f, account))?;
        self.models
            .iter()
            .try_for_each(|model| write_model(f, model))?;
        self.services
            .iter()
            .try_for_each(|service| write_service(f, service))?;
        write_limits(f, &self.limits)?;
        write_policy(f, &self.policy)
    }
}

// Each struct is destructured completely, so that a field that is not written is a compile error.

fn write_class(f: &mut fmt::Formatter<'_>, (name, class): (&units::Class, &Class)) -> fmt::Result {
    let Class {
        precedence,
        deadline,
        objective,
    } = class;
    writeln!(f, "\n[class {name}]\nprecedence = {precedence}")?;
    writeln!(f, "deadline = {deadline}")?;
    writeln!(f, "objective = {objective}")
}

fn write_account(
    f: &mut fmt::Formatter<'_>,
    (name, account): (&units::Account, &Account),
) -> fmt::Result {
    let Account {
        token_digest,
        classes,
        share,
        programs_max,
    } = account;
    let classes: Vec<&str> = classes.iter().map(units::Class::as_str).collect();
    writeln!(f, "\n[account {name}]\ntoken-digest = {token_digest}")?;
    writeln!(f, "classes = {}", classes.join(" "))?;
    writeln!(f, "share = {share}")?;
    writeln!(f, "programs-max = {programs_max}")
}

fn write_model(f: &mut fmt::Formatter<'_>, (name, model): (&Target, &Model)) -> fmt::Result {
    let Model { context } = model;
    writeln!(f, "\n[model {name}]\ncontext = {context}")
}

fn write_service(f: &mut fmt::Formatter<'_>, (name, service): (&Target, &Service)) -> fmt::Result {
    let Service { idempotent } = service;
    let idempotent = if *idempotent { "yes" } else { "no" };
    writeln!(f, "\n[service {name}]\nidempotent = {idempotent}")
}

fn write_limits(f: &mut fmt::Formatter<'_>, limits: &Limits) -> fmt::Result {
    let Limits {
        tokens_max,
        calls_max,
        idle_timeout,
        loop_limit,
        tranche,
        commit_wait,
        ended_retention,
    } = limits;
    writeln!(f, "\n[limits]\ntokens-max = {tokens_max}")?;
    writeln!(f, "calls-max = {calls_max}")?;
    writeln!(f, "idle-timeout = {idle_timeout}")?;
    writeln!(f, "loop-limit = {loop_limit}")?;
    writeln!(f, "tranche = {tranche}")?;
    writeln!(f, "commit-wait = {commit_wait}")?;
    writeln!(f, "ended-retention = {ended_retention}")
}

fn write_policy(f: &mut fmt::Formatter<'_>, policy: &Policy) -> fmt::Result {
    let Policy {
        settings,
        retry_budget,
        link_rate,
    } = policy;
    writeln!(f, "\n[policy]\nretry-budget = {retry_budget}")?;
    writeln!(f, "link-rate = {link_rate}")?;
    write_policy_settings(f, settings)
}

fn write_policy_settings(f: &mut fmt::Formatter<'_>, settings: &Settings) -> fmt::Result {
    let Settings {
        routing,
        order,
        candidates,
        affinity,
        slowness,
        link_price,
        head_start,
        attained_weight,
        age_weight,
        late_after,
        hedge_budget,
        admission,
    } = settings;
    writeln!(f, "routing = {}", word_for(&ROUTINGS, *routing))?;
    writeln!(f, "order = {}", word_for(&ORDERS, *order))?;
    writeln!(f, "candidates = {candidates}")?;
    writeln!(f, "affinity = {}", word_for(&SWITCH, *affinity))?;
    writeln!(f, "slowness = {}", word_for(&SWITCH, *slowness))?;
    writeln!(f, "link-price = {link_price}")?;
    writeln!(f, "head-start = {head_start}")?;
    writeln!(f, "attained-weight = {attained_weight}")?;
    writeln!(f, "age-weight = {age_weight}")?;
    writeln!(f, "late-after = {late_after}")?;
    writeln!(f, "hedge-budget = {hedge_budget}")?;
    writeln!(f, "admission = {admission}")
}

/// Returns the word that stands for a value.
fn word_for<T: PartialEq>(words: &[(&'static str, T)], value: T) -> &'static str {
    let found = words.iter().find(|(_, meant)| *meant == value);
    found.map_or("", |(word, _)| word)
}
