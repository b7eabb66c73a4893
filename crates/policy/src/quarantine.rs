//! Quarantine of requests that crash the endpoints that run them.
//!
//! When an endpoint crashes, all requests that it ran are suspects; one of them may be guilty. A loss
//! is recorded for each. A complete answer proves that a request is harmless and removes its losses,
//! so that those of the guilty request alone add up. With [`LOSSES_MAX`] losses, at as many endpoints,
//! a request is no longer sent.
//!
//! A request of which several attempts run at the same moment may reach that number at once, for
//! example when an availability zone loses power. Its attempts elsewhere then clear it. If there are
//! none, one host may try it again after some time, and less often with each trial that fails.
//!
//! A request has two fingerprints: of its whole content, and of its beginning only, as the later
//! turns of a program and its sub-agents repeat the beginning of a prompt. The losses of the
//! beginning are removed by the complete answer of any request that shares it.

use std::collections::{HashMap, HashSet};

use units::{Fingerprint, Span, Time};

/// Number of losses with which a request is no longer sent.
pub const LOSSES_MAX: usize = 3;
/// Most fingerprints with losses; the one whose losses changed least recently is removed first.
const RECORDS_MAX: usize = 8_192;
/// Most losses of one fingerprint; more make no difference.
const RECORDED_LOSSES_MAX: usize = 16;
/// Time from the last loss of a request in quarantine until it may be tried again. It doubles with
/// each loss beyond [`LOSSES_MAX`].
const TRIAL_INTERVAL: Span = Span::from_ms(30_000);
/// How often the interval doubles at most.
const TRIAL_DOUBLINGS_MAX: usize = 6;
/// How long the end of an endpoint is awaited after a request was lost there: an endpoint that
/// crashed starts again, or its address gets another one, within this time.
pub(crate) const DECISION_TIMEOUT: Span = Span::from_ms(8_000);

/// The fingerprints of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Suspect {
    /// Fingerprint of the whole request.
    pub whole: Fingerprint,
    /// Fingerprint of its beginning, which other requests may share.
    pub beginning: Fingerprint,
}

impl Suspect {
    /// Returns the different fingerprints.
    pub fn fingerprints(self) -> impl Iterator<Item = Fingerprint> {
        let beginning = (self.beginning != self.whole).then_some(self.beginning);
        std::iter::once(self.whole).chain(beginning)
    }
}

/// An attempt of a request that ended with a crash of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Loss {
    /// Fingerprint of the request, or of its beginning.
    pub request: Fingerprint,
    /// Fingerprint of the start of the endpoint.
    pub endpoint: Fingerprint,
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has no losses.
    Ordinary,
    /// It has losses, and may be sent.
    Suspect,
    /// It is in quarantine, and may be sent once to learn whether it still crashes endpoints.
    Trial,
    /// It must not be sent.
    Quarantined,
}

#[derive(Clone, Debug, Default)]
struct Record {
    endpoints: HashSet<Fingerprint>,
    /// Time of the latest loss.
    changed_at: Time,
    /// Time of the latest trial.
    tried_at: Time,
}

impl Record {
    fn is_quarantined(&self) -> bool {
        self.endpoints.len() >= LOSSES_MAX
    }

    /// Whether the request may be tried again.
    fn is_trial_due(&self, now: Time) -> bool {
        let excess = self.endpoints.len().saturating_sub(LOSSES_MAX);
        let doublings = excess.min(TRIAL_DOUBLINGS_MAX) as u32;
        let interval = Span(TRIAL_INTERVAL.0 << doublings);
        now.since(self.changed_at.max(self.tried_at)) >= interval
    }
}

/// The recorded losses of requests.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
}

impl Quarantine {
    /// Returns the number of losses of a fingerprint.
    pub fn losses(&self, request: Fingerprint) -> usize {
        let record = self.records.get(&request);
        record.map_or(0, |record| record.endpoints.len())
    }

    /// Returns the number of losses of a request: of the fingerprint that has more.
    pub fn losses_of(&self, suspect: Suspect) -> usize {
        let losses = suspect.fingerprints().map(|print| self.losses(print));
        losses.max().unwrap_or(0)
    }

    /// Whether a request is in quarantine even without its loss at `endpoint`.
    pub fn is_lost_without(&self, suspect: Suspect, endpoint: Fingerprint) -> bool {
        let records = suspect.fingerprints();
        let mut records = records.filter_map(|print| self.records.get(&print));
        records.any(|record| {
            let others = record.endpoints.iter().filter(|other| **other != endpoint);
            others.count() >= LOSSES_MAX
        })
    }

