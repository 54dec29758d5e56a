//! The view that entries follow, and where each entry stands.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use policy::name::Name;
use policy::time::Millis;
use tokio::sync::watch;
use wire::view::{View, ViewRequest};

use crate::bills::Ledger;
use crate::exposure;
use crate::gossip;
use crate::node;

/// Longest wait for a change that an entry may ask for.
const WAIT_MS_MAX: u64 = 5_000;
/// An entry that has not asked for so long is not counted.
const ENTRY_QUIET_MS: u64 = 3 * WAIT_MS_MAX;
/// Changes within this time make one revision.
const GATHER: Duration = Duration::from_millis(5);
/// Estimates alone make a revision at most this often: a view carries all hosts with it.
const ESTIMATES: Duration = Duration::from_secs(2);
/// How often the bill bound is looked at; it has nothing to wake us by.
const BILLS: Duration = Duration::from_millis(100);

/// The controller.
pub struct Controller {
    gossip: Arc<gossip::Controller>,
    exposure: Arc<exposure::Controller>,
    ledger: Arc<Ledger>,
    revision: watch::Sender<u64>,
    entries: Mutex<BTreeMap<Name, Entry>>,
}

/// What one entry was sent, and what it has.
#[derive(Clone, Default)]
struct Entry {
    asked: Millis,
    told_revision: u64,
    told_generation: u64,
    has_generation: u64,
}

impl Controller {
    /// At revision 1.
    #[must_use]
    pub fn new(
        gossip: Arc<gossip::Controller>,
        exposure: Arc<exposure::Controller>,
        ledger: Arc<Ledger>,
    ) -> Self {
        let (revision, _) = watch::channel(1);
        Self { gossip, exposure, ledger, revision, entries: Mutex::default() }
    }

    /// Raises the revision with each change, for ever.
    pub async fn run(self: Arc<Self>) {
        let mut generations = self.gossip.configuration.watch();
        let mut hosts = self.gossip.hosts.watch();
        let mut marks = self.gossip.marks.watch();
        let mut exposure = self.exposure.watch();
        let mut rollouts = self.gossip.rollouts.watch();
        let mut settled = self.gossip.configuration.watch_settled();
        let mut bills = tokio::time::interval(BILLS);
        let mut estimates = tokio::time::interval(ESTIMATES);
        let mut judged = false;
        let mut full = false;
        // For what changed before this loop looked.
        self.revision.send_modify(|revision| *revision += 1);
        loop {
            let changed = tokio::select! {
                changed = generations.changed() => changed.is_ok(),
                changed = hosts.changed() => changed.is_ok(),
                changed = marks.changed() => changed.is_ok(),
                changed = exposure.changed() => {
                    judged |= changed.is_ok();
                    false
                }
                _ = estimates.tick() => std::mem::take(&mut judged),
                changed = rollouts.changed() => changed.is_ok(),
                changed = settled.changed() => changed.is_ok(),
                _ = bills.tick() => std::mem::replace(&mut full, self.ledger.full()) != full,
            };
            if changed {
                self.revision.send_modify(|revision| *revision += 1);
                tokio::time::sleep(GATHER).await;
            }
        }
    }

    /// Answers an entry, at once if it lacks something, otherwise at the next change.
    pub async fn answer(&self, ask: ViewRequest) -> View {
        let ours = ask.incarnation == self.gossip.node.incarnation;
        self.note(&ask, ours);
        let mut revision = self.revision.subscribe();
        if ours && *revision.borrow_and_update() == ask.revision {
            let wait = Duration::from_millis(ask.wait_ms.min(WAIT_MS_MAX));
            // Either outcome is answered with what is now.
            let _ = tokio::time::timeout(wait, revision.changed()).await;
        }
        self.view(&ask, ours)
    }

    fn view(&self, ask: &ViewRequest, ours: bool) -> View {
        // Before the parts are read: a change in between makes one more revision, not none.
        let revision = *self.revision.borrow();
        let now = node::now();
        let in_force = match self.gossip.configuration.ready() {
            true => self.gossip.configuration.in_force(),
            false => Arc::default(),
        };
        let known = ours && self.has(&ask.entry) == in_force.generation;
        let document = match known {
            true => String::new(),
            false => in_force.text.clone(),
        };
        self.note_sent(&ask.entry, revision, in_force.generation);
        let marks = self.gossip.marks.in_force(&in_force.document);
        View {
            incarnation: self.gossip.node.incarnation.clone(),
            revision,
            generation: in_force.generation,
            document,
            unconfirmed_ms: self.gossip.configuration.unconfirmed_ms(now),
            quarantined: marks.into_iter().map(|mark| mark.version).collect(),
            shares: self.gossip.rollouts.shares(&in_force.document),
            estimates: self.exposure.estimates(now),
            hosts: self.gossip.hosts.hosts().list.clone(),
            entries: self.gossip.hosts.entries(),
            bills_full: self.ledger.full(),
        }
    }

    /// Notes what the asker has: the generation it was sent, if that answer reached it.
    fn note(&self, ask: &ViewRequest, ours: bool) {
        if ask.entry.is_empty() {
            return;
        }
        let mut entries = self.entries();
        let entry = entries.entry(ask.entry.clone()).or_default();
        entry.asked = node::now();
        entry.has_generation = match ours && ask.revision == entry.told_revision {
            true => entry.told_generation,
            false => 0,
        };
    }

    fn has(&self, entry: &str) -> u64 {
        self.entries().get(entry).map_or(0, |entry| entry.has_generation)
    }

    fn note_sent(&self, entry: &str, revision: u64, generation: u64) {
        if let Some(entry) = self.entries().get_mut(entry) {
            entry.told_revision = revision;
            entry.told_generation = generation;
        }
    }

    /// The entries that ask here and the generation in force in each.
    #[must_use]
    pub fn standing(&self, now: Millis) -> Vec<(Name, u64)> {
        let mut entries = self.entries();
        entries.retain(|_, entry| now.since(entry.asked) <= ENTRY_QUIET_MS);
        entries.iter().map(|(name, entry)| (name.clone(), entry.has_generation)).collect()
    }

    fn entries(&self) -> std::sync::MutexGuard<'_, BTreeMap<Name, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
