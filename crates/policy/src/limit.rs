//! Limits that endpoints set on the rate of requests from all hosts together.
//!
//! Each host computes its share of a limit on its own, from the limit and the list of hosts. Only
//! some hosts hold a seat, that is, a share of their own, about one for each request per second: all
//! that hold one may have saved up a request, and these together must not exceed the limit in a short
//! time. With fewer seats, a host that wrongly believes that it holds one would weigh too much.
//!
//! A host without a seat does not send to the endpoint, so no answer tells it when the limit ends.
//! These hosts therefore send single requests as probes, each in its own window of time. A host that
//! is not on the list, for example because it has not read it yet, sends nothing.
//!
//! Hosts that agree on the limit and on the list send at most `5 * limit + 4` requests in any 4 s.

use std::fmt;

use units::{Host, Rate, Span, Time, Zone};

/// One seat in this many goes to a host in another availability zone, so that the loss of a zone
/// does not leave an endpoint without a host that may use it.
const REMOTE_SEAT_DIVISOR: usize = 3;
/// Lowest limit in requests per second that is shared out: below it, nothing would tell in time that
/// the limit has ended.
const LIMIT_MIN: f64 = 0.2;
/// Time for which a host with a seat may save up its share.
const BURST_SECONDS: f64 = 0.5;
/// Length of the window in which a host without a seat may send a probe, if the limit is at least one
/// request per second. It grows as the limit falls, down to [`PROBE_LIMIT_MIN`].
const PROBE_WINDOW: Span = Span::from_ms(2_000);
/// Limit in requests per second below which the windows of probes grow no longer.
const PROBE_LIMIT_MIN: f64 = 0.25;
/// Delay after which a host that is not on the list checks again whether it may send.
const UNLISTED_DELAY: Span = Span::from_ms(1_000);

/// A host that sends requests to endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sender {
    /// Name of the host, kept across restarts.
    pub host: Host,
    /// Availability zone of the host.
    pub zone: Zone,
}

/// An endpoint, as far as it matters for its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target<'a> {
    /// Identifier of the endpoint.
    pub id: &'a str,
    /// Availability zone of the endpoint.
    pub zone: &'a Zone,
}

/// Part of an endpoint's limit that one host may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Share {
    /// The host holds a seat and may send at this rate, in requests per second.
    Seat(Rate),
    /// The host may send one request in each of its windows, to learn whether the limit still holds.
    Probe {
        /// Length of a window.
        window: Span,
        /// Time between the beginnings of two windows of one host.
        period: Span,
        /// Begin of the host's windows within the period, counted from the Unix epoch.
        offset: Span,
    },
    /// The host is not on the list of hosts and sends nothing.
    Unlisted,
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Share::Seat(rate) => write!(f, "{:.3}/s", rate.0),
            Share::Probe { period, .. } => write!(f, "1 in {period}"),
            Share::Unlisted => f.write_str("none"),
        }
    }
}

impl Share {
    /// Returns the share of `own` in the `limit` of an endpoint; `senders` are all listed hosts.
    pub fn new(limit: Rate, target: Target<'_>, own: &Host, senders: &[Sender]) -> Self {
        if !senders.iter().any(|sender| sender.host == *own) {
            return Share::Unlisted;
        }
        let seats = seat_count(limit, senders.len());
        if seat_holders(target, senders, seats).any(|sender| sender.host == *own) {
            return Share::Seat(Rate(limit.0.max(LIMIT_MIN) / seats as f64));
        }
        let rank = senders.iter().filter(|sender| sender.host < *own).count();
        let window = PROBE_WINDOW.0 as f64 / limit.0.clamp(PROBE_LIMIT_MIN, 1.0);
        let window = Span(window as u64);
        Share::Probe {
            window,
            period: Span(window.0 * senders.len() as u64),
            offset: Span(window.0 * rank as u64),
        }
    }
}

fn seat_count(limit: Rate, senders: usize) -> usize {
    // The cast saturates.
    ((limit.0 + 1.0) as usize).min(senders)
}

