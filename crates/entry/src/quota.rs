//! Number of programs that each account has under way, here and at peers, against its limit.
//!
//! The limit protects accounts from each other; it is not a budget. The number at peers is the last
//! reported one, so several entries together may exceed the limit by the programs that they create
//! between two reports.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use units::{Account, Host, Span, Tokens};
use wire::EntryRequest;

use crate::operator;
use crate::refusal::{Refusal, Result};
use crate::traffic::Traffic;

const REPORT_INTERVAL: Span = Span::from_ms(1_000);

/// Resources used by an account's programs that have not ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Usage {
    /// Programs without sub-agents.
    pub(crate) programs: u64,
    /// Sub-agents.
    pub(crate) children: u64,
    /// Calls answered for programs and sub-agents.
    pub(crate) calls: u64,
    /// Tokens spent by programs and sub-agents.
    pub(crate) tokens: Tokens,
}

impl Usage {
    fn add(&mut self, other: &Usage) {
        self.programs += other.programs;
        self.children += other.children;
        self.calls += other.calls;
        self.tokens = self.tokens.plus(other.tokens);
    }
}

/// Usage by account.
pub(crate) type Usages = BTreeMap<Account, Usage>;

/// Usage besides the programs of this entry: the last reports of peers and programs being created.
#[derive(Debug, Default)]
pub(crate) struct Quota {
    peers: RefCell<HashMap<Host, Usages>>,
    creating: RefCell<BTreeMap<Account, u64>>,
}

/// The right to create one program, which counts towards the limit until it is dropped.
pub(crate) struct Permit<'a> {
    quota: &'a Quota,
    account: Account,
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        if let Some(count) = self.quota.creating.borrow_mut().get_mut(&self.account) {
            *count -= 1;
        }
    }
}

impl Quota {
    /// Adds the usage that peers last reported.
    pub(crate) fn add_peers(&self, usages: &mut Usages) {
        for peer_usages in self.peers.borrow().values() {
            for (account, usage) in peer_usages {
                usages.entry(account.clone()).or_default().add(usage);
            }
        }
    }

    fn programs_at_peers(&self, account: &Account) -> u64 {
        let peers = self.peers.borrow();
        let usages = peers
            .values()
            .filter_map(|peer_usages| peer_usages.get(account));
        usages.map(|usage| usage.programs).sum()
    }
}

impl Traffic {
    /// Acquires the right to create one more program of an account.
    ///
    /// # Errors
    /// [`Refusal::Quota`] if the account already has `limit` programs under way.
    pub(crate) fn acquire_permit(&self, account: &Account, limit: u64) -> Result<Permit<'_>> {
        let own_programs = self.usage().get(account).map_or(0, |usage| usage.programs);
        let mut creating_by_account = self.quota.creating.borrow_mut();
        let creating = creating_by_account.entry(account.clone()).or_default();
        if own_programs + *creating + self.quota.programs_at_peers(account) >= limit {
            return Err(Refusal::Quota(limit));
        }
        *creating += 1;
        Ok(Permit {
            quota: &self.quota,
            account: account.clone(),
        })
    }

    /// The usage of each account by the programs that this entry owns.
    pub(crate) fn usage(&self) -> Usages {
        let mut usages = Usages::new();
        for live in self.programs() {
            let program = live.program.borrow();
            if program.ended().is_some() {
                continue;
            }
            let created = program.created();
            let child = u64::from(created.parent.is_some());
            let usage = Usage {
                programs: 1 - child,
                children: child,
                calls: program.turns().len() as u64,
                tokens: program.ledger().spent(),
            };
            usages
                .entry(created.account.clone())
                .or_default()
                .add(&usage);
        }
        usages
    }
}

/// Polls the connected entries for their usage at a fixed interval.
pub(crate) async fn run(traffic: Rc<Traffic>) {
    loop {
        let view = traffic.shared.view.load_full();
        let mut reports = HashMap::new();
        for peer in &view.entries {
            let Some(link) = traffic.link_to_host(&peer.host) else {
                continue;
            };
            let report = operator::send_to_peer(&link, EntryRequest::Usage).await;
            let report = report.and_then(|value| serde_json::from_value(value).ok());
            // A peer that does not respond still counts with its last report.
            let last_report = || traffic.quota.peers.borrow().get(&peer.host).cloned();
            if let Some(report) = report.or_else(last_report) {
                reports.insert(peer.host.clone(), report);
            }
        }
        *traffic.quota.peers.borrow_mut() = reports;
        smol::Timer::after(REPORT_INTERVAL.into()).await;
    }
}
