//! The product's own rows and objects: one part of one table.

use std::fmt;
use std::sync::Arc;

use compact_str::CompactString;
use smol::future::FutureExt;
use units::Span;

use crate::api::{HostInfo, Row, Transaction};
use crate::error::{Error, Result};
use crate::table::{Objects, Outcome, Partition, Table};

/// The table of the product's own rows; one part of it, as a transaction may touch any of them.
const TABLE: &str = "balsamhold";
/// The table of hosts that the platform keeps.
const HOSTS_TABLE: &str = "hosts";
/// Most hosts that are read.
const HOSTS_MAX: usize = 10_000;

/// The store as the processes with a log use it; each exchange is bounded.
#[derive(Clone)]
pub struct Client {
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    place: Partition,
    timeout: Span,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("place", &self.place)
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// A client of this store; each exchange is bounded by `timeout`.
    pub fn new<S: Table + Objects + 'static>(store: S, timeout: Span) -> Self {
        let store = Arc::new(store);
        Client {
            table: store.clone(),
            objects: store,
            place: Partition::new(TABLE, ""),
            timeout,
        }
    }

    /// Runs a transaction.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Outcome> {
        self.bounded(self.table.write(&self.place, transaction))
            .await
    }

    /// Reads a row.
    pub async fn row(&self, key: &str) -> Result<Option<Row>> {
        let end = key_after(key);
        let page = self.table.read(&self.place, key, &end, 1);
        Ok(self.bounded(page).await?.rows.pop())
    }

    /// Reads the rows whose keys begin with `prefix` and come after `after`, in order, at most
    /// `limit`.
    pub async fn rows(&self, prefix: &str, last: &str, limit: u32) -> Result<Vec<Row>> {
        let end = format!("{prefix}\u{7f}");
        let start = if last.is_empty() {
            prefix.into()
        } else {
            key_after(last)
        };
        self.range(&self.place, start, &end, limit as usize).await
    }

    /// Writes an object.
    pub async fn put_object(&self, key: &str, bytes: Vec<u8>) -> Result<()> {
        self.bounded(self.objects.put(key, bytes)).await
    }

    /// Reads an object.
    pub async fn object(&self, key: &str) -> Result<Option<Vec<u8>>> {
        self.bounded(self.objects.get(key)).await
    }

    /// The list of hosts.
    pub async fn hosts(&self) -> Result<Vec<HostInfo>> {
        let place = Partition::new(HOSTS_TABLE, "");
        let rows = self
            .range(&place, CompactString::default(), "", HOSTS_MAX)
            .await?;
        let decode = |row: Row| serde_json::from_slice(&row.value.0);
        let hosts: std::result::Result<_, _> = rows.into_iter().map(decode).collect();
        hosts.map_err(|error| Error::Unavailable(http_io::Error::Decode(error)))
    }

    /// Reads up to `limit` rows, page by page.
    async fn range(
        &self,
        place: &Partition,
        mut start: CompactString,
        end: &str,
        limit: usize,
    ) -> Result<Vec<Row>> {
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let left = limit - rows.len();
            let page = self.table.read(place, &start, end, left);
            let page = self.bounded(page).await?;
            let more = page.has_more;
            rows.extend(page.rows);
            match rows.last() {
                Some(last) if more && rows.len() < limit => start = key_after(&last.key),
                _ => return Ok(rows),
            }
        }
    }

    async fn bounded<T>(&self, call: impl Future<Output = Result<T>>) -> Result<T> {
        let expire = async {
            smol::Timer::after(self.timeout.into()).await;
            Err(Error::Uncertain(http_io::Error::Timeout))
        };
        call.or(expire).await
    }
}

/// The first key after `key` that a row may have: keys hold visible characters only.
pub fn key_after(key: &str) -> CompactString {
    let mut next = CompactString::new(key);
    next.push('\u{1}');
    next
}
