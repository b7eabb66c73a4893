//! The HTTP interface.

use std::sync::Arc;

use arc_swap::ArcSwap;
use async_channel::Sender;
use board::{Observation, View};
use http_types::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use store::Client;
use telemetry::Metrics;
use units::{Clock, Digest, Host, Program, Span, Time, Version};

use crate::audit::{Action, Record};
use crate::document::{
    Accepted, Change, accept, accepted_document, document_history, past_document,
};
use crate::error::{Error, Result};
use crate::response::{json, refuse};
use crate::{audit, explain, query, status};

const DOCUMENT_MAX_BYTES: u64 = 4 << 20;
const PAGE_MAX: u32 = 1_000;
const TOP_PROGRAMS: usize = 20;

/// What the traffic thread is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// All programs under way.
    Programs,
    /// The usage of each account.
    Accounts,
    /// Tell a host's process to leave.
    Drain(Host),
    /// The account of one program.
    Explain(Program),
    /// End a program.
    End(Program),
}

/// A question and where its answer goes; `None` if the program is unknown.
#[derive(Clone, Debug)]
pub struct OperationRequest {
    /// The question.
    pub operation: Operation,
    /// Where the answer goes.
    pub reply: Sender<Option<Value>>,
}

/// The administration API of an entry.
#[derive(Clone, Debug)]
pub struct Admin {
    /// Settings of the API.
    pub settings: settings::Admin,
    /// The process's host.
    pub host: Host,
    /// The environment's name.
    pub environment: String,
    /// Bound after which a process that hears neither store nor peer is not ready.
    pub stale_after: Span,
    /// The platform's service.
    pub client: Client,
    /// The state of the board.
    pub view: Arc<ArcSwap<View>>,
    /// Questions to the traffic thread.
    pub requests: Sender<OperationRequest>,
    /// Observations for the board.
    pub observations: Sender<Observation>,
    /// The process's metrics.
    pub metrics: Metrics,
    /// The process's clock.
    pub clock: Clock,
}

