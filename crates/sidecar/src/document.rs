//! The sidecar's copy of the environment document, as entries tell of it.

use board::{Replica, Report};
use slog::{error, info};
use units::Version;
use wire::{Frame, Result, Stream};

use crate::calls::Calls;

/// Answers an entry that told its version.
pub(crate) async fn answer(calls: &Calls, version: Version, stream: &mut Stream) -> Result<()> {
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

/// Takes a document that an entry sent and answers with the version in force afterwards.
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
        Err(why) => {
            calls.metrics.count("document-invalid");
            error!(calls.log, "received document is invalid"; "error" => %why);
        }
    }
}
