//! The table of losses: each host writes the losses that it sees, and follows those of the others.
//!
//! Each loss is a row of its own, written without a condition, so that hosts need not agree. A request
//! without losses costs a look-up in memory and no call of the store.

use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use policy::{Loss, Quarantine, Suspect};
use serde::Serialize;
use slog::{info, warn};
use store::api::{Row, Transaction};
use store::{Change, Partition};
use units::{Fingerprint, Host, Span, Time};

use crate::control::{TableEvent, retry_pause};
use crate::crashes::EndpointStart;
use crate::reservation::{self, reserved_endpoint};
use crate::state::Shared;

/// Name of the table of losses.
pub(crate) const TABLE: &str = "losses";
/// Most rows of one transaction.
const ROWS_PER_WRITE_MAX: usize = 100;
/// How long a write of losses is repeated while the store is unavailable.
const WRITE_TIMEOUT: Span = Span::from_ms(60_000);

/// The value of a row, for operators: the key has what the hosts need.
#[derive(Serialize)]
struct LossRow<'a> {
    endpoint: &'a str,
    start_id: u64,
    host: &'a Host,
}

/// Records the losses of a crash, and writes those that are new to the store.
pub(crate) fn record(shared: &Arc<Shared>, start: &EndpointStart, suspects: &[Suspect], now: Time) {
    let endpoint = start.fingerprint();
    let requests = suspects.iter().flat_map(|suspect| suspect.fingerprints());
    let mut new = Vec::new();
    for loss in requests.map(|request| Loss { request, endpoint }) {
        let mut quarantine = shared.crashes.quarantine();
        if quarantine.insert(loss, now) {
            let count = quarantine.losses(loss.request);
            drop(quarantine);
            new.push(loss);
            info!(shared.log, "request suspected"; "fingerprint" => %loss.request,
                "losses" => count, "endpoint" => %start.id, "start" => start.start_id);
        }
    }
    let settings = shared.settings();
    let row = LossRow {
        endpoint: &start.id,
        start_id: start.start_id,
        host: &settings.host,
    };
    // Plain data of bounded size always encodes; readers need only the key.
    let value = bincode::serde::encode_to_vec(&row, bincode::config::standard());
    let value = value.unwrap_or_default();
    for losses in new.chunks(ROWS_PER_WRITE_MAX) {
        let transaction = losses.iter().fold(Transaction::default(), |writes, loss| {
            writes.with_write(&row_key(*loss), value.clone())
        });
        smol::spawn(write(shared.clone(), transaction)).detach();
    }
}

/// Removes the losses of a request that got a complete answer.
pub(crate) fn clear(shared: &Arc<Shared>, suspect: Suspect) {
    let losses = shared.crashes.quarantine().clear(suspect);
    if losses.is_empty() {
        return;
    }
    info!(shared.log, "request cleared"; "fingerprint" => %suspect.whole,
        "beginning" => %suspect.beginning, "losses" => losses.len());
    let deletes = losses.iter().fold(Transaction::default(), |deletes, loss| {
        deletes.with_delete(&row_key(*loss))
    });
    smol::spawn(write(shared.clone(), deletes)).detach();
}

/// Writes to the table of losses; repeats the write until it succeeds or [`WRITE_TIMEOUT`] has
/// passed.
pub(crate) async fn write(shared: Arc<Shared>, transaction: Transaction) {
    let partition = Partition::new(TABLE, "");
    let began = shared.clock.now();
    while let Err(error) = shared.rows.write(&partition, &transaction).await {
        let elapsed = shared.clock.now().since(began);
        info!(shared.log, "losses not written yet"; "rows" => transaction.writes.len(),
            "error" => %error, "after_ms" => elapsed.as_ms());
        if elapsed >= WRITE_TIMEOUT {
            return;
        }
        retry_pause().await;
    }
}

pub(crate) fn row_key(loss: Loss) -> CompactString {
    format_compact!("{}/{}", loss.request, loss.endpoint)
}

fn parse_key(key: &str) -> Option<Loss> {
    let (request, endpoint) = key.split_once('/')?;
    Some(Loss {
        request: request.parse().ok()?,
        endpoint: endpoint.parse().ok()?,
    })
}

/// Returns the request whose attempt is reserved by the row of `loss`; `None` if it is another row.
fn reserved_request(loss: Loss) -> Option<Fingerprint> {
    (loss.endpoint == reserved_endpoint()).then_some(loss.request)
}

/// Applies an event of the table of losses.
pub(crate) fn apply_event(shared: &Shared, event: TableEvent<'_>) {
    let now = shared.clock.now();
    let parse = |row: &Row| {
        let loss = parse_key(&row.key);
        if loss.is_none() {
            warn!(shared.log, "row of a loss cannot be decoded"; "row" => %row.key,
                "row_version" => row.version);
        }
        loss
    };
    let mut quarantine = shared.crashes.quarantine();
    match event {
        TableEvent::Gap => {}
        TableEvent::Snapshot(rows, version) => {
            quarantine.replace(rows.iter().filter_map(parse), now);
            for row in rows {
                if let Some(request) = parse_key(&row.key).and_then(reserved_request) {
                    reservation::record_row(shared, request, row);
                }
            }
            info!(shared.log, "losses read"; "rows" => rows.len(), "row_version" => version);
        }
        TableEvent::Changes(changes, _) => {
            for change in changes {
                if let Some(loss) = parse(&change.row) {
                    apply_change(shared, &mut quarantine, loss, change, now);
                }
            }
        }
    }
    shared
        .metrics
        .set_gauge("suspects", quarantine.count() as i64);
}

fn apply_change(
    shared: &Shared,
    quarantine: &mut Quarantine,
    loss: Loss,
    change: &Change,
    now: Time,
) {
    match reserved_request(loss) {
        Some(request) if change.is_deleted => shared.crashes.reservations().remove(request),
        Some(request) => reservation::record_row(shared, request, &change.row),
        None => {}
    }
    if change.is_deleted {
        quarantine.remove(loss);
    } else if quarantine.insert(loss, now) {
        info!(shared.log, "loss received"; "fingerprint" => %loss.request,
            "losses" => quarantine.losses(loss.request), "row_version" => change.row.version);
    }
}
