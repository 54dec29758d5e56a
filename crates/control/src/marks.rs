//! Quarantine marks: grow-only, so that merging them in any order gives the same set.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use policy::name::Name;
use tokio::sync::watch;
use wire::configuration::Document;
use wire::gossip::Mark;

use crate::hosts::short_hash;

/// The marks held. Of one version only the mark with the highest generation counts.
pub struct Marks {
    held: Mutex<BTreeMap<Name, Mark>>,
    changed: watch::Sender<u64>,
}

impl Default for Marks {
    fn default() -> Self {
        Self { held: Mutex::default(), changed: watch::channel(0).0 }
    }
}

impl Marks {
    /// Adds a mark; says whether it is news.
    pub fn add(&self, mark: &Mark) -> bool {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let news = match held.get(&mark.version) {
            Some(known) => rank(known) < rank(mark),
            None => true,
        };
        if news {
            held.insert(mark.version.clone(), mark.clone());
            drop(held);
            self.changed.send_modify(|count| *count += 1);
        }
        news
    }

    /// All marks, void ones too.
    #[must_use]
    pub fn all(&self) -> Vec<Mark> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }

    /// Those that the document has not voided.
    #[must_use]
    pub fn in_force(&self, document: &Document) -> Vec<Mark> {
        let mut marks = self.all();
        marks.retain(|mark| {
            document
                .versions
                .get(&mark.version)
                .is_some_and(|version| mark.generation > version.cleared)
        });
        marks
    }

    /// The same on two controls that hold the same marks.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let marks = self.all();
        match marks.is_empty() {
            true => 0,
            false => short_hash(&serde_json::to_vec(&marks).unwrap_or_default()),
        }
    }

    /// Wakes with each news.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

/// Ties are broken by the reason, or two controls that judged at once would differ for ever.
fn rank(mark: &Mark) -> (u64, &str) {
    (mark.generation, &mark.reason)
}