/// A past version without its text.
fn summary(accepted: &Accepted) -> Value {
    json!({
        "version": accepted.version, "author": accepted.author, "at": accepted.at,
        "digest": Digest::of(accepted.text.as_bytes()).to_string(),
        "promoted": accepted.promoted,
    })
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Role {
    Viewer,
    Operator,
}

impl Admin {
    /// Answers one request.
    pub async fn answer(self, mut request: Request) -> Response {
        let path = request.url().path().to_owned();
        match path.as_str() {
            "/live" => return Response::new(StatusCode::Ok),
            "/ready" => return self.ready(),
            "/metrics" => return self.metrics(),
            _ => {}
        }
        self.serve(&path, &mut request)
            .await
            .unwrap_or_else(|error| refuse(&error))
    }

    fn ready(&self) -> Response {
        let view = self.view.load();
        let reasons = status::unready(&view, self.stale_after, self.clock.now());
        let status = if reasons.is_empty() { 200 } else { 503 };
        json(
            status,
            &json!({"ready": reasons.is_empty(), "reasons": reasons}),
        )
    }

    fn metrics(&self) -> Response {
        let view = self.view.load();
        status::measure(&view, &self.metrics, self.clock.now());
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(self.metrics.render());
        response.insert_header("content-type", "text/plain; version=0.0.4");
        response
    }

    async fn serve(&self, path: &str, request: &mut Request) -> Result<Response> {
        let role = self.role(request)?;
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (Method::Get, ["v1", "environment"]) => self.environment().await,
            (Method::Put, ["v1", "environment"]) => {
                allow(role, Role::Operator)?;
                self.accept(request).await
            }
            (Method::Get, ["v1", "environment", "history"]) => self.history(request).await,
            (Method::Get, ["v1", "environment", "history", version]) => self.past(version).await,
            (Method::Get, ["v1", "audit"]) => self.audit(request).await,
            (Method::Get, ["v1", "status"]) => Ok(self.status()),
            (Method::Get, ["v1", "accounts"]) => self.respond_with(Operation::Accounts).await,
            (Method::Get, ["v1", "top"]) => self.top().await,
            (Method::Post, ["v1", "hosts", host, "drain"]) => {
                allow(role, Role::Operator)?;
                self.drain(request, host).await
            }
            (Method::Get, ["v1", "programs"]) => self.respond_with(Operation::Programs).await,
            (Method::Get, ["v1", "programs", id, "explain"]) => self.explain(program(id)?).await,
            (Method::Post, ["v1", "programs", id, "end"]) => {
                allow(role, Role::Operator)?;
                self.end(request, program(id)?).await
            }
            _ => Err(Error::NotFound),
        }
    }

    fn role(&self, request: &Request) -> Result<Role> {
        let header = request
            .header("authorization")
            .map(|values| values.as_str());
        let token = header.and_then(|value| value.strip_prefix("Bearer "));
        let digest = Digest::of(token.ok_or(Error::Unauthorized)?.as_bytes());
        if self.settings.operator_token_digest.matches(&digest) {
            return Ok(Role::Operator);
        }
        let viewer = self
            .settings
            .viewer_token_digest
            .is_some_and(|viewer| viewer.matches(&digest));
        if viewer {
            Ok(Role::Viewer)
        } else {
            Err(Error::Unauthorized)
        }
    }

    async fn environment(&self) -> Result<Response> {
        let accepted = accepted_document(&self.client, &self.environment).await?;
        Ok(json(200, &accepted.ok_or(Error::NotFound)?))
    }

    async fn past(&self, version: &str) -> Result<Response> {
        let version = version.parse().map_err(|_| Error::NotFound)?;
        let accepted = past_document(&self.client, &self.environment, version).await?;
        Ok(json(200, &accepted.ok_or(Error::NotFound)?))
    }

    /// `GET /v1/environment/history?after=N`: who changed the document, without its texts.
    async fn history(&self, request: &Request) -> Result<Response> {
        let query: query::History = query::read(request, "after=VERSION")?;
        let after = Version(query.after);
        let all = document_history(&self.client, &self.environment, after, PAGE_MAX).await?;
        let versions: Vec<Value> = all.iter().map(summary).collect();
        Ok(json(200, &json!({"versions": versions})))
    }

    /// `GET /v1/audit?since_us=T&after=KEY`: every change by an operator, a page at a time.
    async fn audit(&self, request: &Request) -> Result<Response> {
        let query: query::Audit = query::read(request, "since_us=TIME or after=KEY")?;
        let start = audit::PageStart {
            since: Time(query.since_us),
            after: query.after,
        };
        let page = audit::read(&self.client, &self.environment, start, PAGE_MAX).await?;
        Ok(json(200, &page))
    }

    /// `PUT /v1/environment?base=N&author=NAME` with the document as the body; a promoted document
    /// names its origin too.
    async fn accept(&self, request: &mut Request) -> Result<Response> {
        let query: query::Accept =
            query::read(request, "query needs base=VERSION and author=NAME")?;
        let body = http_io::read_body(request, DOCUMENT_MAX_BYTES).await;
        let body = body.map_err(|_| Error::Malformed("body is too long or broke off"))?;
        let text = String::from_utf8(body).map_err(|_| Error::Malformed("body is not UTF-8"))?;
        let change = Change {
            base: Version(query.base),
            promoted: query.promoted()?,
            author: query.author.0,
            text,
        };
        let now = self.clock.now();
        let in_force = self.view.load().environment.clone();
        let in_force = in_force.as_deref();
        let accepted = accept(&self.client, &self.environment, in_force, change, now).await?;
        let version = accepted.version;
        // In force here at once, from where it reaches the peers without the store.
        let document = Observation::Document(version, accepted.text);
        let sent = self.observations.send(document).await;
        sent.map_err(|_| Error::Stopping)?;
        Ok(json(200, &json!({"version": version})))
    }

    /// `POST /v1/programs/{id}/end?author=NAME`, wherever the program is. The end needs the store,
    /// so the audit record does not hold it back.
    async fn end(&self, request: &Request, program: Program) -> Result<Response> {
        let query: query::Operator = query::read(request, "query needs author=NAME")?;
        let known = self.request_operation(Operation::Explain(program)).await?;
        known.ok_or(Error::NotFound)?;
        let record = Record {
            author: query.author.0,
            at: self.clock.now(),
            action: Action::End(program),
        };
        audit::write(&self.client, &self.environment, &record).await?;
        self.respond_with(Operation::End(program)).await
    }

    /// `POST /v1/hosts/{host}/drain?author=NAME`. It goes on without the store, as a host that fails
    /// may have to leave in an outage; the answer tells whether the audit record was written.
    async fn drain(&self, request: &Request, host: &str) -> Result<Response> {
        let query: query::Operator = query::read(request, "query needs author=NAME")?;
        let host: Host = host.parse().map_err(|_| Error::NotFound)?;
        let told = self
            .request_operation(Operation::Drain(host.clone()))
            .await?;
        let mut told = told.ok_or(Error::NotFound)?;
        let record = Record {
            author: query.author.0,
            at: self.clock.now(),
            action: Action::Drain(host),
        };
        let audited = audit::write(&self.client, &self.environment, &record).await;
        told["audited"] = json!(audited.is_ok());
        Ok(json(200, &told))
    }

    /// What is under way now: programs of this entry, queues, slow endpoints.
    async fn top(&self) -> Result<Response> {
        let programs = self.request_operation(Operation::Programs).await?;
        let mut top = programs.unwrap_or_default();
        if let Some(all) = top["programs"].as_array_mut() {
            let count = all.len();
            all.truncate(TOP_PROGRAMS);
            top["programs_count"] = json!(count);
        }
        top["endpoints"] = json!(status::endpoint_summaries(&self.view.load()));
        Ok(json(200, &top))
    }

    fn status(&self) -> Response {
        let view = self.view.load();
        let now = self.clock.now();
        json(
            200,
            &status::render(&view, &self.environment, &self.host, now),
        )
    }

    /// The account of a program: the log tells what happened, its owner what is under way. Without
    /// the store the owner's memory has to do.
    async fn explain(&self, id: Program) -> Result<Response> {
        let owner = self.request_operation(Operation::Explain(id)).await?;
        let account = match log::trail(&self.client, id).await {
            Ok(steps) => explain::explain_from_log(id, &steps),
            Err(_) if owner.is_some() => None,
            Err(log::Error::Platform(error)) => return Err(error.into()),
            Err(_) => return Err(Error::Corrupt),
        };
        let account = match (account, owner) {
            (Some(mut account), Some(owner)) => {
                account["owner"] = owner["owner"].clone();
                account["running"] = owner["running"].clone();
                Some(account)
            }
            (account, owner) => account.or(owner),
        };
        Ok(json(200, &account.ok_or(Error::NotFound)?))
    }

    async fn respond_with(&self, operation: Operation) -> Result<Response> {
        let answer = self.request_operation(operation).await?;
        Ok(json(200, &answer.ok_or(Error::NotFound)?))
    }

    async fn request_operation(&self, operation: Operation) -> Result<Option<Value>> {
        let (reply, answer) = async_channel::bounded(1);
        let sent = self
            .requests
            .send(OperationRequest { operation, reply })
            .await;
        sent.map_err(|_| Error::Stopping)?;
        Ok(answer.recv().await.ok().flatten())
    }
}

fn program(id: &str) -> Result<Program> {
    id.parse().map_err(|_| Error::NotFound)
}

fn allow(role: Role, needed: Role) -> Result<()> {
    if role >= needed {
        Ok(())
    } else {
        Err(Error::Forbidden)
    }
}
