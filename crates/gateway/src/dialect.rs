//! Interface between the gateway and the adapter of a platform.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::http::{request, response};
use store::Table;
use store::api::Row;
use units::Span;

use crate::call::{Call, Directives, Malformed, ResponseMeta};
use crate::endpoints::Endpoint;
use crate::environment::Environment;

/// Codec of the messages of callers and endpoints.
pub trait Dialect: Send + Sync {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    /// If a required header is missing or a header is malformed. The request must not be forwarded.
    fn parse_request(&self, head: &request::Parts) -> Result<Call, Malformed>;

    /// Returns the headers of the request to an endpoint: those of the caller, without hop-by-hop
    /// headers and those reserved for the gateway, and with `directives`.
    fn request_headers(&self, head: &request::Parts, directives: &Directives<'_>) -> HeaderMap;

    /// Decodes the head of an endpoint's response to the request `id`.
    fn parse_response(&self, head: &response::Parts, id: &str) -> ResponseMeta;

    /// Returns the headers of the answer to the caller: those of the endpoint, without hop-by-hop
    /// headers.
    fn response_headers(&self, head: &response::Parts) -> HeaderMap;

    /// Returns the headers that ask a caller to retry after `delay`.
    fn retry_after(&self, delay: Span) -> HeaderMap;

    /// Returns the headers that name the request in a response of the gateway itself.
    fn correlation_headers(&self, id: &str) -> HeaderMap;

    /// Returns the path of the platform's readiness check.
    fn ready_path(&self) -> &str;
}

/// Decoder of the rows that operators and endpoints write.
pub trait Directory: Send + Sync {
    /// Returns the name of the table with the environment.
    fn environment_table(&self) -> &str;

    /// Decodes the environment in a row of its table; `None` if the row holds something else.
    ///
    /// # Errors
    /// If the row cannot be decoded; the text says why.
    fn environment(&self, row: &Row) -> Result<Option<Environment>, String>;

    /// Returns the name of the table of endpoints, which has one row for each endpoint.
    fn endpoint_table(&self) -> &str;

    /// Decodes the endpoint in a row.
    ///
    /// # Errors
    /// If the row describes no usable endpoint; the text says why.
    fn endpoint(&self, row: &Row) -> Result<Endpoint, String>;
}

/// Implementations of the gateway's interfaces for one platform.
#[derive(Clone)]
pub struct Adapter {
    /// Codec of the HTTP messages.
    pub dialect: Arc<dyn Dialect>,
    /// Decoder of rows.
    pub directory: Arc<dyn Directory>,
    /// Client of the store.
    pub table: Arc<dyn Table>,
}
