//! Reservations of attempts: of a request that may be one crash away from its quarantine, only one
//! attempt runs at a time on all hosts together.
//!
//! A reservation is a row of the table of losses at a fixed endpoint, written under the condition that
//! it does not exist. It counts as a loss on all hosts until the attempt has ended without a crash,
//! so that a host that fails in the meantime leaves its attempt behind as a loss. Another attempt may
//! replace a reservation whose attempt must have ended.

use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use policy::{Hold, Loss, Suspect};
use slog::info;
use store::api::{Row, Transaction};
use store::{Outcome, Partition, Result};
use units::{Fingerprint, Incarnation, Span};

use crate::crashes;
use crate::losses;
use crate::peers;
use crate::reply::Refusal;
use crate::state::Shared;

/// The right to run one attempt of a request; ends when this is dropped.
pub(crate) struct Reservation {
    shared: Arc<Shared>,
    suspect: Suspect,
    /// Row and its version.
    row: (CompactString, u64),
}

/// Returns the endpoint at which reservations count as losses.
pub(crate) fn reserved_endpoint() -> Fingerprint {
    Fingerprint::new(&[b"reserved"])
}

/// Time of an attempt whose reservation does not state it, as those of older releases: the longest of a
/// caller without a timeout.
const UNSTATED_ATTEMPT: Span = Span::from_ms(30_000);

/// Who holds a reservation, as the value of its row states it.
struct Holder {
    incarnation: Option<Incarnation>,
    /// Longest time that the attempt runs.
    attempt: Span,
}

impl Holder {
    /// Decodes the value of a row; what it does not state is missing or a default.
    fn parse(value: &[u8]) -> Self {
        let text = std::str::from_utf8(value).unwrap_or_default();
        let mut parts = text.split('/');
        let incarnation = parts.next().and_then(|part| part.parse().ok());
        let attempt = parts.next().and_then(|part| part.parse().ok());
        let attempt = attempt.map(Span::from_ms).filter(|_| incarnation.is_some());
        Holder {
            incarnation,
            attempt: attempt.unwrap_or(UNSTATED_ATTEMPT).min(UNSTATED_ATTEMPT),
        }
    }
}

/// What the store says of a wish to reserve an attempt.
enum Reserved {
    /// The attempt holds the row at this version.
    Own(u64),
    /// Another attempt holds this row.
    Other(Row),
    /// There is no row, and an uncertain write may still take effect; or the process that holds the row
    /// may run or have failed.
    Unclear,
}

impl Reservation {
    /// Reserves an attempt of a request with losses, for the call `id`, which runs for at most
    /// `attempt`.
    ///
    /// # Errors
    /// [`Refusal::SuspectReserved`] if another attempt has not ended yet, and
    /// [`Refusal::StoreUnavailable`] if that is unknown.
    pub(crate) async fn new(
        shared: &Arc<Shared>,
        suspect: Suspect,
        attempt: Span,
        id: &str,
    ) -> std::result::Result<Self, Refusal> {
        let key = losses::row_key(Loss {
            request: suspect.whole,
            endpoint: reserved_endpoint(),
        });
        let (host, incarnation) = (&shared.settings().host, shared.incarnation);
        let own = format_compact!("{incarnation}/{}/{host}/{id}", attempt.as_ms());
        let log = |outcome: &str, version: u64| {
            info!(shared.log, "attempt reserved"; "request" => id,
                "fingerprint" => %suspect.whole, "outcome" => outcome, "row_version" => version);
        };
        let mut replaced: Option<Row> = None;
        loop {
            let reserved = reserve(shared, &key, &own, suspect, replaced.as_ref()).await;
            let row = match reserved {
                Err(_) => {
                    log("store unavailable", 0);
                    return Err(Refusal::StoreUnavailable);
                }
                Ok(Reserved::Own(version)) => {
                    log("reserved", version);
                    return Ok(Reservation {
                        shared: shared.clone(),
                        suspect,
                        row: (key, version),
                    });
                }
                Ok(Reserved::Other(row)) => row,
                Ok(Reserved::Unclear) => {
                    log("unclear", 0);
                    return Err(Refusal::SuspectReserved(Span(0)));
                }
            };
            record_row(shared, suspect.whole, &row);
            let hold = {
                let now = shared.clock.now();
                shared.crashes.reservations().hold(suspect.whole, now)
            };
            match hold {
                // Its host has not released it; one that was replaced in the meantime is another one's.
                Some(Hold::Over) if replaced.is_none() => {
                    log("replaces one that is over", row.version);
                    replaced = Some(row);
                }
                Some(Hold::Active(wait)) => {
                    log("reserved by another attempt", row.version);
                    return Err(Refusal::SuspectReserved(wait));
                }
                _ => {
                    log("released or replaced meanwhile", row.version);
                    return Err(Refusal::SuspectReserved(Span(0)));
                }
            }
        }
    }
}

