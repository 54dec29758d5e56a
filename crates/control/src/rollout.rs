//! Roll-outs: each step is a compare-and-swap of the roll-out's row, by whichever control is first.
//!
//! All that a step needs stands in the row, so a roll-out whose control was lost goes on with the
//! next one. Rows travel by gossip as well; the higher version of a row is the newer.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use log::{info, warn};
use policy::domain;
use policy::name::Name;
use policy::revision::Revision;
use policy::rollout::{Action, Progress, Ratings, Schedule, next};
use policy::time::Millis;
use tokio::sync::watch;
use wire::configuration::{Document, Rollout};
use wire::gossip;
use wire::store::{Condition, Transaction, Write};

use crate::configuration::{self, Error, decode};
use crate::exposure;
use crate::hosts::short_hash;
use crate::node::{self, Node};
use crate::store::Outcome;

/// The platform's table; its keys are roll-outs.
pub const TABLE: &str = "rollouts";

domain! {
    /// A row's value.
    pub struct Stand {
        /// Hash of the roll-out's definition: another definition starts over.
        pub definition: u64,
        /// Where it stands.
        pub progress: Progress,
    }
}

/// What this control knows of one roll-out.
#[derive(Default)]
struct Known {
    /// The row's version; none for no row.
    version: Revision,
    value: String,
    /// The step that `rated_before` belongs to, and its definition.
    step: Option<(u64, usize)>,
    /// Ratings that this control knew of when it saw the step begin. Its own count, because a
    /// control that started later has counted fewer.
    rated_before: u64,
    /// Stopped here by a verdict that the platform could not be informed of yet.
    stopped: Option<u64>,
}

/// The controller.
pub struct Controller {
    node: Arc<Node>,
    configuration: Arc<configuration::Controller>,
    known: Mutex<BTreeMap<Name, Known>>,
    changed: watch::Sender<u64>,
}

impl Controller {
    /// Nothing known yet.
    #[must_use]
    pub fn new(node: Arc<Node>, configuration: Arc<configuration::Controller>) -> Self {
        let (changed, _) = watch::channel(0);
        Self { node, configuration, known: Mutex::default(), changed }
    }

    fn known(&self) -> MutexGuard<'_, BTreeMap<Name, Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes when a share changes.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Where all roll-outs stand, for peers.
    #[must_use]
    pub fn rows(&self) -> Vec<gossip::Rollout> {
        let known = self.known();
        let rows = known.iter().filter(|(_, known)| known.version > Revision::NONE);
        let row = |(rollout, known): (&Name, &Known)| gossip::Rollout {
            rollout: rollout.clone(),
            version: known.version,
            value: known.value.clone(),
        };
        rows.map(row).collect()
    }

