//! The environment document: the settings that operators can change while processes run.

use std::collections::BTreeMap;

use compact_str::{CompactString, ToCompactString};
use policy::{Order, Routing, Settings};
use units::{Bytes, Calls, Digest, Rate, Span, Target, Tokens};

use crate::error::{Problem, Result};
use crate::reader::{HEX_FORMAT, Reader, Section, nearest_word};

const NAME_FORMAT: &str = "a-z, 0-9, '-', '_', '.', at most 64 characters";
const SPAN_FORMAT: &str = "a whole number with us, ms, s, m or h";
const NUMBER_FORMAT: &str = "a whole number";
const POSITIVE_FORMAT: &str = "a whole number, 1 or more";
const IDLE_TIMEOUT_MIN: Span = Span::from_ms(100);
const IDLE_TIMEOUT_MAX: Span = Span::from_ms(24 * 3_600_000);
const COMMIT_WAIT_MAX: Span = Span::from_ms(3_600_000);
const RATE_FORMAT: &str = "a number, 0 or more";

/// Values of the key `routing`, the choice of an endpoint.
pub(crate) const ROUTINGS: [(&str, Routing); 3] = [
    ("completion", Routing::Completion),
    ("least-outstanding", Routing::LeastOutstanding),
    ("round-robin", Routing::RoundRobin),
];
/// Values of the key `order`, the order of queued calls.
pub(crate) const ORDERS: [(&str, Order); 2] =
    [("attained", Order::Attained), ("arrival", Order::Arrival)];
/// Values of keys that switch something on or off.
pub(crate) const SWITCH: [(&str, bool); 2] = [("on", true), ("off", false)];

/// An environment document that has passed all checks.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// The environment's name.
    pub name: CompactString,
    /// Program classes by name.
    pub classes: BTreeMap<units::Class, Class>,
    /// Client accounts by name.
    pub accounts: BTreeMap<units::Account, Account>,
    /// Models by name.
    pub models: BTreeMap<Target, Model>,
    /// Plain services by name.
    pub services: BTreeMap<Target, Service>,
    /// Limits that apply to each program.
    pub limits: Limits,
    /// Settings of routing, queueing, retries and hedging.
    pub policy: Policy,
}

/// Priority and time limits of the programs of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Priority among classes; programs of the class with the higher value go first.
    pub precedence: u32,
    /// Default time from a program's start to its deadline.
    pub deadline: Span,
    /// Target for the time from a program's start to its end; admission under overload depends on it.
    pub objective: Span,
}

/// A client account; its callers authenticate with a token.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Digest of the token that its callers present.
    pub token_digest: Digest,
    /// Classes that its programs may use.
    pub classes: Vec<units::Class>,
    /// Weight of the account under overload, relative to the other accounts.
    pub share: u32,
    /// Largest number of programs that it may have running.
    pub programs_max: u64,
}

/// A model that calls can be addressed to.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Largest sum of prompt and answer.
    pub context: Tokens,
}

/// A plain service that calls can be addressed to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Whether a call can be repeated without further effect.
    pub idempotent: bool,
}

/// Limits that apply to each program.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Largest token budget that a program may request.
    pub tokens_max: Tokens,
    /// Largest number of calls that a program may request.
    pub calls_max: Calls,
    /// Time without a request after which a program is ended.
    pub idle_timeout: Span,
    /// Largest number of equal calls that a program may make in a row.
    pub loop_limit: u32,
    /// Part of a program's budget that is granted durably at a time.
    pub tranche: Tokens,
    /// How long an answer waits for its durable record; after that, two sidecars that hold its turn
    /// suffice.
    pub commit_wait: Span,
    /// How long after the end of a program its caller can still read it and repeat its calls.
    pub ended_retention: Span,
}

/// Settings of the section `[policy]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Settings of routing, queue order, hedging and admission.
    pub settings: Settings,
    /// Retries allowed for each successful call, as a ratio.
    pub retry_budget: Rate,
    /// Bytes per second that calls sent to another region may use of a link between regions.
    pub link_rate: Bytes,
}

