//! The limits of client accounts, which all hosts keep together: this host's credit, and the meter for
//! the hosts that obtain theirs from it.
//!
//! Accounts are dealt to groups, and a group has one meter at a time: of the hosts that do not fail,
//! the one with the most processor time, by a hash among equals. One exchange with it is under way at a
//! time; requests that arrive meanwhile are part of the next one. Messages are also sent without a
//! request, so that the meter counts this host as attached to it.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::Sender;
use clients::{Account, Credit, Granted, Meter, Standing, Want};
use compact_str::CompactString;
use event_listener::Event;
use serde::Serialize;
use slog::{Logger, info};
use smol::future::FutureExt;
use units::{Clock, Host, Span, Time};
use wire::{Relay, Relayed};

use crate::accept::wait_until;
use crate::introductions::Introductions;
use crate::peers::Peers;
use crate::prompt::stable_hash;
use crate::reply::Refusal;
use crate::roster::Peer;

/// Most hosts for each group of accounts.
const HOSTS_PER_GROUP: usize = 64;
/// Longest time between two messages to a meter: it counts this host as attached for twice as long.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two looks at the hosts that send no messages.
const INTRODUCTION_INTERVAL: Span = Span::from_ms(250);
/// Longest time for a meter to answer: some round trips between regions at a busy host. Then the next
/// host is asked.
const ANSWER_TIMEOUT: Span = Span::from_ms(300);
/// Most meters that are asked for one request.
const METERS_PER_REQUEST_MAX: usize = 3;
/// Time after the start of the process in which requests wait for the list of hosts: reading it takes
/// some round trips.
const LIST_READ_TIME: Span = Span::from_ms(1_000);
/// Longest time that a request waits for the list of hosts; then its caller may ask another host.
const LIST_WAIT_MAX: Span = Span::from_ms(300);
/// Shortest time between two log lines about the hosts that are attached.
const ATTACHMENT_LOG_INTERVAL: Span = Span::from_ms(1_000);

/// The accounts with a limit that this host serves.
pub(crate) struct Caps {
    peers: Peers,
    own: Host,
    clock: Clock,
    started_at: Time,
    log: Logger,
    meter: Mutex<Meter>,
    introductions: Mutex<Introductions>,
    attachment: Mutex<Attachment>,
    accounts: Mutex<HashMap<CompactString, Demand>>,
    /// Whether any account of the environment has a limit.
    has_limits: AtomicBool,
    /// Notified when a request waits.
    wanted: Event,
}

/// What was logged last about the hosts that obtain credit here.
#[derive(Default)]
struct Attachment {
    /// Number of attached hosts and of all listed ones.
    counts: (usize, usize),
    logged_at: Time,
}

/// One account's credit, and its requests that wait for some.
struct Demand {
    account: Account,
    /// Version of the environment with the account's limit.
    version: u64,
    credit: Credit,
    waiting: Vec<Waiting>,
    admitted: u64,
    refused: u64,
}

struct Waiting {
    standing: Standing,
    reply: Sender<Result<Span, Refusal>>,
}

/// An account on the status page.
#[derive(Serialize)]
struct Description<'a> {
    account: &'a str,
    limit_per_second: f64,
    burst: f64,
    admitted: u64,
    refused: u64,
    /// Requests that the account may still send, if this host is its meter.
    level: Option<f64>,
}

impl Caps {
    pub(crate) fn new(peers: Peers, own: Host, clock: Clock, log: Logger) -> Self {
        Caps {
            peers,
            own,
            clock,
            started_at: clock.now(),
            log,
            meter: Mutex::default(),
            introductions: Mutex::default(),
            attachment: Mutex::default(),
            accounts: Mutex::default(),
            has_limits: AtomicBool::new(false),
            wanted: Event::new(),
        }
    }

    /// Records whether any account of the environment in force has a limit.
    pub(crate) fn set_has_limits(&self, has_limits: bool) {
        self.has_limits.store(has_limits, Ordering::Release);
    }

