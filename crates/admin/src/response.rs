//! HTTP responses of the administration API.

use http_types::Response;
use serde::Serialize;

use crate::error::Error;

/// A JSON response.
pub(crate) fn json<T: Serialize>(status: u16, value: &T) -> Response {
    let mut response = Response::new(status);
    // Values of this crate always have a JSON form.
    response.set_body(serde_json::to_vec(value).unwrap_or_default());
    response.insert_header("content-type", "application/json");
    response
}

/// The response that says why a request is refused.
pub(crate) fn refuse(error: &Error) -> Response {
    json(error.status(), &error.json())
}
