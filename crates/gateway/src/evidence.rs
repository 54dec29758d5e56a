//! How versions under roll-out answer, counted on this host.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use policy::canary::{Evidence, Outcome};
use policy::name::Name;

/// Which version gave an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// The one before.
    Old,
    /// The one under trial, with a share of the requests.
    New,
    /// The one under trial, to a request that came while few servers had the load of a peak.
    NewAtPeak,
    /// The one under trial, with all requests.
    NewAtFull,
}

/// An answer as it was counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Counted {
    /// Which version gave it.
    pub origin: Origin,
    /// What it said of the version.
    pub sign: Outcome,
}

/// Counts by service and route, for roll-outs under way.
#[derive(Default)]
pub struct Tally(Mutex<BTreeMap<Name, BTreeMap<Name, Evidence>>>);

impl Tally {
    /// Counts an answer.
    pub fn note(&self, service: &Name, route: &Name, origin: Origin, sign: Outcome) {
        let mut tally = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let of_service = tally.entry(service.clone()).or_default();
        let evidence = of_service
            .entry(route.clone())
            .or_insert_with(|| Evidence { route: route.clone(), ..Evidence::default() });
        match origin {
            Origin::Old => evidence.old.record(sign),
            Origin::New => evidence.new.record(sign),
            Origin::NewAtPeak => {
                evidence.new.record(sign);
                evidence.peak.record(sign);
            }
            Origin::NewAtFull => {
                evidence.new.record(sign);
                evidence.full.record(sign);
            }
        }
    }

    /// Takes an answer back. A stream that was counted by its first events and breaks later is counted
    /// as failed; counted twice, a version that fails so would seem to fail half as often.
    pub fn forget(&self, service: &Name, route: &Name, counted: Counted) {
        let mut tally = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(evidence) = tally.get_mut(service).and_then(|routes| routes.get_mut(route)) else {
            return;
        };
        match counted.origin {
            Origin::Old => evidence.old.retract(counted.sign),
            Origin::New => evidence.new.retract(counted.sign),
            Origin::NewAtPeak => {
                evidence.new.retract(counted.sign);
                evidence.peak.retract(counted.sign);
            }
            Origin::NewAtFull => {
                evidence.new.retract(counted.sign);
                evidence.full.retract(counted.sign);
            }
        }
    }

    /// What was counted for a service.
    #[must_use]
    pub fn of(&self, service: &Name) -> Vec<Evidence> {
        let tally = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        tally.get(service).map(|routes| routes.values().cloned().collect()).unwrap_or_default()
    }

    /// A roll-out begins or has ended: counts start anew.
    pub fn clear(&self, service: &Name) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(service);
    }
}
