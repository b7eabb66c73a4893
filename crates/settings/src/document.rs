//! The environment document: what operators change while processes run.

use std::collections::BTreeMap;

use compact_str::{CompactString, ToCompactString};
use policy::{Order, Routing, Settings};
use units::{Bytes, Calls, Digest, Rate, Span, Target, Tokens};

use crate::error::{Problem, Result};
use crate::reader::{HEX, Reader, Section, nearest};

const NAME: &str = "a-z, 0-9, '-', '_', '.', at most 64 characters";
const SPAN: &str = "a whole number with us, ms, s, m or h";
const NUMBER: &str = "a whole number";
const POSITIVE: &str = "a whole number, 1 or more";
const IDLE_TIMEOUT_MIN: Span = Span::from_ms(100);
const IDLE_TIMEOUT_MAX: Span = Span::from_ms(24 * 3_600_000);
const COMMIT_WAIT_MAX: Span = Span::from_ms(3_600_000);
const RATE: &str = "a number, 0 or more";

/// The words for the choice of an endpoint.
pub(crate) const ROUTINGS: [(&str, Routing); 3] = [
    ("completion", Routing::Completion),
    ("least-outstanding", Routing::LeastOutstanding),
    ("round-robin", Routing::RoundRobin),
];
/// The words for the order in a queue.
pub(crate) const ORDERS: [(&str, Order); 2] =
    [("attained", Order::Attained), ("arrival", Order::Arrival)];
/// The words for a switch.
pub(crate) const SWITCH: [(&str, bool); 2] = [("on", true), ("off", false)];

/// A checked environment document.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// The environment's name.
    pub name: CompactString,
    /// The classes by name.
    pub classes: BTreeMap<units::Class, Class>,
    /// The accounts by name.
    pub accounts: BTreeMap<units::Account, Account>,
    /// The models by name.
    pub models: BTreeMap<Target, Model>,
    /// The plain services by name.
    pub services: BTreeMap<Target, Service>,
    /// Limits of programs.
    pub limits: Limits,
    /// Settings of the policy.
    pub policy: Policy,
}

/// A class of programs.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Rank among classes: higher goes first.
    pub precedence: u32,
    /// Default time from a program's start to its deadline.
    pub deadline: Span,
    /// Time in which a program should be done; under overload, admission goes by it.
    pub objective: Span,
}

/// A caller's account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Digest of its token.
    pub token_digest: Digest,
    /// The classes that it may use.
    pub classes: Vec<units::Class>,
    /// Its share under overload, relative to others.
    pub share: u32,
    /// Programs that it may have under way.
    pub programs_max: u64,
}

/// A model.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Longest prompt and answer together.
    pub context: Tokens,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Whether its calls may be repeated.
    pub idempotent: bool,
}

/// Limits of programs.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Largest token budget.
    pub tokens_max: Tokens,
    /// Largest number of calls.
    pub calls_max: Calls,
    /// A program without a request for this long is ended.
    pub idle_timeout: Span,
    /// Times that the same call may be repeated in a row of a program.
    pub loop_limit: u32,
    /// Tokens granted durably at a time.
    pub tranche: Tokens,
    /// How long an answer waits for its durable record before it is released without.
    pub commit_wait: Span,
    /// How long a program that has ended can be read by its caller and its calls repeated.
    pub ended_retention: Span,
}

/// Settings of the policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Settings of the decisions.
    pub settings: Settings,
    /// Share of retries among successes.
    pub retry_budget: Rate,
    /// Bytes a second that spill-over may use of a region link.
    pub link_rate: Bytes,
}

impl Document {
    /// Reads and checks the document in `text`; `file` names it in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let reader = Reader::new(file, text)?;
        let section = reader.required("environment")?;
        let name = section
            .get::<units::Host>("name", NAME)?
            .to_compact_string();
        section.close()?;
        let document = Document {
            name,
            classes: collect(&reader, "class", class)?,
            accounts: collect(&reader, "account", account)?,
            models: collect(&reader, "model", model)?,
            services: collect(&reader, "service", service)?,
            limits: limits(reader.optional("limits"))?,
            policy: policy(reader.optional("policy"))?,
        };
        reader.close()?;
        document.check_references(&reader)?;
        Ok(document)
    }

    /// The document in `text` under another environment's name; everything else stays as it is,
    /// byte for byte.
    pub fn rename(text: &str, name: &str) -> String {
        let mut inside = false;
        let mut renamed = String::with_capacity(text.len());
        for line in text.split_inclusive('\n') {
            let bare = line.trim();
            if let Some(section) = bare.strip_prefix('[') {
                let section = section.strip_suffix(']').unwrap_or_default();
                inside = section.trim() == "environment";
            }
            let key = bare.split(['=', ':']).next().unwrap_or_default().trim();
            if inside && key == "name" {
                let end = &line[line.trim_end().len()..];
                renamed.push_str(&format!("name = {name}{end}"));
            } else {
                renamed.push_str(line);
            }
        }
        renamed
    }

    fn check_references(&self, reader: &Reader<'_>) -> Result<()> {
        for (name, account) in &self.accounts {
            for class in &account.classes {
                if !self.classes.contains_key(class) {
                    let known = self.classes.keys().map(|known| known.to_compact_string());
                    let near = nearest(class.as_str(), &known.collect());
                    let class = class.to_compact_string();
                    let problem = Problem::Undefined(class, "class".into(), near);
                    return Err(reader.error(&format!("account {name}"), "classes", problem));
                }
            }
        }
        for name in self.services.keys() {
            if self.models.contains_key(name) {
                return Err(reader.error(&format!("service {name}"), "", Problem::Duplicate));
            }
        }
        Ok(())
    }

    /// The account whose token has this digest.
    pub fn account_by_token(&self, token_digest: &Digest) -> Option<&units::Account> {
        let mut accounts = self.accounts.iter();
        accounts
            .find(|(_, account)| account.token_digest.matches(token_digest))
            .map(|(name, _)| name)
    }
}

