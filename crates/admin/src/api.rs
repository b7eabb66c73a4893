//! The HTTP interface.

use std::sync::Arc;

use arc_swap::ArcSwap;
use async_channel::Sender;
use board::View;
use http_types::{Method, Request, Response, StatusCode};
use platform::Client;
use serde::Serialize;
use serde_json::{Value, json};
use telemetry::Metrics;
use units::{Clock, Digest, Program, Version};

use crate::document::{accept, current};
use crate::error::{Error, Result};

const DOCUMENT_MAX_BYTES: u64 = 4 << 20;

/// What the traffic thread is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
    /// All programs under way.
    Programs,
    /// The account of one program.
    Explain(Program),
    /// End a program.
    End(Program),
}

/// A question and where its answer goes; `None` if the program is unknown.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The question.
    pub question: Question,
    /// Where the answer goes.
    pub reply: Sender<Option<Value>>,
}

/// The administration API of an entry.
#[derive(Clone, Debug)]
pub struct Admin {
    /// Settings of the API.
    pub settings: settings::Admin,
    /// The environment's name.
    pub environment: String,
    /// The platform's service.
    pub client: Client,
    /// The state of the board.
    pub view: Arc<ArcSwap<View>>,
    /// Questions to the traffic thread.
    pub asks: Sender<Ask>,
    /// The process's metrics.
    pub metrics: Metrics,
    /// The process's clock.
    pub clock: Clock,
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
        let ready = view.environment.is_some() && view.log && !view.leaving;
        Response::new(if ready {
            StatusCode::Ok
        } else {
            StatusCode::ServiceUnavailable
        })
    }

    fn metrics(&self) -> Response {
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
            (Method::Get, ["v1", "status"]) => Ok(self.status()),
            (Method::Get, ["v1", "programs"]) => self.ask(Question::Programs).await,
            (Method::Get, ["v1", "programs", id, "explain"]) => {
                self.ask(Question::Explain(program(id)?)).await
            }
            (Method::Post, ["v1", "programs", id, "end"]) => {
                allow(role, Role::Operator)?;
                self.ask(Question::End(program(id)?)).await
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
        if self.settings.operator.matches(&digest) {
            return Ok(Role::Operator);
        }
        let viewer = self
            .settings
            .viewer
            .is_some_and(|viewer| viewer.matches(&digest));
        if viewer {
            Ok(Role::Viewer)
        } else {
            Err(Error::Unauthorized)
        }
    }

    async fn environment(&self) -> Result<Response> {
        let accepted = current(&self.client, &self.environment).await?;
        Ok(respond(200, &accepted.ok_or(Error::NotFound)?))
    }

    /// `PUT /v1/environment?base=N&author=NAME` with the document as the body.
    async fn accept(&self, request: &mut Request) -> Result<Response> {
        #[derive(serde::Deserialize)]
        struct Query {
            base: u64,
            #[serde(default)]
            author: String,
        }
        let malformed = Error::Malformed("query needs base=VERSION");
        let query: Query = request.query().map_err(|_| malformed)?;
        let body = http_io::read_body(request, DOCUMENT_MAX_BYTES).await;
        let body = body.map_err(|_| Error::Malformed("body is too long or broke off"))?;
        let text = String::from_utf8(body).map_err(|_| Error::Malformed("body is not UTF-8"))?;
        let now = self.clock.now();
        let base = Version(query.base);
        let accepted = accept(
            &self.client,
            &self.environment,
            base,
            text,
            query.author,
            now,
        )
        .await?;
        Ok(respond(200, &json!({"version": accepted.version})))
    }

    fn status(&self) -> Response {
        let view = self.view.load();
        let version = view
            .environment
            .as_ref()
            .map(|environment| environment.version);
        let endpoints: Vec<Value> = view.endpoints.iter().map(endpoint).collect();
        let entries: Vec<String> = view
            .entries
            .iter()
            .map(|peer| peer.host.to_string())
            .collect();
        let status = json!({
            "version": version, "leaving": view.leaving,
            "endpoints": endpoints, "entries": entries,
        });
        respond(200, &status)
    }

    async fn ask(&self, question: Question) -> Result<Response> {
        let (reply, answer) = async_channel::bounded(1);
        let sent = self.asks.send(Ask { question, reply }).await;
        sent.map_err(|_| Error::Malformed("the process is stopping"))?;
        let answer = answer.recv().await.ok().flatten();
        Ok(respond(200, &answer.ok_or(Error::NotFound)?))
    }
}

fn endpoint(endpoint: &board::Endpoint) -> Value {
    json!({
        "name": endpoint.name, "host": endpoint.host, "zone": endpoint.zone,
        "running": endpoint.load.running, "queued": endpoint.load.queued,
    })
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

fn respond<T: Serialize>(status: u16, value: &T) -> Response {
    let mut response = Response::new(status);
    // Values of this crate always have a JSON form.
    response.set_body(serde_json::to_vec(value).unwrap_or_default());
    response.insert_header("content-type", "application/json");
    response
}

fn refuse(error: &Error) -> Response {
    respond(
        error.status(),
        &json!({"code": error.code(), "message": error.to_string()}),
    )
}