    /// The same on two controls that know the same rows.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let rows = self.rows();
        match rows.is_empty() {
            true => 0,
            false => short_hash(&serde_json::to_vec(&rows).unwrap_or_default()),
        }
    }

    /// Takes in rows, newer ones only.
    pub fn take(&self, rows: &[gossip::Rollout]) {
        let mut news = false;
        for row in rows {
            let mut all = self.known();
            let known = all.entry(row.rollout.clone()).or_default();
            if row.version > known.version {
                known.version = row.version;
                known.value.clone_from(&row.value);
                news = true;
            }
        }
        if news {
            self.changed.send_modify(|count| *count += 1);
        }
    }

    /// The share of new sessions that each candidate under roll-out gets.
    #[must_use]
    pub fn shares(&self, document: &Document) -> Vec<(Name, f64)> {
        let known = self.known();
        let share = |(name, rollout): (&Name, &Rollout)| {
            let definition = definition(rollout, document);
            let share = match known.get(name) {
                Some(known) if known.stopped == Some(definition) => 0.0,
                Some(known) => {
                    known.progress(definition).map_or(0.0, |p| p.share(&course(rollout)))
                }
                None => 0.0,
            };
            (rollout.version.clone(), share)
        };
        document.rollouts.iter().map(share).collect()
    }

    /// Reads the table, and takes each roll-out's next step if it is due.
    ///
    /// # Errors
    /// When the platform gives no answer; shares stay, but a stop is in force here at once.
    pub async fn step(&self, exposure: &exposure::Controller) -> Result<(), Error> {
        let in_force = self.configuration.in_force();
        if in_force.document.rollouts.is_empty() {
            return Ok(());
        }
        self.stop_here(&in_force.document, exposure);
        let rows = self.node.store.rows(TABLE).await?.into_iter();
        let rows: Vec<gossip::Rollout> = rows
            .map(|row| gossip::Rollout { rollout: row.key, version: row.version, value: row.value })
            .collect();
        self.take(&rows);
        let now = node::now();
        for (name, rollout) in &in_force.document.rollouts {
            let definition = definition(rollout, &in_force.document);
            let ratings = exposure.ratings(&rollout.version);
            if let Some(progress) = self.due(name, rollout, definition, &ratings, now) {
                self.swap(name, &Stand { definition, progress }).await?;
            }
        }
        Ok(())
    }

    /// Stops in this process what must not wait for the platform.
    fn stop_here(&self, document: &Document, exposure: &exposure::Controller) {
        let now = node::now();
        for (name, rollout) in &document.rollouts {
            let definition = definition(rollout, document);
            let ratings = exposure.ratings(&rollout.version);
            let stops = match self.due(name, rollout, definition, &ratings, now) {
                Some(progress) => progress.stopped,
                None => false,
            };
            let mut all = self.known();
            let known = all.entry(name.clone()).or_default();
            if stops && known.stopped != Some(definition) {
                known.stopped = Some(definition);
                drop(all);
                self.changed.send_modify(|count| *count += 1);
            }
        }
    }

    /// What the row is to become now, if anything.
    fn due(
        &self,
        name: &Name,
        rollout: &Rollout,
        definition: u64,
        ratings: &Ratings,
        now: Millis,
    ) -> Option<Progress> {
        let mut all = self.known();
        let known = all.entry(name.clone()).or_default();
        let Some(progress) = known.progress(definition) else {
            return Some(Progress { since: now, ..Progress::default() });
        };
        if known.step != Some((definition, progress.step)) {
            known.step = Some((definition, progress.step));
            known.rated_before = ratings.rated;
        }
        let progress = Progress { rated_before: known.rated_before, ..progress };
        match next(&course(rollout), &progress, ratings, now) {
            Action::Raise(progress) | Action::Stop(progress) => Some(progress),
            Action::Hold | Action::Done => None,
        }
    }

    /// Over the row that was read; after a conflict or a lost answer the next round reads again.
    async fn swap(&self, name: &Name, stand: &Stand) -> Result<(), Error> {
        let value = serde_json::to_string(stand).map_err(|e| Error::Malformed(e.to_string()))?;
        let version = self.known().get(name).map_or(Revision::NONE, |known| known.version);
        let (table, key) = (Name::from(TABLE), name.clone());
        let condition = Condition { table: table.clone(), key: key.clone(), version };
        let write = Write { table, key, value: Some(value.clone()) };
        let transaction = Transaction {
            conditions: vec![condition],
            writes: vec![write],
            ..Transaction::default()
        };
        match self.node.store.commit(&transaction).await? {
            Outcome::Committed(version) => {
                info!("rollout: {name}: step {}", describe(&stand.progress));
                self.take(&[gossip::Rollout { rollout: name.clone(), version, value }]);
            }
            Outcome::Conflict(_) => info!("rollout: {name}: another control was first"),
        }
        Ok(())
    }
}

impl Known {
    /// Where the roll-out of that definition stands; none if it has not begun.
    fn progress(&self, definition: u64) -> Option<Progress> {
        if self.version == Revision::NONE {
            return None;
        }
        match decode::<Stand>(&self.value) {
            Ok(stand) if stand.definition == definition => Some(stand.progress),
            Ok(_) => None,
            Err(error) => {
                warn!("rollout: a row makes no sense: {error}");
                None
            }
        }
    }
}

fn describe(progress: &Progress) -> String {
    match progress.stopped {
        true => format!("{}, stopped", progress.step),
        false => progress.step.to_string(),
    }
}

/// A lifted quarantine makes it another roll-out, so that a stopped one can be started again.
fn definition(rollout: &Rollout, document: &Document) -> u64 {
    let cleared = document.versions.get(&rollout.version).map_or(0, |version| version.cleared);
    short_hash(&serde_json::to_vec(&(rollout, cleared)).unwrap_or_default())
}

fn course(rollout: &Rollout) -> Schedule {
    Schedule {
        steps: rollout.steps.clone(),
        step_ms: rollout.step_ms,
        min_rated: rollout.min_rated,
        guard: rollout.guard,
    }
}
