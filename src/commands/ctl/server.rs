//! The administration API as the operators' tool uses it.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::{Body, Method, Url};
use serde_json::Value;

use crate::commands::{Error, Result};

const SERVER_TIMEOUT: Duration = Duration::from_secs(15);

/// An entry's administration API.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    client: http_io::Client,
}

impl Server {
    /// The API at `address`, with the token that the environment variable holds.
    pub(crate) fn new(address: SocketAddr, variable: &str) -> Self {
        let token = std::env::var(variable).unwrap_or_default();
        let client = http_io::Client::new(address, SERVER_TIMEOUT).with_bearer(token);
        Server { client }
    }

    /// Reads a path.
    pub(crate) fn get(&self, path: &str) -> Result<Value> {
        self.send(Method::Get, path, None)
    }

    /// Reads a path; `None` if there is no such thing.
    pub(crate) fn find(&self, path: &str) -> Result<Option<Value>> {
        match self.get(path) {
            Err(Error::Server(http_io::Error::Status(404, _))) => Ok(None),
            answer => answer.map(Some),
        }
    }

    /// Sends a request that changes something.
    pub(crate) fn send(&self, method: Method, path: &str, body: Option<String>) -> Result<Value> {
        let mut request = self.client.request(method, path).map_err(Error::Server)?;
        if let Some(body) = body {
            request.set_body(Body::from_string(body));
        }
        let bytes = smol::block_on(self.client.fetch_body(request)).map_err(Error::Server)?;
        serde_json::from_slice(&bytes).map_err(|_| Error::Answer("not JSON"))
    }
}

/// A path with query parameters, encoded.
pub(crate) fn path(path: &str, query: &[(&str, &str)]) -> Result<String> {
    let url = Url::parse_with_params("http://server", query);
    let url = url.map_err(|_| Error::Answer("not a URL"))?;
    Ok(format!("{path}?{}", url.query().unwrap_or_default()))
}

/// A text field of an answer.
pub(crate) fn text<'a>(value: &'a Value, key: &'static str) -> Result<&'a str> {
    value[key].as_str().ok_or(Error::Answer(key))
}

/// A number field of an answer.
pub(crate) fn number(value: &Value, key: &'static str) -> Result<u64> {
    value[key].as_u64().ok_or(Error::Answer(key))
}
