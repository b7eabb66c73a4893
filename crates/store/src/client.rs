//! The client.

use std::net::SocketAddr;

use http_types::{Body, Method};
use units::Span;

use crate::api::{HostInfo, Outcome, Row, Transaction};
use crate::error::{Error, Result};

/// A client of the platform's service.
#[derive(Clone, Debug)]
pub struct Client {
    http: http_io::Client,
}

impl Client {
    /// A client of the service at `address`; each exchange is bounded by `timeout`.
    pub fn new(address: SocketAddr, timeout: Span) -> Self {
        Client {
            http: http_io::Client::new(address, timeout.into()),
        }
    }

    /// Runs a transaction.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Outcome> {
        Ok(self
            .http
            .json(Method::Post, "/v1/transaction", Some(transaction))
            .await?)
    }

    /// Reads a row.
    pub async fn row(&self, key: &str) -> Result<Option<Row>> {
        missing(
            self.http
                .json(Method::Get, &format!("/v1/rows/{key}"), None::<&()>)
                .await,
        )
    }

    /// Reads the rows whose keys begin with `prefix` and come after `after`, in order, at most
    /// `limit`.
    pub async fn rows(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Row>> {
        let path = format!("/v1/rows?prefix={prefix}&after={after}&limit={limit}");
        Ok(self.http.json(Method::Get, &path, None::<&()>).await?)
    }

    /// Writes an object.
    pub async fn put_object(&self, key: &str, bytes: Vec<u8>) -> Result<()> {
        let mut request = self
            .http
            .request(Method::Put, &format!("/v1/objects/{key}"))?;
        request.set_body(Body::from_bytes(bytes));
        self.http.whole(request).await?;
        Ok(())
    }

    /// Reads an object.
    pub async fn object(&self, key: &str) -> Result<Option<Vec<u8>>> {
        let request = self
            .http
            .request(Method::Get, &format!("/v1/objects/{key}"))?;
        missing(self.http.whole(request).await)
    }

    /// The list of hosts.
    pub async fn hosts(&self) -> Result<Vec<HostInfo>> {
        Ok(self
            .http
            .json(Method::Get, "/v1/hosts", None::<&()>)
            .await?)
    }
}

/// Turns the status of a missing thing into `None`.
fn missing<T>(result: http_io::Result<T>) -> Result<Option<T>> {
    match result {
        Ok(value) => Ok(Some(value)),
        Err(http_io::Error::Status(404, _)) => Ok(None),
        Err(error) => Err(Error::from(error)),
    }
}