/// Records the reservation of another attempt.
pub(crate) fn record_row(shared: &Shared, request: Fingerprint, row: &Row) {
    let attempt = Holder::parse(&row.value.0).attempt;
    let now = shared.clock.now();
    let mut reservations = shared.crashes.reservations();
    reservations.record(request, row.version, attempt, now);
}

/// Writes the row `key` with the value `own`, unless it exists or is no longer at the version of the
/// row that it replaces.
async fn reserve(
    shared: &Shared,
    key: &str,
    own: &str,
    suspect: Suspect,
    replaced: Option<&Row>,
) -> Result<Reserved> {
    let version = replaced.map_or(0, |row| row.version);
    let mut transaction = Transaction::default()
        .with_check(key, version)
        .with_write(key, own.as_bytes().to_vec());
    let holder = match replaced {
        Some(row) => find_holder(shared, row).await,
        None => Presence::Running,
    };
    if holder == Presence::Unknown {
        return Ok(Reserved::Unclear);
    }
    if let Some(row) = replaced
        && holder == Presence::Gone
    {
        // Its host may have failed before it recorded a crash.
        let endpoint = Fingerprint::new(&[b"reserved", &row.value.0]);
        let request = suspect.whole;
        let loss = losses::row_key(Loss { request, endpoint });
        transaction = transaction.with_write(&loss, row.value.0.clone());
    }
    let partition = Partition::new(losses::TABLE, "");
    let rows = match shared.rows.write(&partition, &transaction).await {
        Ok(Outcome::Committed(version)) => return Ok(Reserved::Own(version)),
        Ok(Outcome::Conflict(rows)) => rows,
        Err(error) if error.is_uncertain() => {
            let end = store::key_after(key);
            shared.rows.read(&partition, key, &end).await?.rows
        }
        Err(error) => return Err(error),
    };
    let row = rows.into_iter().find(|row| row.key == key);
    Ok(match row {
        Some(row) if row.value.0 == own.as_bytes() => Reserved::Own(row.version),
        Some(row) => Reserved::Other(row),
        None => Reserved::Unclear,
    })
}

/// Whether the process that holds a reservation runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// It runs, and records a crash itself.
    Running,
    /// It has ended.
    Gone,
    /// It is not on a list that cannot be read again, and may have started since.
    Unknown,
}

async fn find_holder(shared: &Shared, row: &Row) -> Presence {
    let Some(holder) = Holder::parse(&row.value.0).incarnation else {
        return Presence::Gone;
    };
    if shared.rows.is_listed(holder) {
        return Presence::Running;
    }
    match peers::read_list(&shared.rows).await {
        Ok(listed) if listed.contains(&holder) => Presence::Running,
        Ok(_) => Presence::Gone,
        Err(_) => Presence::Unknown,
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let (shared, suspect) = (self.shared.clone(), self.suspect);
        let (key, version) = self.row.clone();
        let release = async move {
            crashes::wait_decided(&shared, suspect).await;
            let is_lost = {
                let quarantine = shared.crashes.quarantine();
                quarantine.is_lost_without(suspect, reserved_endpoint())
            };
            if is_lost {
                return;
            }
            let delete = Transaction::default()
                .with_check(&key, version)
                .with_delete(&key);
            losses::write(shared, delete).await;
        };
        smol::spawn(release).detach();
    }
}