fn collect<'a, K, V>(
    reader: &'a Reader<'a>,
    kind: &str,
    read: impl Fn(&Section<'_>) -> Result<V>,
) -> Result<BTreeMap<K, V>>
where
    K: std::str::FromStr + Ord,
    K::Err: std::fmt::Display,
{
    let mut all = BTreeMap::new();
    for (name, section) in reader.named(kind, NAME)? {
        let value = read(&section)?;
        if all.insert(name, value).is_some() {
            return Err(section.error("", Problem::Duplicate));
        }
        section.close()?;
    }
    Ok(all)
}

fn class(section: &Section<'_>) -> Result<Class> {
    let deadline = section.get_or("deadline", SPAN, Span::from_ms(600_000))?;
    Ok(Class {
        precedence: section.get("precedence", NUMBER)?,
        deadline,
        objective: section.get_or("objective", SPAN, deadline)?,
    })
}

fn account(section: &Section<'_>) -> Result<Account> {
    let token_digest = section.secret("token-digest")?;
    Ok(Account {
        token_digest: token_digest.ok_or_else(|| section.missing("token-digest", HEX))?,
        classes: section.list("classes", NAME)?,
        share: section.within("share", POSITIVE, 1, 1..=u32::MAX)?,
        programs_max: section.get_or("programs-max", NUMBER, 10_000)?,
    })
}

fn model(section: &Section<'_>) -> Result<Model> {
    Ok(Model {
        context: section.get_or("context", NUMBER, Tokens(240_000))?,
    })
}

fn service(section: &Section<'_>) -> Result<Service> {
    let words = [("yes", true), ("no", false)];
    Ok(Service {
        idempotent: section.required_choice("idempotent", &words)?,
    })
}

fn limits(section: Option<Section<'_>>) -> Result<Limits> {
    let mut limits = Limits {
        tokens_max: Tokens(1_000_000),
        calls_max: Calls(1_000),
        idle_timeout: Span::from_ms(600_000),
        loop_limit: 8,
        tranche: Tokens(20_000),
        commit_wait: Span::from_ms(1_000),
        ended_retention: Span::from_ms(600_000),
    };
    let Some(section) = section else {
        return Ok(limits);
    };
    let tokens = Tokens(1)..=Tokens(u64::MAX);
    let calls = Calls(1)..=Calls(u64::MAX);
    let idle = IDLE_TIMEOUT_MIN..=IDLE_TIMEOUT_MAX;
    let wait = Span(0)..=COMMIT_WAIT_MAX;
    limits.tokens_max =
        section.within("tokens-max", POSITIVE, limits.tokens_max, tokens.clone())?;
    limits.calls_max = section.within("calls-max", POSITIVE, limits.calls_max, calls)?;
    limits.idle_timeout =
        section.within("idle-timeout", "100ms to 24h", limits.idle_timeout, idle)?;
    limits.loop_limit = section.within("loop-limit", POSITIVE, limits.loop_limit, 1..=u32::MAX)?;
    limits.tranche = section.within("tranche", POSITIVE, limits.tranche, tokens)?;
    limits.commit_wait = section.within("commit-wait", "0s to 1h", limits.commit_wait, wait)?;
    limits.ended_retention = section.get_or("ended-retention", SPAN, limits.ended_retention)?;
    section.close()?;
    Ok(limits)
}

fn policy(section: Option<Section<'_>>) -> Result<Policy> {
    let mut policy = Policy {
        settings: Settings::default(),
        retry_budget: Rate(0.1),
        link_rate: Bytes(3_000_000),
    };
    let Some(section) = section else {
        return Ok(policy);
    };
    knobs(&section, &mut policy.settings)?;
    policy.retry_budget = section.get_or("retry-budget", RATE, policy.retry_budget)?;
    policy.link_rate = section.get_or("link-rate", "bytes a second", policy.link_rate)?;
    section.close()?;
    Ok(policy)
}

fn knobs(section: &Section<'_>, knobs: &mut Settings) -> Result<()> {
    knobs.routing = section
        .choice("routing", &ROUTINGS)?
        .unwrap_or(knobs.routing);
    knobs.order = section.choice("order", &ORDERS)?.unwrap_or(knobs.order);
    knobs.candidates = section.get_or("candidates", NUMBER, knobs.candidates)?;
    knobs.affinity = section
        .choice("affinity", &SWITCH)?
        .unwrap_or(knobs.affinity);
    knobs.slowness = section
        .choice("slowness", &SWITCH)?
        .unwrap_or(knobs.slowness);
    knobs.link_price = section.get_or("link-price", SPAN, knobs.link_price)?;
    knobs.head_start = section.get_or("head-start", SPAN, knobs.head_start)?;
    knobs.attained_weight = section.get_or("attained-weight", SPAN, knobs.attained_weight)?;
    knobs.age_weight = section.get_or("age-weight", RATE, knobs.age_weight)?;
    knobs.late_after = section.get_or("late-after", RATE, knobs.late_after)?;
    knobs.hedge_budget = section.get_or("hedge-budget", RATE, knobs.hedge_budget)?;
    knobs.admission = section.get_or("admission", RATE, knobs.admission)?;
    Ok(())
}
