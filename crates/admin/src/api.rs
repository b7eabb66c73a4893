//! The administration API over HTTP: authorization, routing and handling of requests.

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
use crate::response::{error_response, json_response};
use crate::{audit, explain, query, status};

const DOCUMENT_MAX_BYTES: u64 = 4 << 20;
const PAGE_MAX_ITEMS: u32 = 1_000;
const TOP_MAX_PROGRAMS: usize = 20;

/// An operation that the traffic thread carries out for the administration API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Lists the programs of this entry that have not ended.
    Programs,
    /// Reports the usage of each client account.
    Accounts,
    /// Drains the process of a host.
    Drain(Host),
    /// Explains a program from its owner's memory.
    Explain(Program),
    /// Ends a program, wherever its owner is.
    End(Program),
}

/// A request to the traffic thread to carry out an operation.
#[derive(Clone, Debug)]
pub struct OperationRequest {
    /// Operation to carry out.
    pub operation: Operation,
    /// Receives the result as JSON; `None` if the program is unknown or the host not connected.
    pub reply: Sender<Option<Value>>,
}

/// State of the administration API of an entry.
#[derive(Clone, Debug)]
pub struct Admin {
    /// Address and token digests of the API.
    pub settings: settings::Admin,
    /// Host that the process runs on.
    pub host: Host,
    /// Name of the environment.
    pub environment: String,
    /// Time without contact to the store and to any peer after which the process is not ready.
    pub stale_after: Span,
    /// Client of the platform's store.
    pub client: Client,
    /// Latest published view of the board.
    pub view: Arc<ArcSwap<View>>,
    /// Requests to the traffic thread.
    pub requests: Sender<OperationRequest>,
    /// Observations for the board, such as an accepted document.
    pub observations: Sender<Observation>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Clock of the process.
    pub clock: Clock,
}