impl Document {
    /// Parses and checks the document in `text`; `file` is the file name shown in errors.
    ///
    /// # Errors
    /// If `text` is not INI, a section or key is missing, unknown or duplicate, a value is not
    /// allowed, an account names an undefined class, or a service has the name of a model.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let reader = Reader::new(file, text)?;
        let section = reader.required("environment")?;
        let name = section
            .get::<units::Host>("name", NAME_FORMAT)?
            .to_compact_string();
        section.check_unknown_keys()?;
        let document = Document {
            name,
            classes: read_all(&reader, "class", class)?,
            accounts: read_all(&reader, "account", account)?,
            models: read_all(&reader, "model", model)?,
            services: read_all(&reader, "service", service)?,
            limits: limits(reader.optional("limits"))?,
            policy: policy(reader.optional("policy"))?,
        };
        reader.check_unknown_sections()?;
        document.check_references(&reader)?;
        Ok(document)
    }

    /// Returns `text` with the environment's name replaced by `name`; all other lines stay the
    /// same, byte for byte.
    pub fn rename(text: &str, name: &str) -> String {
        let mut is_environment = false;
        let mut renamed = String::with_capacity(text.len());
        for line in text.split_inclusive('\n') {
            let trimmed = line.trim();
            if let Some(section) = trimmed.strip_prefix('[') {
                let section = section.strip_suffix(']').unwrap_or_default();
                is_environment = section.trim() == "environment";
            }
            let key = trimmed.split(['=', ':']).next().unwrap_or_default().trim();
            if is_environment && key == "name" {
                let line_end = &line[line.trim_end().len()..];
                renamed.push_str(&format!("name = {name}{line_end}"));
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
                    let near = nearest_word(class.as_str(), &known.collect());
                    let class = class.to_compact_string();
                    let problem = Problem::UndefinedName(class, "class".into(), near);
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

    /// Returns the name of the account whose token has this digest.
    pub fn account_by_token(&self, token_digest: &Digest) -> Option<&units::Account> {
        let mut accounts = self.accounts.iter();
        accounts
            .find(|(_, account)| account.token_digest.matches(token_digest))
            .map(|(name, _)| name)
    }
}

fn read_all<'a, K, V>(
    reader: &'a Reader<'a>,
    kind: &str,
    read: impl Fn(&Section<'_>) -> Result<V>,
) -> Result<BTreeMap<K, V>>
where
    K: std::str::FromStr + Ord,
    K::Err: std::fmt::Display,
{
    let mut all = BTreeMap::new();
    for (name, section) in reader.named_sections(kind, NAME_FORMAT)? {
        let value = read(&section)?;
        if all.insert(name, value).is_some() {
            return Err(section.error("", Problem::Duplicate));
        }
        section.check_unknown_keys()?;
    }
    Ok(all)
}

fn class(section: &Section<'_>) -> Result<Class> {
    let deadline = section.get_or("deadline", SPAN_FORMAT, Span::from_ms(600_000))?;
    Ok(Class {
        precedence: section.get("precedence", NUMBER_FORMAT)?,
        deadline,
        objective: section.get_or("objective", SPAN_FORMAT, deadline)?,
    })
}

fn account(section: &Section<'_>) -> Result<Account> {
    let token_digest = section.get_digest("token-digest")?;
    Ok(Account {
        token_digest: token_digest
            .ok_or_else(|| section.missing_key("token-digest", HEX_FORMAT))?,
        classes: section.get_list("classes", NAME_FORMAT)?,
        share: section.get_in_range("share", POSITIVE_FORMAT, 1, 1..=u32::MAX)?,
        programs_max: section.get_or("programs-max", NUMBER_FORMAT, 10_000)?,
    })
}

fn model(section: &Section<'_>) -> Result<Model> {
    Ok(Model {
        context: section.get_or("context", NUMBER_FORMAT, Tokens(240_000))?,
    })
}

fn service(section: &Section<'_>) -> Result<Service> {
    let words = [("yes", true), ("no", false)];
    Ok(Service {
        idempotent: section.get_required_choice("idempotent", &words)?,
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
    limits.tokens_max = section.get_in_range(
        "tokens-max",
        POSITIVE_FORMAT,
        limits.tokens_max,
        tokens.clone(),
    )?;
    limits.calls_max =
        section.get_in_range("calls-max", POSITIVE_FORMAT, limits.calls_max, calls)?;
    limits.idle_timeout =
        section.get_in_range("idle-timeout", "100ms to 24h", limits.idle_timeout, idle)?;
    limits.loop_limit = section.get_in_range(
        "loop-limit",
        POSITIVE_FORMAT,
        limits.loop_limit,
        1..=u32::MAX,
    )?;
    limits.tranche = section.get_in_range("tranche", POSITIVE_FORMAT, limits.tranche, tokens)?;
    limits.commit_wait =
        section.get_in_range("commit-wait", "0s to 1h", limits.commit_wait, wait)?;
    limits.ended_retention =
        section.get_or("ended-retention", SPAN_FORMAT, limits.ended_retention)?;
    section.check_unknown_keys()?;
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
    read_policy_settings(&section, &mut policy.settings)?;
    policy.retry_budget = section.get_or("retry-budget", RATE_FORMAT, policy.retry_budget)?;
    policy.link_rate = section.get_or("link-rate", "bytes a second", policy.link_rate)?;
    section.check_unknown_keys()?;
    Ok(policy)
}

fn read_policy_settings(section: &Section<'_>, settings: &mut Settings) -> Result<()> {
    settings.routing = section
        .get_choice("routing", &ROUTINGS)?
        .unwrap_or(settings.routing);
    settings.order = section
        .get_choice("order", &ORDERS)?
        .unwrap_or(settings.order);
    settings.candidates = section.get_or("candidates", NUMBER_FORMAT, settings.candidates)?;
    settings.affinity = section
        .get_choice("affinity", &SWITCH)?
        .unwrap_or(settings.affinity);
    settings.slowness = section
        .get_choice("slowness", &SWITCH)?
        .unwrap_or(settings.slowness);
    settings.link_price = section.get_or("link-price", SPAN_FORMAT, settings.link_price)?;
    settings.head_start = section.get_or("head-start", SPAN_FORMAT, settings.head_start)?;
    settings.attained_weight =
        section.get_or("attained-weight", SPAN_FORMAT, settings.attained_weight)?;
    settings.age_weight = section.get_or("age-weight", RATE_FORMAT, settings.age_weight)?;
    settings.late_after = section.get_or("late-after", RATE_FORMAT, settings.late_after)?;
    settings.hedge_budget = section.get_or("hedge-budget", RATE_FORMAT, settings.hedge_budget)?;
    settings.admission = section.get_or("admission", RATE_FORMAT, settings.admission)?;
    Ok(())
}
