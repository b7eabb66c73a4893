//! Availability of the store, per partition: a circuit breaker.
//!
//! The whole store or some of its partitions may be unavailable. Calls to an unavailable partition
//! fail at once, except for a probe at regular intervals. Requests that need the partition wait
//! until it is available again, but not so long that no time remains for a later retry to run.

use std::collections::HashMap;

use store::Partition;
use units::{Span, Time};

/// Shortest response timeout: several round trips between regions and a transaction.
const RESPONSE_TIMEOUT_MIN: Span = Span::from_ms(200);
/// Longest response timeout; for callers, a store that takes this long is unavailable.
const RESPONSE_TIMEOUT_MAX: Span = Span::from_ms(1_600);
/// The response timeout is this multiple of the mean latency.
const RESPONSE_TIMEOUT_FACTOR: u64 = 3;
/// Weight of a sample in the mean latency, as a divisor. A sample above the mean has a higher weight
/// ([`SLOWER_SAMPLE_DIVISOR`]), so that a store that becomes slow does not count as unavailable.
const SAMPLE_DIVISOR: u64 = 4;
/// Weight of a sample above the mean latency, as a divisor.
const SLOWER_SAMPLE_DIVISOR: u64 = 2;
/// Consecutive failures that make a partition unavailable: a single one may be a lost response.
const PARTITION_FAILURES_MAX: u32 = 2;
/// Consecutive failures, of any partitions, that make all partitions unavailable.
const STORE_FAILURES_MAX: u32 = 4;
/// Time between the probes of an unavailable partition.
const PROBE_INTERVAL: Span = Span::from_ms(250);

/// Share of a caller's timeout that a request waits for an unavailable store, as a divisor: the
/// remainder is enough to retry later and to run then.
const STORE_WAIT_DIVISOR: u64 = 3;
/// Share of a caller's timeout after which a request with store calls in flight is given up, as a
/// divisor: the caller may still retry, and the retry then finds the effects of these calls.
const STORE_CALL_DIVISOR: u64 = 2;
/// Longest wait for the store: callers disconnect from streams without data for two seconds.
const STORE_WAIT_MAX: Span = Span::from_ms(1_800);

/// Change of a partition's availability, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvailabilityChange {
    /// The partition now counts as unavailable.
    Lost,
    /// The unavailable partition has answered. Holds the time since its previous response.
    Regained(Span),
}

/// State of one partition, or of the whole store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct State {
    failures: u32,
    last_response: Time,
    last_probe: Time,
}

impl State {
    fn new(now: Time) -> Self {
        State {
            failures: 0,
            last_response: now,
            last_probe: Time(0),
        }
    }

    fn is_probe_due(&self, now: Time) -> bool {
        now.since(self.last_probe) >= PROBE_INTERVAL
    }

    fn try_probe(&mut self, now: Time) -> bool {
        let is_due = self.is_probe_due(now);
        if is_due {
            self.last_probe = now;
        }
        is_due
    }
}

/// Recent responses and failures of the store's partitions over one network path.
#[derive(Clone, Debug)]
pub struct Availability {
    mean_latency: Span,
    store: State,
    partitions: HashMap<Partition, State>,
}

impl Availability {
    /// Returns the state before the first call: all partitions are available.
    pub fn new(now: Time) -> Self {
        Availability {
            mean_latency: Span(RESPONSE_TIMEOUT_MIN.0 / RESPONSE_TIMEOUT_FACTOR),
            store: State::new(now),
            partitions: HashMap::new(),
        }
    }

    /// Whether a partition, or the whole store, counts as unavailable.
    pub fn is_unavailable(&self, partition: &Partition) -> bool {
        let failures = self
            .partitions
            .get(partition)
            .map_or(0, |state| state.failures);
        self.is_all_unavailable() || failures >= PARTITION_FAILURES_MAX
    }

    /// Whether all partitions count as unavailable.
    pub fn is_all_unavailable(&self) -> bool {
        self.store.failures >= STORE_FAILURES_MAX
    }

