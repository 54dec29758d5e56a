//! What the hosts of a failure domain counted of roll-outs, as they reported.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use policy::canary::Evidence;
use policy::domain;
use policy::name::Name;
use policy::revision::Revision;

/// Counts of one order by host, each by route.
pub type ByHost = BTreeMap<Name, Vec<Evidence>>;

domain! {
    /// What one host counted of a roll-out, as it is sent to the delegate of the domain.
    pub struct Counting {
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
pub struct Counts(Mutex<BTreeMap<Name, (Revision, ByHost)>>);

impl Counts {
    /// Another host reported what it counted.
    pub fn take(&self, host: &Name, counting: Counting) {
        let mut all = self.lock();
        let (order, hosts) = all.entry(counting.service).or_default();
        match counting.order {
            old if old < *order => return,
            same if same == *order => {}
            new => (*order, *hosts) = (new, ByHost::new()),
        }
        let held = hosts.entry(host.clone()).or_default();
        for one in counting.routes {
            merge(held, one);
        }
    }

    /// What was reported of an order.
    #[must_use]
    pub fn of(&self, service: &Name, order: Revision) -> ByHost {
        let all = self.lock();
        let counted = all.get(service).filter(|(held, _)| *held == order);
        counted.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Name, (Revision, ByHost)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes a host's count of a route if it is newer: counts only grow, and messages may overtake each
/// other. A stream that breaks after it was counted makes one more failure of as many answers.
pub fn merge(held: &mut Vec<Evidence>, one: Evidence) {
    let seen = |one: &Evidence| (one.old.answers + one.new.answers, one.old.bad + one.new.bad);
    match held.iter_mut().find(|held| held.route == one.route) {
        Some(known) if seen(known) >= seen(&one) => {}
        Some(known) => *known = one,
        None => held.push(one),
    }
}

/// All hosts' counts together, by route.
#[must_use]
pub fn sum(hosts: &ByHost) -> Vec<Evidence> {
    let mut sum: Vec<Evidence> = Vec::new();
    for one in hosts.values().flatten() {
        match sum.iter_mut().find(|held| held.route == one.route) {
            Some(held) => {
                held.old.add(one.old);
                held.new.add(one.new);
                held.full.add(one.full);
                held.peak.add(one.peak);
            }
            None => sum.push(one.clone()),
        }
    }
    sum
}
