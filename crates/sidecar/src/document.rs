//! Copy of the environment document, which entries keep up to date.

use board::{Replica, Report};
use slog::{error, info};
use units::Version;
use wire::{Frame, Result, Stream};

use crate::calls::Calls;

/// Replies to an entry that sent its version: with the document if the version here is higher, else
/// with the version in force here.
pub(crate) async fn reply(calls: &Calls, version: Version, stream: &mut Stream) -> Result<()> {
    let now = calls.clock.now();
    calls.replica.borrow_mut().record_contact(version, now);
    let frame = match calls.replica.borrow().report(version) {
        Report::InForce(version) => Frame::InForce(version),
        Report::Document(environment) => Frame::Document {
            version: environment.version,
            text: environment.text.clone(),
        },
    };
    stream.send(&frame).await
}

/// Adopts a document from an entry if it is newer, and replies with the version then in force.
pub(crate) async fn receive(
    calls: &Calls,
    version: Version,
    text: String,
    stream: &mut Stream,
) -> Result<()> {
    adopt(calls, version, text);
    let version = calls.replica.borrow().version();
    stream.send(&Frame::InForce(version)).await
}

fn adopt(calls: &Calls, version: Version, text: String) {
    let mut replica = calls.replica.borrow_mut();
    match Replica::adopt(&mut replica, version, text, calls.clock.now()) {
        Ok(true) => info!(calls.log, "document in force"; "version" => %version),
        Ok(false) => {}
        Err(error) => {
            calls.metrics.count("document-invalid");
            error!(calls.log, "received document is invalid"; "error" => %error);
        }
    }
}
