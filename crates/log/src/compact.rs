//! Sealed logs moved from the table into objects: the table is for what still changes.
//!
//! Batches are packed unchanged, in the order of their slots. The marker row is written after all
//! objects and before the first row goes, so a reader that misses a row finds the objects.

use serde::{Deserialize, Serialize};
use store::Client;
use store::Outcome;
use store::api::Transaction;
use units::{Incarnation, Slot, Span};

use crate::batch::{Batch, batch_key, decode, encode};
use crate::error::{Error, Result};

const PACK_BATCHES: usize = 64;
const DELETES_MAX: usize = 64;
/// Leaves the table's writes to the logs that are open.
const DELETE_DELAY: Span = Span::from_ms(50);
const RETRY_DELAY: Span = Span::from_ms(200);

/// The marker of a log that is in objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Packed {
    packs: u64,
}

fn marker_key(writer: Incarnation) -> String {
    format!("packed.{writer}")
}

fn pack_key(writer: Incarnation, pack: u64) -> String {
    format!("log.{writer}.{pack:08x}")
}

/// How many objects a log is in, or `None` if it is in the table.
pub(crate) async fn packs(client: &Client, writer: Incarnation) -> Result<Option<u64>> {
    let Some(row) = client.row(&marker_key(writer)).await? else {
        return Ok(None);
    };
    let packed: Packed = decode(&row.value.0, Slot(0))?;
    Ok(Some(packed.packs))
}

/// Reads one object of a log.
pub(crate) async fn unpack(client: &Client, writer: Incarnation, pack: u64) -> Result<Vec<Batch>> {
    let object = client.object(&pack_key(writer, pack)).await?;
    decode(&object.ok_or(Error::Corrupt(Slot(0)))?, Slot(0))
}

/// Moves a sealed log with these batches, all that it has, into objects; waits while the service is
/// down. Doing it again, or at two entries at a time, changes nothing.
///
/// # Errors
/// [`Error::Encode`] if a batch cannot be encoded.
pub(crate) async fn compact(client: &Client, writer: Incarnation, batches: &[Batch]) -> Result<()> {
    let mut packs = 0;
    for part in batches.chunks(PACK_BATCHES) {
        let bytes = encode(&part)?;
        let key = pack_key(writer, packs);
        while client.put_object(&key, bytes.clone()).await.is_err() {
            smol::Timer::after(RETRY_DELAY.into()).await;
        }
        packs += 1;
    }
    let key = marker_key(writer);
    let marker = encode(&Packed { packs })?;
    commit(client, &Transaction::default().with_write(&key, marker)).await;
    for part in batches.chunks(DELETES_MAX) {
        let delete = part.iter().fold(Transaction::default(), |delete, batch| {
            delete.with_delete(&batch_key(writer, batch.slot))
        });
        commit(client, &delete).await;
        smol::Timer::after(DELETE_DELAY.into()).await;
    }
    Ok(())
}

/// Runs a transaction without conditions until it is committed; running it twice changes nothing.
async fn commit(client: &Client, transaction: &Transaction) {
    while !matches!(client.commit(transaction).await, Ok(Outcome::Committed(_))) {
        smol::Timer::after(RETRY_DELAY.into()).await;
    }
}
