//! The platform's store as the controllers use it: one client, and what it read last.
//!
//! Tables that are looked at every second are kept here and only their changes are read. Most
//! looks bring nothing new, and a host list of a thousand lines read each second would be a
//! hundred times what a node may spend.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use policy::name::Name;
use policy::revision::Revision;
use tokio::sync::Mutex;
use wire::host::{Host, List};
pub use wire::store::{Error, Outcome};
use wire::store::{Row, Rows, Transaction};

/// Longest time one call may take, unless the caller says otherwise.
const CALL: Duration = Duration::from_secs(3);
/// The table of hosts, each under its name.
const HOSTS: &str = "hosts";

/// A table as it was last read.
#[derive(Debug, Default)]
struct Table {
    rows: BTreeMap<Name, Row>,
    /// The revision that it was read at; 0 before that.
    revision: Revision,
}

impl Table {
    fn take(&mut self, read: Rows) {
        for key in &read.removed {
            self.rows.remove(key);
        }
        self.rows.extend(read.rows.into_iter().map(|row| (row.key.clone(), row)));
        self.revision = read.revision;
    }
}

/// The client.
#[derive(Clone, Debug)]
pub struct Client {
    platform: platform::Client,
    known: Arc<Mutex<HashMap<String, Arc<Mutex<Table>>>>>,
}

impl Client {
    /// For the store at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let platform = platform::Client::new(address).with_timeout(CALL);
        Self { platform, known: Arc::default() }
    }

    /// Sets the longest time one call may take.
    #[must_use]
    pub fn within(self, within: Duration) -> Self {
        Self { platform: self.platform.with_timeout(within), ..self }
    }

    /// One row, if it exists.
    ///
    /// # Errors
    /// Any [`Error`]; reading has no effect.
    pub async fn row(&self, table: &str, key: &str) -> Result<Option<Row>, Error> {
        self.platform.row(table, key).await
    }

    /// All rows of a table.
    ///
    /// # Errors
    /// Any [`Error`]; reading has no effect.
    pub async fn rows(&self, table: &str) -> Result<Vec<Row>, Error> {
        let (rows, _) = self.table(table).await?;
        Ok(rows)
    }

    /// All rows of a table, and the revision that they are as of.
    async fn table(&self, table: &str) -> Result<(Vec<Row>, Revision), Error> {
        let held = Arc::clone(self.known.lock().await.entry(table.to_owned()).or_default());
        let mut held = held.lock().await;
        let changes = match held.revision {
            Revision::NONE => Err(Error::Forgotten),
            revision => self.platform.changes(table, revision, Duration::ZERO).await,
        };
        match changes {
            Ok(changes) if changes.revision >= held.revision => held.take(changes),
            // A read that is older than what is known would bring back what is gone.
            Ok(_) => {}
            Err(Error::Forgotten) => {
                let read = self.platform.rows(table, "").await?;
                if read.revision >= held.revision {
                    held.rows.clear();
                    held.take(read);
                }
            }
            Err(error) => return Err(error),
        }
        Ok((held.rows.values().cloned().collect(), held.revision))
    }

    /// Commits a transaction if its conditions hold.
    ///
    /// # Errors
    /// Any [`Error`]; after [`Error::Lost`] it may have taken effect, or may do so later.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Outcome, Error> {
        self.platform.commit(transaction).await
    }

    /// Puts an object unless one of that name exists; false if it does.
    ///
    /// # Errors
    /// Any [`Error`]; after [`Error::Lost`] it may have taken effect, or may do so later.
    pub async fn put_if_absent(&self, name: &str, bytes: Bytes) -> Result<bool, Error> {
        self.platform.put_if_absent(name, bytes).await
    }

    /// An object, if it exists.
    ///
    /// # Errors
    /// Any [`Error`]; reading has no effect.
    pub async fn object(&self, name: &str) -> Result<Option<Bytes>, Error> {
        self.platform.object(name).await
    }

    /// Names of all objects that begin with a prefix, sorted.
    ///
    /// # Errors
    /// Any [`Error`]; reading has no effect.
    pub async fn objects(&self, prefix: &str) -> Result<Vec<String>, Error> {
        self.platform.objects(prefix).await
    }

    /// The lagging list of hosts.
    ///
    /// # Errors
    /// Any [`Error`]; reading has no effect.
    pub async fn hosts(&self) -> Result<List, Error> {
        let (rows, revision) = self.table(HOSTS).await?;
        let hosts: Result<Vec<Host>, Error> = rows.iter().map(host).collect();
        Ok(List { revision, hosts: hosts? })
    }
}

fn host(row: &Row) -> Result<Host, Error> {
    serde_json::from_str(&row.value).map_err(|e| Error::Malformed(format!("{}: {e}", row.key)))
}