    fn accounts(&self) -> MutexGuard<'_, HashMap<CompactString, Demand>> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request of an account; waits until a meter has answered if there is no credit.
    ///
    /// # Errors
    /// If the limit is used up, or if this host does not know the other hosts that keep it.
    pub(crate) async fn admit(
        &self,
        account: &Account,
        version: u64,
        standing: Standing,
        deadline: Time,
    ) -> Result<(), Refusal> {
        if account.limit.is_none() {
            return Ok(());
        }
        if !self.wait_for_list(deadline).await {
            return Err(Refusal::LimitUnknown);
        }
        let reply = {
            let mut accounts = self.accounts();
            let demand = accounts
                .entry(account.name.clone())
                .or_insert_with(|| Demand::new(account));
            if version >= demand.version {
                demand.version = version;
                demand.account.limit = account.limit;
            }
            if demand.credit.take(self.clock.now()) {
                demand.admitted += 1;
                return Ok(());
            }
            let (reply, reply_rx) = async_channel::bounded(1);
            demand.waiting.push(Waiting { standing, reply });
            reply_rx
        };
        self.wanted.notify(usize::MAX);
        let expire = async {
            wait_until(self.clock, deadline).await;
            Ok(Err(Refusal::OverLimit(Span(0))))
        };
        match reply.recv().or(expire).await {
            Ok(Ok(wait)) => {
                smol::Timer::after(wait.into()).await;
                Ok(())
            }
            Ok(Err(refusal)) => Err(refusal),
            // The task that answers ends only with the process.
            Err(_) => Err(Refusal::Stopping),
        }
    }

    /// Waits for the list of hosts while this host may be about to read it; returns whether it is known.
    async fn wait_for_list(&self, deadline: Time) -> bool {
        if self.peers.roster().is_known() {
            return true;
        }
        let wait_end = self.clock.now().after(LIST_WAIT_MAX);
        let read_end = self.started_at.after(LIST_READ_TIME);
        let known = async {
            self.peers.wait_known().await;
            true
        };
        let expire = async {
            wait_until(self.clock, deadline.min(wait_end).min(read_end)).await;
            false
        };
        known.or(expire).await
    }

