//! Counts the requests of accounts for the hosts that are attached to this one.

use std::collections::HashMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use units::{Host, Span, Time};

use crate::account::Limit;

/// Time without a message after which a host is no longer attached. Until then a host that now obtains
/// its credit elsewhere counts twice.
const ATTACHMENT_TIME: Span = Span::from_ms(600);
/// Share of the capacity, as a divisor, that only programs under way may use. Only whole programs are
/// of use to a caller, so what a limit does not carry to its end is refused at its first request.
const RESERVED_DIVISOR: f64 = 4.0;
/// Share of the capacity, as a divisor, below which no credit is granted for requests that are only
/// expected: other hosts may need it now.
const EXPECTED_DIVISOR: f64 = 2.0;
/// Longest time that a request of a program under way waits for its turn. Callers wait longer for a
/// refused request to return.
const WAIT_MAX: Span = Span::from_ms(200);
/// Least capacity of an account: the calls that some programs make at once. The limit of a small
/// account could otherwise not carry one program.
const CAPACITY_MIN: f64 = 8.0;
/// Part of the hosts that are most of them.
const MOST: f64 = 0.5;
/// Time without a request after which an account is forgotten; its capacity is full by then.
const IDLE_TIME: Span = Span::from_ms(30_000);

/// Requests of an account for which a host wants credit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Want {
    /// Name of the account.
    pub account: CompactString,
    /// Limit of the account in the environment of the host.
    pub limit: Limit,
    /// Version of that environment.
    pub version: u64,
    /// Waiting requests of programs under way.
    pub under_way: u16,
    /// Waiting requests that begin a program.
    pub new: u16,
    /// Requests that are expected soon.
    pub expected: u16,
}

/// Credit granted in answer to a [`Want`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// Waiting requests of programs under way that may be sent after `wait`.
    pub under_way: u16,
    /// Waiting requests that begin a program and may be sent.
    pub new: u16,
    /// Requests that may be sent later.
    pub expected: u16,
    /// Time until the last one of the granted requests may be sent; if some were not granted, the time
    /// until the next one may be.
    pub wait: Span,
}

/// Requests that an account may still send.
#[derive(Clone, Debug)]
struct Level {
    limit: Limit,
    version: u64,
    /// Negative if granted requests still wait.
    requests: f64,
    filled_at: Time,
}

/// The counts of the accounts at one host.
///
/// The load that this answers: an account that sends several times its limit through all hosts, while
/// others stay within theirs.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    levels: HashMap<CompactString, Level>,
    attached: HashMap<Host, Time>,
    /// Since when most hosts have been attached.
    metering_since: Option<Time>,
}

impl Meter {
    /// Records a message of a host.
    pub fn attach(&mut self, host: &Host, now: Time) {
        self.attached.insert(host.clone(), now);
    }

    /// Returns the part of all `listed` hosts that are attached, at most 1.
    pub fn part(&mut self, listed: usize, now: Time) -> f64 {
        self.attached
            .retain(|_, seen_at| now.since(*seen_at) < ATTACHMENT_TIME);
        let part = (self.attached.len() as f64 / listed.max(1) as f64).min(1.0);
        if part < MOST {
            self.metering_since = None;
        } else {
            self.metering_since.get_or_insert(now);
        }
        part
    }

    /// Returns the hosts that are attached.
    pub fn attached(&self, now: Time) -> impl Iterator<Item = &Host> {
        let attached = self.attached.iter();
        let attached = attached.filter(move |(_, seen_at)| now.since(**seen_at) < ATTACHMENT_TIME);
        attached.map(|(host, _)| host)
    }

    /// Grants credit, as far as the part `part` of the account's limit allows. The limit of the newest
    /// environment that any host named holds.
    pub fn grant(&mut self, want: &Want, part: f64, now: Time) -> Granted {
        let level = self.levels.entry(want.account.clone());
        let level = level.or_insert_with(|| Level {
            limit: want.limit,
            version: want.version,
            // Another meter may have granted all of the limit before most hosts were attached to this
            // one.
            requests: 0.0,
            filled_at: self.metering_since.unwrap_or(now),
        });
        if want.version >= level.version {
            level.limit = want.limit;
            level.version = want.version;
        }
        let rate = level.limit.rate.0 * part;
        let capacity = level.limit.burst.max(CAPACITY_MIN) * part;
        let elapsed = now.since(level.filled_at).as_secs_f64();
        level.requests = (level.requests + elapsed * rate).min(capacity);
        level.filled_at = level.filled_at.max(now);
        let debt_max = rate * WAIT_MAX.as_secs_f64();
        let mut take = |wanted: u16, floor: f64| -> u16 {
            let free = (level.requests - floor).max(0.0);
            let taken = wanted.min(free as u16);
            level.requests -= f64::from(taken);
            taken
        };
        let mut granted = Granted {
            under_way: take(want.under_way, -debt_max),
            new: take(want.new, capacity / RESERVED_DIVISOR),
            expected: take(want.expected, capacity / EXPECTED_DIVISOR),
            wait: Span(0),
        };
        let is_short = granted.under_way < want.under_way || granted.new < want.new;
        let needed = match (granted.under_way < want.under_way, granted.new < want.new) {
            (true, _) => 1.0 - debt_max,
            (false, true) => 1.0 + capacity / RESERVED_DIVISOR,
            (false, false) => 0.0,
        };
        let missing = (needed - level.requests).max(0.0);
        if (is_short || level.requests < 0.0) && rate > 0.0 {
            granted.wait = Span((missing / rate * 1e6) as u64);
        }
        granted
    }

    /// Forgets the accounts without requests.
    pub fn expire(&mut self, now: Time) {
        self.levels
            .retain(|_, level| now.since(level.filled_at) < IDLE_TIME);
    }

    /// Returns the requests that an account may still send, for the status page.
    pub fn level(&self, account: &str) -> Option<f64> {
        self.levels.get(account).map(|level| level.requests)
    }
}
