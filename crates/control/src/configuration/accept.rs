//! Acceptance of an operator's document: one conditional transaction.
//!
//! The transaction holds the row `current` at the version read, writes the next generation, and
//! writes a row of the change's own that must not exist before. The first condition gives a race
//! one winner. The second makes the transaction safe to send again: if an answer was lost after
//! the write, the second try meets the change's row and learns the generation it became, also
//! when later changes have been accepted since.

use std::time::Duration;

use log::{info, warn};
use policy::name::Name;
use policy::revision::Revision;
use wire::configuration::{Document, check};
use wire::fault::Fault;
use wire::store::{Condition, Row, Transaction, Write};

use super::{CURRENT, Controller, Current, Kept, TABLE, change_key, decode, document_key};
use crate::node;
use crate::store::Outcome;

/// Generations whose documents and change ids are kept. A lost answer older than that is still
/// never applied twice: the generation it was made from is long past.
pub const KEPT: u64 = 256;
/// How long a lost answer is followed up before the operator is asked to try again.
const SETTLE_MS: u64 = 10_000;
const PAUSE: Duration = Duration::from_millis(100);

/// Why a document was not accepted.
#[derive(Debug)]
pub enum Refused {
    /// Faults, each with its path.
    Faults(Vec<Fault>),
    /// It was made from a generation that is no longer the newest.
    Stale {
        /// The newest.
        current: u64,
    },
    /// The change id is missing or no name.
    Change,
    /// The platform can't be asked; nothing was accepted.
    Unavailable(String),
    /// The platform's answer was lost. Sending it again with the same change id settles it.
    Unknown(String),
}

enum Step {
    Done(u64),
    Lost(String),
}

impl Controller {
    /// Makes a document the next generation; gives its number.
    ///
    /// # Errors
    /// Any [`Refused`].
    pub async fn accept(&self, text: &str, change: &str) -> Result<u64, Refused> {
        if !wire::settings::is_valid_name(change) {
            return Err(Refused::Change);
        }
        let document = check::parse(text).map_err(Refused::Faults)?;
        let started = node::now();
        let mut lost = None;
        loop {
            match self.attempt(&document, change).await {
                Ok(Step::Done(generation)) => return Ok(generation),
                Ok(Step::Lost(why)) => lost = Some(why),
                Err(Refused::Unavailable(why)) if lost.is_none() => {
                    return Err(Refused::Unavailable(why));
                }
                Err(Refused::Unavailable(_)) => {}
                Err(refused) => return Err(refused),
            }
            match lost {
                Some(why) if node::now().since(started) > SETTLE_MS => {
                    return Err(Refused::Unknown(why));
                }
                _ => tokio::time::sleep(PAUSE).await,
            }
        }
    }

    async fn attempt(&self, document: &Document, change: &str) -> Result<Step, Refused> {
        let row = self.node.store.row(TABLE, CURRENT).await.map_err(unavailable)?;
        let (version, current) = match &row {
            Some(row) => (row.version, decode::<Current>(&row.value).map_err(unavailable)?),
            None => (Revision::NONE, Current::default()),
        };
        if current.generation != document.generation {
            return self.earlier(change, current.generation).await;
        }
        let generation = current.generation + 1;
        let next = Document { generation, ..document.clone() };
        let text = serde_json::to_string(&next).map_err(unavailable)?;
        let transaction = self.transaction(version, generation, change, &text).await?;
        let asked = node::now();
        match self.node.store.commit(&transaction).await {
            Ok(Outcome::Committed(_)) => {
                info!("configuration: generation {generation} accepted, change {change}");
                self.adopt(&text).map_err(unavailable)?;
                self.confirm(generation, asked);
                Ok(Step::Done(generation))
            }
            Ok(Outcome::Conflict(conflict)) => self.conflict(change, &conflict).await,
            Err(crate::store::Error::Refused(why)) => Err(Refused::Unavailable(why)),
            Err(error) => {
                warn!("configuration: change {change}: {error}");
                Ok(Step::Lost(error.to_string()))
            }
        }
    }

    async fn transaction(
        &self,
        version: Revision,
        generation: u64,
        change: &str,
        text: &str,
    ) -> Result<Transaction, Refused> {
        let change_row = change_key(change);
        let kept = Kept { change: Name::from(change), text: text.to_owned() };
        let current = Current { generation, change: Name::from(change) };
        let mut writes = vec![
            write(CURRENT, Some(encode(&current)?)),
            write(&document_key(generation), Some(encode(&kept)?)),
            write(&change_row, Some(generation.to_string())),
        ];
        writes.extend(self.outlived(generation).await?);
        let conditions = vec![condition(CURRENT, version), condition(&change_row, Revision::NONE)];
        Ok(Transaction { conditions, writes, ..Transaction::default() })
    }

    /// Deletes the rows of the one generation that is no longer kept.
    async fn outlived(&self, generation: u64) -> Result<Vec<Write>, Refused> {
        let Some(old) = generation.checked_sub(KEPT).filter(|old| *old > 0) else {
            return Ok(Vec::new());
        };
        let key = document_key(old);
        let row = self.node.store.row(TABLE, &key).await.map_err(unavailable)?;
        let Some(row) = row else { return Ok(Vec::new()) };
        let kept: Kept = decode(&row.value).map_err(unavailable)?;
        Ok(vec![write(&key, None), write(&change_key(&kept.change), None)])
    }

    async fn conflict(&self, change: &str, conflict: &[Row]) -> Result<Step, Refused> {
        let current = conflict.iter().find(|row| &*row.key == CURRENT);
        let current = match current {
            Some(row) if row.version > Revision::NONE => {
                decode::<Current>(&row.value).map_err(unavailable)?.generation
            }
            _ => 0,
        };
        self.earlier(change, current).await
    }

    /// What became of the change in an earlier try, whose answer was lost.
    async fn earlier(&self, change: &str, current: u64) -> Result<Step, Refused> {
        let row = self.node.store.row(TABLE, &change_key(change)).await.map_err(unavailable)?;
        let Some(row) = row else { return Err(Refused::Stale { current }) };
        let generation = decode::<u64>(&row.value).map_err(unavailable)?;
        if let Err(error) = self.poll().await {
            warn!("configuration: {error}");
        }
        Ok(Step::Done(generation))
    }
}

fn unavailable(error: impl std::fmt::Display) -> Refused {
    Refused::Unavailable(error.to_string())
}

fn encode<T: serde::Serialize>(value: &T) -> Result<String, Refused> {
    serde_json::to_string(value).map_err(unavailable)
}

fn write(key: &str, value: Option<String>) -> Write {
    Write { table: Name::from(TABLE), key: Name::from(key), value }
}

fn condition(key: &str, version: Revision) -> Condition {
    Condition { table: Name::from(TABLE), key: Name::from(key), version }
}