    /// Whether a request that needs a partition is to be refused now: the partition is unavailable
    /// and no probe is due.
    pub fn should_refuse(&self, partition: &Partition, now: Time) -> bool {
        let state = if self.is_all_unavailable() {
            Some(&self.store)
        } else {
            self.partitions.get(partition)
        };
        self.is_unavailable(partition) && state.is_some_and(|state| !state.is_probe_due(now))
    }

    /// Whether a call to a partition may be made now: the partition is available, or a probe is due,
    /// whose time is then recorded.
    pub fn admit(&mut self, partition: &Partition, now: Time) -> bool {
        if self.is_all_unavailable() {
            return self.store.try_probe(now);
        }
        if !self.is_unavailable(partition) {
            return true;
        }
        self.state(partition, now).try_probe(now)
    }

    /// Returns how long to wait for a response: longer after each failure of any partition, as the
    /// store may be slow.
    pub fn response_timeout(&self, partition: &Partition) -> Span {
        let failures = self
            .partitions
            .get(partition)
            .map_or(0, |state| state.failures);
        let failures = failures.max(self.store.failures);
        let timeout = (self.mean_latency.0 * RESPONSE_TIMEOUT_FACTOR)
            .clamp(RESPONSE_TIMEOUT_MIN.0, RESPONSE_TIMEOUT_MAX.0);
        Span((timeout << failures.min(4)).min(RESPONSE_TIMEOUT_MAX.0))
    }

    /// Records a response; `latency` is the time until its head, `None` if the call waited for changes.
    pub fn record_response(
        &mut self,
        partition: &Partition,
        latency: Option<Span>,
        now: Time,
    ) -> Option<AvailabilityChange> {
        let was_unavailable = self.is_unavailable(partition);
        if let Some(latency) = latency {
            let is_slower = latency > self.mean_latency;
            let divisor = if is_slower {
                SLOWER_SAMPLE_DIVISOR
            } else {
                SAMPLE_DIVISOR
            };
            self.mean_latency.0 = (self.mean_latency.0 * (divisor - 1) + latency.0) / divisor;
        }
        let outage = now.since(self.state(partition, now).last_response);
        if self.is_all_unavailable() {
            // Partitions that failed together are probably available together again. The next
            // failures of one that is not make it unavailable again.
            self.partitions.clear();
        }
        self.store = State::new(now);
        *self.state(partition, now) = State::new(now);
        was_unavailable.then_some(AvailabilityChange::Regained(outage))
    }

    /// Records a failed call.
    pub fn record_failure(
        &mut self,
        partition: &Partition,
        now: Time,
    ) -> Option<AvailabilityChange> {
        let was_unavailable = self.is_unavailable(partition);
        self.store.failures = self.store.failures.saturating_add(1);
        let state = self.state(partition, now);
        state.failures = state.failures.saturating_add(1);
        (!was_unavailable && self.is_unavailable(partition)).then_some(AvailabilityChange::Lost)
    }

    fn state(&mut self, partition: &Partition, now: Time) -> &mut State {
        self.partitions
            .entry(partition.clone())
            .or_insert_with(|| State::new(now))
    }
}

/// Returns the end of a request's wait for an unavailable store. During an outage of several
/// seconds, a new program that waits starts as soon as the store is available again, while one that
/// is refused retries too early, which costs one of its few retries, or too late.
pub fn store_wait_deadline(started: Time, deadline: Time) -> Time {
    let remaining = deadline.since(started);
    started.after(Span(remaining.0 / STORE_WAIT_DIVISOR).min(STORE_WAIT_MAX))
}

/// Returns the time at which a request with store calls in flight is given up. A store that is slow
/// or loses responses would otherwise hold callers until their deadline.
pub fn store_call_deadline(started: Time, deadline: Time) -> Time {
    let remaining = deadline.since(started);
    started.after(Span(remaining.0 / STORE_CALL_DIVISOR).min(STORE_WAIT_MAX))
}
