//! The platform's table of shards: what was last read of it, and compare-and-swap.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError, RwLock};
use std::time::Duration;

use coordination::home::{Home, Layout};
use policy::name::Name;
use policy::revision::Revision;
use policy::time::Millis;
use wire::shard::{Holder, ShardTable};
use wire::store::{Condition, Row, Transaction, Write};

use crate::node::now;
use crate::store::{Client, Error, Outcome};

/// Its name.
const TABLE: &str = "shards";
/// The key of the layout.
const LAYOUT: &str = "layout";
/// Wait between tries of a swap whose answer was lost.
const AGAIN: Duration = Duration::from_millis(200);
/// Longest time that one call may take: claims of the shard wait meanwhile.
const CALL: Duration = Duration::from_secs(1);
/// The same for a swap that is undecided: nothing can be answered before it is decided.
const PATIENT: Duration = Duration::from_secs(5);
/// So long after a failure the platform is not asked for what can wait.
const FAILED_MS: u64 = 3_000;
/// Shortest time between two reads of the whole table.
const READ_MS: u64 = 500;

/// How a swap ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Swap {
    /// It took effect.
    Done,
    /// Another was first; this is the row now.
    Beaten(Versioned),
    /// It has not taken effect and never will.
    Refused,
}

/// A row of the table, with its version there; 0 if it does not exist.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Versioned {
    /// The version.
    pub version: Revision,
    /// The value.
    pub holder: Holder,
}

/// The table.
pub struct Table {
    platform: Client,
    patient: Client,
    layout: RwLock<Option<Layout>>,
    rows: RwLock<HashMap<Home, Holder>>,
    read: Mutex<Millis>,
    failed: AtomicU64,
}

impl Table {
    /// Nothing read yet.
    #[must_use]
    pub fn new(platform: Client) -> Self {
        let (layout, rows, read) = (RwLock::default(), RwLock::default(), Mutex::default());
        let patient = platform.clone().within(PATIENT);
        Self {
            platform: platform.within(CALL),
            patient,
            layout,
            rows,
            read,
            failed: AtomicU64::new(0),
        }
    }