    /// Obtains credit for as long as the process runs; does nothing while no account has a limit and no
    /// request waits from the time when one had.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut introduced_at = self.clock.now();
        loop {
            let wanted = self.wanted.listen();
            if !self.has_waiting() {
                let interval = async {
                    smol::Timer::after(MESSAGE_INTERVAL).await;
                };
                wanted.or(interval).await;
            }
            let is_needed = self.has_limits.load(Ordering::Acquire) || self.has_waiting();
            if is_needed && self.peers.roster().is_known() {
                self.exchange_all().await;
                let now = self.clock.now();
                if now.since(introduced_at) >= INTRODUCTION_INTERVAL {
                    introduced_at = now;
                    self.introduce();
                }
            }
        }
    }

    /// Sends the list of hosts to those that send no messages to this meter, without waiting for their
    /// answers: a host that has not started yet gives none.
    fn introduce(self: &Arc<Self>) {
        let due = self.due_introductions();
        if due.is_empty() {
            return;
        }
        let rows = self.peers.roster().rows();
        for peer in due {
            let relay = Relay::Introduce { rows: rows.clone() };
            let caps = self.clone();
            let call = async move { drop(caps.peers.call(peer, relay, ANSWER_TIMEOUT).await) };
            smol::spawn(call).detach();
        }
    }

    fn due_introductions(&self) -> Vec<Peer> {
        let now = self.clock.now();
        let silent = {
            let roster = self.peers.roster();
            let meter = self.meter.lock().unwrap_or_else(PoisonError::into_inner);
            let attached: HashSet<&Host> = meter.attached(now).collect();
            let silent = roster.peers().filter(|peer| {
                !attached.is_empty() && !attached.contains(&peer.host) && peer.host != self.own
            });
            silent.cloned().collect()
        };
        let mut introductions = self
            .introductions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        introductions.due(silent, now)
    }

    fn has_waiting(&self) -> bool {
        let accounts = self.accounts();
        accounts.values().any(|demand| !demand.waiting.is_empty())
    }

    async fn exchange_all(&self) {
        let listed = self.peers.roster().count().max(1);
        let groups = listed.div_ceil(HOSTS_PER_GROUP) as u64;
        let exchanges = (0..groups).map(|group| self.exchange(group, groups));
        futures_util::future::join_all(exchanges).await;
    }

    /// Asks the meter of a group for the credit that is wanted, then others until one answers.
    async fn exchange(&self, group: u64, groups: u64) {
        let (wants, waiting) = self.take_wants(|account| stable_hash(account) % groups == group);
        let order = self.meter_order(group);
        let mut granted = None;
        for meter in order {
            granted = self.ask(meter.as_ref(), &wants).await;
            if granted.is_some() {
                break;
            }
        }
        // No meter answers: this host grants its own part of the limits.
        match granted.or_else(|| self.serve(&self.own, &wants)) {
            Some(granted) => self.apply(wants, waiting, &granted),
            None => self.refuse(waiting),
        }
    }

    /// Returns the hosts that may meter a group, in the order in which they are asked; `None` is this
    /// host.
    fn meter_order(&self, group: u64) -> Vec<Option<Peer>> {
        let mut order = self.peers.roster().meter_order(group, self.clock.now());
        order.truncate(METERS_PER_REQUEST_MAX);
        let own = |peer: Peer| (peer.host != self.own).then_some(peer);
        order.into_iter().map(own).collect()
    }

    async fn ask(&self, meter: Option<&Peer>, wants: &[Want]) -> Option<Vec<Granted>> {
        let Some(peer) = meter else {
            return self.serve(&self.own, wants);
        };
        let relay = Relay::Acquire {
            host: self.own.clone(),
            wants: wants.to_vec(),
        };
        let answer = self.peers.call(peer.clone(), relay, ANSWER_TIMEOUT).await;
        match answer {
            Some(Relayed::Acquired(granted)) if granted.len() == wants.len() => Some(granted),
            _ => {
                info!(self.log, "meter does not answer"; "peer" => %peer.host,
                    "accounts" => wants.len());
                let now = self.clock.now();
                self.peers.roster().record_meter_failure(&peer.host, now);
                None
            }
        }
    }

    /// Grants credit as a meter; `None` if this host does not know its part of the limits.
    pub(crate) fn serve(&self, host: &Host, wants: &[Want]) -> Option<Vec<Granted>> {
        let listed = {
            let roster = self.peers.roster();
            roster.may_meter(&self.own).then(|| roster.count())?
        };
        let now = self.clock.now();
        let mut meter = self.meter.lock().unwrap_or_else(PoisonError::into_inner);
        meter.attach(host, now);
        let part = meter.part(listed, now);
        self.log_attachment(meter.attached(now).count(), listed, now);
        let granted = wants.iter().map(|want| meter.grant(want, part, now));
        Some(granted.collect())
    }

    /// Logs how many of the listed hosts this host meters for, when that has changed.
    fn log_attachment(&self, attached: usize, listed: usize, now: Time) {
        let mut attachment = self
            .attachment
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_due = now.since(attachment.logged_at) >= ATTACHMENT_LOG_INTERVAL;
        if is_due && attachment.counts != (attached, listed) {
            attachment.counts = (attached, listed);
            attachment.logged_at = now;
            info!(self.log, "metering accounts"; "attached" => attached, "listed" => listed);
        }
    }

    fn take_wants(&self, is_in_group: impl Fn(&str) -> bool) -> (Vec<Want>, Vec<Vec<Waiting>>) {
        let mut accounts = self.accounts();
        let demands = accounts.values_mut();
        let waiting = demands
            .filter(|demand| !demand.waiting.is_empty() && is_in_group(&demand.account.name));
        waiting.filter_map(Demand::take_want).unzip()
    }

    /// Answers the requests that waited.
    fn apply(&self, wants: Vec<Want>, waiting: Vec<Vec<Waiting>>, granted: &[Granted]) {
        let now = self.clock.now();
        let mut accounts = self.accounts();
        for ((want, waiting), granted) in wants.iter().zip(waiting).zip(granted) {
            let Some(demand) = accounts.get_mut(&want.account) else {
                continue;
            };
            demand.apply(waiting, granted, now);
        }
    }

    /// Refuses the requests that waited, as no host could tell what the limits allow.
    fn refuse(&self, waiting: Vec<Vec<Waiting>>) {
        for waiting in waiting.into_iter().flatten() {
            // The request may have been cancelled.
            let _ = waiting.reply.try_send(Err(Refusal::LimitUnknown));
        }
    }

    /// Forgets the accounts without requests.
    pub(crate) fn expire(&self) {
        let now = self.clock.now();
        self.accounts()
            .retain(|_, demand| !demand.waiting.is_empty() || !demand.credit.is_idle(now));
        let mut meter = self.meter.lock().unwrap_or_else(PoisonError::into_inner);
        meter.expire(now);
    }

    /// Describes the accounts that this host serves, as JSON.
    pub(crate) fn describe(&self) -> Vec<u8> {
        let accounts = self.accounts();
        let meter = self.meter.lock().unwrap_or_else(PoisonError::into_inner);
        let described: Vec<Description<'_>> = accounts
            .values()
            .map(|demand| {
                let limit = demand.account.limit;
                Description {
                    account: &demand.account.name,
                    limit_per_second: limit.map_or(0.0, |limit| limit.rate.0),
                    burst: limit.map_or(0.0, |limit| limit.burst),
                    admitted: demand.admitted,
                    refused: demand.refused,
                    level: meter.level(&demand.account.name),
                }
            })
            .collect();
        // Plain data always encodes.
        serde_json::to_vec(&described).unwrap_or_default()
    }
}

