//! Which hosts are sent the list of gateways.
//!
//! A host that starts while the list is unavailable knows no other host, but these have its address
//! from an earlier start. A meter of client accounts receives messages of each listed host that knows
//! the list; it sends the list to the others.

use std::collections::HashMap;

use units::{Host, Span, Time};

use crate::roster::Peer;

/// Time without a message after which a host is sent the list for the first time: a host that reads
/// the list itself needs less from its start to its first message.
const FIRST_DELAY: Span = Span::from_ms(500);
/// Time after which a host without messages is sent the list again: it may not have started yet.
const INTERVAL: Span = Span::from_ms(1_000);
/// Most hosts that are sent the list at the same time.
const HOSTS_AT_ONCE_MAX: usize = 16;

/// The hosts without messages, with the time at which each is sent the list next.
#[derive(Clone, Debug, Default)]
pub struct Introductions {
    next: HashMap<Host, Time>,
}

impl Introductions {
    /// Returns the hosts to which the list is sent now, the longest overdue first; `silent` are all
    /// listed hosts without messages.
    pub fn due(&mut self, silent: Vec<Peer>, now: Time) -> Vec<Peer> {
        self.next
            .retain(|host, _| silent.iter().any(|peer| peer.host == *host));
        let mut due: Vec<(Time, Peer)> = silent
            .into_iter()
            .map(|peer| {
                let next = self.next.entry(peer.host.clone());
                (*next.or_insert_with(|| now.after(FIRST_DELAY)), peer)
            })
            .filter(|(next, _)| *next <= now)
            .collect();
        due.sort_by_key(|(next, _)| *next);
        due.truncate(HOSTS_AT_ONCE_MAX);
        for (_, peer) in &due {
            self.next.insert(peer.host.clone(), now.after(INTERVAL));
        }
        due.into_iter().map(|(_, peer)| peer).collect()
    }
}
