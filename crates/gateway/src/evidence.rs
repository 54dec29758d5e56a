//! How versions under roll-out answer, counted on this host.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use policy::canary::{Evidence, Sign};
use policy::name::Name;

/// Which version gave an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cohort {
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
pub struct CountedAnswer {
    /// Which version gave it.
    pub cohort: Cohort,
    /// What it said of the version.
    pub sign: Sign,
}

/// Counts by service and route, for roll-outs under way.
#[derive(Default)]
pub struct Tally(Mutex<BTreeMap<Name, BTreeMap<Name, Evidence>>>);

impl Tally {
    /// Counts an answer.
    pub fn record(&self, service: &Name, route: &Name, cohort: Cohort, sign: Sign) {
        let mut tally = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let of_service = tally.entry(service.clone()).or_default();
        let evidence = of_service
            .entry(route.clone())
            .or_insert_with(|| Evidence { route: route.clone(), ..Evidence::default() });
        match cohort {
            Cohort::Old => evidence.old.note(sign),
            Cohort::New => evidence.new.note(sign),
            Cohort::NewAtPeak => {
                evidence.new.note(sign);
                evidence.peak.note(sign);
            }
            Cohort::NewAtFull => {
                evidence.new.note(sign);
                evidence.full.note(sign);
            }
        }
    }

    /// Takes an answer back. A stream that was counted by its first events and breaks later is counted
    /// as failed; counted twice, a version that fails so would seem to fail half as often.
    pub fn retract(&self, service: &Name, route: &Name, counted: CountedAnswer) {
        let mut tally = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(evidence) = tally.get_mut(service).and_then(|routes| routes.get_mut(route)) else {
            return;
        };
        match counted.cohort {
            Cohort::Old => evidence.old.forget(counted.sign),
            Cohort::New => evidence.new.forget(counted.sign),
            Cohort::NewAtPeak => {
                evidence.new.forget(counted.sign);
                evidence.peak.forget(counted.sign);
            }
            Cohort::NewAtFull => {
                evidence.new.forget(counted.sign);
                evidence.full.forget(counted.sign);
            }
        }
    }

    /// What was counted for a service.
    #[must_use]
    pub fn evidence(&self, service: &Name) -> Vec<Evidence> {
        let tally = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        tally.get(service).map(|routes| routes.values().cloned().collect()).unwrap_or_default()
    }

    /// A roll-out begins or has ended: counts start anew.
    pub fn clear(&self, service: &Name) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(service);
    }
}