impl Demand {
    fn new(account: &Account) -> Self {
        Demand {
            account: account.clone(),
            version: 0,
            credit: Credit::default(),
            waiting: Vec::new(),
            admitted: 0,
            refused: 0,
        }
    }

    /// Takes the waiting requests, with what is wanted for them.
    fn take_want(&mut self) -> Option<(Want, Vec<Waiting>)> {
        let limit = self.account.limit?;
        let waiting = std::mem::take(&mut self.waiting);
        let count = |standing| {
            let waiting = waiting.iter();
            let count = waiting
                .filter(|waiting| waiting.standing == standing)
                .count();
            u16::try_from(count).unwrap_or(u16::MAX)
        };
        let want = Want {
            account: self.account.name.clone(),
            limit,
            version: self.version,
            under_way: count(Standing::UnderWay),
            new: count(Standing::New),
            expected: self.credit.expected(),
        };
        Some((want, waiting))
    }

    fn apply(&mut self, waiting: Vec<Waiting>, granted: &Granted, now: Time) {
        self.credit.add(granted.expected, now);
        let (mut under_way, mut new) = (granted.under_way, granted.new);
        for waiting in waiting {
            let left = match waiting.standing {
                Standing::UnderWay => &mut under_way,
                Standing::New => &mut new,
            };
            let result = if *left > 0 {
                *left -= 1;
                self.admitted += 1;
                Ok(match waiting.standing {
                    Standing::UnderWay => granted.wait,
                    Standing::New => Span(0),
                })
            } else {
                self.refused += 1;
                Err(Refusal::OverLimit(granted.wait))
            };
            // The request may have been cancelled; its credit is then lost.
            let _ = waiting.reply.try_send(result);
        }
    }
}
