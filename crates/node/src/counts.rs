//! What the hosts of a failure domain counted of roll-outs, as they reported.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use policy::canary::Evidence;
use policy::domain;
use policy::name::Name;
use policy::revision::Revision;

/// Counts of one order by host, each by route.
pub type CountsByHost = BTreeMap<Name, Vec<Evidence>>;

domain! {
    /// What one host counted of a roll-out, as it is sent to the delegate of the domain.
    pub struct HostCounts {
        /// The service.
        pub service: Name,
        /// The order that it was counted for, by when it was written.
        pub order: Revision,
        /// By route; a part of them if they are many.
        pub routes: Vec<Evidence>,
    }
}

/// Counts of all services.
#[derive(Default)]
pub struct Counts(Mutex<BTreeMap<Name, (Revision, CountsByHost)>>);

impl Counts {
    /// Another host reported what it counted.
    pub fn accept(&self, host: &Name, report: HostCounts) {
        let mut all = self.lock();
        let (order, hosts) = all.entry(report.service).or_default();
        match report.order {
            old if old < *order => return,
            same if same == *order => {}
            new => (*order, *hosts) = (new, CountsByHost::new()),
        }
        let existing = hosts.entry(host.clone()).or_default();
        for counts in report.routes {
            merge(existing, counts);
        }
    }

    /// What was reported of an order.
    #[must_use]
    pub fn for_order(&self, service: &Name, order: Revision) -> CountsByHost {
        let all = self.lock();
        let counted = all.get(service).filter(|(existing, _)| *existing == order);
        counted.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Name, (Revision, CountsByHost)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes a host's count of a route if it is newer: counts only grow, and messages may overtake each
/// other. A stream that breaks after it was counted makes one more failure of as many answers.
pub fn merge(existing: &mut Vec<Evidence>, counts: Evidence) {
    let seen = |one: &Evidence| (one.old.answers + one.new.answers, one.old.bad + one.new.bad);
    match existing.iter_mut().find(|existing| existing.route == counts.route) {
        Some(existing) if seen(existing) >= seen(&counts) => {}
        Some(existing) => *existing = counts,
        None => existing.push(counts),
    }
}

/// All hosts' counts together, by route.
#[must_use]
pub fn sum(hosts: &CountsByHost) -> Vec<Evidence> {
    let mut sum: Vec<Evidence> = Vec::new();
    for counts in hosts.values().flatten() {
        match sum.iter_mut().find(|existing| existing.route == counts.route) {
            Some(existing) => {
                existing.old.add(counts.old);
                existing.new.add(counts.new);
                existing.full.add(counts.full);
                existing.peak.add(counts.peak);
            }
            None => sum.push(counts.clone()),
        }
    }
    sum
}