/// Describes an accepted document without its text.
fn summary(accepted: &Accepted) -> Value {
    json!({
        "version": accepted.version, "author": accepted.author, "at": accepted.at,
        "digest": accepted.digest().to_string(),
        "promoted": accepted.promoted,
    })
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Role {
    Viewer,
    Operator,
}

impl Admin {
    /// Handles one request; an error becomes a response with its status and code.
    pub async fn handle(self, mut request: Request) -> Response {
        let path = request.url().path().to_owned();
        match path.as_str() {
            "/live" => return Response::new(StatusCode::Ok),
            "/ready" => return self.ready(),
            "/metrics" => return self.metrics(),
            _ => {}
        }
        self.serve(&path, &mut request)
            .await
            .unwrap_or_else(|error| error_response(&error))
    }

    fn ready(&self) -> Response {
        let view = self.view.load();
        let reasons = status::unready_reasons(&view, self.stale_after, self.clock.now());
        let status = if reasons.is_empty() { 200 } else { 503 };
        json_response(
            status,
            &json!({"ready": reasons.is_empty(), "reasons": reasons}),
        )
    }

    fn metrics(&self) -> Response {
        let view = self.view.load();
        status::set_gauges(&view, &self.metrics, self.clock.now());
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(self.metrics.render());
        response.insert_header("content-type", "text/plain; version=0.0.4");
        response
    }

    async fn serve(&self, path: &str, request: &mut Request) -> Result<Response> {
        let role = self.authenticate(request)?;
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), segments.as_slice()) {
            (Method::Get, ["v1", "environment"]) => self.environment().await,
            (Method::Put, ["v1", "environment"]) => {
                require_role(role, Role::Operator)?;
                self.accept(request).await
            }
            (Method::Get, ["v1", "environment", "history"]) => self.history(request).await,
            (Method::Get, ["v1", "environment", "history", version]) => {
                self.past_version(version).await
            }
            (Method::Get, ["v1", "audit"]) => self.audit(request).await,
            (Method::Get, ["v1", "status"]) => Ok(self.status()),
            (Method::Get, ["v1", "accounts"]) => self.respond_with(Operation::Accounts).await,
            (Method::Get, ["v1", "top"]) => self.top().await,
            (Method::Post, ["v1", "hosts", host, "drain"]) => {
                require_role(role, Role::Operator)?;
                self.drain(request, host).await
            }
            (Method::Get, ["v1", "programs"]) => self.respond_with(Operation::Programs).await,
            (Method::Get, ["v1", "programs", id, "explain"]) => {
                self.explain(parse_program(id)?).await
            }
            (Method::Post, ["v1", "programs", id, "end"]) => {
                require_role(role, Role::Operator)?;
                self.end(request, parse_program(id)?).await
            }
            _ => Err(Error::NotFound),
        }
    }

    fn authenticate(&self, request: &Request) -> Result<Role> {
        let header = request
            .header("authorization")
            .map(|values| values.as_str());
        let token = header.and_then(|value| value.strip_prefix("Bearer "));
        let digest = Digest::of(token.ok_or(Error::Unauthorized)?.as_bytes());
        if self.settings.operator_token_digest.matches(&digest) {
            return Ok(Role::Operator);
        }
        let is_viewer = self
            .settings
            .viewer_token_digest
            .is_some_and(|viewer| viewer.matches(&digest));
        if is_viewer {
            Ok(Role::Viewer)
        } else {
            Err(Error::Unauthorized)
        }
    }

    async fn environment(&self) -> Result<Response> {
        let accepted = accepted_document(&self.client, &self.environment).await?;
        Ok(json_response(200, &accepted.ok_or(Error::NotFound)?))
    }

    async fn past_version(&self, version: &str) -> Result<Response> {
        let version = version.parse().map_err(|_| Error::NotFound)?;
        let accepted = past_document(&self.client, &self.environment, version).await?;
        Ok(json_response(200, &accepted.ok_or(Error::NotFound)?))
    }

    /// `GET /v1/environment/history?after=N`: lists the accepted versions without their texts.
    async fn history(&self, request: &Request) -> Result<Response> {
        let query: query::History = query::read(request, "after=VERSION")?;
        let after = Version(query.after);
        let documents =
            document_history(&self.client, &self.environment, after, PAGE_MAX_ITEMS).await?;
        let versions: Vec<Value> = documents.iter().map(summary).collect();
        Ok(json_response(200, &json!({"versions": versions})))
    }

    /// `GET /v1/audit?since_us=T&after=KEY`: lists the changes by operators, one page per request.
    async fn audit(&self, request: &Request) -> Result<Response> {
        let query: query::Audit = query::read(request, "since_us=TIME or after=KEY")?;
        let start = audit::PageStart {
            since: Time(query.since_us),
            after: query.after,
        };
        let page = audit::read(&self.client, &self.environment, start, PAGE_MAX_ITEMS).await?;
        Ok(json_response(200, &page))
    }

    /// `PUT /v1/environment?base=N&author=NAME`: accepts the document in the body. For a promoted
    /// document the query also names its origin.
    async fn accept(&self, request: &mut Request) -> Result<Response> {
        let query: query::Accept =
            query::read(request, "query needs base=VERSION and author=NAME")?;
        let body = http_io::read_body(request, DOCUMENT_MAX_BYTES).await;
        let body = body.map_err(|error| match error {
            http_io::Error::Overloaded => Error::Overloaded,
            _ => Error::Malformed("body is too long or broke off"),
        })?;
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
        // Puts the document in force here at once; peers receive it from here without the store.
        let document = Observation::Document(version, accepted.text);
        let sent = self.observations.send(document).await;
        sent.map_err(|_| Error::Stopping)?;
        Ok(json_response(200, &json!({"version": version})))
    }

    /// `POST /v1/programs/{id}/end?author=NAME`: ends a program at whichever entry owns it. The end
    /// needs the store anyway, so requiring the audit record first does not make it less available.
    async fn end(&self, request: &Request, program: Program) -> Result<Response> {
        let query: query::Operator = query::read(request, "query needs author=NAME")?;
        let live = self.request_operation(Operation::Explain(program)).await?;
        live.ok_or(Error::NotFound)?;
        let record = Record {
            author: query.author.0,
            at: self.clock.now(),
            action: Action::End(program),
        };
        audit::write(&self.client, &self.environment, &record).await?;
        self.respond_with(Operation::End(program)).await
    }

    /// `POST /v1/hosts/{host}/drain?author=NAME`: drains a host. Works without the store, since a
    /// failing host may have to leave during an outage; `audited` in the response says whether the
    /// audit record was written.
    async fn drain(&self, request: &Request, host: &str) -> Result<Response> {
        let query: query::Operator = query::read(request, "query needs author=NAME")?;
        let host: Host = host.parse().map_err(|_| Error::NotFound)?;
        let drained = self
            .request_operation(Operation::Drain(host.clone()))
            .await?;
        let mut drained = drained.ok_or(Error::NotFound)?;
        let record = Record {
            author: query.author.0,
            at: self.clock.now(),
            action: Action::Drain(host),
        };
        let audited = audit::write(&self.client, &self.environment, &record).await;
        drained["audited"] = json!(audited.is_ok());
        Ok(json_response(200, &drained))
    }

    /// `GET /v1/top`: lists the programs of this entry that spent most tokens, and all endpoints with
    /// load, queue and, for slow ones, the reason.
    async fn top(&self) -> Result<Response> {
        let programs = self.request_operation(Operation::Programs).await?;
        let mut top = programs.unwrap_or_default();
        if let Some(programs) = top["programs"].as_array_mut() {
            let count = programs.len();
            programs.truncate(TOP_MAX_PROGRAMS);
            top["programs_count"] = json!(count);
        }
        top["endpoints"] = json!(status::endpoint_summaries(&self.view.load()));
        Ok(json_response(200, &top))
    }

    fn status(&self) -> Response {
        let view = self.view.load();
        let now = self.clock.now();
        json_response(
            200,
            &status::render(&view, &self.environment, &self.host, now),
        )
    }

    /// `GET /v1/programs/{id}/explain`: explains a program from the log, and adds its owner and its
    /// running call from the owner's memory. Without the store, the owner's memory alone is used.
    async fn explain(&self, id: Program) -> Result<Response> {
        let in_memory = self.request_operation(Operation::Explain(id)).await?;
        let logged = match log::trail(&self.client, id).await {
            Ok(events) => explain::explain_from_log(id, &events),
            Err(_) if in_memory.is_some() => None,
            Err(log::Error::Platform(error)) => return Err(error.into()),
            Err(_) => return Err(Error::Corrupt),
        };
        let explanation = match (logged, in_memory) {
            (Some(mut logged), Some(in_memory)) => {
                logged["owner"] = in_memory["owner"].clone();
                logged["running"] = in_memory["running"].clone();
                Some(logged)
            }
            (logged, in_memory) => logged.or(in_memory),
        };
        Ok(json_response(200, &explanation.ok_or(Error::NotFound)?))
    }

    async fn respond_with(&self, operation: Operation) -> Result<Response> {
        let result = self.request_operation(operation).await?;
        Ok(json_response(200, &result.ok_or(Error::NotFound)?))
    }

    async fn request_operation(&self, operation: Operation) -> Result<Option<Value>> {
        let (reply, result) = async_channel::bounded(1);
        let sent = self
            .requests
            .send(OperationRequest { operation, reply })
            .await;
        sent.map_err(|_| Error::Stopping)?;
        Ok(result.recv().await.ok().flatten())
    }
}

fn parse_program(id: &str) -> Result<Program> {
    id.parse().map_err(|_| Error::NotFound)
}

fn require_role(role: Role, needed: Role) -> Result<()> {
    if role >= needed {
        Ok(())
    } else {
        Err(Error::Forbidden)
    }
}
