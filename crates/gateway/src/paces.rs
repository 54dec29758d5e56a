//! What streams of this host showed of their engines' speeds, until the other hosts are notified.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use policy::name::Name;
use policy::slowdown::Observation;

policy::domain! {
    /// What streams of one engine showed, as other hosts are notified of it.
    pub struct Seen {
        /// The backend server's start.
        pub backend: Name,
        /// What they showed.
        pub shown: Observation,
    }
}

/// By backend server.
#[derive(Default)]
pub struct Paces(Mutex<HashMap<Name, Observation>>);

impl Paces {
    /// A stream of a backend server has ended.
    pub fn note(&self, backend: &Name, shown: Observation) {
        let mut paces = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let held = paces.entry(backend.clone()).or_default();
        *held = held.merge(shown);
    }

    /// What the others have not been notified of yet.
    pub fn take(&self) -> Vec<Seen> {
        let paces = std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner));
        paces.into_iter().map(|(backend, shown)| Seen { backend, shown }).collect()
    }
}
