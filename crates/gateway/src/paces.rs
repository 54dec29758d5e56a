//! The pace of this host's streams by engine, collected until it is announced to the other hosts.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use policy::name::Name;
use policy::slowdown::Observation;

policy::domain! {
    /// The pace of the streams of one engine, as announced to other hosts.
    pub struct PaceSample {
        /// The id of the backend server.
        pub backend: Name,
        /// How many streams there were, and how much longer than usual they took.
        pub shown: Observation,
    }
}

/// Streams not yet announced to the other hosts, by backend server.
#[derive(Default)]
pub struct Paces(Mutex<HashMap<Name, Observation>>);

impl Paces {
    /// Records a stream of a backend server that has ended.
    pub fn record(&self, backend: &Name, shown: Observation) {
        let mut paces = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let sample = paces.entry(backend.clone()).or_default();
        *sample = sample.merge(shown);
    }

    /// Takes what has not yet been announced to the other hosts.
    pub fn take(&self) -> Vec<PaceSample> {
        let paces = std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner));
        paces.into_iter().map(|(backend, shown)| PaceSample { backend, shown }).collect()
    }
}
