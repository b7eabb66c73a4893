//! Client of the administration API, for the operators' tool.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::{Body, Method, Url};
use serde_json::Value;

use crate::commands::{Error, Result};

const SERVER_TIMEOUT: Duration = Duration::from_secs(15);

/// Client of the administration API of one entry.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    client: http_io::Client,
}

impl Server {
    /// Returns a client of the API at `address`, with the token in the environment variable
    /// `token_variable`; an empty token if the variable is not set.
    pub(crate) fn new(address: SocketAddr, token_variable: &str) -> Self {
        let token = std::env::var(token_variable).unwrap_or_default();
        let client = http_io::Client::new(address, SERVER_TIMEOUT).with_bearer(token);
        Server { client }
    }

    /// Sends a GET request and returns the JSON of the response.
    pub(crate) fn get(&self, path: &str) -> Result<Value> {
        self.send(Method::Get, path, None)
    }

    /// Sends a GET request as [`Server::get`] does; returns `None` if the status is 404.
    pub(crate) fn find(&self, path: &str) -> Result<Option<Value>> {
        match self.get(path) {
            Err(Error::Server(http_io::Error::Status(404, _))) => Ok(None),
            response => response.map(Some),
        }
    }

    /// Sends a request and returns the JSON of the response.
    pub(crate) fn send(&self, method: Method, path: &str, body: Option<String>) -> Result<Value> {
        let mut request = self.client.request(method, path).map_err(Error::Server)?;
        if let Some(body) = body {
            request.set_body(Body::from_string(body));
        }
        let bytes = smol::block_on(self.client.fetch_body(request)).map_err(Error::Server)?;
        serde_json::from_slice(&bytes).map_err(|_| Error::Response("not JSON"))
    }
}

/// Returns `path` with encoded query parameters.
pub(crate) fn with_query(path: &str, query: &[(&str, &str)]) -> Result<String> {
    let url = Url::parse_with_params("http://server", query);
    let url = url.map_err(|_| Error::Response("not a URL"))?;
    Ok(format!("{path}?{}", url.query().unwrap_or_default()))
}

/// Returns a text field of a response.
pub(crate) fn text_field<'a>(value: &'a Value, key: &'static str) -> Result<&'a str> {
    value[key].as_str().ok_or(Error::Response(key))
}

/// Returns a number field of a response.
pub(crate) fn number_field(value: &Value, key: &'static str) -> Result<u64> {
    value[key].as_u64().ok_or(Error::Response(key))
}
