//! Reservations of attempts: of a request that may be one crash away from its quarantine, only one
//! attempt runs at a time on all hosts together.
//!
//! A reservation is a row of the table of losses at a fixed endpoint, written under the condition that
//! it does not exist. It counts as a loss on all hosts until the attempt has ended without a crash,
//! so that a host that fails in the meantime leaves its attempt behind as a loss.

use std::sync::Arc;

use compact_str::CompactString;
use policy::{Loss, Suspect};
use slog::info;
use store::api::Transaction;
use store::{Outcome, Partition, Result};
use units::Fingerprint;

use crate::crashes;
use crate::losses;
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

impl Reservation {
    /// Reserves an attempt of a request with losses, for the call `id`.
    ///
    /// # Errors
    /// [`Refusal::SuspectReserved`] if another attempt has not ended yet, and
    /// [`Refusal::StoreUnavailable`] if that is unknown.
    pub(crate) async fn new(
        shared: &Arc<Shared>,
        suspect: Suspect,
        id: &str,
    ) -> std::result::Result<Self, Refusal> {
        let key = losses::row_key(Loss {
            request: suspect.whole,
            endpoint: reserved_endpoint(),
        });
        let own = format!("{}/{id}", shared.settings().host);
        let transaction = Transaction::default()
            .with_check(&key, 0)
            .with_write(&key, own.clone().into_bytes());
        let partition = Partition::new(losses::TABLE, "");
        let written = shared.rows.write(&partition, &transaction).await;
        let version = match written {
            Ok(Outcome::Committed(version)) => Ok(Some(version)),
            Ok(Outcome::Conflict(rows)) => Ok(rows
                .iter()
                .find(|row| row.value.0 == own.as_bytes())
                .map(|row| row.version)),
            Err(error) if error.is_uncertain() => own_version(shared, &key, &own).await,
            Err(error) => Err(error),
        };
        info!(shared.log, "attempt reserved"; "request" => id, "fingerprint" => %suspect.whole,
        "outcome" => match &version {
            Ok(Some(_)) => "reserved",
            Ok(None) => "reserved by another attempt",
            Err(_) => "store unavailable",
        });
        match version {
            Ok(Some(version)) => Ok(Reservation {
                shared: shared.clone(),
                suspect,
                row: (key, version),
            }),
            Ok(None) => Err(Refusal::SuspectReserved),
            Err(_) => Err(Refusal::StoreUnavailable),
        }
    }
}

/// Returns the version of the row `key` if its value is `own`.
async fn own_version(shared: &Shared, key: &str, own: &str) -> Result<Option<u64>> {
    let partition = Partition::new(losses::TABLE, "");
    let end = store::key_after(key);
    let page = shared.rows.read(&partition, key, &end).await?;
    let row = page.rows.iter().find(|row| row.value.0 == own.as_bytes());
    Ok(row.map(|row| row.version))
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
