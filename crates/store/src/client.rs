//! Client of the product's own rows and objects; the rows are in one partition of one table.

use std::fmt;
use std::sync::Arc;

use compact_str::CompactString;
use smol::future::FutureExt;
use units::{Clock, Span};

use crate::api::{HostInfo, Row, Transaction};
use crate::error::{Error, Result};
use crate::progress::Progress;
use crate::table::{Objects, Outcome, Partition, Table};

/// Table of the product's own rows. All are in one partition, as a transaction may access any row.
const TABLE: &str = "balsamhold";
/// Table of hosts, which the platform maintains.
const HOSTS_TABLE: &str = "hosts";
/// Maximum number of hosts that are read.
const HOSTS_MAX: usize = 10_000;

/// Client of the store in the processes that have a log; each request has a timeout, which for reads
/// applies to the head of the response.
#[derive(Clone)]
pub struct Client {
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    partition: Partition,
    timeout: Span,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("place", &self.partition)
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// Creates a client of this store; `timeout` applies to each request.
    pub fn new<S: Table + Objects + 'static>(store: S, timeout: Span) -> Self {
        let store = Arc::new(store);
        Client {
            table: store.clone(),
            objects: store,
            partition: Partition::new(TABLE, ""),
            timeout,
        }
    }

    /// Runs a transaction on the product's rows.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Outcome> {
        self.with_timeout(self.table.write(&self.partition, transaction))
            .await
    }

    /// Reads a row; `None` if it does not exist.
    pub async fn row(&self, key: &str) -> Result<Option<Row>> {
        let end = key_after(key);
        let progress = Progress::new(Clock::new());
        let page = self.table.read(&self.partition, key, &end, 1, &progress);
        Ok(progress.limit(self.timeout, page).await?.rows.pop())
    }

    /// Reads at most `limit` rows, ordered by key, whose keys begin with `prefix` and come after
    /// `last`; an empty `last` reads from the first one.
    pub async fn rows(&self, prefix: &str, last: &str, limit: u32) -> Result<Vec<Row>> {
        let end = format!("{prefix}\u{7f}");
        let start = if last.is_empty() {
            prefix.into()
        } else {
            key_after(last)
        };
        self.range(&self.partition, start, &end, limit as usize)
            .await
    }

    /// Writes an object, which replaces an existing one.
    pub async fn put_object(&self, key: &str, bytes: Vec<u8>) -> Result<()> {
        self.with_timeout(self.objects.put(key, bytes)).await
    }

    /// Reads an object; `None` if it does not exist.
    pub async fn object(&self, key: &str) -> Result<Option<Vec<u8>>> {
        let progress = Progress::new(Clock::new());
        let object = self.objects.get(key, &progress);
        progress.limit(self.timeout, object).await
    }

    /// Reads the platform's list of hosts.
    pub async fn hosts(&self) -> Result<Vec<HostInfo>> {
        let partition = Partition::new(HOSTS_TABLE, "");
        let rows = self
            .range(&partition, CompactString::default(), "", HOSTS_MAX)
            .await?;
        let decode = |row: Row| serde_json::from_slice(&row.value.0);
        let hosts: std::result::Result<_, _> = rows.into_iter().map(decode).collect();
        hosts.map_err(|error| Error::Unavailable(http_io::Error::Decode(error)))
    }

    /// Reads up to `limit` rows, page by page.
    async fn range(
        &self,
        partition: &Partition,
        mut start: CompactString,
        end: &str,
        limit: usize,
    ) -> Result<Vec<Row>> {
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let remaining = limit - rows.len();
            let progress = Progress::new(Clock::new());
            let page = self
                .table
                .read(partition, &start, end, remaining, &progress);
            let page = progress.limit(self.timeout, page).await?;
            let has_more = page.has_more;
            rows.extend(page.rows);
            match rows.last() {
                Some(last) if has_more && rows.len() < limit => start = key_after(&last.key),
                _ => return Ok(rows),
            }
        }
    }

    async fn with_timeout<T>(&self, call: impl Future<Output = Result<T>>) -> Result<T> {
        let timeout = async {
            smol::Timer::after(self.timeout.into()).await;
            Err(Error::Uncertain(http_io::Error::Timeout))
        };
        call.or(timeout).await
    }
}

/// Returns the start of a range that excludes `key` and includes all keys after it, as keys consist
/// of visible characters only.
pub fn key_after(key: &str) -> CompactString {
    let mut next = CompactString::new(key);
    next.push('\u{1}');
    next
}