    /// Decides whether a request may be sent. `may_try` says whether this host may try requests in
    /// quarantine again: one host for each request, so that trials do not add up.
    pub fn admit(&mut self, suspect: Suspect, may_try: bool, now: Time) -> Admission {
        match self.losses_of(suspect) {
            0 => return Admission::Ordinary,
            losses if losses < LOSSES_MAX => return Admission::Suspect,
            _ => {}
        }
        let is_held = |print: &Fingerprint| {
            let record = self.records.get(print);
            record.is_some_and(|record| record.is_quarantined() && !record.is_trial_due(now))
        };
        if !may_try || suspect.fingerprints().any(|print| is_held(&print)) {
            return Admission::Quarantined;
        }
        for print in suspect.fingerprints() {
            if let Some(record) = self.records.get_mut(&print) {
                record.tried_at = now;
            }
        }
        Admission::Trial
    }

    /// Inserts a loss; returns whether it was not recorded before.
    pub fn insert(&mut self, loss: Loss, now: Time) -> bool {
        if self.records.len() >= RECORDS_MAX && !self.records.contains_key(&loss.request) {
            self.evict();
        }
        let record = self.records.entry(loss.request).or_default();
        if record.endpoints.len() >= RECORDED_LOSSES_MAX || !record.endpoints.insert(loss.endpoint)
        {
            return false;
        }
        record.changed_at = now;
        true
    }

    /// Removes one loss.
    pub fn remove(&mut self, loss: Loss) {
        if let Some(record) = self.records.get_mut(&loss.request) {
            record.endpoints.remove(&loss.endpoint);
            if record.endpoints.is_empty() {
                self.records.remove(&loss.request);
            }
        }
    }

    /// Removes all losses of a request that got a complete answer, and returns them.
    pub fn clear(&mut self, suspect: Suspect) -> Vec<Loss> {
        if self.records.is_empty() {
            return Vec::new();
        }
        let removed = suspect
            .fingerprints()
            .filter_map(|request| Some((request, self.records.remove(&request)?)));
        let losses = removed.flat_map(|(request, record)| {
            let endpoints = record.endpoints.into_iter();
            endpoints.map(move |endpoint| Loss { request, endpoint })
        });
        losses.collect()
    }

    /// Replaces all losses by `losses`, a complete list.
    pub fn replace(&mut self, losses: impl Iterator<Item = Loss>, now: Time) {
        let old = std::mem::take(&mut self.records);
        for loss in losses {
            self.insert(loss, now);
        }
        for (request, record) in &mut self.records {
            if let Some(old) = old.get(request) {
                record.tried_at = old.tried_at;
            }
        }
    }

    /// Returns the number of fingerprints with losses.
    pub fn count(&self) -> usize {
        self.records.len()
    }

    fn evict(&mut self) {
        let records = self.records.iter();
        let oldest = records.min_by_key(|(print, record)| (record.changed_at, **print));
        if let Some(oldest) = oldest.map(|(print, _)| *print) {
            self.records.remove(&oldest);
        }
    }
}

/// Result of an attempt to connect to an endpoint after a request was lost there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// The connection was opened.
    Connected,
    /// No process listens at the endpoint's address.
    Refused,
    /// There was no response, or the network reported another error.
    NoResponse,
}

/// State of an endpoint in the list of endpoints, compared with the start that ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// The same start is listed.
    Listed,
    /// The same start is listed and accepts no new requests.
    Draining,
    /// Another start is listed under its identifier or at its address.
    Replaced,
    /// Neither the endpoint nor another one at its address is listed.
    Absent,
}

/// Whether a request was lost because its endpoint crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The endpoint crashed.
    Crashed,
    /// The connection was lost or fell silent for another reason.
    NotCrashed,
    /// Too little is known yet.
    Undecided,
}

impl Verdict {
    /// Decides whether an endpoint crashed. `at_loss` is its listing when the request was lost,
    /// `listing` the current one, `elapsed` the time between the two.
    ///
    /// A reset, a cut, a frozen endpoint and one that leaves are no crash: the endpoint accepts
    /// connections, does not respond at all, or was not listed as ready any more.
    pub fn new(at_loss: Listing, probe: Probe, listing: Listing, elapsed: Span) -> Self {
        let was_leaving = at_loss == Listing::Draining || listing == Listing::Draining;
        let had_left = at_loss == Listing::Absent && probe != Probe::NoResponse;
        if was_leaving || had_left {
            return Verdict::NotCrashed;
        }
        match (probe, listing) {
            (_, Listing::Replaced) | (Probe::Refused, _) => Verdict::Crashed,
            (Probe::Connected, _) => Verdict::NotCrashed,
            (Probe::NoResponse, _) if elapsed >= DECISION_TIMEOUT => Verdict::NotCrashed,
            (Probe::NoResponse, _) => Verdict::Undecided,
        }
    }
}
