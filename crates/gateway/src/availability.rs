//! Whether the store can be reached, part by part.
//!
//! A store may be away as a whole or with some of its parts. Calls to what is away fail at once; now
//! and then one is let through to find out. Requests that need it wait for its return, no longer than
//! leaves them time to come back later and run then.

use std::collections::HashMap;

use store::Partition;
use units::{Span, Time};

/// Shortest wait for the store's answer: several round trips between regions and a transaction.
const WAIT_MIN: Span = Span::from_ms(200);
/// Longest wait; a store that takes this long is away for callers.
const WAIT_MAX: Span = Span::from_ms(1_600);
/// Waits are so many times the mean time of an answer.
const WAIT_FACTOR: u64 = 3;
/// Weight of a sample in the mean time of an answer, as a divisor; a longer one counts more, so that
/// a store that turns slow is not taken for one that is away.
const MEAN_DIVISOR: u64 = 4;
/// The same of a sample that is longer than the mean.
const RISE_DIVISOR: u64 = 2;
/// Failures in a row after which a part counts as away: one may be a lost answer.
const FAILURES_PLACE: u32 = 2;
/// Failures in a row, of any parts, after which all of them count as away.
const FAILURES_ALL: u32 = 4;
/// Time between calls that are let through to what is away.
const PROBE_INTERVAL: Span = Span::from_ms(250);

/// Share of a caller's patience that a request waits for the store, as a divisor: what is left is
/// enough to come back later, and to run then.
const STORE_WAIT_SHARE: u64 = 3;
/// Share of a caller's patience after which a request whose calls of the store are under way is given
/// up, as a divisor: it may still come back, and find then what the calls have done.
const STORE_CALL_SHARE: u64 = 2;
/// Longest wait for the store: callers leave streams that are silent for two seconds.
const STORE_WAIT_MAX: Span = Span::from_ms(1_800);
/// What has changed, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvailabilityChange {
    /// The part counts as away from now on.
    Lost,
    /// The part was away, and has answered; how long it had been silent.
    Regained(Span),
}

/// One part, or all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Link {
    failures: u32,
    last_answer: Time,
    probed: Time,
}

impl Link {
    fn new(now: Time) -> Self {
        Link {
            failures: 0,
            last_answer: now,
            probed: Time(0),
        }
    }

    fn is_due(&self, now: Time) -> bool {
        now.since(self.probed) >= PROBE_INTERVAL
    }

    fn probe(&mut self, now: Time) -> bool {
        let due = self.is_due(now);
        if due {
            self.probed = now;
        }
        due
    }
}

/// How the parts of the store have answered lately over one way.
#[derive(Clone, Debug)]
pub struct Availability {
    mean: Span,
    all: Link,
    places: HashMap<Partition, Link>,
}

impl Availability {
    /// A store that has not been asked yet.
    pub fn new(now: Time) -> Self {
        Availability {
            mean: Span(WAIT_MIN.0 / WAIT_FACTOR),
            all: Link::new(now),
            places: HashMap::new(),
        }
    }

    /// Whether calls to a part would only fail now.
    pub fn is_unavailable(&self, place: &Partition) -> bool {
        let failures = self.places.get(place).map_or(0, |link| link.failures);
        self.is_all_unavailable() || failures >= FAILURES_PLACE
    }

    /// Whether all parts are away.
    pub fn is_all_unavailable(&self) -> bool {
        self.all.failures >= FAILURES_ALL
    }

    /// Whether a caller that needs a part is to be refused now: it is away, and it is not time to
    /// find out whether it is back.
    pub fn should_refuse(&self, place: &Partition, now: Time) -> bool {
        let link = if self.is_all_unavailable() {
            Some(&self.all)
        } else {
            self.places.get(place)
        };
        self.is_unavailable(place) && link.is_some_and(|link| !link.is_due(now))
    }

    /// Whether a call to a part may be made now: it is not away, or the call is to find out.
    pub fn admit(&mut self, place: &Partition, now: Time) -> bool {
        if self.is_all_unavailable() {
            return self.all.probe(now);
        }
        if !self.is_unavailable(place) {
            return true;
        }
        self.link(place, now).probe(now)
    }

    /// How long to wait for an answer: longer after each failure, of whatever part, as the store may
    /// be slow.
    pub fn response_timeout(&self, place: &Partition) -> Span {
        let failures = self.places.get(place).map_or(0, |link| link.failures);
        let failures = failures.max(self.all.failures);
        let wait = (self.mean.0 * WAIT_FACTOR).clamp(WAIT_MIN.0, WAIT_MAX.0);
        Span((wait << failures.min(4)).min(WAIT_MAX.0))
    }

    /// Takes in an answer; `took` is how long it took, unless it was a wait for news.
    pub fn record_response(
        &mut self,
        place: &Partition,
        took: Option<Span>,
        now: Time,
    ) -> Option<AvailabilityChange> {
        let was_unavailable = self.is_unavailable(place);
        if let Some(took) = took {
            let rises = took > self.mean;
            let divisor = if rises { RISE_DIVISOR } else { MEAN_DIVISOR };
            self.mean.0 = (self.mean.0 * (divisor - 1) + took.0) / divisor;
        }
        let silent = now.since(self.link(place, now).last_answer);
        if self.is_all_unavailable() {
            // What failed together is probably back together; what is not fails again at once.
            self.places.clear();
        }
        self.all = Link::new(now);
        *self.link(place, now) = Link::new(now);
        was_unavailable.then_some(AvailabilityChange::Regained(silent))
    }

    /// Takes in a failure.
    pub fn record_failure(&mut self, place: &Partition, now: Time) -> Option<AvailabilityChange> {
        let was_unavailable = self.is_unavailable(place);
        self.all.failures = self.all.failures.saturating_add(1);
        let link = self.link(place, now);
        link.failures = link.failures.saturating_add(1);
        (!was_unavailable && self.is_unavailable(place)).then_some(AvailabilityChange::Lost)
    }

    fn link(&mut self, place: &Partition, now: Time) -> &mut Link {
        self.places
            .entry(place.clone())
            .or_insert_with(|| Link::new(now))
    }
}

/// Until when a request waits for the store, if that is away. The load this answers: all new
/// programs of an outage of several seconds. One that waits starts as soon as the store is back;
/// one that is refused comes back too early, which costs one of its few retries, or too late.
pub fn store_wait_deadline(started: Time, deadline: Time) -> Time {
    let patience = deadline.since(started);
    started.after(Span(patience.0 / STORE_WAIT_SHARE).min(STORE_WAIT_MAX))
}

/// When a request that waits for answers of the store is given up. The load this answers: a store
/// that is slow, or loses answers, where callers would be held until their patience is over.
pub fn store_call_deadline(started: Time, deadline: Time) -> Time {
    let patience = deadline.since(started);
    started.after(Span(patience.0 / STORE_CALL_SHARE).min(STORE_WAIT_MAX))
}
