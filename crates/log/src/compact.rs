//! Compaction moves sealed logs from the table into objects: the table is for data that changes.
//!
//! Batches are packed unchanged, in the order of their slots. The marker row is written after all
//! objects and before the first deletion, so that a reader that misses a row finds the objects.

use serde::{Deserialize, Serialize};
use store::Client;
use store::Outcome;
use store::api::Transaction;
use units::{Incarnation, Slot, Span};

use crate::batch::{Batch, batch_key, decode, encode};
use crate::error::{Error, Result};

const BATCHES_PER_PACK: usize = 64;
/// Longest sum of the texts in an object of more than one batch.
const PACK_MAX_BYTES: usize = 4 << 20;
const DELETES_PER_TRANSACTION: usize = 64;
/// Time between deletions; leaves most of the table's writes to the open logs.
const DELETE_DELAY: Span = Span::from_ms(50);
const RETRY_DELAY: Span = Span::from_ms(200);

/// Marker row of a log that is in objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Marker {
    pack_count: u64,
}

fn marker_key(writer: Incarnation) -> String {
    format!("packed.{writer}")
}

fn pack_key(writer: Incarnation, pack: u64) -> String {
    format!("log.{writer}.{pack:08x}")
}

/// Returns the number of objects that hold a log, or `None` if the log is in the table.
pub(crate) async fn read_pack_count(client: &Client, writer: Incarnation) -> Result<Option<u64>> {
    let Some(row) = client.row(&marker_key(writer)).await? else {
        return Ok(None);
    };
    let marker: Marker = decode(&row.value.0, Slot(0))?;
    Ok(Some(marker.pack_count))
}

/// Reads the batches in one object of a log.
pub(crate) async fn read_pack(
    client: &Client,
    writer: Incarnation,
    pack: u64,
) -> Result<Vec<Batch>> {
    let object = client.object(&pack_key(writer, pack)).await?;
    decode(&object.ok_or(Error::Corrupt(Slot(0)))?, Slot(0))
}

/// Moves a sealed log into objects, where `batches` are all its batches. Waits while the store is
/// unavailable. Repeated and concurrent compaction have the same result.
///
/// # Errors
/// [`Error::Encode`] if a batch cannot be encoded.
pub(crate) async fn compact(client: &Client, writer: Incarnation, batches: &[Batch]) -> Result<()> {
    let mut pack_count = 0;
    for chunk in packs(batches) {
        let bytes = encode(&chunk)?;
        let key = pack_key(writer, pack_count);
        while client.put_object(&key, bytes.clone()).await.is_err() {
            smol::Timer::after(RETRY_DELAY.into()).await;
        }
        pack_count += 1;
    }
    let key = marker_key(writer);
    let marker = encode(&Marker { pack_count })?;
    commit_with_retry(client, &Transaction::default().with_write(&key, marker)).await;
    for chunk in batches.chunks(DELETES_PER_TRANSACTION) {
        let delete = chunk.iter().fold(Transaction::default(), |delete, batch| {
            delete.with_delete(&batch_key(writer, batch.slot))
        });
        commit_with_retry(client, &delete).await;
        smol::Timer::after(DELETE_DELAY.into()).await;
    }
    Ok(())
}

/// Divides batches into those of one object each. The result depends on the batches only, as compaction
/// may be repeated.
fn packs(batches: &[Batch]) -> Vec<&[Batch]> {
    let mut packs = Vec::new();
    let mut remaining = batches;
    while !remaining.is_empty() {
        let mut bytes = 0;
        let fits = |batch: &&Batch| {
            bytes += batch.text_bytes();
            bytes <= PACK_MAX_BYTES
        };
        let count = remaining
            .iter()
            .take(BATCHES_PER_PACK)
            .take_while(fits)
            .count();
        let (pack, rest) = remaining.split_at(count.max(1));
        packs.push(pack);
        remaining = rest;
    }
    packs
}

/// Repeats a transaction without conditions until it is committed; it must be idempotent.
async fn commit_with_retry(client: &Client, transaction: &Transaction) {
    while !matches!(client.commit(transaction).await, Ok(Outcome::Committed(_))) {
        smol::Timer::after(RETRY_DELAY.into()).await;
    }
}
