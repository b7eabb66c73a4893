//! Streams that callers resume: at which release, and what is recorded at their beginning.

use compact_str::CompactString;
use policy::{Choice, Fault, Listing};
use slog::info;
use store::{Partition, key_after};
use turns::Origin;

use crate::attempt::{AttemptOutcome, EndpointResponse};
use crate::endpoints::Endpoint;
use crate::environment::Repeat;
use crate::exchange::Exchange;
use crate::reply::Refusal;

impl Exchange {
    /// Returns the only release that may run the request, if it resumes a stream.
    ///
    /// # Errors
    /// If the stream may not be resumed, or its origin is unknown.
    pub(crate) async fn resumed_release(&self) -> Result<Option<CompactString>, Refusal> {
        if self.route.repeat != Repeat::Stream || !self.call.resumes {
            return Ok(None);
        }
        // Of a retained turn, the part that the caller already has would be missing.
        if !self.route.resumable || self.route.retains_turns {
            return Err(Refusal::StreamNotKept);
        }
        let resumed = self.call.resumed_attempt.as_ref();
        let resumed = resumed.ok_or(Refusal::StreamNotKept)?;
        let accounts = &self.environment.accounts;
        let stream = self.owner.id(resumed);
        let origin = self.shared.streams.find(&stream, accounts).await?;
        let program = self.program_name();
        let release = origin
            .as_ref()
            .and_then(|origin| origin.release_for(&self.service, &program));
        info!(self.shared.log, "resumption requested"; "request" => %self.call.id,
            "resumed_attempt" => %resumed, "program" => %program,
            "origin" => ?origin, "release" => ?release);
        let (Some(origin), Some(release)) = (&origin, release) else {
            return Err(Refusal::StreamNotKept);
        };
        if !self.is_origin_confirmed(origin).await? {
            return Err(Refusal::StreamNotKept);
        }
        Ok(Some(release.clone()))
    }

    /// Whether the endpoint that began a stream still has the release that was recorded: the host that
    /// recorded it may have been out of step, and the endpoint may have started again before. One that
    /// has left cannot be asked.
    async fn is_origin_confirmed(&self, origin: &Origin) -> Result<bool, Refusal> {
        if origin.endpoint.is_empty() {
            return Ok(true);
        }
        let entry = self.listed(&origin.endpoint).await?;
        Ok(entry.is_none_or(|entry| entry.release == origin.release))
    }

    /// Returns what the store lists of an endpoint; `None` if it lists none, or one that cannot be read.
    async fn listed(&self, id: &str) -> Result<Option<Endpoint>, Refusal> {
        let shared = &self.shared;
        let partition = Partition::new(shared.adapter.directory.endpoint_table(), "");
        let page = shared.rows.read(&partition, id, &key_after(id)).await;
        let page = page.map_err(|error| {
            info!(shared.log, "endpoint of resumed stream not confirmed";
                "request" => %self.call.id, "endpoint" => id, "error" => %error);
            Refusal::StoreUnavailable
        })?;
        let mut entries = page.rows.iter().filter(|row| row.key == id);
        Ok(entries.find_map(|row| shared.adapter.directory.endpoint(row).ok()))
    }

    /// Whether the store lists the chosen start of an endpoint, with the release that it was chosen
    /// for. A host that is out of step may take another start for it, of another release.
    ///
    /// # Errors
    /// [`Refusal::StoreUnavailable`] if the entry cannot be read.
    pub(crate) async fn is_confirmed(&self, choice: &Choice) -> Result<bool, Refusal> {
        let shared = &self.shared;
        let entry = self.listed(&choice.id).await?;
        let is_confirmed = entry.as_ref().is_some_and(|entry| {
            entry.start_id == choice.start_id() && entry.release == choice.release
        });
        if !is_confirmed {
            info!(shared.log, "endpoint of resumed stream is another one";
                "request" => %self.call.id, "endpoint" => %choice.id,
                "release" => %choice.release, "start" => choice.start_id(),
                "listed_release" => entry.as_ref().map_or("", |entry| entry.release.as_str()),
                "listed_start" => entry.as_ref().map_or(0, |entry| entry.start_id));
        }
        Ok(is_confirmed)
    }

    /// Records the origin of a stream that a caller may resume.
    ///
    /// # Errors
    /// If the stream was to go on at a release, and another start of the endpoint may have run it.
    pub(crate) fn begin_stream(
        &self,
        received: &mut EndpointResponse,
    ) -> Result<(), AttemptOutcome> {
        if !self.route.resumable {
            return Ok(());
        }
        let placement = &received.placement;
        let start = placement.endpoint_start.as_ref();
        let is_same_start = start.is_some_and(|start| {
            let endpoints = self.shared.endpoints();
            endpoints.listing(start) != Listing::Replaced
        });
        if !is_same_start {
            info!(self.shared.log, "release of stream unknown"; "request" => %self.call.id,
                "endpoint" => %placement.choice.id, "release" => %placement.choice.release,
                "is_resumption" => self.call.resumes);
        }
        if self.call.resumes && !is_same_start {
            received.placement.fault = Fault::Failed;
            return Err(AttemptOutcome::Unknown(Refusal::EndpointFailed));
        }
        if is_same_start && !self.call.resumes {
            let origin = Origin {
                service: self.service.clone(),
                release: placement.choice.release.clone(),
                program: self.program_name(),
                endpoint: placement.choice.id.clone(),
            };
            let stream = self.owner.id(&self.call.id);
            let name = stream.name(&self.environment.accounts);
            self.shared.streams.begin(&name, origin);
        }
        Ok(())
    }
}
