//! HTTP responses of the administration API.

use http_types::Response;
use serde::Serialize;

use crate::error::Error;

/// Builds a response with `value` as its JSON body.
pub(crate) fn json_response<T: Serialize>(status: u16, value: &T) -> Response {
    let mut response = Response::new(status);
    // Serialization cannot fail for the types that this crate uses.
    response.set_body(serde_json::to_vec(value).unwrap_or_default());
    response.insert_header("content-type", "application/json");
    response
}

/// Builds the response for a request that failed with `error`.
pub(crate) fn error_response(error: &Error) -> Response {
    json_response(error.status(), &error.json())
}
