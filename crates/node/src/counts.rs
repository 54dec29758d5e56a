//! What each host of a failure domain counted of the answers during a roll-out.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use policy::canary::Evidence;
use policy::domain;
use policy::name::Name;
use policy::revision::Revision;

/// Counts of one order, by host; each host's list has one element for each route.
pub type CountsByHost = BTreeMap<Name, Vec<Evidence>>;

domain! {
    /// What one host counted during a roll-out, as it is sent to the delegate of the failure domain
    /// (the host that calls the store for the others).
    pub struct HostCounts {
        /// The service that is rolled out.
        pub service: Name,
        /// Identifies the order that the counts belong to: the revision at which it was written.
        pub order: Revision,
        /// Counts by route. A long report is sent as several messages, each with some of the
        /// routes.
        pub routes: Vec<Evidence>,
    }
}

/// Reported counts of all services, each with the order that they belong to.
#[derive(Default)]
pub struct Counts(Mutex<BTreeMap<Name, (Revision, CountsByHost)>>);

impl Counts {
    /// Adds what another host counted. A report of a newer order replaces all counts of the one
    /// before; a report of an older order is ignored.
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

    /// What peers reported for an order; empty if the latest reports belong to another one.
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

/// Replaces a host's counts of a route if the new ones are more recent: counts only grow, and
/// messages may overtake each other. With as many answers, more failures are more recent, because a
/// stream that breaks after it was counted turns an answer into a failure; with as many failures,
/// more slow answers are, because a stream may miss its deadline. An answer that was overdue and has
/// come counts as slow until the next answer is counted.
pub fn merge(existing: &mut Vec<Evidence>, counts: Evidence) {
    let seen = |one: &Evidence| {
        let Evidence { old, new, .. } = one;
        (old.answers + new.answers, old.bad + new.bad, old.slow + new.slow)
    };
    match existing.iter_mut().find(|existing| existing.route == counts.route) {
        Some(existing) if seen(existing) >= seen(&counts) => {}
        Some(existing) => *existing = counts,
        None => existing.push(counts),
    }
}

/// Adds up all hosts' counts, by route.
#[must_use]
pub fn sum(hosts: &CountsByHost) -> Vec<Evidence> {
    let mut sum: Vec<Evidence> = Vec::new();
    for counts in hosts.values().flatten() {
        match sum.iter_mut().find(|existing| existing.route == counts.route) {
            Some(existing) => {
                existing.old.add(counts.old);
                existing.before.add(counts.before);
                existing.calm.add(counts.calm);
                existing.new.add(counts.new);
                existing.full.add(counts.full);
                existing.peak.add(counts.peak);
            }
            None => sum.push(counts.clone()),
        }
    }
    sum
}
