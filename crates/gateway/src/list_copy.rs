//! The copy of the list of gateways, in a table of its own.
//!
//! A part of the store may be unavailable. Each gateway therefore writes its row twice, and reads the
//! copy while the list itself is unavailable.
//!
//! Gateways of earlier releases write no copy. A copy without their rows would make the others take
//! themselves for the whole fleet, so each row states how many gateways its writer had on the list, and
//! a gateway that does not know the list adds itself to a complete copy only. A gateway that leaves
//! replaces its row by one without content, so that the others still count it.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use smol::future::FutureExt;
use store::api::{Row, Transaction, Value};
use store::{Outcome, Partition, Result};

use crate::control::retry_pause;
use crate::peers;
use crate::roster::Peer;
use crate::rows::Rows;
use crate::state::Shared;

/// Name of the table with the copy.
pub(crate) const TABLE: &str = "gateways-copy";
/// Bytes of a row's value before the row of the list.
pub(crate) const PREFIX_BYTES: usize = size_of::<u32>();
/// Time after the start in which the list itself is usually read.
const LIST_READ_TIME: Duration = Duration::from_millis(200);
/// Time between two reads of the copy while the list is unavailable.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// Returns the partition of the copy. Its name differs from that of the list, as partitions of one name
/// share a rate of writes.
pub(crate) fn partition() -> Partition {
    Partition::new(TABLE, "copy")
}

/// The rows of the copy, as rows of the list.
#[derive(Clone, Debug, Default)]
pub struct ListCopy {
    /// The rows of gateways that have not left.
    pub rows: Vec<Row>,
    /// Versions of the rows of gateways that have left.
    left: Vec<u64>,
    /// Version of each row, and how many gateways its writer had on the list.
    listed: Vec<(u64, u32)>,
}

impl ListCopy {
    /// Returns the value of a row, written while `listed` gateways are on the list.
    pub fn encode(listed: usize, list_row: &[u8]) -> Vec<u8> {
        let listed = u32::try_from(listed).unwrap_or(u32::MAX);
        [listed.to_be_bytes().as_slice(), list_row].concat()
    }

    /// Returns the value of the row of a gateway that leaves.
    pub fn encode_left() -> Vec<u8> {
        Self::encode(0, &[])
    }

    /// Decodes the rows of the table.
    pub fn decode(rows: &[Row]) -> Self {
        let mut copy = ListCopy::default();
        for row in rows {
            let Some((listed, list_row)) = row.value.0.split_first_chunk::<PREFIX_BYTES>() else {
                continue;
            };
            if list_row.is_empty() {
                copy.left.push(row.version);
                continue;
            }
            copy.listed.push((row.version, u32::from_be_bytes(*listed)));
            copy.rows.push(Row {
                value: Value(list_row.to_vec()),
                ..row.clone()
            });
        }
        copy
    }

    /// Whether all gateways are in the copy: at least as many as each writer had on the list, but for
    /// those that have left since.
    pub fn is_complete(&self) -> bool {
        let is_covered = |(version, listed): &(u64, u32)| {
            let left_since = self.left.iter().filter(|left| *left > version);
            self.rows.len() + left_since.count() >= *listed as usize
        };
        !self.rows.is_empty() && self.listed.iter().all(is_covered)
    }
}

/// Reads the copy.
pub(crate) async fn read(rows: &Rows) -> Result<ListCopy> {
    let page = rows.read(&partition(), "", "").await?;
    Ok(ListCopy::decode(&page.rows))
}

/// Writes this gateway's row of the copy once.
pub(crate) async fn write(rows: &Rows, own: &Peer, listed: usize) -> Result<Outcome> {
    let value = ListCopy::encode(listed, &own.encode());
    let transaction = Transaction::default().with_write(own.host.as_str(), value);
    rows.write(&partition(), &transaction).await
}

/// Writes this gateway's row of the copy, and reads the copy whenever the list is unavailable, until
/// the gateway stops and leaves the list.
pub(crate) async fn follow(shared: Arc<Shared>, own: Peer) {
    let expire = async {
        smol::Timer::after(LIST_READ_TIME).await;
    };
    shared.peers.wait_known().or(expire).await;
    let list = Partition::new(peers::TABLE, "");
    let mut is_written = false;
    while !shared.is_draining() {
        if !shared.peers.roster().is_known() || shared.rows.is_unavailable(&list) {
            apply(&shared).await;
        }
        let listed = {
            let roster = shared.peers.roster();
            roster.is_known().then(|| roster.count())
        };
        if let Some(listed) = listed.filter(|_| !is_written) {
            is_written = write(&shared.rows, &own, listed).await.is_ok();
            if !is_written {
                retry_pause().await;
                continue;
            }
        }
        smol::Timer::after(READ_INTERVAL).await;
    }
}

/// Reads the copy and adds its gateways to the list.
async fn apply(shared: &Shared) {
    let copy = read(&shared.rows).await;
    let Some(copy) = copy.ok().filter(ListCopy::is_complete) else {
        return;
    };
    if !shared.peers.roster().is_known() {
        info!(shared.log, "list of gateways read from its copy"; "gateways" => copy.rows.len());
    }
    if shared.peers.add(&copy.rows, &shared.log) {
        shared.sync_senders();
    }
}
