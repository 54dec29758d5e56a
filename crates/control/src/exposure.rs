//! Evidence of versions that turned bad, and the verdict on it.
//!
//! What entries report is gathered here, goes to the failure domain's reporter, is published by it
//! and comes back to every control as news. So each control judges on the counts of all hosts
//! together, and the number of origins does not grow with the number of hosts.

pub mod gathered;
pub mod knowledge;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use log::{info, warn};
use policy::name::Name;
use policy::rollout::Ratings;
use policy::time::Millis;
use tokio::sync::{broadcast, watch};
use wire::evidence::Report;
use wire::gossip::{Digest, ForwardedCounts, Mark, News};
use wire::view::Estimate;

use self::gathered::Gathered;
use self::knowledge::Knowledge;
use crate::burn;
use crate::gossip;
use crate::node;

/// Shortest time between two pieces of news of one control.
const INTERVAL_MS: u64 = 500;
/// Controls of a failure domain up to which that holds; beyond, it grows in proportion, so that
/// what a reporter takes in each second does not.
const MEMBERS_SMALL: u64 = 8;

/// The controller.
pub struct Controller {
    gossip: Arc<gossip::Controller>,
    burn: Arc<burn::Controller>,
    gathered: Mutex<Gathered>,
    knowledge: Mutex<Knowledge>,
    /// Number of the last report or forwarded piece of each sender.
    last: Mutex<BTreeMap<Name, u64>>,
    changed: watch::Sender<u64>,
}

impl Controller {
    /// No evidence yet.
    #[must_use]
    pub fn new(gossip: Arc<gossip::Controller>, burn: Arc<burn::Controller>) -> Self {
        Self {
            gossip,
            burn,
            gathered: Mutex::default(),
            knowledge: Mutex::default(),
            last: Mutex::default(),
            changed: watch::channel(0).0,
        }
    }

    /// Takes in what an entry saw. A report sent again because its answer was lost counts once.
    pub fn report(&self, report: Report) {
        if self.is_repeated(&report.entry, report.number) {
            return;
        }
        let in_force = self.gossip.configuration.in_force();
        lock(&self.gathered).add_report(report, &in_force.document);
    }

    /// Takes in what another control of the failure domain gathered.
    pub fn forwarded(&self, from: &Name, forwarded: ForwardedCounts) {
        if !self.is_repeated(from, forwarded.number) {
            lock(&self.gathered).add(forwarded.counts);
        }
    }

    fn is_repeated(&self, sender: &Name, number: u64) -> bool {
        lock(&self.last).insert(sender.clone(), number) == Some(number)
    }

    /// Publishes or forwards what is gathered, for ever.
    pub async fn run(self: Arc<Self>) {
        let mut number = 0;
        loop {
            tokio::time::sleep(self.interval()).await;
            let generation = self.gossip.configuration.in_force().generation;
            let Some(counts) = lock(&self.gathered).take(generation) else { continue };
            let now = node::now();
            let Some(reporter) = self.gossip.node.reporter(now) else {
                self.gossip.publish(counts, now);
                continue;
            };
            number += 1;
            let forwarded = Some(ForwardedCounts { number, counts: counts.clone() });
            let digest = Digest { forwarded, ..self.gossip.digest(now) };
            if self.gossip.call(&reporter, digest).await.is_none() {
                // It may have arrived. Counting a few answers twice is the lesser evil: evidence
                // lost with each reporter would let a bad version run on.
                lock(&self.gathered).add(counts);
            }
        }
    }

    fn interval(&self) -> Duration {
        let members = self.gossip.node.domain_size() as u64;
        Duration::from_millis(INTERVAL_MS * members.max(MEMBERS_SMALL) / MEMBERS_SMALL)
    }

    /// Judges on each piece of news, for ever.
    pub async fn judge(self: Arc<Self>, mut arrivals: broadcast::Receiver<News>) {
        loop {
            match arrivals.recv().await {
                Ok(news) => self.take(&news, node::now()),
                Err(broadcast::error::RecvError::Lagged(missed)) => {
                    warn!("exposure: {missed} pieces of evidence not looked at");
                }
                Err(broadcast::error::RecvError::Closed) => return,
            }
        }
    }

    fn take(&self, news: &News, now: Millis) {
        let in_force = self.gossip.configuration.in_force();
        self.burn.count(&news.counts.levels, now);
        if news.counts.evidence.is_empty() {
            return;
        }
        let bad = lock(&self.knowledge).take(&news.counts, &in_force.document, now);
        for (version, reason) in bad {
            self.quarantine(Mark { version, generation: in_force.generation, reason });
        }
        self.changed.send_modify(|count| *count += 1);
    }

    fn quarantine(&self, mark: Mark) {
        let in_force = self.gossip.marks.in_force(&self.gossip.configuration.in_force().document);
        if in_force.iter().all(|known| known.version != mark.version) {
            info!("exposure: {} quarantined: {}", mark.version, mark.reason);
            metrics::counter!("quarantines_total").increment(1);
            self.gossip.marks.add(&mark);
        }
    }

    /// Wakes when estimates change.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// What all hosts together know of each version's quality.
    #[must_use]
    pub fn estimates(&self, now: Millis) -> Vec<Estimate> {
        lock(&self.knowledge).estimates(now)
    }

    /// Ratings of a version since this control first heard of it.
    #[must_use]
    pub fn ratings(&self, version: &str) -> Ratings {
        let mut ratings = lock(&self.knowledge).ratings(version);
        let marks = self.gossip.marks.in_force(&self.gossip.configuration.in_force().document);
        ratings.quarantined = marks.iter().any(|mark| &*mark.version == version);
        ratings
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