/// Returns the hosts that hold the seats of an endpoint: by rendezvous hashing, so that few seats
/// change hands when a host joins or leaves.
fn seat_holders<'a>(
    target: Target<'a>,
    senders: &'a [Sender],
    seats: usize,
) -> impl Iterator<Item = &'a Sender> {
    let mut ranked: Vec<(u64, &Sender)> = senders
        .iter()
        .map(|sender| (weight(target.id, &sender.host), sender))
        .collect();
    ranked.sort_unstable_by_key(|(weight, _)| *weight);
    let (local, remote): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .map(|(_, sender)| sender)
        .partition(|sender| sender.zone == *target.zone);
    let remote_seats = (seats / REMOTE_SEAT_DIVISOR).min(remote.len());
    let local_seats = (seats - remote_seats).min(local.len());
    let locals = local.into_iter().take(local_seats);
    locals.chain(remote.into_iter().take(seats - local_seats))
}

/// Returns the rank of a host at an endpoint: the same at each host and in each release, and unrelated
/// between endpoints.
fn weight(endpoint: &str, host: &Host) -> u64 {
    let bytes = endpoint.bytes().chain([0]).chain(host.as_str().bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    // Names differ in their last characters, which FNV-1a leaves in a part of the bits.
    let mixed = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The limit that one endpoint has named, and how much of this host's share is used.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    rate: Rate,
    share: Share,
    learned_at: Time,
    /// Requests that a host with a seat may send at once, as of `counted_at`.
    allowance: f64,
    counted_at: Time,
    last_sent_at: Time,
}

impl Limit {
    /// Creates the state of a limit that was learned at `now`. Nothing may be sent at once: the
    /// endpoint has just got a request from this host.
    pub fn new(rate: Rate, share: Share, now: Time) -> Self {
        Limit {
            rate,
            share,
            learned_at: now,
            allowance: 0.0,
            counted_at: now,
            last_sent_at: now,
        }
    }

    /// Returns the limit that the endpoint has named, in requests per second.
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// Returns this host's share.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Returns when the limit was first learned.
    pub fn learned_at(&self) -> Time {
        self.learned_at
    }

    /// Replaces the limit and the share; what was saved up stays, as far as the new share allows.
    pub fn update(&mut self, rate: Rate, share: Share, now: Time) {
        self.allowance = self.allowance_at(now);
        self.counted_at = now;
        self.rate = rate;
        self.share = share;
        self.allowance = self.allowance_at(now);
    }

    /// Returns when a request may be sent, if `pending` others are to be sent before it; `now` if it
    /// may be sent at once.
    pub fn allowed_at(&self, pending: u32, now: Time) -> Time {
        match self.share {
            Share::Seat(rate) => {
                let missing = f64::from(pending) + 1.0 - self.allowance_at(now);
                if missing <= 0.0 {
                    return now;
                }
                // Rounded up, so that the request is allowed at that time; the cast saturates.
                now.after(Span((missing / rate.0 * 1e6).ceil() as u64 + 1))
            }
            Share::Probe {
                window,
                period,
                offset,
            } => {
                let begin = window_begin(now, period, offset);
                let is_free = self.last_sent_at < begin && pending == 0;
                if is_free && now.since(begin) < window {
                    now
                } else {
                    begin.after(period)
                }
            }
            Share::Unlisted => now.after(UNLISTED_DELAY),
        }
    }

    /// Counts a request that is sent at `now`; returns false, and counts nothing, if it must not be.
    pub fn try_send(&mut self, now: Time) -> bool {
        if self.allowed_at(0, now) > now {
            return false;
        }
        self.allowance = (self.allowance_at(now) - 1.0).max(0.0);
        self.counted_at = now;
        self.last_sent_at = now;
        true
    }

    fn allowance_at(&self, now: Time) -> f64 {
        let Share::Seat(rate) = self.share else {
            return 0.0;
        };
        let elapsed = now.since(self.counted_at).as_secs_f64();
        (self.allowance + elapsed * rate.0).min((rate.0 * BURST_SECONDS).max(1.0))
    }
}

/// Returns the begin of a host's latest window for probes.
fn window_begin(now: Time, period: Span, offset: Span) -> Time {
    let elapsed = now.0.saturating_sub(offset.0) % period.0.max(1);
    Time(now.0 - elapsed)
}

/// Change of an endpoint's limit as this host knows it, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The endpoint has named a limit, or another one.
    Set(Rate, Share),
    /// The endpoint no longer names a limit.
    Lifted(Rate),
}
