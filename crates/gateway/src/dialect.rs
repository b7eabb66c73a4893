//! What a platform's adapter provides.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::http::{request, response};
use store::Table;
use store::api::Row;
use units::Span;

use crate::call::{Call, Directives, Malformed, ResponseMeta};
use crate::endpoints::Endpoint;
use crate::environment::Environment;

/// The messages of callers and endpoints.
pub trait Dialect: Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// If the request cannot be understood; it must not be forwarded then.
    fn parse_request(&self, head: &request::Parts) -> Result<Call, Malformed>;

    /// The header of the request to an endpoint: the caller's, without what concerns only its
    /// connection or is not for callers to set, and with the gateway's orders.
    fn request_headers(&self, head: &request::Parts, directives: &Directives<'_>) -> HeaderMap;

    /// Reads the head of an endpoint's answer to the request `id`.
    fn parse_response(&self, head: &response::Parts, id: &str) -> ResponseMeta;

    /// The header of the answer to the caller: the endpoint's, without what concerns only its
    /// connection.
    fn response_headers(&self, head: &response::Parts) -> HeaderMap;

    /// The header that tells a caller when to come back.
    fn retry_after(&self, delay: Span) -> HeaderMap;

    /// The header that names the request an answer of the gateway's own belongs to.
    fn correlation_headers(&self, id: &str) -> HeaderMap;

    /// The path at which the platform asks whether the gateway is ready.
    fn ready_path(&self) -> &str;
}

/// The rows of operators and endpoints.
pub trait Directory: Send + Sync {
    /// The table with the environment.
    fn environment_table(&self) -> &str;

    /// The environment in a row of its table; `None` if the row holds something else.
    ///
    /// # Errors
    /// Why the row cannot be read.
    fn environment(&self, row: &Row) -> Result<Option<Environment>, String>;

    /// The table of endpoints, one row each.
    fn endpoint_table(&self) -> &str;

    /// The endpoint in a row.
    ///
    /// # Errors
    /// Why the row names no endpoint to use.
    fn endpoint(&self, row: &Row) -> Result<Endpoint, String>;
}

/// All that a platform's adapter provides.
#[derive(Clone)]
pub struct Adapter {
    /// The messages.
    pub dialect: Arc<dyn Dialect>,
    /// The rows.
    pub directory: Arc<dyn Directory>,
    /// The table service.
    pub table: Arc<dyn Table>,
}