    /// The layout, once known.
    #[must_use]
    pub fn layout(&self) -> Option<Layout> {
        self.layout.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Who holds a shard, as far as is known.
    #[must_use]
    pub fn holder(&self, home: &Home) -> Option<Holder> {
        self.rows.read().unwrap_or_else(PoisonError::into_inner).get(home).cloned()
    }

    /// Takes in who holds a shard, if that is news.
    pub fn learn(&self, home: &Home, holder: &Holder) {
        let mut rows = self.rows.write().unwrap_or_else(PoisonError::into_inner);
        match rows.get(home) {
            Some(known) if known.epoch >= holder.epoch => {}
            _ => _ = rows.insert(home.clone(), holder.clone()),
        }
    }

    /// Reads the whole table, unless that was done just now.
    ///
    /// # Errors
    /// Any of the platform's.
    pub async fn refresh(&self) -> Result<(), Error> {
        {
            let mut read = self.read.lock().unwrap_or_else(PoisonError::into_inner);
            if now().since(*read) < READ_MS {
                return Ok(());
            }
            *read = now();
        }
        for row in self.platform.rows(TABLE).await? {
            match home_of(&row.key) {
                Some(home) => self.learn(&home, &decode::<Holder>(&row)?),
                None if &*row.key == LAYOUT => self.lay_out(decode(&row)?),
                None => log::warn!("shards: unknown row {}", row.key),
            }
        }
        Ok(())
    }

    /// All that is known.
    #[must_use]
    pub fn known(&self) -> ShardTable {
        let rows = self.rows.read().unwrap_or_else(PoisonError::into_inner);
        let holders = rows.iter().map(|(home, holder)| (home.clone(), holder.clone())).collect();
        ShardTable { layout: self.layout(), holders }
    }

    /// Takes in what another control knows.
    pub fn learn_all(&self, known: ShardTable) {
        for (home, holder) in &known.holders {
            self.learn(home, holder);
        }
        match known.layout {
            Some(layout) if self.layout().is_none() => self.lay_out(layout),
            _ => {}
        }
    }

    fn lay_out(&self, layout: Layout) {
        *self.layout.write().unwrap_or_else(PoisonError::into_inner) = Some(layout);
    }

    /// Writes the layout if there is none, and reads what stands.
    ///
    /// # Errors
    /// Any of the platform's.
    pub async fn settle_layout(&self, proposed: &Layout) -> Result<(), Error> {
        if let Some(row) = self.platform.row(TABLE, LAYOUT).await? {
            self.lay_out(decode(&row)?);
            return Ok(());
        }
        // Lost or conflicting: the next call reads what stands.
        self.platform
            .commit(&transaction(LAYOUT, Revision::NONE, encode(proposed)?))
            .await
            .map(|_| ())
    }

    /// Reads one row.
    ///
    /// # Errors
    /// Any of the platform's.
    pub async fn read(&self, home: &Home) -> Result<Versioned, Error> {
        self.read_by(&self.platform, home).await
    }

    async fn read_by(&self, platform: &Client, home: &Home) -> Result<Versioned, Error> {
        let row = platform.row(TABLE, &home.row_key()).await;
        let Some(row) = row.inspect_err(|_| self.failed.store(now().0, Ordering::Relaxed))? else {
            return Ok(Versioned::default());
        };
        let holder = decode::<Holder>(&row)?;
        self.learn(home, &holder);
        Ok(Versioned { version: row.version, holder })
    }

    /// Whether the platform failed to answer just now.
    #[must_use]
    pub fn failed_lately(&self) -> bool {
        now().since(Millis(self.failed.load(Ordering::Relaxed))) < FAILED_MS
    }

    /// Replaces a row if it is at a version.
    ///
    /// A swap whose answer was lost may have taken effect, or may do so later, so it is tried
    /// again on the same version until an answer decides: of all tries at most one succeeds.
    pub async fn swap(&self, home: &Home, version: Revision, holder: &Holder) -> Swap {
        let Ok(value) = encode(holder) else { return Swap::Refused };
        let swap = transaction(&home.row_key(), version, value);
        let mut lost = false;
        loop {
            let platform = if lost { &self.patient } else { &self.platform };
            match platform.commit(&swap).await {
                Ok(Outcome::Committed(_)) => return self.done(home, holder),
                Ok(Outcome::Conflict(_)) => match self.read_by(&self.patient, home).await {
                    Ok(row) if row.holder == *holder => return self.done(home, holder),
                    Ok(row) => return Swap::Beaten(row),
                    Err(_) => lost = true,
                },
                Err(Error::Refused(_)) if !lost => return Swap::Refused,
                Err(error) => {
                    log::warn!("shards: {}: swap undecided: {error}", home.row_key());
                    lost = true;
                }
            }
            tokio::time::sleep(AGAIN).await;
        }
    }

    fn done(&self, home: &Home, holder: &Holder) -> Swap {
        self.learn(home, holder);
        Swap::Done
    }
}

fn home_of(key: &str) -> Option<Home> {
    let (failure_domain, shard) = key.rsplit_once('/')?;
    Some(Home { failure_domain: Name::from(failure_domain), shard: shard.parse().ok()? })
}

fn decode<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, Error> {
    serde_json::from_str(&row.value).map_err(|e| Error::Malformed(format!("{}: {e}", row.key)))
}

fn encode<T: serde::Serialize>(value: &T) -> Result<String, Error> {
    serde_json::to_string(value).map_err(|e| Error::Refused(e.to_string()))
}

fn transaction(key: &str, version: Revision, value: String) -> Transaction {
    let (table, key) = (Name::from(TABLE), Name::from(key));
    let condition = Condition { table: table.clone(), key: key.clone(), version };
    let write = Write { table, key, value: Some(value) };
    Transaction { conditions: vec![condition], writes: vec![write], ..Transaction::default() }
}
